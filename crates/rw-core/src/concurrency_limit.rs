//! Adaptive limit of this node's concurrent requests to one target.

/// Minimum number of concurrent requests.
const MIN_CAP: f64 = 1.0;
/// Maximum number of concurrent requests.
const MAX_CAP: f64 = 1_024.0;
/// Factor by which a slow response reduces the limit.
const SLOW_FACTOR: f64 = 0.9;
/// Maximum number of times that the backoff is doubled. It is low because one trial request per
/// backoff costs less than leaving out an engine that has recovered.
const MAX_DOUBLINGS: u32 = 2;
/// Multiple of the estimate above which a response counts as slow.
const SLOW_RATIO: f64 = 2.0;
/// Allowance beside the estimate for the network and its queues.
const NETWORK_ALLOWANCE_MS: f64 = 50.0;

/// An adaptive limit: a failure reduces it to one, each response in time raises it by one.
#[derive(Debug, Clone)]
pub struct ConcurrencyLimit {
    cap: f64,
    /// Consecutive failures.
    failures: u32,
}

impl Default for ConcurrencyLimit {
    fn default() -> Self {
        Self {
            cap: MAX_CAP,
            failures: 0,
        }
    }
}

impl ConcurrencyLimit {
    /// Whether another request may be sent while `running` are in flight.
    #[must_use]
    pub fn allows(&self, running: u32) -> bool {
        f64::from(running) < self.cap
    }

    /// Number of concurrent requests allowed.
    #[must_use]
    pub fn cap(&self) -> u32 {
        self.cap as u32
    }

    /// Adjusts the limit after a complete response. It took `took_ms` where `estimate_ms` were
    /// expected, with `running` requests in flight.
    pub fn on_response(&mut self, took_ms: f64, estimate_ms: f64, running: u32) {
        self.failures = 0;
        if took_ms > estimate_ms * SLOW_RATIO + NETWORK_ALLOWANCE_MS {
            let used = f64::from(running).max(MIN_CAP);
            self.cap = (self.cap.min(used) * SLOW_FACTOR).max(MIN_CAP);
        } else {
            // One more per response doubles the limit within one round of responses.
            self.cap = (self.cap + 1.0).min(MAX_CAP);
        }
    }

    /// Reduces the limit to one after a failure; returns the factor by which to extend the backoff.
    pub fn on_failure(&mut self) -> u64 {
        self.cap = MIN_CAP;
        let factor = 1 << self.failures.min(MAX_DOUBLINGS);
        self.failures += 1;
        factor
    }
}
