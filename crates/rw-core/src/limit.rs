//! How many of this node's requests one target may have at once.

/// Fewest requests a target may have.
const LEAST: f64 = 1.0;
/// Most requests a target may have.
const MOST: f64 = 1_024.0;
/// Part of the limit that is left when an answer took far longer than was estimated.
const SLOW: f64 = 0.9;
/// Most times that a rest is doubled; one trial request a rest costs less than an engine left out.
const DOUBLINGS: u32 = 2;
/// Times the estimate from which an answer counts as slow.
const LATE: f64 = 2.0;
/// Milliseconds beside the estimate that ways and queues on them may take.
const GRACE: f64 = 50.0;

/// An adaptive limit: a failure takes it to one, answers in time open it by degrees.
#[derive(Debug, Clone)]
pub struct ConcurrencyLimit {
    cap: f64,
    /// Failures in a row.
    failures: u32,
}

impl Default for ConcurrencyLimit {
    fn default() -> Self {
        Self {
            cap: MOST,
            failures: 0,
        }
    }
}

impl ConcurrencyLimit {
    /// Whether one more than `running` requests may be sent.
    #[must_use]
    pub fn allows(&self, running: u32) -> bool {
        f64::from(running) < self.cap
    }

    /// Requests allowed.
    #[must_use]
    pub fn cap(&self) -> u32 {
        self.cap as u32
    }

    /// An answer came whole after `took` where `estimate` was expected, with `running` at once.
    pub fn on_response(&mut self, took: f64, estimate: f64, running: u32) {
        self.failures = 0;
        if took > estimate * LATE + GRACE {
            let used = f64::from(running).max(LEAST);
            self.cap = (self.cap.min(used) * SLOW).max(LEAST);
        } else {
            // One more for each answer doubles the limit within one round of answers.
            self.cap = (self.cap + 1.0).min(MOST);
        }
    }

    /// A request failed; returns how many times longer than once the target rests.
    pub fn on_failure(&mut self) -> u64 {
        self.cap = LEAST;
        let factor = 1 << self.failures.min(DOUBLINGS);
        self.failures += 1;
        factor
    }
}
