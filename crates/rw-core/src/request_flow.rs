//! A request's way from arrival to its final answer.

use crate::{
    Answer, AttemptEnd, Call, Claim, ClaimRead, ClaimState, Effect, Node, Phase, Request, Work,
    admit::Turned, claim_key,
};
use rw_types::{AttemptId, Millis, Outcome, Refusal, RefusalKind, RequestId, Version};

impl Node {
    pub(crate) fn arrive(&mut self, now: Millis, id: RequestId, call: Call, out: &mut Vec<Effect>) {
        if let Some(kind) = self.refuse_early(&call) {
            return out.push(self.refusal(id, kind, Outcome::NotRun));
        }
        let claim = call.needs_claim().then(|| self.new_claim(id, &call));
        let request = Request {
            id,
            phase: Phase::Running {
                attempt: AttemptId(0),
                target: String::new(),
                claim: None,
            },
            call,
            attempts: 0,
            tried: Vec::new(),
            tokens: 0,
        };
        match self.requests.binary_search_by_key(&id, |r| r.id) {
            Ok(_) => return,
            Err(i) => self.requests.insert(i, request),
        }
        match claim {
            None => self.dispatch(now, id, None, out),
            Some(claim) => self.write_claim(id, claim, Version(0), out),
        }
    }

    fn refuse_early(&self, call: &Call) -> Option<RefusalKind> {
        if self.leaving {
            return Some(RefusalKind::Leaving);
        }
        match &call.work {
            Work::Generate { model, .. } if self.config.model(model).is_none() => {
                Some(RefusalKind::UnknownModel)
            }
            Work::Service { name, .. } if self.config.service(name).is_none() => {
                Some(RefusalKind::UnknownService)
            }
            _ => None,
        }
    }

    fn new_claim(&self, id: RequestId, call: &Call) -> Claim {
        Claim {
            vm: self.settings.vm.clone(),
            boot: self.settings.boot,
            request: id,
            fingerprint: call.fingerprint,
            state: ClaimState::Held,
        }
    }

    fn write_claim(
        &mut self,
        id: RequestId,
        claim: Claim,
        version: Version,
        out: &mut Vec<Effect>,
    ) {
        let Some(i) = self.request_index(id) else {
            return;
        };
        let request = &mut self.requests[i];
        request.phase = Phase::Claiming {
            claim: claim.clone(),
        };
        let key = request_key(&request.call);
        out.push(Effect::WriteClaim {
            id,
            key,
            version,
            claim,
        });
    }

    pub(crate) fn claim_read(
        &mut self,
        now: Millis,
        id: RequestId,
        read: ClaimRead,
        out: &mut Vec<Effect>,
    ) {
        let Some(i) = self.request_index(id) else {
            return;
        };
        let Phase::Claiming { claim } = &self.requests[i].phase else {
            return;
        };
        let mine = claim.clone();
        match read {
            ClaimRead::Written(version) => self.dispatch(now, id, Some((mine, version)), out),
            ClaimRead::Lost => {
                let key = request_key(&self.requests[i].call);
                out.push(Effect::ReadClaim { id, key });
            }
            // An earlier send of the key may have run, and only the table could tell.
            ClaimRead::Untaken | ClaimRead::Unreadable => {
                self.finish(id, RefusalKind::StoreDown, Outcome::Unknown, out);
            }
            ClaimRead::Found(None) => self.write_claim(id, mine, Version(0), out),
            ClaimRead::Found(Some((found, version))) => {
                self.claim_found(now, id, &mine, found, version, out);
            }
        }
    }

