//! Account lookup by bearer key.

use rw_types::{Config, KeyHash, KeyIndex};

/// Keyed hashes of all valid bearer keys, each with the name of its account.
#[derive(Debug, Default)]
pub struct Accounts {
    keys: KeyIndex<String>,
}

impl Accounts {
    /// Indexes the accounts of a configuration. A hash that isn't 64 hexadecimal digits matches no
    /// key.
    #[must_use]
    pub fn index(config: &Config) -> Self {
        let accounts = config.accounts.iter();
        let pairs = accounts.flat_map(|a| {
            let hashes = a.keys.iter().filter_map(|k| KeyHash::from_hex(k));
            hashes.map(|hash| (hash, a.name.clone()))
        });
        Self {
            keys: pairs.collect(),
        }
    }

    /// Returns the name of the account that `key` belongs to.
    #[must_use]
    pub fn find(&self, secret: &[u8; 32], key: &str) -> Option<&str> {
        let name = self.keys.find(&KeyHash::new(secret, key))?;
        Some(name.as_str())
    }
}
