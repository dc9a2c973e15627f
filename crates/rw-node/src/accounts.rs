//! Account lookup by bearer key.

use rw_types::{Config, hash_key};

/// Keyed hashes of all valid bearer keys, sorted, each with the name of its account.
#[derive(Debug, Default)]
pub struct Accounts {
    keys: Vec<(String, String)>,
}

impl Accounts {
    /// Indexes the accounts of a configuration.
    #[must_use]
    pub fn index(config: &Config) -> Self {
        let accounts = config.accounts.iter();
        let pairs = accounts.flat_map(|a| a.keys.iter().map(|k| (k.clone(), a.name.clone())));
        let mut keys: Vec<_> = pairs.collect();
        keys.sort();
        Self { keys }
    }

    /// Returns the name of the account that `key` belongs to.
    ///
    /// The search is not in constant time. It compares hashes keyed with `secret`, so its timing
    /// reveals nothing about the keys.
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
