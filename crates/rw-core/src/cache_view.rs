//! A node's estimate of which KV blocks a target's prefix cache holds.

use rw_types::{CacheEvent, Millis};

/// How long a block counts as cached after the last event or request that named it.
const BLOCK_TTL_MS: u64 = 60_000;
/// How long known blocks still count as cached after cache events were lost.
const GAP_TTL_MS: u64 = 10_000;
/// Maximum number of blocks tracked for a target.
const MAX_BLOCKS: usize = 2_048;

#[derive(Debug, Clone)]
struct CachedBlock {
    block: u64,
    expires: Millis,
}

/// Blocks estimated to be cached, from cache events and this node's own requests; entries expire.
#[derive(Debug, Clone, Default)]
pub struct CacheView {
    /// Sorted by block.
    cached: Vec<CachedBlock>,
    /// Sequence number of the latest event applied.
    seq: u64,
}

impl CacheView {
    /// Applies the cache events of a load report, oldest first.
    pub fn apply(&mut self, now: Millis, events: &[CacheEvent]) {
        let Some(first) = events.first() else { return };
        if first.seq > self.seq + 1 {
            let expires = now.plus(GAP_TTL_MS);
            for entry in &mut self.cached {
                entry.expires = entry.expires.min(expires);
            }
        }
        let last_seq = self.seq;
        for event in events.iter().filter(|e| e.seq > last_seq) {
            self.seq = event.seq;
            match (self.find(event.block), event.stored) {
                (_, true) => self.mark_cached(now, event.block),
                (Ok(i), false) => {
                    self.cached.remove(i);
                }
                (Err(_), false) => {}
            }
        }
    }

    /// Marks the blocks of a request that was sent to the target as cached.
    pub fn record_sent(&mut self, now: Millis, blocks: &[u64]) {
        for block in blocks {
            self.mark_cached(now, *block);
        }
    }

    /// Number of leading `blocks` estimated to be cached.
    #[must_use]
    pub fn hits(&self, now: Millis, blocks: &[u64]) -> usize {
        let is_cached = |block: &&u64| {
            self.find(**block)
                .is_ok_and(|i| self.cached[i].expires > now)
        };
        blocks.iter().take_while(is_cached).count()
    }

    fn mark_cached(&mut self, now: Millis, block: u64) {
        let expires = now.plus(BLOCK_TTL_MS);
        match self.find(block) {
            Ok(i) => self.cached[i].expires = expires,
            Err(i) => {
                self.cached.insert(i, CachedBlock { block, expires });
                if self.cached.len() > MAX_BLOCKS {
                    self.evict(now);
                }
            }
        }
    }

    /// Evicts expired blocks, and at least the half that expires first.
    fn evict(&mut self, now: Millis) {
        let mut expiries: Vec<Millis> = self.cached.iter().map(|s| s.expires).collect();
        expiries.sort();
        let cutoff = expiries[expiries.len() / 2].max(now);
        self.cached.retain(|s| s.expires > cutoff);
    }

    fn find(&self, block: u64) -> Result<usize, usize> {
        self.cached.binary_search_by_key(&block, |s| s.block)
    }
}
