//! What a target's prefix cache is believed to hold.

use crate::PromptPart;
use rw_types::Millis;

/// Part of the memory that holds cached prefixes beside what runs.
const CACHED_SHARE: f64 = 0.6;

#[derive(Debug, Clone, Copy)]
struct Entry {
    /// Hash of the part with all parts before it.
    chain: u64,
    tokens: u32,
    used: Millis,
    /// When it was first read.
    since: Millis,
}

/// Cached parts, sorted by the hash of their chain.
#[derive(Debug, Clone, Default)]
pub struct PrefixCache {
    entries: Vec<Entry>,
    tokens: u64,
}

impl PrefixCache {
    /// Tokens at the head of `parts` that are cached.
    #[must_use]
    pub fn cached_tokens(&self, parts: &[PromptPart]) -> u64 {
        let cached = chains(parts).zip(parts);
        let cached = cached.take_while(|(chain, _)| self.index(*chain).is_ok());
        cached.map(|(_, part)| u64::from(part.tokens)).sum()
    }

    /// Tokens at the head of `parts` that were read before `then`.
    #[must_use]
    pub fn tokens_cached_before(&self, then: Millis, parts: &[PromptPart]) -> u64 {
        let held = chains(parts).zip(parts);
        let held = held.take_while(|(chain, _)| {
            let found = self.index(*chain);
            found.is_ok_and(|i| self.entries[i].since <= then)
        });
        held.map(|(_, part)| u64::from(part.tokens)).sum()
    }

    /// The target reads `parts`; what was used longest ago yields.
    pub fn insert(&mut self, now: Millis, parts: &[PromptPart], memory: u64) {
        let read: Vec<(u64, u32)> = chains(parts).zip(parts.iter().map(|p| p.tokens)).collect();
        self.insert_hashes(now, &read, memory);
    }

    /// As [`PrefixCache::read`], with the chains as another node told them.
    pub fn insert_hashes(&mut self, now: Millis, read: &[(u64, u32)], memory: u64) {
        for (chain, tokens) in read {
            match self.index(*chain) {
                Ok(i) => self.entries[i].used = now,
                Err(i) => {
                    let entry = Entry {
                        chain: *chain,
                        tokens: *tokens,
                        used: now,
                        since: now,
                    };
                    self.entries.insert(i, entry);
                    self.tokens += u64::from(*tokens);
                }
            }
        }
        self.evict((memory as f64 * CACHED_SHARE) as u64);
    }

    fn evict(&mut self, most: u64) {
        while self.tokens > most {
            let oldest = self.entries.iter().enumerate().min_by_key(|(_, e)| e.used);
            let Some((i, _)) = oldest else {
                return;
            };
            self.tokens -= u64::from(self.entries.remove(i).tokens);
        }
    }

    fn index(&self, chain: u64) -> Result<usize, usize> {
        self.entries.binary_search_by_key(&chain, |e| e.chain)
    }
}

/// Hash of each part with all parts before it.
pub(crate) fn chains(parts: &[PromptPart]) -> impl Iterator<Item = u64> + '_ {
    parts.iter().scan(0_u64, |chain, part| {
        *chain = rw_core::mix(*chain, part.id);
        Some(*chain)
    })
}
