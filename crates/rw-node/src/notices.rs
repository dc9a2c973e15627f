//! What targets say about themselves in the heads of their responses.

use crate::Shell;
use rw_core::Event;
use rw_http::{ClientResponse, RetryAfter};
use rw_types::{MAX_PAUSE_MS, TargetNotice};
use std::sync::PoisonError;

/// Header with which a target says that it is leaving.
const LEAVING: &str = "x-leaving";
/// Maximum number of targets with a warning about a pause.
const MAX_WARNED: usize = 1_000;
/// Status with which a target may ask for a pause.
const UNAVAILABLE: u16 = 503;

impl Shell {
    /// Passes on what the target at `addr` says about itself with a response, if anything.
    pub(crate) fn notice(&self, addr: &str, response: &ClientResponse) {
        let notice = TargetNotice {
            is_leaving: says_leaving(response),
            pause_ms: self.pause_ms(addr, response),
            ..TargetNotice::default()
        };
        if notice.is_empty() {
            return;
        }
        if self.is_open(addr) {
            log::info!(addr, leaving = notice.is_leaving, pause_ms:? = notice.pause_ms; "target leaves or pauses by its own response");
        }
        let addr = addr.to_owned();
        self.step(Event::TargetNotice { addr, notice });
    }

    /// Whether a target at `addr` gets new requests.
    fn is_open(&self, addr: &str) -> bool {
        let now = self.now();
        let node = self.lock();
        let mut targets = node.targets().all().iter();
        targets.any(|t| t.spec.addr == addr && t.is_open(now))
    }

    fn pause_ms(&self, addr: &str, response: &ClientResponse) -> Option<u64> {
        if response.status() != UNAVAILABLE {
            return None;
        }
        match RetryAfter::parse(response.header("retry-after")?) {
            RetryAfter::Millis(ms) => {
                if ms > MAX_PAUSE_MS && self.warn_once(addr) {
                    log::warn!(addr, pause_ms = ms, max_ms = MAX_PAUSE_MS; "target asks for too long a pause, which was cut; correct its Retry-After");
                }
                Some(ms).filter(|ms| *ms > 0)
            }
            RetryAfter::Invalid => {
                if self.warn_once(addr) {
                    log::warn!(addr; "target asks for a pause that is not a number of seconds, which was ignored; correct its Retry-After");
                }
                None
            }
        }
    }

    /// Whether no warning about a pause of the target at `addr` was logged before.
    fn warn_once(&self, addr: &str) -> bool {
        let warned = self.warned_targets.lock();
        let mut warned = warned.unwrap_or_else(PoisonError::into_inner);
        let Err(i) = warned.binary_search_by(|a| a.as_str().cmp(addr)) else {
            return false;
        };
        if warned.len() == MAX_WARNED {
            return false;
        }
        warned.insert(i, addr.to_owned());
        true
    }
}

/// Whether a target says with a response that it is leaving.
pub(crate) fn says_leaving(response: &ClientResponse) -> bool {
    response.header(LEAVING) == Some("1")
}
