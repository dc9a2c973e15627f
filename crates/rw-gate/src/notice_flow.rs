//! Notices of targets: who is leaving, who wants a pause, and who takes only so many requests.

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
        let has_new_rate = self.targets.set_rate(now, target, notice.rate);
        let leaves = notice.is_leaving
            && self
                .targets
                .set_leaving(now, target, LeavingSource::Response);
        if has_new_rate || leaves {
            self.publication.set_urgent();
            effects.push(Effect::PublishDigest);
        }
    }

    /// Whether a call that was assigned to a target may still be sent to it. A node that is slow, or a
    /// connection that takes long to open, may leave time for a notice in between.
    #[must_use]
    pub fn may_send(&self, now: Millis, target: &str, incarnation: u64) -> bool {
        let found = self.targets.find(target);
        let current = found.filter(|t| t.spec.incarnation == incarnation);
        !current.is_some_and(|t| {
            let state = t.availability(now);
            matches!(
                state,
                Availability::Leaving(_) | Availability::Paused { .. }
            )
        })
    }

    /// A request that belongs to no call was sent to the target at `addr`.
    pub(crate) fn record_request(&mut self, now: Millis, addr: &str) {
        let targets = self.targets.all().iter();
        let at_addr = targets.filter(|t| t.spec.addr == addr);
        let names: Vec<String> = at_addr.map(|t| t.spec.name.clone()).collect();
        for name in names {
            self.targets.record_request(now, &name);
        }
    }

    /// Milliseconds until this node may send to the first target of a service again; `None` if one is
    /// open, or none will be.
    pub(crate) fn wait_ms(&self, now: Millis, service: &str) -> Option<u64> {
        let targets = self.targets.all().iter();
        let targets = targets.filter(|t| t.spec.service == service);
        let mut first = None;
        for state in targets.map(|t| t.availability(now)) {
            match state {
                Availability::Open => return None,
                Availability::Paused { until } | Availability::RateLimited { until } => {
                    let left_ms = until.since(now);
                    first = Some(first.map_or(left_ms, |ms: u64| ms.min(left_ms)));
                }
                Availability::Gone | Availability::Leaving(_) => {}
            }
        }
        first
    }
}
