//! Prefix cache of the fake engine, in blocks of about a thousand tokens.

use rw_types::CacheEvent;

/// Maximum number of events kept for load reports.
const MAX_EVENTS: usize = 32;

#[derive(Debug, Clone)]
struct Entry {
    block: u64,
    /// Value of the use counter at the last use.
    last_used: u64,
}

/// A cache of prompt prefixes with LRU eviction of blocks.
#[derive(Debug, Clone, Default)]
pub struct PrefixCache {
    /// Sorted by block.
    entries: Vec<Entry>,
    use_counter: u64,
    seq: u64,
    events: Vec<CacheEvent>,
}

impl PrefixCache {
    /// Number of cached blocks.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the cache is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Most recent events, oldest first.
    #[must_use]
    pub fn events(&self) -> &[CacheEvent] {
        &self.events
    }

    /// Number of leading `blocks` that are cached; marks them as used.
    pub fn lookup(&mut self, blocks: &[u64]) -> usize {
        self.use_counter += 1;
        let mut hits = 0;
        for block in blocks {
            let Ok(i) = self.find(*block) else { break };
            self.entries[i].last_used = self.use_counter;
            hits += 1;
        }
        hits
    }

    /// Number of leading `blocks` that are cached, without marking them as used.
    #[must_use]
    pub fn peek(&self, blocks: &[u64]) -> usize {
        blocks.iter().take_while(|b| self.find(**b).is_ok()).count()
    }

    /// Stores `blocks`, marks them as used and evicts down to `capacity` entries.
    pub fn store(&mut self, blocks: &[u64], capacity: usize) {
        self.use_counter += 1;
        for block in blocks {
            match self.find(*block) {
                Ok(i) => self.entries[i].last_used = self.use_counter,
                Err(i) => {
                    let last_used = self.use_counter;
                    self.entries.insert(
                        i,
                        Entry {
                            block: *block,
                            last_used,
                        },
                    );
                    self.record_event(*block, true);
                }
            }
        }
        self.evict_to(capacity);
    }

    /// Evicts the least recently used entries until at most `capacity` remain.
    pub fn evict_to(&mut self, capacity: usize) {
        while self.entries.len() > capacity {
            let oldest = self
                .entries
                .iter()
                .enumerate()
                .min_by_key(|(_, e)| e.last_used);
            let Some((i, _)) = oldest else { return };
            let evicted = self.entries.remove(i);
            self.record_event(evicted.block, false);
        }
    }

    fn find(&self, block: u64) -> Result<usize, usize> {
        self.entries.binary_search_by_key(&block, |e| e.block)
    }

    fn record_event(&mut self, block: u64, stored: bool) {
        self.seq += 1;
        if self.events.len() == MAX_EVENTS {
            self.events.remove(0);
        }
        let seq = self.seq;
        self.events.push(CacheEvent { seq, block, stored });
    }
}
