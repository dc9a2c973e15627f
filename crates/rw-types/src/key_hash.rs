//! Hashes of client accounts' keys.

use std::fmt;
use subtle::ConstantTimeEq as _;

/// Keyed hash of a client account's key. Its value is never shown.
#[derive(Clone, Copy, Eq, PartialOrd, Ord)]
pub struct KeyHash([u8; 32]);

impl KeyHash {
    /// Hashes `key` with the operators' secret.
    #[must_use]
    pub fn new(secret: &[u8; 32], key: &str) -> Self {
        Self(*blake3::keyed_hash(secret, key.as_bytes()).as_bytes())
    }

    /// Parses the 64 hexadecimal digits that [`hash_key`](crate::hash_key) returns; `None` if the
    /// text isn't of that form.
    #[must_use]
    pub fn from_hex(text: &str) -> Option<Self> {
        let hash = blake3::Hash::from_hex(text).ok()?;
        Some(Self(*hash.as_bytes()))
    }
}

impl PartialEq for KeyHash {
    fn eq(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyHash(..)")
    }
}
