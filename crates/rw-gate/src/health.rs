//! Health of a target, estimated from the outcomes of this node's own calls.

use rw_types::Millis;

/// Weight of the latest outcome in the failure rate.
const OUTCOME_WEIGHT: f64 = 0.3;
/// Failure rate above which a target gets no new work as long as healthy targets are left.
const UNHEALTHY_RATE: f64 = 0.2;
/// Half-life of the failure rate, in milliseconds.
const HALF_LIFE_MS: f64 = 2_500.0;
/// Weight of a sample in the slowdown if it is faster than the estimate.
const FASTER_WEIGHT: f64 = 0.15;
/// Weight of a sample if it is slower than the estimate. It is lower, because the prompt may have
/// waited for work of other nodes.
const SLOWER_WEIGHT: f64 = 0.06;
/// Bounds of a sample of the slowdown: minimum and maximum.
const SLOWDOWN_BOUNDS: (f64, f64) = (0.7, 8.0);

/// Failure rate and slowdown of a target.
#[derive(Debug, Clone, Copy)]
pub struct Health {
    failure_rate: f64,
    updated_at: Millis,
    slowdown: f64,
    /// Whether it is known to be down, until a call succeeds.
    is_down: bool,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            failure_rate: 0.0,
            updated_at: Millis(0),
            slowdown: 1.0,
            is_down: false,
        }
    }
}

impl Health {
    /// Fraction of recent calls that failed, with exponential decay over time.
    #[must_use]
    pub fn failure_rate(&self, now: Millis) -> f64 {
        self.failure_rate * 0.5_f64.powf(now.since(self.updated_at) as f64 / HALF_LIFE_MS)
    }

    /// Whether other targets should be preferred.
    #[must_use]
    pub fn is_unhealthy(&self, now: Millis) -> bool {
        self.failure_rate(now) > UNHEALTHY_RATE
    }

    /// Records the outcome of a call.
    pub fn record_outcome(&mut self, now: Millis, failed: bool) {
        self.is_down &= failed;
        let rate = self.failure_rate(now);
        self.failure_rate =
            rate * (1.0 - OUTCOME_WEIGHT) + if failed { OUTCOME_WEIGHT } else { 0.0 };
        self.updated_at = now;
    }

    /// Records that the target is known to be down.
    pub fn mark_down(&mut self, now: Millis) {
        self.is_down = true;
        self.failure_rate = 1.0;
        self.updated_at = now;
    }

    /// Whether the target is known to be down, and no call has succeeded since.
    #[must_use]
    pub fn is_down(&self) -> bool {
        self.is_down
    }

    /// Ratio of measured to expected prefill time.
    #[must_use]
    pub fn slowdown(&self) -> f64 {
        self.slowdown
    }

    /// Records the measured and the expected time of a prefill, both in milliseconds.
    pub fn record_latency(&mut self, took_ms: f64, expected_ms: f64) {
        let ratio = (took_ms / expected_ms.max(1.0)).clamp(SLOWDOWN_BOUNDS.0, SLOWDOWN_BOUNDS.1);
        let weight = if ratio > self.slowdown {
            SLOWER_WEIGHT
        } else {
            FASTER_WEIGHT
        };
        self.slowdown += (ratio - self.slowdown) * weight;
    }
}
