//! Which calls to the platform's API may be sent now.

use crate::{
    DutyOutcome, DutySettings,
    token_bucket::{Refill, TokenBucket},
};
use rw_types::Millis;

/// Time for which a call without a response may still be executed, in milliseconds: what remains of
/// a lease in the store after its holder stops to use it.
const LATE_CALL_MS: u64 = 5_500;
/// Fraction of the calls per second that the platform accepts, as rate and as burst of each duty.
/// Rate and burst of all duties together stay below the limit in any second.
const SIZE_FRACTION: f64 = 0.4;
const USAGE_FRACTION: f64 = 0.05;
/// Minimum rate of the usage reports in calls per second: a report for each window, and its retries.
const MIN_USAGE_RATE: f64 = 0.5;
/// Pause of a duty after the first call that was rate limited, and of a subject after the first one
/// without a response, in milliseconds; it doubles with each further one.
const MIN_PAUSE_MS: u64 = 500;
/// Maximum of these pauses, in milliseconds.
const MAX_PAUSE_MS: u64 = 4_000;

/// A duty, and what it is performed on. Calls about the same subject follow each other.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum DutySubject {
    /// The usage reports.
    Usage,
    /// The size of a service in a data centre.
    Size {
        /// Name of the service.
        service: String,
        /// Data centre.
        centre: String,
    },
}

/// A pause that doubles with each failure.
#[derive(Debug, Clone, Copy, Default)]
struct Backoff {
    until: Millis,
    pause_ms: u64,
}

impl Backoff {
    fn extend(&mut self, now: Millis) {
        self.pause_ms = (self.pause_ms * 2).clamp(MIN_PAUSE_MS, MAX_PAUSE_MS);
        self.until = now.plus(self.pause_ms);
    }
}

/// What has been sent about a subject.
#[derive(Debug, Clone)]
struct Sent {
    subject: DutySubject,
    /// Whether a call is in flight.
    in_flight: bool,
    /// Highest fencing token that was sent, and when the latest call was.
    token: u64,
    sent_at: Millis,
    /// Time until which a call without a response may still be executed.
    late_until: Millis,
    backoff: Backoff,
}

/// Calls of one duty.
#[derive(Debug, Clone, Default)]
struct Lane {
    bucket: Option<TokenBucket>,
    backoff: Backoff,
}

impl Lane {
    fn takes(&mut self, now: Millis, refill: Refill) -> bool {
        let bucket = self
            .bucket
            .get_or_insert_with(|| TokenBucket::full(now, refill));
        bucket.refill(now, refill);
        let is_ready = now >= self.backoff.until && bucket.ready_at(refill) <= now;
        if is_ready {
            bucket.take(now, refill);
        }
        is_ready
    }
}

/// Decides which calls to the platform's API may be sent.
///
/// It responds to the API's limit of calls and to its failures. Each duty has its own share of the
/// limit, so that none starves another. Tokens never decrease for a subject; where the platform does
/// not check them, a higher one also waits until an earlier call without a response can't be
/// executed any more.
#[derive(Debug, Clone, Default)]
pub struct DutyPacer {
    /// Sorted by subject.
    subjects: Vec<Sent>,
    usage: Lane,
    sizes: Lane,
}

impl DutyPacer {
    /// Whether a call with `token` about `subject` may be sent now. If so, it counts as sent until
    /// [`DutyPacer::ended`].
    pub fn admit(
        &mut self,
        now: Millis,
        settings: &DutySettings,
        subject: &DutySubject,
        token: u64,
    ) -> bool {
        let i = self.index(subject);
        let sent = &self.subjects[i];
        let may_overtake = !settings.requires_fencing && token > sent.token;
        let is_open = !sent.in_flight
            && token >= sent.token
            && now >= sent.backoff.until
            && !(may_overtake && now < sent.late_until);
        if !is_open || !self.lane(subject).takes(now, refill(settings, subject)) {
            return false;
        }
        let sent = &mut self.subjects[i];
        sent.in_flight = true;
        sent.token = token;
        sent.sent_at = now;
        true
    }

    /// A call that was admitted ended.
    pub fn ended(&mut self, now: Millis, subject: &DutySubject, outcome: DutyOutcome) {
        let i = self.index(subject);
        let sent = &mut self.subjects[i];
        sent.in_flight = false;
        if outcome == DutyOutcome::Unknown {
            sent.late_until = sent.sent_at.plus(LATE_CALL_MS);
            sent.backoff.extend(now);
        } else {
            sent.backoff = Backoff::default();
        }
        let lane = self.lane(subject);
        match outcome {
            DutyOutcome::RateLimited => lane.backoff.extend(now),
            DutyOutcome::Accepted => lane.backoff = Backoff::default(),
            _ => {}
        }
    }

    fn lane(&mut self, subject: &DutySubject) -> &mut Lane {
        match subject {
            DutySubject::Usage => &mut self.usage,
            DutySubject::Size { .. } => &mut self.sizes,
        }
    }

    fn index(&mut self, subject: &DutySubject) -> usize {
        let found = self.subjects.binary_search_by(|s| s.subject.cmp(subject));
        found.unwrap_or_else(|i| {
            let sent = Sent {
                subject: subject.clone(),
                in_flight: false,
                token: 0,
                sent_at: Millis(0),
                late_until: Millis(0),
                backoff: Backoff::default(),
            };
            self.subjects.insert(i, sent);
            i
        })
    }
}

fn refill(settings: &DutySettings, subject: &DutySubject) -> Refill {
    let per_s = match subject {
        DutySubject::Usage => (settings.calls_per_s * USAGE_FRACTION).max(MIN_USAGE_RATE),
        DutySubject::Size { .. } => settings.calls_per_s * SIZE_FRACTION,
    };
    Refill {
        per_ms: per_s / 1e3,
        capacity: per_s.max(1.0),
    }
}
