//! What a caller had of a response before an exchange that failed, and has after it.

use crate::response_progress::ResponseProgress;

/// What a caller has of a response when an exchange begins.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DeliveredBefore {
    /// Whether the response has begun.
    is_begun: bool,
    /// Event after which the exchange goes on.
    last_event: Option<u64>,
}

impl DeliveredBefore {
    /// Sets `progress` to the begin of an exchange that goes on after `last_event`.
    pub(crate) fn new(progress: &mut ResponseProgress, last_event: Option<u64>) -> Self {
        progress.last_event = last_event;
        progress.framing = None;
        Self {
            is_begun: progress.out.is_started(),
            last_event,
        }
    }

    /// The last event that the caller has after the exchange, if the response has begun. `None` if it
    /// began with bytes that aren't events with identifiers, which no other exchange can continue.
    pub(crate) fn part(self, progress: &ResponseProgress) -> Option<Option<u64>> {
        if !progress.out.is_started() {
            return Some(None);
        }
        let has_events = self.is_begun || progress.last_event > self.last_event;
        has_events.then(|| Some(progress.last_event.unwrap_or(0)))
    }
}
