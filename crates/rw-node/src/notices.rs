//! What targets say about themselves in the heads of their responses.

use crate::Shell;
use rw_core::Event;
use rw_http::{ClientResponse, RetryAfter};
use rw_types::{MAX_PAUSE_MS, TargetNotice};

/// Header with which a target says that it is leaving.
const LEAVING: &str = "x-leaving";
/// Status with which a target may ask for a pause.
const UNAVAILABLE: u16 = 503;

impl Shell {
    /// Passes on what the target at `addr` says about itself with a response, if anything.
    pub(crate) fn notice(&self, addr: &str, response: &ClientResponse) {
        let notice = TargetNotice {
            is_leaving: says_leaving(response),
            pause_ms: pause_ms(addr, response),
        };
        if notice.is_empty() {
            return;
        }
        log::info!(addr, leaving = notice.is_leaving, pause_ms:? = notice.pause_ms; "target leaves or pauses by its own response");
        let addr = addr.to_owned();
        self.step(Event::TargetNotice { addr, notice });
    }
}

/// Whether a target says with a response that it is leaving.
pub(crate) fn says_leaving(response: &ClientResponse) -> bool {
    response.header(LEAVING) == Some("1")
}

fn pause_ms(addr: &str, response: &ClientResponse) -> Option<u64> {
    if response.status() != UNAVAILABLE {
        return None;
    }
    match RetryAfter::parse(response.header("retry-after")?) {
        RetryAfter::Millis(ms) if ms > MAX_PAUSE_MS => {
            log::warn!(addr, pause_ms = ms, max_ms = MAX_PAUSE_MS; "target asks for too long a pause, which was cut; correct its Retry-After");
            Some(ms)
        }
        RetryAfter::Millis(ms) => Some(ms).filter(|ms| *ms > 0),
        RetryAfter::Invalid => {
            log::warn!(addr; "target asks for a pause that is not a number of seconds, which was ignored; correct its Retry-After");
            None
        }
    }
}
