//! Number of calls within a window of time.

use rw_types::Millis;
use std::collections::VecDeque;

/// Number of parts of a window that are counted apart.
const SLOTS: u64 = 100;

/// Calls counted by slots of time, so that their number doesn't determine the memory. The calls of a
/// slot expire together with its first one.
#[derive(Debug, Default, Clone)]
pub(crate) struct CallWindow {
    /// Time of the first call of each slot, and number of its calls.
    slots: VecDeque<(Millis, usize)>,
}

impl CallWindow {
    pub(crate) fn record(&mut self, now: Millis, window_ms: u64) {
        self.expire(now, window_ms);
        let slot_ms = window_ms / SLOTS;
        match self.slots.back_mut() {
            Some((start, calls)) if now.since(*start) <= slot_ms => *calls += 1,
            _ => self.slots.push_back((now, 1)),
        }
    }

    /// Takes back the latest call.
    pub(crate) fn withdraw(&mut self) {
        let Some((_, calls)) = self.slots.back_mut() else {
            return;
        };
        *calls -= 1;
        if *calls == 0 {
            self.slots.pop_back();
        }
    }

    /// Number of calls in the window that ends now.
    pub(crate) fn count(&mut self, now: Millis, window_ms: u64) -> usize {
        self.expire(now, window_ms);
        self.slots.iter().map(|(_, calls)| calls).sum()
    }

    fn expire(&mut self, now: Millis, window_ms: u64) {
        let is_old = |(start, _): &(Millis, usize)| now.since(*start) > window_ms;
        while self.slots.front().is_some_and(is_old) {
            self.slots.pop_front();
        }
    }
}
