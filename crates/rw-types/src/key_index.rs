//! Index of client accounts' keys.

use crate::KeyHash;

/// Values by the hash of a key, sorted. A lookup takes a number of steps that depends only on the
/// number of keys.
#[derive(Debug, Clone)]
pub struct KeyIndex<V> {
    entries: Vec<(KeyHash, V)>,
}

impl<V> Default for KeyIndex<V> {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
        }
    }
}

impl<V> FromIterator<(KeyHash, V)> for KeyIndex<V> {
    fn from_iter<I: IntoIterator<Item = (KeyHash, V)>>(entries: I) -> Self {
        let mut entries: Vec<_> = entries.into_iter().collect();
        entries.sort_by_key(|(hash, _)| *hash);
        Self { entries }
    }
}

impl<V> KeyIndex<V> {
    /// The value of a key.
    ///
    /// The search orders hashes that are keyed with a secret, so that its timing reveals nothing
    /// about the keys; the final comparison takes constant time.
    #[must_use]
    pub fn find(&self, hash: &KeyHash) -> Option<&V> {
        let i = self.entries.partition_point(|(known, _)| known < hash);
        let (known, value) = self.entries.get(i)?;
        (known == hash).then_some(value)
    }

    /// Values that share a key, in pairs.
    pub fn shared(&self) -> impl Iterator<Item = (&V, &V)> {
        let pairs = self.entries.windows(2).filter(|p| p[0].0 == p[1].0);
        pairs.map(|p| (&p[0].1, &p[1].1))
    }
}
