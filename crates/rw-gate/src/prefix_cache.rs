//! Estimated contents of the prefix cache of a target.

use crate::PromptPart;
use rw_types::Millis;

/// Fraction of the KV cache that holds cached prefixes while calls are running.
const CACHED_FRACTION: f64 = 0.6;

#[derive(Debug, Clone, Copy)]
struct Entry {
    /// Hash of the prefix that ends with this segment.
    prefix_hash: u32,
    tokens: u32,
    last_used: Millis,
    /// Time at which it was first sent to the target.
    inserted_at: Millis,
}

/// Cached segments, sorted by the hash of their prefix.
#[derive(Debug, Clone, Default)]
pub struct PrefixCache {
    entries: Vec<Entry>,
    tokens: u64,
}

impl PrefixCache {
    /// Number of leading tokens of `parts` that are cached.
    #[must_use]
    pub fn cached_tokens(&self, parts: &[PromptPart]) -> u64 {
        let cached = prefix_hashes(parts).zip(parts);
        let cached = cached.take_while(|(prefix_hash, _)| self.index(*prefix_hash).is_ok());
        cached.map(|(_, part)| u64::from(part.tokens)).sum()
    }

    /// Number of leading tokens of `parts` that were inserted no later than `cutoff`.
    #[must_use]
    pub fn tokens_cached_before(&self, cutoff: Millis, parts: &[PromptPart]) -> u64 {
        let inserted = prefix_hashes(parts).zip(parts);
        let inserted = inserted.take_while(|(prefix_hash, _)| {
            let found = self.index(*prefix_hash);
            found.is_ok_and(|i| self.entries[i].inserted_at <= cutoff)
        });
        inserted.map(|(_, part)| u64::from(part.tokens)).sum()
    }

    /// Records that the target received `parts`, and evicts the least recently used segments.
    pub fn insert(&mut self, now: Millis, parts: &[PromptPart], kv_tokens: u64) {
        let hashes: Vec<(u32, u32)> = prefix_hashes(parts)
            .zip(parts.iter().map(|p| p.tokens))
            .collect();
        self.insert_hashes(now, &hashes, kv_tokens);
    }

    /// Like [`PrefixCache::insert`], with the prefix hashes reported by another node.
    pub fn insert_hashes(&mut self, now: Millis, hashes: &[(u32, u32)], kv_tokens: u64) {
        for (prefix_hash, tokens) in hashes {
            match self.index(*prefix_hash) {
                Ok(i) => self.entries[i].last_used = now,
                Err(i) => {
                    let entry = Entry {
                        prefix_hash: *prefix_hash,
                        tokens: *tokens,
                        last_used: now,
                        inserted_at: now,
                    };
                    self.entries.insert(i, entry);
                    self.tokens += u64::from(*tokens);
                }
            }
        }
        self.evict((kv_tokens as f64 * CACHED_FRACTION) as u64);
    }

    fn evict(&mut self, max_tokens: u64) {
        while self.tokens > max_tokens {
            let oldest = self
                .entries
                .iter()
                .enumerate()
                .min_by_key(|(_, e)| e.last_used);
            let Some((i, _)) = oldest else {
                return;
            };
            self.tokens -= u64::from(self.entries.remove(i).tokens);
        }
    }

    fn index(&self, prefix_hash: u32) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&prefix_hash, |e| e.prefix_hash)
    }
}

/// For each segment, the hash of the prefix that ends with it. 32 bits are enough for an estimate:
/// a cache holds some thousand segments.
pub(crate) fn prefix_hashes(parts: &[PromptPart]) -> impl Iterator<Item = u32> + '_ {
    parts.iter().scan(0_u64, |prefix_hash, part| {
        *prefix_hash = rw_core::mix(*prefix_hash, part.id);
        Some(*prefix_hash as u32)
    })
}
