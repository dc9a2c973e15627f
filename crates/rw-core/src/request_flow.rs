//! Handling of a request from its arrival to its final response.

use crate::{
    AttemptOutcome, Call, Claim, ClaimState, Effect, Node, Operation, Phase, RecordedResponse,
    Request, Ticket, admit::Rejection, crash_flow::refuse,
};
use rw_types::{AttemptId, Millis, Outcome, Refusal, RefusalKind, RequestId, Version};

impl Node {
    pub(crate) fn arrive(&mut self, now: Millis, id: RequestId, call: Call, out: &mut Vec<Effect>) {
        if call.needs_claim()
            && let Some(ticket) = call.key.as_deref().and_then(Ticket::parse)
        {
            return self.arrive_ticket(now, id, call, ticket, out);
        }
        if let Some(kind) = self.refuse_early(now, &call) {
            // An earlier request with this key may have run.
            let outcome = if call.needs_claim() {
                Outcome::Unknown
            } else {
                Outcome::NotRun
            };
            let poisoned_ms = self.poisoned_for(now, call.fingerprint);
            return out.push(match (kind, poisoned_ms) {
                (RefusalKind::Poison, Some(retry_ms)) => refuse(id, kind, outcome, retry_ms),
                _ => self.refusal(id, kind, outcome),
            });
        }
        let claim = call.needs_claim().then(|| self.new_claim(id, &call));
        let is_suspect = call.is_idempotent() && self.is_suspect(now, call.fingerprint);
        if !self.insert_request(Request::new(id, call)) {
            return;
        }
        match claim {
            // A peer may have recorded further crashes by this body.
            None if is_suspect => self.share_suspects(id, out),
            None => self.dispatch(now, id, None, out),
            Some(claim) => self.write_claim(id, claim, Version(0), out),
        }
    }

    pub(crate) fn insert_request(&mut self, request: Request) -> bool {
        match self.requests.binary_search_by_key(&request.id, |r| r.id) {
            Ok(_) => false,
            Err(i) => {
                self.requests.insert(i, request);
                true
            }
        }
    }

    pub(crate) fn refuse_early(&self, now: Millis, call: &Call) -> Option<RefusalKind> {
        if self.closing {
            return Some(RefusalKind::ShuttingDown);
        }
        if self.poisoned_for(now, call.fingerprint).is_some() {
            return Some(RefusalKind::Poison);
        }
        match &call.operation {
            Operation::Generate { model, .. } if self.config.model(model).is_none() => {
                Some(RefusalKind::UnknownModel)
            }
            Operation::Service { name, .. } if self.config.service(name).is_none() => {
                Some(RefusalKind::UnknownService)
            }
            _ => None,
        }
    }

    pub(crate) fn dispatch(
        &mut self,
        now: Millis,
        id: RequestId,
        claim: Option<(Claim, Version)>,
        out: &mut Vec<Effect>,
    ) {
        let Some(i) = self.request_index(id) else {
            return;
        };
        let request = &self.requests[i];
        // A stream that has started is resumed even after its deadline.
        if now >= request.call.deadline && request.tokens == 0 {
            let rejection = self.rejection(RefusalKind::TooLate);
            return self.reject(now, id, claim, rejection, out);
        }
        let choice = match self.choose(now, i) {
            Ok(choice) => choice,
            Err(rejection) => return self.reject(now, id, claim, rejection, out),
        };
        let attempt = self.new_attempt();
        self.record_sent(now, i, &choice);
        let target = self.targets.at_mut(choice.index);
        let name = target.spec.name.clone();
        let addr = target.spec.addr.clone();
        let request = &mut self.requests[i];
        request.attempts += 1;
        request.tried.push(name.clone());
        request.phase = Phase::Running {
            attempt,
            target: name.clone(),
            claim,
        };
        let resume = request.tokens;
        out.push(Effect::Dispatch {
            id,
            attempt,
            target: name,
            addr,
            resume,
        });
    }

    /// A rejection with the default retry delay.
    fn rejection(&self, kind: RefusalKind) -> Rejection {
        let retry_ms = self.settings.retry_ms;
        Rejection { kind, retry_ms }
    }

    /// Refuses a request that is not dispatched, or not dispatched again.
    fn reject(
        &mut self,
        now: Millis,
        id: RequestId,
        claim: Option<(Claim, Version)>,
        rejection: Rejection,
        out: &mut Vec<Effect>,
    ) {
        let Some(i) = self.request_index(id) else {
            return;
        };
        let outcome = if self.requests[i].may_have_run {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        };
        self.settle(now, id, claim, ClaimState::Released, out);
        self.remove_request(id);
        let refusal = Refusal {
            kind: rejection.kind,
            outcome,
            retry_ms: rejection.retry_ms,
        };
        out.push(Effect::Refuse { id, refusal });
    }

