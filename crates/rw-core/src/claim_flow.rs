//! Handling of claims: written to the table before a non-idempotent request is dispatched, settled
//! after it ended.

use crate::{
    Call, Claim, ClaimResult, ClaimState, ClaimStatus, Effect, Node, Phase, Ticket, claim_key,
};
use rw_types::{BootId, Millis, Outcome, RefusalKind, RequestId, Version};

impl Node {
    /// Status of a request that this VM claimed in its boot `boot`.
    #[must_use]
    pub fn claim_status(&self, boot: BootId, id: RequestId) -> ClaimStatus {
        if boot != self.settings.boot {
            return ClaimStatus::Terminated;
        }
        if self.request_index(id).is_some() {
            return ClaimStatus::Running;
        }
        self.unsettled.status(id)
    }

    pub(crate) fn new_claim(&self, id: RequestId, call: &Call) -> Claim {
        Claim {
            vm: self.settings.vm.clone(),
            boot: self.settings.boot,
            request: id,
            fingerprint: call.fingerprint,
            state: ClaimState::Held,
        }
    }

    pub(crate) fn write_claim(
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
        let key = claim_key_of(&request.call);
        out.push(Effect::WriteClaim {
            id,
            key,
            version,
            claim,
        });
    }

    pub(crate) fn handle_claim_result(
        &mut self,
        now: Millis,
        id: RequestId,
        result: ClaimResult,
        out: &mut Vec<Effect>,
    ) {
        let Some(i) = self.request_index(id) else {
            return;
        };
        let Phase::Claiming { claim } = &self.requests[i].phase else {
            return;
        };
        let own = claim.clone();
        match result {
            ClaimResult::Written(version) => self.dispatch(now, id, Some((own, version)), out),
            ClaimResult::Unknown => {
                self.requests[i].unconfirmed_claim = true;
                self.read_claim(id, own, out);
            }
            // An earlier request with this key may have run, and only the table has its record.
            ClaimResult::NotApplied | ClaimResult::Unreadable => {
                self.abandon_claim(now, id, own, out)
            }
            ClaimResult::Found(None) if now >= self.requests[i].call.deadline => {
                self.abandon_claim(now, id, own, out);
            }
            ClaimResult::Found(None) => self.write_claim(id, own, Version(0), out),
            ClaimResult::Found(Some((found, version))) => {
                self.claim_found(now, id, own, found, version, out);
            }
        }
    }

    fn read_claim(&mut self, id: RequestId, claim: Claim, out: &mut Vec<Effect>) {
        let Some(i) = self.request_index(id) else {
            return;
        };
        let request = &mut self.requests[i];
        request.phase = Phase::Claiming { claim };
        let key = claim_key_of(&request.call);
        out.push(Effect::ReadClaim { id, key });
    }

    /// Refuses a request whose claim was not confirmed. The claim may be in the table nevertheless,
    /// so it is released in the background.
    fn abandon_claim(&mut self, now: Millis, id: RequestId, claim: Claim, out: &mut Vec<Effect>) {
        let Some(i) = self.request_index(id) else {
            return;
        };
        let request = &self.requests[i];
        if request.unconfirmed_claim {
            let key = claim_key_of(&request.call);
            let ttl_ms = self.settings.unsettled_ttl_ms;
            // Another VM that finds the row queries this process for its status, so the release is
            // also kept in memory.
            self.unsettled.insert(now, id, ClaimState::Released, ttl_ms);
            out.push(Effect::ReleaseClaim { id, key, claim });
        }
        self.finish(id, RefusalKind::StoreDown, Outcome::Unknown, out);
    }

    fn claim_found(
        &mut self,
        now: Millis,
        id: RequestId,
        own: Claim,
        found: Claim,
        version: Version,
        out: &mut Vec<Effect>,
    ) {
        if found == own {
            return self.dispatch(now, id, Some((found, version)), out);
        }
        if found.fingerprint != own.fingerprint {
            return self.finish(id, RefusalKind::KeyReused, Outcome::NotRun, out);
        }
        match found.state {
            ClaimState::Held => self.query_claimant(now, id, own, &found, version, out),
            ClaimState::Lost => self.finish(id, RefusalKind::RunLost, Outcome::Unknown, out),
            ClaimState::Released => self.write_claim(id, own, version, out),
            ClaimState::Done(response) => self.replay(id, response, out),
        }
    }

    /// Queries the claimant for the status of the request.
    fn query_claimant(
        &mut self,
        now: Millis,
        id: RequestId,
        own: Claim,
        found: &Claim,
        version: Version,
        out: &mut Vec<Effect>,
    ) {
        let Some(i) = self.request_index(id) else {
            return;
        };
        self.requests[i].phase = Phase::QueryingClaimant {
            claim: own,
            version,
        };
        if found.vm == self.settings.vm {
            let status = self.claim_status(found.boot, found.request);
            return self.handle_claim_status(now, id, status, out);
        }
        match self.members.find(&found.vm) {
            Some(vm) => out.push(Effect::QueryClaimant {
                id,
                peer: vm.peer.clone(),
                boot: found.boot,
                claimed: found.request,
            }),
            // The VM list lags, so a claimant that joined recently may not be listed yet.
            None => self.handle_claim_status(now, id, ClaimStatus::Unreachable, out),
        }
    }

    pub(crate) fn handle_claim_status(
        &mut self,
        now: Millis,
        id: RequestId,
        status: ClaimStatus,
        out: &mut Vec<Effect>,
    ) {
        let Some(i) = self.request_index(id) else {
            return;
        };
        let Phase::QueryingClaimant { claim, version } = self.requests[i].phase.clone() else {
            return;
        };
        match status {
            ClaimStatus::Running | ClaimStatus::Unreachable => {
                self.finish(id, RefusalKind::InProgress, Outcome::Unknown, out);
            }
            ClaimStatus::Released if now < self.requests[i].call.deadline => {
                self.write_claim(id, claim, version, out);
            }
            ClaimStatus::Released => self.finish(id, RefusalKind::TooLate, Outcome::NotRun, out),
            ClaimStatus::Done(response) => self.replay(id, response, out),
            ClaimStatus::Settled if !self.requests[i].reread => {
                self.requests[i].reread = true;
                self.read_claim(id, claim, out);
            }
            ClaimStatus::Settled | ClaimStatus::Lost | ClaimStatus::Terminated => {
                self.finish(id, RefusalKind::RunLost, Outcome::Unknown, out);
            }
        }
    }

    /// Records the outcome of a non-idempotent request: in memory for one with a ticket, else in the
    /// table.
    pub(crate) fn settle(
        &mut self,
        now: Millis,
        id: RequestId,
        claim: Option<(Claim, Version)>,
        state: ClaimState,
        out: &mut Vec<Effect>,
    ) {
        let Some(i) = self.request_index(id) else {
            return;
        };
        let call = &self.requests[i].call;
        if let Some(Ticket { minted, .. }) = &self.requests[i].ticket {
            let key = call.key.as_deref().unwrap_or_default();
            self.tickets.settle(*minted, &call.caller, key, state);
            return;
        }
        let Some((claim, version)) = claim else {
            return;
        };
        let key = claim_key_of(call);
        let ttl_ms = self.settings.unsettled_ttl_ms;
        self.unsettled.insert(now, id, state.clone(), ttl_ms);
        out.push(Effect::SettleClaim {
            id,
            key,
            version,
            claim: Claim { state, ..claim },
        });
    }
}

pub(crate) fn claim_key_of(call: &Call) -> String {
    claim_key(&call.caller, call.key.as_deref().unwrap_or_default())
}