    fn claim_found(
        &mut self,
        now: Millis,
        id: RequestId,
        mine: &Claim,
        found: Claim,
        version: Version,
        out: &mut Vec<Effect>,
    ) {
        if found == *mine {
            return self.dispatch(now, id, Some((found, version)), out);
        }
        if found.fingerprint != mine.fingerprint {
            return self.finish(id, RefusalKind::KeyReused, Outcome::NotRun, out);
        }
        match found.state {
            ClaimState::Held => self.finish(id, RefusalKind::InProgress, Outcome::Unknown, out),
            ClaimState::Lost => self.finish(id, RefusalKind::RunLost, Outcome::Unknown, out),
            ClaimState::Released => self.write_claim(id, mine.clone(), version, out),
            ClaimState::Done(answer) => {
                self.take_request(id);
                out.push(Effect::Replay { id, answer });
            }
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
        let choice = match self.choose(now, i) {
            Ok(choice) => choice,
            Err(turned) => return self.turn_away(id, claim, turned, out),
        };
        let attempt = self.new_attempt();
        self.note_sent(now, i, &choice);
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

    /// Ends a request that is not dispatched, or not once more.
    fn turn_away(
        &mut self,
        id: RequestId,
        claim: Option<(Claim, Version)>,
        turned: Turned,
        out: &mut Vec<Effect>,
    ) {
        let Some(i) = self.request_index(id) else {
            return;
        };
        let outcome = if self.requests[i].tokens > 0 {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        };
        self.settle(id, claim, ClaimState::Released, out);
        self.take_request(id);
        let refusal = Refusal {
            kind: turned.kind,
            outcome,
            retry_ms: turned.retry_ms,
        };
        out.push(Effect::Refuse { id, refusal });
    }

    pub(crate) fn end_attempt(
        &mut self,
        now: Millis,
        id: RequestId,
        attempt: AttemptId,
        end: AttemptEnd,
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
        self.note_ended(now, &target, id, Some(&end));
        match end {
            AttemptEnd::Whole { status, body } => {
                self.settle(id, claim, ClaimState::Done(Answer { status, body }), out);
                self.take_request(id);
                out.push(Effect::Deliver { id });
            }
            AttemptEnd::Unsent | AttemptEnd::Declined => self.try_again(now, id, claim, out),
            AttemptEnd::Broken { tokens, .. } => {
                self.requests[i].tokens = tokens;
                if self.requests[i].call.is_idempotent() {
                    return self.try_again(now, id, claim, out);
                }
                self.settle(id, claim, ClaimState::Lost, out);
                self.finish(id, RefusalKind::AnswerLost, Outcome::Unknown, out);
            }
        }
    }

    /// Nothing of the attempt ran, or running it again does no harm.
    fn try_again(
        &mut self,
        now: Millis,
        id: RequestId,
        claim: Option<(Claim, Version)>,
        out: &mut Vec<Effect>,
    ) {
        let Some(i) = self.request_index(id) else {
            return;
        };
        if self.requests[i].attempts >= self.settings.attempts {
            let turned = Turned {
                kind: RefusalKind::NoTarget,
                retry_ms: self.settings.retry_ms,
            };
            return self.turn_away(id, claim, turned, out);
        }
        self.dispatch(now, id, claim, out);
    }

    pub(crate) fn drop_caller(&mut self, now: Millis, id: RequestId, out: &mut Vec<Effect>) {
        let Some(i) = self.request_index(id) else {
            return;
        };
        // A non-idempotent run goes on without its caller, so that a resend finds its answer.
        if !self.requests[i].call.is_idempotent() {
            return;
        }
        let Phase::Running {
            attempt, target, ..
        } = self.requests[i].phase.clone()
        else {
            return;
        };
        self.note_ended(now, &target, id, None);
        self.take_request(id);
        out.push(Effect::Cancel { id, attempt });
    }

    fn settle(
        &self,
        id: RequestId,
        claim: Option<(Claim, Version)>,
        state: ClaimState,
        out: &mut Vec<Effect>,
    ) {
        let (Some((claim, version)), Some(i)) = (claim, self.request_index(id)) else {
            return;
        };
        let key = request_key(&self.requests[i].call);
        out.push(Effect::SettleClaim {
            key,
            version,
            claim: Claim { state, ..claim },
        });
    }

    fn finish(
        &mut self,
        id: RequestId,
        kind: RefusalKind,
        outcome: Outcome,
        out: &mut Vec<Effect>,
    ) {
        self.take_request(id);
        out.push(self.refusal(id, kind, outcome));
    }

    fn take_request(&mut self, id: RequestId) {
        if let Some(i) = self.request_index(id) {
            self.requests.remove(i);
        }
    }

    fn refusal(&self, id: RequestId, kind: RefusalKind, outcome: Outcome) -> Effect {
        let retry_ms = match kind {
            RefusalKind::UnknownKey
            | RefusalKind::UnknownModel
            | RefusalKind::UnknownService
            | RefusalKind::KeyReused
            | RefusalKind::Poison
            | RefusalKind::RunLost => 0,
            _ => self.settings.retry_ms,
        };
        Effect::Refuse {
            id,
            refusal: Refusal {
                kind,
                outcome,
                retry_ms,
            },
        }
    }
}

fn request_key(call: &Call) -> String {
    claim_key(&call.caller, call.key.as_deref().unwrap_or_default())
}
