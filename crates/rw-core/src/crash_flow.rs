//! Handling of requests whose targets crashed while running them.

use crate::{Effect, Node, Phase, Suspect};
use rw_types::{Millis, Outcome, RefusalKind, RequestId};

impl Node {
    /// Request bodies that crashed targets, to be sent to peers.
    #[must_use]
    pub fn suspects(&self, now: Millis) -> Vec<Suspect> {
        self.suspects.export(now)
    }

    /// Merges a peer's list of request bodies that crashed targets.
    pub fn merge_suspects(&mut self, now: Millis, suspects: &[Suspect]) {
        self.suspects.merge(now, suspects);
        self.suspects.prune(now, self.settings.poison_ttl_ms);
    }

    /// Records a crash; true if the request has its final response or waits for peers.
    pub(crate) fn record_target_crash(
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
        let (fingerprint, idempotent) = (call.fingerprint, call.is_idempotent());
        self.suspects.record_crash(now, fingerprint, target);
        self.suspects.prune(now, self.settings.poison_ttl_ms);
        let poisoned = self.poisoned_for(now, fingerprint).is_some();
        if idempotent && !poisoned {
            self.share_suspects(id, out);
            return true;
        }
        out.push(Effect::ShareSuspects { id, wait: false });
        if idempotent {
            self.refuse_poison(now, id, fingerprint, out);
        }
        idempotent
    }

    /// Exchanges suspects with peers before the request's next dispatch. Without it, each node would
    /// crash targets of its own before it refuses the body.
    pub(crate) fn share_suspects(&mut self, id: RequestId, out: &mut Vec<Effect>) {
        if let Some(i) = self.request_index(id) {
            self.requests[i].phase = Phase::SharingSuspects;
            out.push(Effect::ShareSuspects { id, wait: true });
        }
    }

    pub(crate) fn is_suspect(&self, now: Millis, fingerprint: u64) -> bool {
        let ttl_ms = self.settings.poison_ttl_ms;
        self.suspects.is_known(now, fingerprint, ttl_ms)
    }

    pub(crate) fn suspects_shared(&mut self, now: Millis, id: RequestId, out: &mut Vec<Effect>) {
        let Some(i) = self.request_index(id) else {
            return;
        };
        if self.requests[i].phase != Phase::SharingSuspects {
            return;
        }
        let fingerprint = self.requests[i].call.fingerprint;
        if self.poisoned_for(now, fingerprint).is_some() {
            return self.refuse_poison(now, id, fingerprint, out);
        }
        if self.requests[i].attempts == 0 {
            return self.dispatch(now, id, None, out);
        }
        self.retry(now, id, None, out);
    }

    /// Milliseconds until a body that crashed too many targets may run again; `None` if it may run.
    pub(crate) fn poisoned_for(&self, now: Millis, fingerprint: u64) -> Option<u64> {
        let ttl_ms = self.settings.poison_ttl_ms;
        self.suspects.poisoned_ms(now, fingerprint, ttl_ms)
    }

    fn refuse_poison(
        &mut self,
        now: Millis,
        id: RequestId,
        fingerprint: u64,
        out: &mut Vec<Effect>,
    ) {
        let retry_ms = self.poisoned_for(now, fingerprint).unwrap_or(0);
        let may_have_run = self
            .request_index(id)
            .is_some_and(|i| self.requests[i].may_have_run);
        let outcome = if may_have_run {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        };
        self.remove_request(id);
        out.push(refuse(id, RefusalKind::Poison, outcome, retry_ms));
    }
}

/// The effect that refuses a request.
pub(crate) fn refuse(id: RequestId, kind: RefusalKind, outcome: Outcome, retry_ms: u64) -> Effect {
    let refusal = rw_types::Refusal {
        kind,
        outcome,
        retry_ms,
    };
    Effect::Refuse { id, refusal }
}
