//! Notices of targets: who is leaving, and who wants a pause.

use crate::{Availability, Effect, Gate, LeavingSource, TargetIncarnation, TargetNotice};
use rw_types::Millis;

/// Longest pause that a target gets, in milliseconds. One that still wants a pause then says so
/// again.
pub const MAX_PAUSE_MS: u64 = 300_000;
/// Fraction of a pause by which it is extended at random, so that nodes don't return at once.
const PAUSE_JITTER: f64 = 0.1;
/// Bounds of that extension in milliseconds: minimum and maximum.
const JITTER_BOUNDS_MS: (u64, u64) = (50, 1_000);

impl Gate {
    /// A target said something about itself with a response.
    pub(crate) fn notice_received(
        &mut self,
        now: Millis,
        target: &TargetIncarnation,
        notice: TargetNotice,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(pause_ms) = notice.pause_ms.filter(|ms| *ms > 0) {
            let until = now.plus(self.pause_with_jitter(pause_ms));
            self.targets.pause(now, target, until);
        }
        if notice.is_leaving
            && self
                .targets
                .set_leaving(now, target, LeavingSource::Response)
        {
            self.publication.set_urgent();
            effects.push(Effect::PublishDigest);
        }
    }

    /// Milliseconds until the first target of a service returns from its pause; `None` if one is
    /// open, or none is paused.
    pub(crate) fn pause_left_ms(&self, now: Millis, service: &str) -> Option<u64> {
        let targets = self.targets.all().iter();
        let targets = targets.filter(|t| t.spec.service == service);
        let mut first = None;
        for state in targets.map(|t| t.availability(now)) {
            match state {
                Availability::Open => return None,
                Availability::Paused { until } => {
                    let left_ms = until.since(now);
                    first = Some(first.map_or(left_ms, |ms: u64| ms.min(left_ms)));
                }
                Availability::Gone | Availability::Leaving(_) => {}
            }
        }
        first
    }

    fn pause_with_jitter(&mut self, pause_ms: u64) -> u64 {
        let pause_ms = pause_ms.min(MAX_PAUSE_MS);
        let jitter_ms = (pause_ms as f64 * PAUSE_JITTER) as u64;
        let jitter_ms = jitter_ms.clamp(JITTER_BOUNDS_MS.0, JITTER_BOUNDS_MS.1);
        pause_ms + self.rng.u64(1..=jitter_ms)
    }
}
