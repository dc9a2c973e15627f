//! Handling of requests with tickets: only the process that minted a ticket runs its request, and
//! keeps the record in memory.

use crate::{
    Call, ClaimState, Effect, Handover, Node, Phase, Request, Ticket, TicketRun, handover_key,
};
use rw_types::{Millis, Outcome, RefusalKind, RequestId};

impl Node {
    /// Mints a ticket; `None` once the node is shutting down.
    #[must_use]
    pub fn mint_ticket(&self, now: Millis) -> Option<Ticket> {
        (!self.shutting_down).then(|| Ticket {
            vm: self.settings.vm.clone(),
            boot: self.settings.boot,
            minted: now,
        })
    }

    pub(crate) fn arrive_ticket(
        &mut self,
        now: Millis,
        id: RequestId,
        call: Call,
        ticket: Ticket,
        out: &mut Vec<Effect>,
    ) {
        if ticket.vm != self.settings.vm {
            return self.forward(id, call, ticket, out);
        }
        // The process that minted it has terminated. Its record may be in its handover.
        if ticket.boot != self.settings.boot {
            return self.read_handover(id, call, ticket, RefusalKind::RunLost, out);
        }
        let key = call.key.as_deref().unwrap_or_default();
        if let Some(run) = self.tickets.find(ticket.minted, &call.caller, key) {
            let run = run.clone();
            return self.refuse_or_replay(id, &call, run, out);
        }
        if let Some(kind) = self.refuse_ticket(now, &call, &ticket) {
            return out.push(unused_refusal(self, id, kind));
        }
        let run = TicketRun {
            minted: ticket.minted,
            caller: call.caller.clone(),
            key: key.to_owned(),
            fingerprint: call.fingerprint,
            state: ClaimState::Held,
        };
        self.tickets
            .prune(Millis(now.0.saturating_sub(self.settings.ticket_ttl_ms)));
        if !self.tickets.start(run) {
            return out.push(self.refusal(id, RefusalKind::Overloaded, Outcome::NotRun));
        }
        let request = Request {
            ticket: Some(ticket),
            ..Request::new(id, call)
        };
        if self.insert_request(request) {
            self.dispatch(now, id, None, out);
        }
    }

    /// Why a request with an unused ticket is refused, if it is.
    fn refuse_ticket(&self, now: Millis, call: &Call, ticket: &Ticket) -> Option<RefusalKind> {
        // Its record may already have been pruned, so it may have run.
        if now.since(ticket.minted) >= self.settings.ticket_ttl_ms || ticket.minted > now {
            return Some(RefusalKind::RunLost);
        }
        self.refuse_early(now, call)
    }

    fn refuse_or_replay(
        &mut self,
        id: RequestId,
        call: &Call,
        run: TicketRun,
        out: &mut Vec<Effect>,
    ) {
        let refusal = if run.fingerprint != call.fingerprint {
            (RefusalKind::KeyReused, Outcome::NotRun)
        } else {
            match run.state {
                ClaimState::Done(response) => return self.replay(id, response, out),
                ClaimState::Held => (RefusalKind::InProgress, Outcome::Unknown),
                ClaimState::Lost | ClaimState::Released => (RefusalKind::RunLost, Outcome::Unknown),
            }
        };
        self.finish(id, refusal.0, refusal.1, out);
    }

    fn forward(&mut self, id: RequestId, call: Call, ticket: Ticket, out: &mut Vec<Effect>) {
        let Some(vm) = self.members.find(&ticket.vm) else {
            // As long as no VM list was read, the VM may exist.
            let kind = match self.members.all() {
                [] => RefusalKind::InProgress,
                _ => RefusalKind::RunLost,
            };
            return self.read_handover(id, call, ticket, kind, out);
        };
        let peer = vm.peer.clone();
        let request = Request {
            phase: Phase::Forwarded(ticket),
            ..Request::new(id, call)
        };
        if self.insert_request(request) {
            out.push(Effect::Forward { id, peer });
        }
    }

    pub(crate) fn forwarded(&mut self, id: RequestId, responded: bool, out: &mut Vec<Effect>) {
        let Some(i) = self.request_index(id) else {
            return;
        };
        let Phase::Forwarded(ticket) = self.requests[i].phase.clone() else {
            return;
        };
        let call = self.requests[i].call.clone();
        self.remove_request(id);
        if responded {
            return out.push(Effect::Deliver { id });
        }
        // An earlier request may have run there, even if this one did not arrive.
        self.read_handover(id, call, ticket, RefusalKind::ResponseLost, out);
    }

    /// The record of this process's used tickets; final once it is closing and has no open request.
    #[must_use]
    pub fn handover(&self, now: Millis) -> Handover {
        Handover {
            stopped: now,
            runs: self.tickets.all().to_vec(),
        }
    }

    fn read_handover(
        &mut self,
        id: RequestId,
        call: Call,
        ticket: Ticket,
        refusal: RefusalKind,
        out: &mut Vec<Effect>,
    ) {
        let key = handover_key(&ticket.vm, ticket.boot);
        let request = Request {
            phase: Phase::ReadingHandover { ticket, refusal },
            ..Request::new(id, call)
        };
        if self.insert_request(request) {
            out.push(Effect::ReadHandover { id, key });
        }
    }

    pub(crate) fn handover_read(
        &mut self,
        id: RequestId,
        handover: Option<Handover>,
        out: &mut Vec<Effect>,
    ) {
        let Some(i) = self.request_index(id) else {
            return;
        };
        let Phase::ReadingHandover { ticket, refusal } = self.requests[i].phase.clone() else {
            return;
        };
        let call = self.requests[i].call.clone();
        let Some(Handover { stopped, runs }) = handover else {
            return self.finish(id, refusal, Outcome::Unknown, out);
        };
        let key = call.key.as_deref().unwrap_or_default();
        let mut runs = runs.into_iter();
        if let Some(run) = runs.find(|r| r.caller == call.caller && r.key == key) {
            return self.refuse_or_replay(id, &call, run, out);
        }
        // Records of expired tickets may have been pruned before the stop.
        if ticket.minted > stopped || stopped.since(ticket.minted) >= self.settings.ticket_ttl_ms {
            return self.finish(id, RefusalKind::RunLost, Outcome::Unknown, out);
        }
        self.finish(id, RefusalKind::TicketExpired, Outcome::NotRun, out);
    }
}

/// A refusal for an unused ticket: it has not run, unless its record may have been pruned.
fn unused_refusal(node: &Node, id: RequestId, kind: RefusalKind) -> Effect {
    let outcome = match kind {
        RefusalKind::RunLost => Outcome::Unknown,
        _ => Outcome::NotRun,
    };
    node.refusal(id, kind, outcome)
}
