//! Planned stop of this process.

use crate::{
    Delivered, DispatchMode, Effect, Gate, RefusalKind, Route, admission::OTHER_NODE_RETRY_MS,
    call_state::CallState,
};
use rw_types::{Millis, RequestId};

/// Time that a response may still take after the deadline of its call, in milliseconds.
const RESPONSE_MARGIN_MS: u64 = 100;

/// Times of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Shutdown {
    /// Time at which the stop was requested.
    pub(crate) begun: Millis,
    /// Time by which the load balancer has taken the process out of rotation.
    pub(crate) drained: Millis,
    /// Time at which it exits.
    pub(crate) end: Millis,
}

impl Shutdown {
    /// Whether a stream may begin, whose length isn't known: while the load balancer still sends calls,
    /// and most of the time until the exit is left.
    fn admits_streams(self, now: Millis) -> bool {
        now < self.drained && now.since(self.begun) < self.end.since(now)
    }
}

impl Gate {
    /// Whether this process is stopping and the load balancer sends it nothing more.
    pub(crate) fn is_drained(&self, now: Millis) -> bool {
        self.shutdown.is_some_and(|s| now >= s.drained)
    }

    /// Whether this process may exit before a call on `route` ends, which has `timeout_ms`
    /// milliseconds. A stream rarely takes all of its time.
    pub(crate) fn stops_before(&self, now: Millis, route: &Route, timeout_ms: u64) -> bool {
        let Some(shutdown) = self.shutdown else {
            return false;
        };
        let needed_ms = timeout_ms.saturating_add(RESPONSE_MARGIN_MS);
        match route.retry_policy.is_stream() {
            true => !shutdown.admits_streams(now),
            false => shutdown.end.since(now) < needed_ms,
        }
    }

    /// Ends a call because this process exits. One that no target can have run is refused with that
    /// promise.
    pub(crate) fn interrupt_call(
        &mut self,
        now: Millis,
        id: RequestId,
        delivered: Delivered,
        effects: &mut Vec<Effect>,
    ) {
        let Some(i) = self.call_index(id) else {
            return;
        };
        let call = &mut self.calls[i];
        call.delivered = delivered;
        call.outcome_unknown |= may_run(call);
        if let Some(current) = call.active.take() {
            self.release(now, id, &current);
            self.charge_slot(now, i, &current);
        }
        let kind = self.failure_kind(i, RefusalKind::ShuttingDown);
        let refusal = self.refusal(kind, OTHER_NODE_RETRY_MS);
        self.refuse(i, refusal, effects);
    }
}

/// Whether a target may run what was sent of a call. A prefill is no run.
fn may_run(call: &CallState) -> bool {
    let active = call.active.as_ref();
    let is_running = active.is_some_and(|a| a.mode != DispatchMode::Prefill);
    is_running || call.delegate.is_some()
}
