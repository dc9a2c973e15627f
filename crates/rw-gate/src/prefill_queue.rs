//! Prefill queue of a target.

use crate::{PrefillSize, Reservation, digest::REPORT_TTL_MS};
use rw_types::{Millis, RequestId};
use serde::{Deserialize, Serialize};

/// A prefill that this node sent to a target and that has not finished.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SentPrefill {
    /// Identifier of the call.
    pub id: RequestId,
    /// Time at which it was sent.
    pub sent_at: Millis,
    /// Priority; zero is the most urgent.
    pub priority: u8,
    /// Work of the prefill.
    pub size: PrefillSize,
}

/// Serialized form of a [`PrefillJob`]: identifier, age, priority, tokens and cached tokens.
type JobFields = (u64, u64, u8, u64, u64);

/// A queued or running prefill, as nodes report it to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "JobFields", into = "JobFields")]
pub struct PrefillJob {
    /// Identifier of the call at the reporting node.
    pub id: u64,
    /// Milliseconds since it was sent.
    pub age_ms: u64,
    /// Priority; zero is the most urgent.
    pub priority: u8,
    /// Work of the prefill.
    pub size: PrefillSize,
}

impl From<JobFields> for PrefillJob {
    fn from((id, age_ms, priority, tokens, cached): JobFields) -> Self {
        let size = PrefillSize { tokens, cached };
        Self {
            id,
            age_ms,
            priority,
            size,
        }
    }
}

impl From<PrefillJob> for JobFields {
    fn from(job: PrefillJob) -> Self {
        let PrefillSize { tokens, cached } = job.size;
        (job.id, job.age_ms, job.priority, tokens, cached)
    }
}

/// A queued or running prefill of any node.
#[derive(Debug, Clone, PartialEq, Eq)]
struct QueuedPrefill {
    /// VM that reported it; empty for prefills of this node.
    vm: String,
    id: u64,
    sent_at: Millis,
    priority: u8,
    size: PrefillSize,
    /// Set if this node granted it as a scheduler: time at which it expires.
    reserved_until: Option<Millis>,
}

/// Milliseconds beyond the expected time from which a prefill counts as overdue. Responses,
/// and digests unless very much is open, are in transit for less than this.
const OVERDUE_MS: f64 = 150.0;
/// Time for which each prefill occupies the target beside its tokens, in milliseconds. Unlike the
/// fixed time of the cost model, it does not overlap with other prefills.
const FIXED_MS: f64 = 3.0;

/// Prefills of this node and of other nodes on one target. The target runs one prefill at a time,
/// in order of priority, and does not preempt a running one.
#[derive(Debug, Clone, Default)]
pub struct PrefillQueue {
    jobs: Vec<QueuedPrefill>,
    /// Time at which the target last finished a prefill.
    last_finished: Millis,
    /// Time of the latest report of each VM.
    reports: Vec<(String, Millis)>,
}

impl PrefillQueue {
    /// Adds a prefill of this node.
    pub fn add(&mut self, sent: SentPrefill) {
        self.jobs.push(QueuedPrefill {
            vm: String::new(),
            id: sent.id.0,
            sent_at: sent.sent_at,
            priority: sent.priority,
            size: sent.size,
            reserved_until: None,
        });
    }

    /// Removes a prefill that has finished or whose call has ended. Returns false if it was not
    /// known.
    pub fn finish(&mut self, now: Millis, id: RequestId) -> bool {
        let own = |j: &QueuedPrefill| j.vm.is_empty() && j.id == id.0;
        let Some(i) = self.jobs.iter().position(own) else {
            return false;
        };
        self.jobs.remove(i);
        self.last_finished = now;
        true
    }

    /// Whether a prefill of this node is queued or running.
    #[must_use]
    pub fn contains(&self, id: RequestId) -> bool {
        self.jobs.iter().any(|j| j.vm.is_empty() && j.id == id.0)
    }

