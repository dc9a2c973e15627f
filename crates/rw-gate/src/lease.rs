//! The lease under which one node at a time performs the duties of the fleet: role orders, usage
//! reports and size orders.

use crate::{Effect, Gate};
use rw_types::Millis;

/// Time after the lease request for which the holder may act, in milliseconds. The lease lasts
/// 8,000 ms in the store; the rest leaves time for calls of the former holder that are executed
/// late.
const LEASE_VALID_MS: u64 = 2_500;
/// Pause after the store refused the lease, in milliseconds.
const LEASE_RETRY_MS: u64 = 2_000;
/// The same where usage reports are due. A report is due 10 s after the end of its window, and the
/// lease of a holder that was killed lasts 8 s of them.
const REPORTER_RETRY_MS: u64 = 400;
/// Tokens that a store grants are lower: it is the limit of whole numbers in JSON. None could be granted
/// after a higher one.
const TOKEN_LIMIT: u64 = 1 << 53;
/// Interval at which the highest token is sent to other nodes, in milliseconds.
const TELL_INTERVAL_MS: u64 = 1_000;

/// State of the lease of this node.
#[derive(Debug, Clone, Default)]
pub(crate) struct Lease {
    /// Fencing token, and the time until which it may be used.
    held: Option<(u64, Millis)>,
    /// Highest token that this node has been granted.
    last_token: u64,
    /// Highest token in the digests of other nodes.
    heard_token: u64,
    /// Time of the latest digest with the highest token.
    told_at: Option<Millis>,
    /// Highest token that was refused because a higher one had been seen.
    refused_token: u64,
    /// Time of the request in flight, if any.
    requested_at: Option<Millis>,
    /// Time before which no request is sent.
    retry_at: Millis,
}

impl Lease {
    /// The store granted or refused the lease. Returns whether it was granted.
    pub(crate) fn set_result(&mut self, token: Option<u64>) -> bool {
        let Some(requested_at) = self.requested_at.take() else {
            return false;
        };
        let token = token.filter(|token| !self.is_refused(*token) && *token > self.heard_token);
        // The validity counts from the time of the request, so that it ends before the lease
        // expires in the store.
        self.held = token.map(|token| (token, requested_at.plus(LEASE_VALID_MS)));
        self.last_token = self.last_token.max(token.unwrap_or_default());
        token.is_some()
    }

    /// Whether a call with this token must not be sent, because a higher one was granted or refused,
    /// here or at a node that announced it.
    fn is_refused(&self, token: u64) -> bool {
        token <= self.refused_token || token < self.highest_token()
    }

    fn highest_token(&self) -> u64 {
        self.last_token.max(self.heard_token)
    }

    /// Another node knows of this token; 0 if it told of none. A lower one of this node is not used any
    /// more.
    pub(crate) fn token_heard(&mut self, token: u64) {
        if token >= TOKEN_LIMIT {
            return;
        }
        self.heard_token = self.heard_token.max(token);
        self.held = self.held.filter(|(held, _)| *held >= token);
    }

    /// The highest token that this node has been granted, if it is due to be told; otherwise 0. It
    /// survives the holder at those that hear of it.
    pub(crate) fn take_token(&mut self, now: Millis) -> u64 {
        let is_recent = |at| now.since(at) < TELL_INTERVAL_MS;
        if self.last_token == 0 || self.told_at.is_some_and(is_recent) {
            return 0;
        }
        self.told_at = Some(now);
        self.last_token
    }

    /// The store came back from a copy, which may lack the lease of this node.
    pub(crate) fn store_restored(&mut self) {
        self.held = None;
    }

    /// A higher token than that of this node has been seen: no token granted so far is used again.
    pub(crate) fn refuse(&mut self) {
        self.held = None;
        self.refused_token = self.last_token;
    }
}

impl Gate {
    /// The store granted or refused the lease.
    pub(crate) fn lease_result(
        &mut self,
        now: Millis,
        token: Option<u64>,
        effects: &mut Vec<Effect>,
    ) {
        let reports_usage = self.settings.duties.usage_window_ms.is_some();
        if self.lease.set_result(token) {
            self.roles.next_check = now;
            return self.check_usage(now, effects);
        }
        self.lease.retry_at = now.plus(match reports_usage {
            true => REPORTER_RETRY_MS,
            false => LEASE_RETRY_MS,
        });
    }

    /// Fencing token of the lease and the time until which it may be used. If this node should hold
    /// the lease and doesn't, requests it from the store and returns `None` until it is granted.
    pub(crate) fn lease(
        &mut self,
        now: Millis,
        effects: &mut Vec<Effect>,
    ) -> Option<(u64, Millis)> {
        if !self.is_leader(now) {
            return None;
        }
        let held = self.lease.held.filter(|(_, until)| now < *until);
        if held.is_none() && self.lease.requested_at.is_none() && now >= self.lease.retry_at {
            self.lease.requested_at = Some(now);
            effects.push(Effect::AcquireLease);
        }
        held
    }

    /// Whether a call with this fencing token must not be sent, because a higher one has been seen.
    #[must_use]
    pub fn is_token_refused(&self, token: u64) -> bool {
        self.lease.is_refused(token)
    }

    /// Highest fencing token that this node knows, of its own leases or those of others; 0 if none.
    #[must_use]
    pub fn highest_token(&self) -> u64 {
        self.lease.highest_token()
    }
}
