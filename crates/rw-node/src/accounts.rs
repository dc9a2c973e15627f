//! Account lookup by bearer key.

use rw_types::{Config, hash_key};

/// Hashes of all valid keys, sorted, each with its account's name.
#[derive(Debug, Default)]
pub struct Accounts {
    keys: Vec<(String, String)>,
}

impl Accounts {
    /// The index of a configuration.
    #[must_use]
    pub fn index(config: &Config) -> Self {
        let accounts = config.accounts.iter();
        let pairs = accounts.flat_map(|a| a.keys.iter().map(|k| (k.clone(), a.name.clone())));
        let mut keys: Vec<_> = pairs.collect();
        keys.sort();
        Self { keys }
    }

    /// Name of the account whose key hashes to a stored hash.
    ///
    /// The comparison works on keyed hashes, whose order tells nothing about the keys.
    #[must_use]
    pub fn find(&self, secret: &[u8; 32], key: &str) -> Option<&str> {
        let hash = hash_key(secret, key);
        let i = self
            .keys
            .binary_search_by(|(k, _)| k.as_str().cmp(&hash))
            .ok()?;
        Some(&self.keys[i].1)
    }
}