    pub(crate) fn end_attempt(
        &mut self,
        now: Millis,
        id: RequestId,
        attempt: AttemptId,
        outcome: AttemptOutcome,
        out: &mut Vec<Effect>,
    ) {
        let Some(i) = self.request_index(id) else {
            return;
        };
        let Phase::Running {
            attempt: current,
            target,
            claim,
        } = &self.requests[i].phase
        else {
            return;
        };
        if *current != attempt {
            return;
        }
        let (target, claim) = (target.clone(), claim.clone());
        self.record_ended(now, &target, id, Some(&outcome));
        match outcome {
            AttemptOutcome::Complete {
                status,
                content_type,
                body,
            } => {
                self.budget.credit();
                let response = RecordedResponse {
                    status,
                    content_type,
                    body,
                };
                self.settle(now, id, claim, ClaimState::Done(response), out);
                self.remove_request(id);
                out.push(Effect::Deliver { id });
            }
            AttemptOutcome::NotSent | AttemptOutcome::Rejected => self.retry(now, id, claim, out),
            AttemptOutcome::Broken { tokens, crashed } => {
                self.requests[i].tokens = tokens;
                self.requests[i].may_have_run = true;
                if crashed && self.record_target_crash(now, id, &target, out) {
                    return;
                }
                if self.requests[i].call.is_idempotent() {
                    return self.retry(now, id, claim, out);
                }
                self.settle(now, id, claim, ClaimState::Lost, out);
                self.finish(id, RefusalKind::ResponseLost, Outcome::Unknown, out);
            }
        }
    }

    /// Dispatches again after an attempt that did not run or may safely run twice, unless the body is
    /// poisoned or attempts or retry budget are exhausted.
    pub(crate) fn retry(
        &mut self,
        now: Millis,
        id: RequestId,
        claim: Option<(Claim, Version)>,
        out: &mut Vec<Effect>,
    ) {
        let Some(i) = self.request_index(id) else {
            return;
        };
        let fingerprint = self.requests[i].call.fingerprint;
        if let Some(poisoned_ms) = self.poisoned_for(now, fingerprint) {
            // Other nodes may have recorded crashes meanwhile, so this is checked however the attempt
            // ended.
            let rejection = Rejection {
                kind: RefusalKind::Poison,
                retry_ms: poisoned_ms,
            };
            return self.reject(now, id, claim, rejection, out);
        }
        if self.requests[i].attempts >= self.settings.max_attempts {
            // Its targets may be down because other requests with this body crashed them. Peers may
            // already know, so suspects are exchanged before it is refused with `no-target`.
            let is_suspect = self.is_suspect(now, fingerprint) && claim.is_none();
            if is_suspect && !self.requests[i].suspects_shared {
                self.requests[i].suspects_shared = true;
                return self.share_suspects(id, out);
            }
            let rejection = self.rejection(RefusalKind::NoTarget);
            return self.reject(now, id, claim, rejection, out);
        }
        // The budget is empty when most requests fail; another dispatch would only add load.
        if !self.budget.try_take() {
            let rejection = self.rejection(RefusalKind::Overloaded);
            return self.reject(now, id, claim, rejection, out);
        }
        self.dispatch(now, id, claim, out);
    }

    pub(crate) fn caller_disconnected(
        &mut self,
        now: Millis,
        id: RequestId,
        out: &mut Vec<Effect>,
    ) {
        let Some(i) = self.request_index(id) else {
            return;
        };
        // A non-idempotent run continues without its caller, so that a retry gets its response.
        if !self.requests[i].call.is_idempotent() {
            return;
        }
        let Phase::Running {
            attempt, target, ..
        } = self.requests[i].phase.clone()
        else {
            return;
        };
        self.record_ended(now, &target, id, None);
        self.remove_request(id);
        out.push(Effect::Cancel { id, attempt });
    }

    pub(crate) fn replay(
        &mut self,
        id: RequestId,
        response: RecordedResponse,
        out: &mut Vec<Effect>,
    ) {
        self.remove_request(id);
        out.push(Effect::Replay { id, response });
    }

    pub(crate) fn finish(
        &mut self,
        id: RequestId,
        kind: RefusalKind,
        outcome: Outcome,
        out: &mut Vec<Effect>,
    ) {
        self.remove_request(id);
        out.push(self.refusal(id, kind, outcome));
    }

    pub(crate) fn remove_request(&mut self, id: RequestId) {
        if let Some(i) = self.request_index(id) {
            self.requests.remove(i);
        }
    }

    pub(crate) fn refusal(&self, id: RequestId, kind: RefusalKind, outcome: Outcome) -> Effect {
        let retry_ms = match kind {
            RefusalKind::UnknownKey
            | RefusalKind::UnknownModel
            | RefusalKind::UnknownService
            | RefusalKind::KeyReused
            | RefusalKind::TicketExpired
            | RefusalKind::RunLost => 0,
            _ => self.settings.retry_ms,
        };
        refuse(id, kind, outcome, retry_ms)
    }
}
