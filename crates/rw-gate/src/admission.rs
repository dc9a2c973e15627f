//! Admission of calls, and retry times of refused ones.

use crate::{
    CallRequest, Delivered, Effect, Gate, Refusal, RefusalKind, Route, call_state::CallState,
    placement::Placement, scheduling::Placing,
};
use rw_types::{Millis, RequestId};

/// Fraction of the remaining time that the estimate may use.
const DEADLINE_FRACTION: f64 = 0.9;
/// Safety factor on the wait ahead of a call, in addition to the measured overrun.
const WAIT_SAFETY_FACTOR: f64 = 2.0;
/// Retry time in a refusal for a reason that concerns this node alone, in milliseconds. It is short,
/// because another node can serve the call.
pub(crate) const OTHER_NODE_RETRY_MS: u64 = 50;
/// Minimum interval over which callers return after a pause, in milliseconds.
const MIN_RETURN_SPREAD_MS: u64 = 100;
/// Maximum retry time named in a refusal, in milliseconds.
const MAX_RETRY_MS: u64 = 3_000;

impl Gate {
    pub(crate) fn handle_arrival(
        &mut self,
        now: Millis,
        id: RequestId,
        request: CallRequest,
        effects: &mut Vec<Effect>,
    ) {
        self.targets.remove_expired(now);
        let refusal = match self.admit(now, id, request) {
            Ok(call) => {
                let delegated = call.request.delegated.as_ref();
                if !delegated.is_some_and(|d| d.is_counted) {
                    let window_ms = self.settings.retry_window_ms;
                    self.budget.record_call(now, &call.service, window_ms);
                }
                let at = self.calls.partition_point(|c| c.id < id);
                self.calls.insert(at, call);
                self.dispatch_first(now, id, effects);
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
        request: CallRequest,
    ) -> Result<CallState, Refusal> {
        let routing = self.routing.clone();
        // A node that passes a call on may know a newer configuration.
        let needed = request.delegated.as_ref().map_or(1, |d| d.version.max(1));
        if routing.version < needed {
            return Err(self.refusal(RefusalKind::NotReady, self.settings.retry_ms));
        }
        let Some(route) = routing.find_route(&request.host, &request.path) else {
            return Err(self.unknown_route(now));
        };
        let account = self.identify(now, route, &request);
        let account = account.map(|a| a.map(|a| (a.name.clone(), a.priority)));
        let account = account.map_err(|kind| self.key_refusal(kind))?;
        let (account, priority) = account.map_or((None, None), |(n, p)| (Some(n), p));
        let wait_ms = request.deadline_ms.unwrap_or(route.timeout_ms);
        let timeout_ms = wait_ms.min(route.timeout_ms);
        if self.stops_before(now, route, timeout_ms) {
            return Err(self.refusal(RefusalKind::ShuttingDown, OTHER_NODE_RETRY_MS));
        }
        if let Some(left_ms) = self.poisoned_ms(now, &request) {
            return Err(self.refusal(RefusalKind::Poison, left_ms));
        }
        let delegated_to = delegated_service(route, &request);
        let began_at = || self.origin_service(route, &request);
        let service = delegated_to.or_else(began_at).map(str::to_owned);
        let Some(service) = service.or_else(|| self.pick_service(route)) else {
            return Err(self.refusal(RefusalKind::NoTarget, self.settings.retry_ms));
        };
        let software = self.required_version(now, route, &request);
        let software =
            software.map_err(|kind| self.refusal(kind, self.origin_retry_ms(now, route)))?;
        let client_timeout_ms = match route.retry_policy.is_stream() {
            true => route.client_timeout_ms.min(wait_ms),
            false => wait_ms,
        };
        let client_timeout_ms = client_timeout_ms.min(route.timeout_ms);
        Ok(CallState {
            id,
            service,
            retry_policy: route.retry_policy,
            priority: priority.unwrap_or(route.priority),
            account,
            hides_credential: routing.has_accounts,
            is_counted: false,
            max_attempts: route.max_attempts.max(1),
            deadline: now.plus(timeout_ms),
            client_timeout_ms,
            client_deadline: now.plus(client_timeout_ms),
            runs: request.delegated.as_ref().map_or(0, |d| d.runs),
            dispatches: 0,
            arrivals: 0,
            unsent: 0,
            delegate: None,
            delegates: Vec::new(),
            excluded: Vec::new(),
            outcome_unknown: false,
            kept_response: false,
            prefilled: false,
            active: None,
            handle: None,
            delivered: Delivered::Nothing,
            software,
            placing: Placing::default(),
            request,
        })
    }

    /// The refusal of a call whose path no route matches. The configuration may be from before the route.
    fn unknown_route(&self, now: Millis) -> Refusal {
        match self.knows_rows(now) {
            true => self.refusal(RefusalKind::NoRoute, 0),
            false => self.refusal(RefusalKind::NotReady, self.settings.retry_ms),
        }
    }

    /// Milliseconds for which a request is refused because it, or others with a part of its prompt,
    /// crashed their targets.
    pub(crate) fn poisoned_ms(&self, now: Millis, request: &CallRequest) -> Option<u64> {
        let ttl_ms = self.settings.poison_ms;
        let whole = self.suspects.poisoned_ms(now, request.fingerprint, ttl_ms);
        let parts = request.prompt.as_ref().map_or(&[][..], |p| &p.parts);
        whole.max(self.part_suspects.refused_ms(now, parts, ttl_ms))
    }

    fn pick_service(&mut self, route: &Route) -> Option<String> {
        let sum: u32 = route.traffic_split.iter().map(|s| s.weight).sum();
        if sum == 0 {
            return None;
        }
        let mut drawn = self.rng.u32(..sum);
        let picked = route.traffic_split.iter().find(|s| {
            let is_picked = drawn < s.weight;
            drawn = drawn.saturating_sub(s.weight);
            is_picked
        });
        picked.map(|s| s.service.clone())
    }

    /// Estimated milliseconds until the response to a call starts at `placement`, including delays
    /// by more urgent calls.
    pub(crate) fn start_estimate_ms(&self, call: &CallState, placement: &Placement) -> f64 {
        let overrun = self.overrun.factor(&call.service, call.priority);
        placement.busy_ms + (placement.start_ms - placement.busy_ms) * overrun * WAIT_SAFETY_FACTOR
    }

    /// Like [`Gate::start_estimate_ms`], for a scheduler. It knows the queue, so the safety factor for
    /// unknown work doesn't apply.
    pub(crate) fn scheduled_estimate_ms(&self, call: &CallState, placement: &Placement) -> f64 {
        let overrun = self.overrun.factor(&call.service, call.priority);
        placement.busy_ms + (placement.start_ms - placement.busy_ms) * overrun
    }

    /// Whether the caller is still waiting when a response starts after `ms` milliseconds.
    pub(crate) fn meets_deadline(&self, now: Millis, call: &CallState, ms: f64) -> bool {
        ms <= self.allowed_start_ms(now, call)
    }

    /// Maximum estimate of the start of a response with which a call is admitted, in milliseconds.
    pub(crate) fn allowed_start_ms(&self, now: Millis, call: &CallState) -> f64 {
        call.client_deadline.since(now) as f64 * DEADLINE_FRACTION
    }

    /// Retry time of a call that waits `excess_ms` milliseconds too long in a queue that drains by one
    /// millisecond of work in each: that time, and up to half as much again, over which callers
    /// spread.
    pub(crate) fn drain_retry_ms(&mut self, excess_ms: f64) -> u64 {
        let min_ms = MIN_RETURN_SPREAD_MS as f64;
        let drained_ms = excess_ms.clamp(min_ms, MAX_RETRY_MS as f64 / 1.5) as u64;
        drained_ms + self.rng.u64(..=drained_ms / 2)
    }

    /// Retry time of a call that takes up a stream of unknown origin; zero if it stays unknown, because
    /// this node knows all versions and the other nodes have been asked.
    fn origin_retry_ms(&self, now: Millis, route: &Route) -> u64 {
        let knows_versions = self.software.is_current(now) || self.has_several_versions(now, route);
        match self.software.has_records() && knows_versions {
            true => 0,
            false => OTHER_NODE_RETRY_MS,
        }
    }

    /// Retry time of a call that no target can take: the end of the first wait, if all targets of the
    /// service that stay are paused or have had this node's part of their rate limits.
    pub(crate) fn no_target_retry_ms(&mut self, now: Millis, service: &str) -> u64 {
        match self.wait_ms(now, service) {
            Some(left_ms) => {
                let spread_ms = (left_ms / 4).max(MIN_RETURN_SPREAD_MS);
                (left_ms + self.rng.u64(..=spread_ms)).min(MAX_RETRY_MS)
            }
            None => self.retry_ms(0.0),
        }
    }

    /// Retry time in milliseconds, with jitter so that callers do not retry at the same moment.
    pub(crate) fn retry_ms(&mut self, wait_ms: f64) -> u64 {
        let min = self.settings.retry_ms;
        let delay = (wait_ms as u64).clamp(min, MAX_RETRY_MS);
        delay / 2 + self.rng.u64(..=delay / 2)
    }
}

/// The service that the node which passed on a call has chosen for it, if `route` still has it.
fn delegated_service<'a>(route: &'a Route, request: &CallRequest) -> Option<&'a str> {
    let wanted = request.delegated.as_ref()?.service.as_str();
    let mut services = route.traffic_split.iter().map(|s| s.service.as_str());
    services.find(|service| *service == wanted)
}
