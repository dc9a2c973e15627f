//! Prompt work that waits on a target.

use crate::PrefillSize;
use rw_types::{Millis, RequestId};
use serde::{Deserialize, Serialize};

/// A prompt of this node that its target has not finished filling.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SentPrefill {
    /// Call.
    pub id: RequestId,
    /// When it was sent.
    pub sent_at: Millis,
    /// Its rank; zero goes first.
    pub priority: u8,
    /// What is filled.
    pub size: PrefillSize,
}

/// A prompt that waits or is being filled, as one node tells the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefillJob {
    /// Call at the node that tells of it.
    pub id: u64,
    /// Milliseconds since it was sent.
    pub age_ms: u64,
    /// Its rank; zero goes first.
    #[serde(rename = "rank")]
    pub priority: u8,
    /// What is filled.
    #[serde(rename = "fill")]
    pub size: PrefillSize,
}

/// A prompt as far as it decides how long another waits.
#[derive(Debug, Clone, PartialEq, Eq)]
struct QueuedPrefill {
    /// VM that told of it; empty for this node's own.
    vm: String,
    id: u64,
    sent_at: Millis,
    priority: u8,
    size: PrefillSize,
}

/// How long another node's word is believed, in milliseconds; digests come far more often.
const REMOTE_TTL_MS: u64 = 1_000;
/// Milliseconds over the expected time from which a prompt counts as overdue; digests and answers
/// are on their way for less.
const OVERDUE_MS: f64 = 150.0;
/// Milliseconds that a prompt takes beside its tokens.
const FIXED_MS: f64 = 3.0;

/// Prompt work of this node and of the others. A target fills one prompt after another, the most
/// urgent first, and finishes the one that it has begun.
#[derive(Debug, Clone, Default)]
pub struct PrefillQueue {
    jobs: Vec<QueuedPrefill>,
    /// When the target last finished a prompt.
    last_finished: Millis,
    /// When each VM last told of its work.
    reports: Vec<(String, Millis)>,
}

impl PrefillQueue {
    /// Counts a prompt.
    pub fn add(&mut self, sent: SentPrefill) {
        self.jobs.push(QueuedPrefill {
            vm: String::new(),
            id: sent.id.0,
            sent_at: sent.sent_at,
            priority: sent.priority,
            size: sent.size,
        });
    }

    /// A prompt is filled, or its call is over; false if it was not known.
    pub fn finish(&mut self, now: Millis, id: RequestId) -> bool {
        let own = |j: &QueuedPrefill| j.vm.is_empty() && j.id == id.0;
        let Some(i) = self.jobs.iter().position(own) else {
            return false;
        };
        self.jobs.remove(i);
        self.last_finished = now;
        true
    }

    /// Whether a prompt of this node still waits or is being filled.
    #[must_use]
    pub fn contains(&self, id: RequestId) -> bool {
        self.jobs.iter().any(|j| j.vm.is_empty() && j.id == id.0)
    }

    /// Own prompts.
    pub fn local_jobs(&self, now: Millis) -> impl Iterator<Item = PrefillJob> + '_ {
        let own = self.jobs.iter().filter(|j| j.vm.is_empty());
        own.map(move |j| PrefillJob {
            id: j.id,
            age_ms: now.since(j.sent_at),
            priority: j.priority,
            size: j.size,
        })
    }

    /// Takes over what another node says: all of its prompts here.
    pub fn update_remote(&mut self, now: Millis, vm: &str, reported: &[PrefillJob]) {
        let is_finished = |j: &QueuedPrefill| j.vm == vm && !reported.iter().any(|t| t.id == j.id);
        if self.jobs.iter().any(is_finished) {
            self.last_finished = now;
        }
        self.jobs.retain(|j| j.vm != vm);
        let jobs = reported.iter().map(|reported| QueuedPrefill {
            vm: vm.to_owned(),
            id: reported.id,
            sent_at: Millis(now.0.saturating_sub(reported.age_ms)),
            priority: reported.priority,
            size: reported.size,
        });
        self.jobs.extend(jobs);
        self.reports.retain(|(name, _)| name != vm);
        self.reports.push((vm.to_owned(), now));
    }

    /// Forgets what silent nodes told.
    pub fn expire_remote(&mut self, now: Millis) {
        self.reports
            .retain(|(_, at)| now.since(*at) < REMOTE_TTL_MS);
        let reports = &self.reports;
        self.jobs
            .retain(|j| j.vm.is_empty() || reports.iter().any(|(vm, _)| *vm == j.vm));
    }

    /// Whether anything waits, as far as known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Milliseconds until a new prompt of `rank` is begun, if the target is busy with a prompt for
    /// the milliseconds that `busy` tells.
    #[must_use]
    pub fn wait_ms(&self, now: Millis, priority: u8, busy_ms: impl Fn(PrefillSize) -> f64) -> f64 {
        let Some(current) = self.current() else {
            return 0.0;
        };
        let started = current.sent_at.max(self.last_finished);
        let spent_ms = now.since(started) as f64;
        let time = |j: &QueuedPrefill| busy_ms(j.size) + FIXED_MS;
        let overdue_ms = spent_ms - time(current);
        // One that is overdue is taken to need as long again: its target may hang.
        let current_ms = if overdue_ms > OVERDUE_MS {
            overdue_ms
        } else {
            (-overdue_ms).max(0.0)
        };
        let ahead = self.jobs.iter().filter(|j| j.priority <= priority);
        let ahead = ahead.filter(|j| !std::ptr::eq(*j, current));
        current_ms + ahead.map(time).sum::<f64>()
    }

    /// The prompt that is being filled: the most urgent of those that waited when the one before
    /// it was finished, else the first that came since.
    fn current(&self) -> Option<&QueuedPrefill> {
        let waited = self.jobs.iter().filter(|j| j.sent_at <= self.last_finished);
        let next = waited.min_by_key(|j| (j.priority, j.sent_at));
        next.or_else(|| self.jobs.iter().min_by_key(|j| j.sent_at))
    }
}
