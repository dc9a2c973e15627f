//! Client accounts.

use serde::{Deserialize, Serialize};

/// A client account, authenticated by the hash of its bearer key. The key itself is never stored.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Name used in metrics and refusals.
    pub name: String,
    /// Hex BLAKE3 hashes of the valid keys; two during a key rotation.
    pub keys: Vec<String>,
    /// Share of the fleet under contention, relative to other accounts.
    #[serde(default = "Account::default_share")]
    pub share: u32,
}

impl Account {
    /// Share of an account that does not declare one.
    #[must_use]
    pub fn default_share() -> u32 {
        1
    }
}

/// Hex hash under which a bearer key is stored, keyed by the operators' secret.
///
/// Keys are long random strings, so a fast keyed hash is enough.
#[must_use]
pub fn hash_key(secret: &[u8; 32], key: &str) -> String {
    blake3::keyed_hash(secret, key.as_bytes())
        .to_hex()
        .to_string()
}
