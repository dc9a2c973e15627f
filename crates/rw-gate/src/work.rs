//! Prompt work that waits on a target.

use rw_types::{Millis, RequestId};

/// A prompt of this node that its target has not finished filling.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sent {
    /// Call.
    pub id: RequestId,
    /// When it was sent.
    pub at: Millis,
    /// Its priority; zero goes first.
    pub priority: u8,
    /// Tokens to fill.
    pub tokens: u64,
}

/// A prompt as far as it decides how long another waits.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Job {
    /// VM that told of it; empty for this node's own.
    vm: String,
    id: u64,
    at: Millis,
    priority: u8,
    tokens: u64,
}

/// How long another node's word is believed, in milliseconds; digests come far more often.
const BELIEVED_MS: u64 = 1_000;
/// Milliseconds that a prompt takes beside its tokens.
const EACH_MS: f64 = 3.0;

/// Prompt work of this node and of the others. A target fills one prompt after another, the most
/// urgent first, and finishes the one that it has begun.
#[derive(Debug, Clone, Default)]
pub struct Work {
    jobs: Vec<Job>,
    /// When the target last finished a prompt.
    moved: Millis,
    /// When each VM last told of its work.
    heard: Vec<(String, Millis)>,
}

impl Work {
    /// Counts a prompt.
    pub fn add(&mut self, sent: Sent) {
        self.jobs.push(Job {
            vm: String::new(),
            id: sent.id.0,
            at: sent.at,
            priority: sent.priority,
            tokens: sent.tokens,
        });
    }

    /// A prompt is filled, or its call is over; false if it was not known.
    pub fn done(&mut self, now: Millis, id: RequestId) -> bool {
        let own = |j: &Job| j.vm.is_empty() && j.id == id.0;
        let Some(i) = self.jobs.iter().position(own) else {
            return false;
        };
        self.jobs.remove(i);
        self.moved = now;
        true
    }

    /// Own prompts: call, milliseconds since it was sent, priority and tokens.
    pub fn own(&self, now: Millis) -> impl Iterator<Item = (u64, u64, u8, u64)> + '_ {
        let own = self.jobs.iter().filter(|j| j.vm.is_empty());
        own.map(move |j| (j.id, now.since(j.at), j.priority, j.tokens))
    }

    /// Takes over what another node says: all of its prompts here.
    pub fn hear(&mut self, now: Millis, vm: &str, told: &[(u64, u64, u8, u64)]) {
        let gone = |j: &Job| j.vm == vm && !told.iter().any(|t| t.0 == j.id);
        if self.jobs.iter().any(gone) {
            self.moved = now;
        }
        self.jobs.retain(|j| j.vm != vm);
        let jobs = told.iter().map(|(id, age, priority, tokens)| Job {
            vm: vm.to_owned(),
            id: *id,
            at: Millis(now.0.saturating_sub(*age)),
            priority: *priority,
            tokens: *tokens,
        });
        self.jobs.extend(jobs);
        self.heard.retain(|(name, _)| name != vm);
        self.heard.push((vm.to_owned(), now));
    }

    /// Forgets what silent nodes told.
    pub fn forget(&mut self, now: Millis) {
        self.heard.retain(|(_, at)| now.since(*at) < BELIEVED_MS);
        let heard = &self.heard;
        self.jobs
            .retain(|j| j.vm.is_empty() || heard.iter().any(|(vm, _)| *vm == j.vm));
    }

    /// Whether anything waits, as far as known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Milliseconds until a new prompt of `priority` is begun, at `rate` tokens a millisecond.
    #[must_use]
    pub fn wait(&self, now: Millis, priority: u8, rate: f64) -> f64 {
        let Some(current) = self.current() else {
            return 0.0;
        };
        let begun = current.at.max(self.moved);
        let spent = now.since(begun) as f64;
        let rest = (time(current, rate) - spent).max(0.0);
        let ahead = self.jobs.iter().filter(|j| j.priority <= priority);
        let ahead = ahead.filter(|j| !std::ptr::eq(*j, current));
        rest + ahead.map(|j| time(j, rate)).sum::<f64>()
    }

    /// The prompt that is being filled: the most urgent of those that waited when the one before
    /// it was finished, else the first that came since.
    fn current(&self) -> Option<&Job> {
        let waited = self.jobs.iter().filter(|j| j.at <= self.moved);
        let next = waited.min_by_key(|j| (j.priority, j.at));
        next.or_else(|| self.jobs.iter().min_by_key(|j| j.at))
    }
}

fn time(job: &Job, rate: f64) -> f64 {
    job.tokens as f64 / rate + EACH_MS
}
