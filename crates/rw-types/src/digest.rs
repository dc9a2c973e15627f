//! Hashes of request bodies and of prompt prefixes.

/// First eight bytes of the BLAKE3 hash, to compare values within one fleet.
#[must_use]
pub fn fingerprint(bytes: &[u8]) -> u64 {
    fingerprint_parts([bytes])
}

/// The fingerprint of all `parts` put together, which are not copied.
#[must_use]
pub fn fingerprint_parts<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(part);
    }
    let hash = hasher.finalize();
    let mut head = [0; 8];
    head.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(head)
}

/// Bytes of text in one block of the prefix cache, about a thousand tokens.
const BLOCK_BYTES: usize = 4_000;

/// Hashes of the text's prefixes, one for each full block.
///
/// Each hash covers all blocks up to its own, so that equal hashes mean equal prefixes.
#[must_use]
pub fn prefix_hashes(text: &str) -> Vec<u64> {
    let mut last = 0_u64;
    let blocks = text.as_bytes().chunks_exact(BLOCK_BYTES);
    blocks
        .map(|block| {
            let chained = [&last.to_le_bytes()[..], block].concat();
            last = fingerprint(&chained);
            last
        })
        .collect()
}
