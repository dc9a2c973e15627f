//! Identification of the client account that a call belongs to.

use crate::{
    Account, CallRequest, Credential, DispatchMode, Gate, Refusal, RefusalKind, Route, ShareReport,
    account_keys::KeyState,
    account_usage::Decision,
    call_state::{ActiveDispatch, CallState},
    roles::{PEER_TIMEOUT_MS, PeerConnection},
};
use rw_types::Millis;

impl Gate {
    /// The client account that a call on `route` belongs to; `None` if it needs none and has none.
    ///
    /// # Errors
    ///
    /// [`RefusalKind::UnknownKey`] if the route needs a key and the call has none that is valid, and
    /// [`RefusalKind::StaleConfig`] if this node can't know whether the key is valid.
    pub(crate) fn identify(
        &self,
        now: Millis,
        route: &Route,
        request: &CallRequest,
    ) -> Result<Option<&Account>, RefusalKind> {
        if !self.routing.has_accounts {
            return Ok(None);
        }
        let max_age_ms = self.settings.max_config_age_ms();
        let has_key = matches!(request.credential, Credential::Key(_));
        let state = match &request.credential {
            Credential::Key(key) => self.keys.check(now, max_age_ms, key),
            Credential::Missing | Credential::Malformed => KeyState::Unknown,
        };
        match state {
            KeyState::Of(i) => Ok(self.routing.accounts.get(i)),
            KeyState::Unknown | KeyState::Unverifiable if route.public => Ok(None),
            // The configuration may be from before the key.
            KeyState::Unknown if has_key && !self.knows_rows(now) => Err(RefusalKind::StaleConfig),
            KeyState::Unknown => Err(RefusalKind::UnknownKey),
            KeyState::Unverifiable => Err(RefusalKind::StaleConfig),
        }
    }

    /// Whether this node knows which keys are valid. It does if there are no accounts.
    #[must_use]
    pub fn can_verify_keys(&self, now: Millis) -> bool {
        let max_age_ms = self.settings.max_config_age_ms();
        !self.routing.has_accounts || self.keys.is_current(now, max_age_ms)
    }

    /// Whether callers are better served by other nodes, because one of them knows which keys are valid
    /// and this one doesn't.
    #[must_use]
    pub fn defers_to_peers(&self, now: Millis) -> bool {
        let recent = |p: &&PeerConnection| now.since(p.received_at) < PEER_TIMEOUT_MS;
        let mut peers = self.roles.peers.iter().filter(recent);
        !self.can_verify_keys(now) && peers.any(|p| !p.vm.is_empty() && !p.lacks_keys)
    }

    /// Whether to send a new call whose response would start after `start_ms` milliseconds, for
    /// `busy_ms` of which it occupies the engine itself.
    pub(crate) fn decide(
        &mut self,
        now: Millis,
        i: usize,
        start_ms: f64,
        busy_ms: f64,
    ) -> Decision {
        let call = &self.calls[i];
        let decision = if !self.meets_deadline(now, call, start_ms) {
            Decision::Late
        } else if self.exceeds_share(now, call, start_ms) {
            Decision::OverShare
        } else {
            Decision::Sent
        };
        // A call that an idle engine couldn't serve either says nothing about contention.
        let is_counted = call.request.prompt.is_some() && self.meets_deadline(now, call, busy_ms);
        if self.routing.has_accounts && is_counted {
            self.account_usage
                .decided(now, call.account.as_deref(), decision);
        }
        decision
    }

    /// Whether a call loses its place to those of other accounts, because its account is above its share
    /// and the response would start only after `start_ms` milliseconds. A stream that has begun goes on.
    fn exceeds_share(&self, now: Millis, call: &CallState, start_ms: f64) -> bool {
        let has_begun = call.resume_after().is_some() || call.software.is_some();
        let account = call.account.as_deref().filter(|_| !has_begun);
        let Some(account) = account else {
            return false;
        };
        let fraction = self.account_usage.wait_fraction(now, account);
        fraction < 1.0 && start_ms > call.client_deadline.since(now) as f64 * fraction
    }

    /// Charges engine time to the account of the call at position `i`.
    pub(crate) fn charge_account(&mut self, now: Millis, i: usize, engine_ms: f64) {
        if let Some(account) = &self.calls[i].account
            && engine_ms > 0.0
        {
            self.account_usage.charge(now, account, engine_ms);
        }
    }

    /// Charges the time for which a generation has held one of the slots of its engine.
    pub(crate) fn charge_slot(&mut self, now: Millis, i: usize, ended: &ActiveDispatch) {
        let call = &self.calls[i];
        if call.request.prompt.is_none() || ended.mode == DispatchMode::Prefill {
            return;
        }
        let service = self.routing.service(&call.service);
        let slots = service.and_then(|s| s.engine.as_ref()).map(|e| e.slots);
        if let Some(slots) = slots {
            let held_ms = now.since(ended.sent_at) as f64;
            self.charge_account(now, i, held_ms / f64::from(slots.max(1)));
        }
    }

    /// The usage to publish; `None` if there are no accounts.
    pub(crate) fn take_shares(&mut self, now: Millis) -> Option<ShareReport> {
        match self.routing.has_accounts {
            true => self.account_usage.take_report(now),
            false => None,
        }
    }

    /// The refusal of a call for its key. Only one whose key can't be checked is worth a retry.
    pub(crate) fn key_refusal(&mut self, kind: RefusalKind) -> Refusal {
        let retry_ms = match kind {
            RefusalKind::StaleConfig => self.retry_ms(0.0),
            _ => 0,
        };
        self.refusal(kind, retry_ms)
    }
}
