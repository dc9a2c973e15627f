//! What a node believes of a target's prefix cache.

use rw_types::{CacheEvent, Millis};

/// How long a piece is believed to be cached without a word of it, in milliseconds.
const TRUST: u64 = 60_000;
/// How long it is believed after events were lost, in milliseconds.
const TRUST_GAP: u64 = 10_000;
/// Most pieces kept for a target.
const PIECES: usize = 2_048;

#[derive(Debug, Clone)]
struct Seen {
    piece: u64,
    until: Millis,
}

/// Pieces believed to be cached, by events and by this node's own requests; beliefs age.
#[derive(Debug, Clone, Default)]
pub struct CacheView {
    /// Sorted by piece.
    seen: Vec<Seen>,
    /// Number of the latest event taken.
    seq: u64,
}

impl CacheView {
    /// Takes the latest events of a report, oldest first.
    pub fn apply(&mut self, now: Millis, events: &[CacheEvent]) {
        let Some(first) = events.first() else { return };
        if first.seq > self.seq + 1 {
            let until = now.plus(TRUST_GAP);
            for seen in &mut self.seen {
                seen.until = seen.until.min(until);
            }
        }
        let known = self.seq;
        for event in events.iter().filter(|e| e.seq > known) {
            self.seq = event.seq;
            match (self.find(event.block), event.stored) {
                (_, true) => self.believe(now, event.block),
                (Ok(i), false) => {
                    self.seen.remove(i);
                }
                (Err(_), false) => {}
            }
        }
    }

    /// A request with these pieces was sent to the target.
    pub fn record_sent(&mut self, now: Millis, pieces: &[u64]) {
        for piece in pieces {
            self.believe(now, *piece);
        }
    }

    /// Number of leading `pieces` believed to be cached.
    #[must_use]
    pub fn hits(&self, now: Millis, pieces: &[u64]) -> usize {
        let held = |piece: &&u64| self.find(**piece).is_ok_and(|i| self.seen[i].until > now);
        pieces.iter().take_while(held).count()
    }

    fn believe(&mut self, now: Millis, piece: u64) {
        let until = now.plus(TRUST);
        match self.find(piece) {
            Ok(i) => self.seen[i].until = until,
            Err(i) => {
                self.seen.insert(i, Seen { piece, until });
                if self.seen.len() > PIECES {
                    self.forget(now);
                }
            }
        }
    }

    /// Drops what is no longer believed, or the older half.
    fn forget(&mut self, now: Millis) {
        let mut untils: Vec<Millis> = self.seen.iter().map(|s| s.until).collect();
        untils.sort();
        let cut = untils[untils.len() / 2].max(now);
        self.seen.retain(|s| s.until > cut);
    }

    fn find(&self, piece: u64) -> Result<usize, usize> {
        self.seen.binary_search_by_key(&piece, |s| s.piece)
    }
}
