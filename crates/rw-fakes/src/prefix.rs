//! The engine stand-in's prefix cache, in pieces of about a thousand tokens.

use rw_types::CacheEvent;

/// Latest events kept for reports.
const EVENTS: usize = 32;

#[derive(Debug, Clone)]
struct Entry {
    piece: u64,
    /// Use counter at the last use.
    used: u64,
}

/// A cache of prompt prefixes; the least recently used piece goes first.
#[derive(Debug, Clone, Default)]
pub struct PrefixCache {
    /// Sorted by piece.
    entries: Vec<Entry>,
    clock: u64,
    seq: u64,
    events: Vec<CacheEvent>,
}

impl PrefixCache {
    /// Pieces held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether it holds nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Latest events, oldest first.
    #[must_use]
    pub fn events(&self) -> &[CacheEvent] {
        &self.events
    }

    /// Number of leading `pieces` held; they count as used now.
    pub fn lookup(&mut self, blocks: &[u64]) -> usize {
        self.clock += 1;
        let mut hits = 0;
        for piece in blocks {
            let Ok(i) = self.find(*piece) else { break };
            self.entries[i].used = self.clock;
            hits += 1;
        }
        hits
    }

    /// Number of leading `pieces` held, without counting it as a use.
    #[must_use]
    pub fn peek(&self, blocks: &[u64]) -> usize {
        blocks.iter().take_while(|p| self.find(**p).is_ok()).count()
    }

    /// Stores `pieces` and evicts down to `room` entries.
    pub fn store(&mut self, blocks: &[u64], room: usize) {
        self.clock += 1;
        for piece in blocks {
            match self.find(*piece) {
                Ok(i) => self.entries[i].used = self.clock,
                Err(i) => {
                    let used = self.clock;
                    self.entries.insert(
                        i,
                        Entry {
                            piece: *piece,
                            used,
                        },
                    );
                    self.note(*piece, true);
                }
            }
        }
        self.evict_to(room);
    }

    /// Evicts the least recently used entries down to `room`.
    pub fn evict_to(&mut self, room: usize) {
        while self.entries.len() > room {
            let oldest = self.entries.iter().enumerate().min_by_key(|(_, e)| e.used);
            let Some((i, _)) = oldest else { return };
            let gone = self.entries.remove(i);
            self.note(gone.piece, false);
        }
    }

    fn find(&self, piece: u64) -> Result<usize, usize> {
        self.entries.binary_search_by_key(&piece, |e| e.piece)
    }

    fn note(&mut self, block: u64, stored: bool) {
        self.seq += 1;
        if self.events.len() == EVENTS {
            self.events.remove(0);
        }
        let seq = self.seq;
        self.events.push(CacheEvent { seq, block, stored });
    }
}
