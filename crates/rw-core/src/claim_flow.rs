//! A claimed request's way through the table, before and after its one dispatch.

use crate::{
    Call, Claim, ClaimResult, ClaimState, ClaimStatus, Effect, Node, Phase, Ticket, claim_key,
};
use rw_types::{BootId, Millis, Outcome, RefusalKind, RequestId, Version};

impl Node {
    /// What this process knows of a request that a boot of this VM claimed.
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
        let key = request_key(&request.call);
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
        read: ClaimResult,
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
            ClaimResult::Written(version) => self.dispatch(now, id, Some((mine, version)), out),
            ClaimResult::Unknown => {
                self.requests[i].unconfirmed_claim = true;
                self.read_claim(id, mine, out);
            }
            // An earlier send of the key may have run, and only the table could tell.
            ClaimResult::NotApplied | ClaimResult::Unreadable => {
                self.abandon_claim(now, id, mine, out)
            }
            ClaimResult::Found(None) if now >= self.requests[i].call.deadline => {
                self.abandon_claim(now, id, mine, out);
            }
            ClaimResult::Found(None) => self.write_claim(id, mine, Version(0), out),
            ClaimResult::Found(Some((found, version))) => {
                self.claim_found(now, id, mine, found, version, out);
            }
        }
    }

    fn read_claim(&mut self, id: RequestId, claim: Claim, out: &mut Vec<Effect>) {
        let Some(i) = self.request_index(id) else {
            return;
        };
        let request = &mut self.requests[i];
        request.phase = Phase::Claiming { claim };
        let key = request_key(&request.call);
        out.push(Effect::ReadClaim { id, key });
    }

    /// Gives a request up before its dispatch; its claim may be in the table all the same.
    fn abandon_claim(&mut self, now: Millis, id: RequestId, claim: Claim, out: &mut Vec<Effect>) {
        let Some(i) = self.request_index(id) else {
            return;
        };
        let request = &self.requests[i];
        if request.unconfirmed_claim {
            let key = request_key(&request.call);
            let keep = self.settings.unsettled_ttl_ms;
            // Another VM that finds the row asks this process, which must still know.
            self.unsettled.insert(now, id, ClaimState::Released, keep);
            out.push(Effect::ReleaseClaim { id, key, claim });
        }
        self.finish(id, RefusalKind::StoreDown, Outcome::Unknown, out);
    }

    fn claim_found(
        &mut self,
        now: Millis,
        id: RequestId,
        mine: Claim,
        found: Claim,
        version: Version,
        out: &mut Vec<Effect>,
    ) {
        if found == mine {
            return self.dispatch(now, id, Some((found, version)), out);
        }
        if found.fingerprint != mine.fingerprint {
            return self.finish(id, RefusalKind::KeyReused, Outcome::NotRun, out);
        }
        match found.state {
            ClaimState::Held => self.ask_claimant(now, id, mine, &found, version, out),
            ClaimState::Lost => self.finish(id, RefusalKind::RunLost, Outcome::Unknown, out),
            ClaimState::Released => self.write_claim(id, mine, version, out),
            ClaimState::Done(answer) => self.replay(id, answer, out),
        }
    }

    /// Asks the process that holds a claim how far the request is.
    fn ask_claimant(
        &mut self,
        now: Millis,
        id: RequestId,
        mine: Claim,
        found: &Claim,
        version: Version,
        out: &mut Vec<Effect>,
    ) {
        let Some(i) = self.request_index(id) else {
            return;
        };
        self.requests[i].phase = Phase::AskingClaimant {
            claim: mine,
            version,
        };
        if found.vm == self.settings.vm {
            let standing = self.claim_status(found.boot, found.request);
            return self.handle_claim_status(now, id, standing, out);
        }
        match self.members.find(&found.vm) {
            Some(vm) => out.push(Effect::AskClaimant {
                id,
                peer: vm.peer.clone(),
                boot: found.boot,
                claimed: found.request,
            }),
            // The list lags, so the claimant may be too young to be in it.
            None => self.handle_claim_status(now, id, ClaimStatus::Unreachable, out),
        }
    }

    pub(crate) fn handle_claim_status(
        &mut self,
        now: Millis,
        id: RequestId,
        standing: ClaimStatus,
        out: &mut Vec<Effect>,
    ) {
        let Some(i) = self.request_index(id) else {
            return;
        };
        let Phase::AskingClaimant { claim, version } = self.requests[i].phase.clone() else {
            return;
        };
        match standing {
            ClaimStatus::Running | ClaimStatus::Unreachable => {
                self.finish(id, RefusalKind::InProgress, Outcome::Unknown, out);
            }
            ClaimStatus::Released if now < self.requests[i].call.deadline => {
                self.write_claim(id, claim, version, out);
            }
            ClaimStatus::Released => self.finish(id, RefusalKind::TooLate, Outcome::NotRun, out),
            ClaimStatus::Done(answer) => self.replay(id, answer, out),
            ClaimStatus::Settled if !self.requests[i].reread => {
                self.requests[i].reread = true;
                self.read_claim(id, claim, out);
            }
            ClaimStatus::Settled | ClaimStatus::Lost | ClaimStatus::Terminated => {
                self.finish(id, RefusalKind::RunLost, Outcome::Unknown, out);
            }
        }
    }

    /// Records how a non-idempotent request ended, in the table or in this process's memory.
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
        let key = request_key(call);
        let keep = self.settings.unsettled_ttl_ms;
        self.unsettled.insert(now, id, state.clone(), keep);
        out.push(Effect::SettleClaim {
            id,
            key,
            version,
            claim: Claim { state, ..claim },
        });
    }
}

pub(crate) fn request_key(call: &Call) -> String {
    claim_key(&call.caller, call.key.as_deref().unwrap_or_default())
}