    /// Prefills of this node.
    pub fn local_jobs(&self, now: Millis) -> impl Iterator<Item = PrefillJob> + '_ {
        let own = self.jobs.iter().filter(|j| j.vm.is_empty());
        own.map(move |j| PrefillJob {
            id: j.id,
            age_ms: now.since(j.sent_at),
            priority: j.priority,
            size: j.size,
        })
    }

    /// Replaces the prefills of another node on this target by those that it `reported`.
    pub fn update_remote(&mut self, now: Millis, vm: &str, reported: &[PrefillJob]) {
        let is_remote = |j: &QueuedPrefill| j.vm == vm && j.reserved_until.is_none();
        let is_finished =
            |j: &QueuedPrefill| is_remote(j) && !reported.iter().any(|r| r.id == j.id);
        if self.jobs.iter().any(is_finished) {
            self.last_finished = now;
        }
        self.jobs.retain(|j| !is_remote(j));
        let is_reserved = |id: u64| self.jobs.iter().any(|j| j.vm == vm && j.id == id);
        let unknown: Vec<&PrefillJob> = reported.iter().filter(|r| !is_reserved(r.id)).collect();
        let jobs = unknown.into_iter().map(|r| QueuedPrefill {
            vm: vm.to_owned(),
            id: r.id,
            sent_at: Millis(now.0.saturating_sub(r.age_ms)),
            priority: r.priority,
            size: r.size,
            reserved_until: None,
        });
        self.jobs.extend(jobs);
        self.reports.retain(|(name, _)| name != vm);
        self.reports.push((vm.to_owned(), now));
    }

    /// Removes the prefills of nodes whose latest report has expired.
    pub fn expire_remote(&mut self, now: Millis) {
        self.reports
            .retain(|(_, at)| now.since(*at) < REPORT_TTL_MS);
        let reports = &self.reports;
        self.jobs.retain(|j| match j.reserved_until {
            Some(until) => now < until,
            None => j.vm.is_empty() || reports.iter().any(|(vm, _)| *vm == j.vm),
        });
    }

    /// Adds a prefill that this node granted to another one, unless its end is reported, until `until`.
    pub fn reserve(&mut self, now: Millis, until: Millis, reservation: &Reservation) {
        self.jobs.push(QueuedPrefill {
            vm: reservation.vm.clone(),
            id: reservation.id,
            sent_at: now,
            priority: reservation.priority,
            size: reservation.size,
            reserved_until: Some(until),
        });
    }

    /// Removes a granted prefill of the node `vm`. Returns false if it was not known.
    pub fn finish_reserved(&mut self, now: Millis, vm: &str, id: u64) -> bool {
        let granted = |j: &QueuedPrefill| j.reserved_until.is_some() && j.vm == vm && j.id == id;
        let Some(i) = self.jobs.iter().position(granted) else {
            return false;
        };
        self.jobs.remove(i);
        self.last_finished = now;
        true
    }

    /// Whether no prefill is known to be queued or running.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Milliseconds until a new prefill of the given `priority` is started. `busy_ms` returns the
    /// time for which a prefill occupies the target.
    #[must_use]
    pub fn wait_ms(&self, now: Millis, priority: u8, busy_ms: impl Fn(PrefillSize) -> f64) -> f64 {
        let Some(current) = self.current() else {
            return 0.0;
        };
        let started = current.sent_at.max(self.last_finished);
        let spent_ms = now.since(started) as f64;
        let time = |j: &QueuedPrefill| busy_ms(j.size) + FIXED_MS;
        let excess_ms = spent_ms - time(current);
        // An overdue prefill is assumed to need as much time again, because the target may hang.
        let current_ms = if excess_ms > OVERDUE_MS {
            excess_ms
        } else {
            (-excess_ms).max(0.0)
        };
        let ahead = self.jobs.iter().filter(|j| j.priority <= priority);
        let ahead = ahead.filter(|j| !std::ptr::eq(*j, current));
        current_ms + ahead.map(time).sum::<f64>()
    }

    /// The running prefill: the most urgent one that was queued when the previous one finished, or
    /// else the first one that was sent since.
    fn current(&self) -> Option<&QueuedPrefill> {
        let waited = self.jobs.iter().filter(|j| j.sent_at <= self.last_finished);
        let next = waited.min_by_key(|j| (j.priority, j.sent_at));
        next.or_else(|| self.jobs.iter().min_by_key(|j| j.sent_at))
    }
}
