//! Fingerprints of request bodies.

/// First eight bytes of the BLAKE3 hash, for equality within a fleet.
#[must_use]
pub fn fingerprint(bytes: &[u8]) -> u64 {
    let hash = blake3::hash(bytes);
    let mut head = [0; 8];
    head.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(head)
}
