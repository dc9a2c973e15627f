//! Retries of a call, its refusal, and its end.

use crate::{Delivered, Effect, Gate, Refusal, RefusalKind, call_state::CallState};
use rw_types::Millis;

/// Maximum number of dispatches of one call, including rejected ones.
const MAX_DISPATCHES: u32 = 4;

/// How a call ends whose response wasn't streamed.
enum Ending {
    /// With the complete response that the relay holds.
    Deliver,
    Refuse(Refusal),
}

impl Gate {
    /// Sends a call that was not run to another target, or refuses it.
    pub(crate) fn retry_or_refuse(&mut self, now: Millis, i: usize, effects: &mut Vec<Effect>) {
        if self.retry_anywhere(now, i, effects) {
            return;
        }
        if let Some(left_ms) = self.poisoned_ms(now, &self.calls[i].request) {
            return self.refuse_poisoned(i, left_ms, effects);
        }
        let kind = self.failure_kind(i, RefusalKind::Overloaded);
        self.refuse_without_target(now, i, kind, effects);
    }

    /// Sends a call to another target or, if this node reaches none, to another node; returns true if
    /// it was sent.
    pub(crate) fn retry_anywhere(
        &mut self,
        now: Millis,
        i: usize,
        effects: &mut Vec<Effect>,
    ) -> bool {
        match self.prefers_delegate(i) {
            true => self.delegate(now, i, effects) || self.retry(now, i, effects),
            false => {
                let may_be_cut_off = self.calls[i].unsent > 0 || self.may_doubt_wrongly(i);
                self.retry(now, i, effects) || (may_be_cut_off && self.delegate(now, i, effects))
            }
        }
    }

    /// Ends a call whose deadline has expired.
    pub(crate) fn refuse_late(
        &mut self,
        i: usize,
        delivered: Delivered,
        effects: &mut Vec<Effect>,
    ) {
        self.calls[i].delivered = delivered;
        self.refuse(i, self.refusal(RefusalKind::TimedOut, 0), effects);
    }

    /// Refuses a call that no target can take now.
    pub(crate) fn refuse_without_target(
        &mut self,
        now: Millis,
        i: usize,
        kind: RefusalKind,
        effects: &mut Vec<Effect>,
    ) {
        let service = self.calls[i].service.clone();
        let retry_ms = self.no_target_retry_ms(now, &service);
        self.refuse(i, self.refusal(kind, retry_ms), effects);
    }

    /// Refuses a call that crashes its targets; one that may have run gets no promise that it has
    /// not.
    pub(crate) fn refuse_poisoned(&mut self, i: usize, left_ms: u64, effects: &mut Vec<Effect>) {
        let kind = self.failure_kind(i, RefusalKind::Poison);
        self.refuse(i, self.refusal(kind, left_ms), effects);
    }

    /// How a call fails that can't be sent again: with `not_run` if no target has run it.
    pub(crate) fn failure_kind(&self, i: usize, not_run: RefusalKind) -> RefusalKind {
        match self.calls[i].outcome_unknown {
            true => RefusalKind::ResponseLost,
            false => not_run,
        }
    }

    /// Retries a call if its deadline, the retry budget and the available targets allow; returns
    /// true if it was sent.
    pub(crate) fn retry(&mut self, now: Millis, i: usize, effects: &mut Vec<Effect>) -> bool {
        let call = &self.calls[i];
        if call.dispatches >= MAX_DISPATCHES + u32::from(call.prefilled) || call.left_ms(now) == 0 {
            return false;
        }
        if self.poisoned_ms(now, &call.request).is_some() {
            return false;
        }
        if self.reachability.is_unreachable(&call.service) {
            return false;
        }
        let Some(placement) = self.placer(now).choose(call) else {
            return false;
        };
        let start_ms = self.start_estimate_ms(call, &placement);
        if !self.meets_deadline(now, call, start_ms) {
            return false;
        }
        // What no target got is no retry for any of them.
        if self.calls[i].arrivals > 0 && !self.take_retry(now, i) {
            return false;
        }
        if let Some(handle) = self.calls[i].handle.take() {
            effects.push(Effect::ReleaseHandle(handle));
        }
        self.calls[i].placing.leave();
        self.dispatch(now, i, placement, effects);
        true
    }

    /// Takes a retry from the budget of the call's service; false if there is none left.
    pub(crate) fn take_retry(&mut self, now: Millis, i: usize) -> bool {
        let service = self.calls[i].service.clone();
        let s = &self.settings;
        let (limits, window) = ((s.retry_ratio, s.retry_slack), s.retry_window_ms);
        let is_allowed = self
            .budget
            .allows(now, &service, limits, self.nodes, window);
        if is_allowed {
            self.budget.record_retry(now, &service);
        }
        is_allowed
    }

    pub(crate) fn refuse_with_estimate(
        &mut self,
        i: usize,
        kind: RefusalKind,
        estimate_ms: f64,
        effects: &mut Vec<Effect>,
    ) {
        let retry_ms = self.retry_ms(estimate_ms);
        let refusal = Refusal {
            kind,
            retry_ms,
            estimate_ms: estimate_ms as u64,
        };
        self.refuse(i, refusal, effects);
    }

    /// Ends a call with the complete response of its last run.
    pub(crate) fn deliver(&mut self, i: usize, effects: &mut Vec<Effect>) {
        self.end(i, Ending::Deliver, effects);
    }

    /// Ends a call without a response of its last run.
    pub(crate) fn refuse(&mut self, i: usize, refusal: Refusal, effects: &mut Vec<Effect>) {
        // If the call has run, the response of a target tells the caller more than a refusal.
        let ending = match self.calls[i].kept_response {
            true => Ending::Deliver,
            false => Ending::Refuse(refusal),
        };
        self.record_shortage(i, refusal.kind);
        self.end(i, ending, effects);
    }

    /// Ends a call. A response that has begun can only be cut off: another one, or its beginning, would
    /// be written into it.
    fn end(&mut self, i: usize, ending: Ending, effects: &mut Vec<Effect>) {
        let call = &self.calls[i];
        let id = call.id;
        let truncated = Ending::Refuse(self.refusal(RefusalKind::Truncated, 0));
        let ending = match call.delivered {
            Delivered::Nothing => ending,
            Delivered::Events(_) | Delivered::Part => truncated,
        };
        effects.push(match ending {
            Ending::Deliver => Effect::Deliver { id },
            Ending::Refuse(refusal) => Effect::Refuse { id, refusal },
        });
        self.finish(i, effects);
    }

    /// Removes a call that has its final response.
    pub(crate) fn finish(&mut self, i: usize, effects: &mut Vec<Effect>) {
        let call: CallState = self.calls.remove(i);
        call.delegate.iter().for_each(|vm| self.delegates.ended(vm));
        // It is not known to have been taken. Releasing one that was does no harm, while an unused
        // one would hold memory until it expires.
        effects.extend(call.handle.map(Effect::ReleaseHandle));
        effects.extend(call.placing.into_handle().map(Effect::ReleaseHandle));
    }
}
