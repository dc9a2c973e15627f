//! Whether a call is taken, and when a refused one is to come back.

use crate::{
    CallRequest, Effect, Gate, Refusal, RefusalKind, Route, call_state::CallState,
    placing::Placement,
};
use rw_types::{Millis, RequestId};

/// Part of the time left that an estimate may fill.
const MARGIN: f64 = 0.9;
/// Factor on the wait ahead of a call, beside what was seen of late.
const CAUTION: f64 = 2.0;
/// Time in which a plain call ends, in milliseconds.
const PLAIN_MS: u64 = 1_500;
/// Time to come back after a refusal by a node that stops, in milliseconds: any other node will do.
const LEAVING_RETRY_MS: u64 = 50;
/// Longest time to come back that a refusal names, in milliseconds.
const LONGEST_RETRY_MS: u64 = 3_000;

impl Gate {
    pub(crate) fn arrive(
        &mut self,
        now: Millis,
        id: RequestId,
        ask: CallRequest,
        effects: &mut Vec<Effect>,
    ) {
        self.targets.remove_expired(now);
        let refusal = match self.admit(now, id, ask) {
            Ok(call) => {
                self.budget.record_call(now, &call.service);
                let at = self.calls.partition_point(|c| c.id < id);
                self.calls.insert(at, call);
                self.send_first(now, id, effects);
                return;
            }
            Err(refusal) => refusal,
        };
        effects.push(Effect::Refuse { id, refusal });
    }

    fn admit(
        &mut self,
        now: Millis,
        id: RequestId,
        ask: CallRequest,
    ) -> Result<CallState, Refusal> {
        let routing = self.routing.clone();
        if routing.version == 0 {
            return Err(self.refusal(RefusalKind::NotReady, self.settings.retry_ms));
        }
        let Some(route) = routing.find_route(&ask.host, &ask.path) else {
            return Err(self.refusal(RefusalKind::NoRoute, 0));
        };
        if self.ends_before(now, route) {
            return Err(self.refusal(RefusalKind::ShuttingDown, LEAVING_RETRY_MS));
        }
        let verdict = self
            .suspects
            .poisoned_ms(now, ask.fingerprint, self.settings.poison_ms);
        if let Some(left) = verdict {
            return Err(self.refusal(RefusalKind::Poison, left));
        }
        let Some(service) = self.pick_service(route) else {
            return Err(self.refusal(RefusalKind::NoTarget, self.settings.retry_ms));
        };
        let wait = ask.deadline_ms.unwrap_or(route.timeout_ms);
        let patience = match route.retry_policy.is_stream() {
            true => route.client_timeout_ms.min(wait),
            false => wait,
        };
        let patience = patience.min(route.timeout_ms);
        Ok(CallState {
            id,
            service,
            repeat: route.retry_policy,
            priority: route.priority,
            attempts: route.max_attempts.max(1),
            due: now.plus(wait.min(route.timeout_ms)),
            patience,
            first_due: now.plus(patience),
            runs: 0,
            sends: 0,
            tried: Vec::new(),
            unknown: false,
            kept: false,
            prefilled: false,
            current: None,
            handle: None,
            resume: ask.last_event,
            ask,
        })
    }

    /// Whether this process ends before a call on `route` would.
    fn ends_before(&self, now: Millis, route: &Route) -> bool {
        let left = self.end.map(|end| end.since(now));
        left.is_some_and(|left| route.retry_policy.is_stream() || left < PLAIN_MS)
    }

    fn pick_service(&mut self, route: &Route) -> Option<String> {
        let sum: u32 = route.traffic_split.iter().map(|s| s.weight).sum();
        if sum == 0 {
            return None;
        }
        let mut drawn = self.random.u32(..sum);
        let picked = route.traffic_split.iter().find(|s| {
            let here = drawn < s.weight;
            drawn = drawn.saturating_sub(s.weight);
            here
        });
        picked.map(|s| s.service.clone())
    }

    /// Milliseconds until a call's answer begins at `choice`, what passes it on the way included.
    pub(crate) fn begins_in(&self, call: &CallState, choice: &Placement) -> f64 {
        let overrun = self.overrun.factor(&call.service, call.priority);
        choice.work + (choice.first - choice.work) * overrun * CAUTION
    }

    /// Whether an answer that begins in `ms` is still awaited then.
    pub(crate) fn in_time(&self, now: Millis, call: &CallState, ms: f64) -> bool {
        ms <= call.first_due.since(now) as f64 * MARGIN
    }

    /// Time to come back after a refusal, spread so that callers don't return together.
    pub(crate) fn retry_ms(&mut self, wait_ms: f64) -> u64 {
        let least = self.settings.retry_ms;
        let wait = (wait_ms as u64).clamp(least, LONGEST_RETRY_MS);
        wait / 2 + self.random.u64(..=wait / 2)
    }
}
