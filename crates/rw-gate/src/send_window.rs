//! When a node may send requests to a target that has named a rate limit.

use rw_types::Millis;

/// Length of a slot in milliseconds.
const SLOT_MS: u64 = 1_000;

/// Recurring slots on the clock of this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Slots {
    /// Time between the starts of two slots, in milliseconds.
    pub period_ms: u64,
    /// Start of the first slot, in milliseconds.
    pub phase_ms: u64,
}

impl Slots {
    /// The first time from `at` on that is in a slot.
    fn next(self, at: Millis) -> Millis {
        let period_ms = self.period_ms.max(SLOT_MS);
        let since_start = (at.0 + period_ms - self.phase_ms % period_ms) % period_ms;
        match since_start < SLOT_MS {
            true => at,
            false => at.plus(period_ms - since_start),
        }
    }
}

/// Times at which requests may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SendWindow {
    /// Earliest time.
    pub from: Millis,
    /// Set if requests may be sent in these slots only.
    pub slots: Option<Slots>,
}

impl SendWindow {
    /// The next time at which a request may be sent: `now` if one may be sent now.
    #[must_use]
    pub fn next(&self, now: Millis) -> Millis {
        let at = self.from.max(now);
        self.slots.map_or(at, |slots| slots.next(at))
    }
}
