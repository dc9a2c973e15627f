//! How a target does, from the ends of this node's own calls.

use rw_types::Millis;

/// Weight of the latest end.
const OUTCOME_WEIGHT: f64 = 0.3;
/// Part of failures above which a target gets no new work while others do better.
const UNHEALTHY_RATE: f64 = 0.2;
/// Time in which what is remembered of failures halves, in milliseconds.
const HALF_LIFE_MS: f64 = 2_500.0;
/// Weight of the latest measure of speed.
const FASTER_WEIGHT: f64 = 0.15;
/// Weight of the latest measure of speed if it was slower: it may have met work of other nodes.
const SLOWER_WEIGHT: f64 = 0.06;
/// Bounds of the slowness that is believed.
const SLOWDOWN_BOUNDS: (f64, f64) = (0.7, 8.0);

/// Failures and speed.
#[derive(Debug, Clone, Copy)]
pub struct Health {
    failure_rate: f64,
    updated_at: Millis,
    slowdown: f64,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            failure_rate: 0.0,
            updated_at: Millis(0),
            slowdown: 1.0,
        }
    }
}

impl Health {
    /// Part of the latest calls that failed, fading with time.
    #[must_use]
    pub fn failure_rate(&self, now: Millis) -> f64 {
        self.failure_rate * 0.5_f64.powf(now.since(self.updated_at) as f64 / HALF_LIFE_MS)
    }

    /// Whether others should be preferred.
    #[must_use]
    pub fn is_unhealthy(&self, now: Millis) -> bool {
        self.failure_rate(now) > UNHEALTHY_RATE
    }

    /// Counts an end.
    pub fn record_outcome(&mut self, now: Millis, failed: bool) {
        let rate = self.failure_rate(now);
        self.failure_rate =
            rate * (1.0 - OUTCOME_WEIGHT) + if failed { OUTCOME_WEIGHT } else { 0.0 };
        self.updated_at = now;
    }

    /// The target is known to be down.
    pub fn mark_down(&mut self, now: Millis) {
        self.failure_rate = 1.0;
        self.updated_at = now;
    }

    /// How many times longer it takes than expected.
    #[must_use]
    pub fn slowdown(&self) -> f64 {
        self.slowdown
    }

    /// Counts how long a prompt took against what was expected, both in milliseconds.
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
