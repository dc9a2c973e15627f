//! What becomes of a request whose target ended while running it.

use crate::{Effect, Node, Phase, Suspect};
use rw_types::{Millis, Outcome, RefusalKind, RequestId};

impl Node {
    /// Bodies that crashed targets, for peers.
    #[must_use]
    pub fn suspects(&self, now: Millis) -> Vec<Suspect> {
        self.suspects.export(now)
    }

    /// Takes over what a peer knows of bodies that crash targets.
    pub fn merge_suspects(&mut self, now: Millis, seen: &[Suspect]) {
        self.suspects.merge(now, seen);
        self.suspects.prune(now, self.settings.poison_ttl_ms);
    }

    /// Counts a crash; true if the request has its final answer or waits for peers.
    pub(crate) fn target_crashed(
        &mut self,
        now: Millis,
        id: RequestId,
        target: &str,
        out: &mut Vec<Effect>,
    ) -> bool {
        let Some(i) = self.request_index(id) else {
            return true;
        };
        let call = &self.requests[i].call;
        let (fingerprint, again) = (call.fingerprint, call.is_idempotent());
        self.suspects.record_crash(now, fingerprint, target);
        self.suspects.prune(now, self.settings.poison_ttl_ms);
        let refused = self.poison_left(now, fingerprint).is_some();
        if again && !refused {
            self.share_suspects(id, out);
            return true;
        }
        out.push(Effect::ShareSuspects { id, wait: false });
        if again {
            self.refuse_poison(now, id, fingerprint, out);
        }
        again
    }

    /// Peers hear of a suspect, and tell what they know, before its next dispatch, so that no node
    /// adds targets of its own to those that crashed.
    pub(crate) fn share_suspects(&mut self, id: RequestId, out: &mut Vec<Effect>) {
        if let Some(i) = self.request_index(id) {
            self.requests[i].phase = Phase::SharingSuspects;
            out.push(Effect::ShareSuspects { id, wait: true });
        }
    }

    pub(crate) fn is_suspect(&self, now: Millis, fingerprint: u64) -> bool {
        let keep = self.settings.poison_ttl_ms;
        self.suspects.is_known(now, fingerprint, keep)
    }

    pub(crate) fn suspects_shared(&mut self, now: Millis, id: RequestId, out: &mut Vec<Effect>) {
        let Some(i) = self.request_index(id) else {
            return;
        };
        if self.requests[i].phase != Phase::SharingSuspects {
            return;
        }
        let fingerprint = self.requests[i].call.fingerprint;
        if self.poison_left(now, fingerprint).is_some() {
            return self.refuse_poison(now, id, fingerprint, out);
        }
        if self.requests[i].attempts == 0 {
            return self.dispatch(now, id, None, out);
        }
        self.retry(now, id, None, out);
    }

    /// Milliseconds until a body that crashed too many targets may run again.
    pub(crate) fn poison_left(&self, now: Millis, fingerprint: u64) -> Option<u64> {
        let keep = self.settings.poison_ttl_ms;
        self.suspects.poisoned_ms(now, fingerprint, keep)
    }

    fn refuse_poison(
        &mut self,
        now: Millis,
        id: RequestId,
        fingerprint: u64,
        out: &mut Vec<Effect>,
    ) {
        let left = self.poison_left(now, fingerprint).unwrap_or(0);
        let ran = self
            .request_index(id)
            .is_some_and(|i| self.requests[i].may_have_run);
        let outcome = if ran {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        };
        self.remove_request(id);
        out.push(refuse(id, RefusalKind::Poison, outcome, left));
    }
}

/// A final answer that is not a target's.
pub(crate) fn refuse(id: RequestId, kind: RefusalKind, outcome: Outcome, retry_ms: u64) -> Effect {
    let refusal = rw_types::Refusal {
        kind,
        outcome,
        retry_ms,
    };
    Effect::Refuse { id, refusal }
}
