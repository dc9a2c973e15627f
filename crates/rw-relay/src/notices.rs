//! What targets say about themselves in the heads of their responses.

use crate::{Dialect, NamedLimit, Relay, ResponseHead, ResponseMetadata};
use rw_gate::{
    Availability, Digest, Event, MAX_PAUSE_MS, RateNotice, RequestRate, TargetIncarnation,
    TargetNotice,
};
use rw_http::RetryAfter;
use rw_types::Millis;
use std::net::SocketAddr;

/// A target as a request addressed it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Addressee<'a> {
    pub(crate) name: &'a str,
    pub(crate) incarnation: u64,
    pub(crate) addr: SocketAddr,
    /// When the request was sent; `None` if the response may belong to another request.
    pub(crate) asked_at: Option<Millis>,
}

impl<D: Dialect> Relay<D> {
    /// Passes on what `target` says about itself in the head of a response to any request.
    pub(crate) fn notice_in_head(&self, target: Addressee<'_>, head: &ResponseHead) {
        self.notice(target, &self.dialect.response_metadata(head));
    }

    /// Passes on what the target at `addr` says about itself in the head of a response to a request that
    /// belongs to no call.
    pub(crate) fn notice_at(&self, addr: SocketAddr, head: &ResponseHead) {
        let text = addr.to_string();
        let gate = self.gate.borrow();
        let at_addr = gate.targets().all().iter().find(|t| t.spec.addr == text);
        let found = at_addr.map(|t| (t.spec.name.clone(), t.spec.incarnation));
        drop(gate);
        if let Some((name, incarnation)) = found {
            let target = Addressee {
                name: &name,
                incarnation,
                addr,
                // It names no identifier that would tell it from another response.
                asked_at: None,
            };
            self.notice_in_head(target, head);
        }
    }

    /// Passes on that `target` is leaving, if it says so with a response to another call. It may be a copy
    /// of an earlier response, whose pause or rate limit may be over; leaving is final.
    pub(crate) fn notice_of_other_response(
        &self,
        target: Addressee<'_>,
        metadata: &ResponseMetadata,
    ) {
        let lasting = ResponseMetadata {
            is_leaving: metadata.is_leaving,
            ..ResponseMetadata::default()
        };
        self.notice(target, &lasting);
    }

    /// Passes on what `target` says about itself with a response.
    pub(crate) fn notice(&self, target: Addressee<'_>, metadata: &ResponseMetadata) {
        let pause_ms = match metadata.pause {
            Some(RetryAfter::Invalid) => {
                self.log.pause_invalid(target.name);
                self.metrics.notice("invalid-pause");
                None
            }
            Some(RetryAfter::Millis(ms)) => Some(ms).filter(|ms| *ms > 0),
            None => None,
        };
        if let Some(ms) = pause_ms {
            self.log.pause(target.name, ms, MAX_PAUSE_MS);
            self.metrics.notice("pause");
        }
        let notice = TargetNotice {
            is_leaving: metadata.is_leaving,
            pause_ms,
            rate: self.rate_notice(target, metadata),
        };
        if notice.is_empty() {
            return;
        }
        if notice.is_leaving {
            self.note_leaving(target);
        }
        let rate_before = self.rate_limit(target);
        let incarnation = TargetIncarnation {
            name: target.name.to_owned(),
            incarnation: target.incarnation,
        };
        self.step(Event::TargetNotice {
            target: incarnation,
            notice,
        });
        let rate = self.rate_limit(target);
        if rate != rate_before {
            self.log.rate_limit(target.name, rate);
            self.metrics.notice("limit");
        }
    }

    /// What a response says about the rate limit of `target`.
    fn rate_notice(&self, target: Addressee<'_>, metadata: &ResponseMetadata) -> RateNotice {
        match (metadata.rate_limit, target.asked_at) {
            (Some(NamedLimit::Rate(rate)), _) => RateNotice::Limited(rate),
            (Some(NamedLimit::Invalid), _) => {
                self.log.limit_invalid(target.name);
                self.metrics.notice("invalid-limit");
                RateNotice::Silent
            }
            (Some(NamedLimit::Unlimited), Some(asked_at)) if self.rate_limit(target).is_some() => {
                RateNotice::Unlimited { asked_at }
            }
            (Some(NamedLimit::Unlimited) | None, _) => RateNotice::Silent,
        }
    }

    fn rate_limit(&self, target: Addressee<'_>) -> Option<RequestRate> {
        let gate = self.gate.borrow();
        gate.targets().rate_limit(target.name, target.incarnation)
    }

    /// Passes on a digest of another node, and logs which targets it says are leaving.
    pub(crate) fn digest_received(&self, digest: Digest) {
        for target in &digest.leaving {
            if !self.is_known_leaving(&target.name) {
                self.log
                    .leaving_by_peer(&target.name, target.incarnation, &digest.vm);
            }
        }
        self.step(Event::DigestReceived(digest));
    }

    /// Whether the target at `addr` may get requests that concern no call, such as the release of a
    /// handle. One that isn't known may.
    pub(crate) fn takes_requests(&self, addr: &str) -> bool {
        let gate = self.gate.borrow();
        let now = self.clock.now();
        let mut at_addr = gate.targets().all().iter().filter(|t| t.spec.addr == addr);
        at_addr.all(|t| t.is_available(now))
    }

    /// Whether the target is known to be leaving, or isn't known at all.
    fn is_known_leaving(&self, name: &str) -> bool {
        let gate = self.gate.borrow();
        let target = gate.targets().find(name);
        let state = target.map(|t| t.availability(self.clock.now()));
        matches!(state, Some(Availability::Leaving(_)) | None)
    }

    /// Logs the first notice of a target that it is leaving, and closes its idle connections.
    fn note_leaving(&self, target: Addressee<'_>) {
        if self.is_known_leaving(target.name) {
            return;
        }
        self.log.leaving(target.name, target.incarnation);
        self.metrics.notice("leaving");
        self.pool.drop_idle(target.addr);
    }
}
