//! Notices of targets: who is leaving, and who wants a pause.

use crate::{Availability, Effect, Gate, LeavingSource, TargetIncarnation, TargetNotice};
use rw_core::pause_with_jitter;
use rw_types::Millis;

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
            let until = now.plus(pause_with_jitter(&mut self.rng, pause_ms));
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
}
