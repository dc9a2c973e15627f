//! Whether this node reaches the platform's API, or leaves its duties to other nodes.

use crate::{DutyOutcome, Effect, Gate};
use rw_types::Millis;

/// Time without any response from the API after which a node leaves its duties to others, in
/// milliseconds. The next holder gets the lease up to 8 s later, so that a shorter outage of the API is
/// better waited for: reports are due 10 s after the end of their window.
const MAX_SILENCE_MS: u64 = 6_000;
/// Calls without a response within that time.
const MIN_FAILURES: u32 = 2;
/// Time for which it does so at first, in milliseconds; it doubles while the API stays silent.
const MIN_ABSENCE_MS: u64 = 20_000;
/// Maximum of that time, in milliseconds.
const MAX_ABSENCE_MS: u64 = 160_000;

/// What this node's calls to the platform's API tell about its way there.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct DutyReach {
    /// Time of the first call without a response since the last response, and their number.
    failing_since: Option<Millis>,
    failures: u32,
    /// Time until which the duties are left to other nodes.
    absent_until: Millis,
    absence_ms: u64,
}

impl DutyReach {
    /// Whether the duties are left to other nodes.
    pub(crate) fn is_absent(&self, now: Millis) -> bool {
        now < self.absent_until
    }

    /// The API responded.
    fn record_response(&mut self) {
        *self = Self::default();
    }

    /// A call got no response, or no connection. Returns whether the duties are left to other nodes
    /// from now on.
    fn record_silence(&mut self, now: Millis) -> bool {
        let since = *self.failing_since.get_or_insert(now);
        self.failures += 1;
        if now.since(since) < MAX_SILENCE_MS || self.failures < MIN_FAILURES {
            return false;
        }
        self.failing_since = None;
        self.failures = 0;
        self.absence_ms = (self.absence_ms * 2).clamp(MIN_ABSENCE_MS, MAX_ABSENCE_MS);
        self.absent_until = now.plus(self.absence_ms);
        true
    }
}

impl Gate {
    /// A call to the platform's API ended.
    pub(crate) fn duty_ended(
        &mut self,
        now: Millis,
        outcome: DutyOutcome,
        effects: &mut Vec<Effect>,
    ) {
        match outcome {
            // It does not tell whether the API can be reached: most calls that weren't sent wait for
            // an earlier one.
            DutyOutcome::NotSent => {}
            DutyOutcome::Unknown => self.api_silent(now, effects),
            DutyOutcome::Fenced => {
                self.lease.refuse();
                self.duty_reach.record_response();
            }
            DutyOutcome::Accepted | DutyOutcome::Unavailable | DutyOutcome::RateLimited => {
                self.duty_reach.record_response();
            }
        }
    }

    /// The API did not respond to a call of this node, or could not be connected to.
    pub(crate) fn api_silent(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        if self.duty_reach.record_silence(now) {
            self.publication.set_urgent();
            effects.push(Effect::PublishDigest);
        }
    }
}
