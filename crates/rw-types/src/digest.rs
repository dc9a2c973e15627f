//! Fingerprints of request bodies.

/// First eight bytes of the BLAKE3 hash, for equality within a fleet.
#[must_use]
pub fn fingerprint(bytes: &[u8]) -> u64 {
    let hash = blake3::hash(bytes);
    let mut head = [0; 8];
    head.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(head)
}

/// Bytes of text in one piece of the prefix cache, about a thousand tokens.
const PIECE_BYTES: usize = 4_000;

/// Hashes of the text's prefixes, one per whole piece.
#[must_use]
pub fn prefix_hashes(text: &str) -> Vec<u64> {
    let mut last = 0_u64;
    let whole = text.as_bytes().chunks_exact(PIECE_BYTES);
    whole
        .map(|piece| {
            let part = [&last.to_le_bytes()[..], piece].concat();
            last = fingerprint(&part);
            last
        })
        .collect()
}
