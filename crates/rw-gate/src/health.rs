//! How a target does, from the ends of this node's own calls.

use rw_types::Millis;

/// Weight of the latest end.
const LATEST: f64 = 0.3;
/// Part of failures above which a target gets no new work while others do better.
const SICK: f64 = 0.2;
/// Time in which what is remembered of failures halves, in milliseconds.
const HALVES_MS: f64 = 2_500.0;
/// Weight of the latest measure of speed.
const LATEST_SPEED: f64 = 0.15;
/// Weight of the latest measure of speed if it was slower: it may have met work of other nodes.
const LATEST_SLOWER: f64 = 0.06;
/// Bounds of the slowness that is believed.
const SLOWNESS: (f64, f64) = (0.7, 8.0);

/// Failures and speed.
#[derive(Debug, Clone, Copy)]
pub struct Health {
    failure_rate: f64,
    at: Millis,
    slowdown: f64,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            failure_rate: 0.0,
            at: Millis(0),
            slowdown: 1.0,
        }
    }
}

impl Health {
    /// Part of the latest calls that failed, fading with time.
    #[must_use]
    pub fn failure_rate(&self, now: Millis) -> f64 {
        self.failure_rate * 0.5_f64.powf(now.since(self.at) as f64 / HALVES_MS)
    }

    /// Whether others should be preferred.
    #[must_use]
    pub fn is_unhealthy(&self, now: Millis) -> bool {
        self.failure_rate(now) > SICK
    }

    /// Counts an end.
    pub fn record_outcome(&mut self, now: Millis, failed: bool) {
        let before = self.failure_rate(now);
        self.failure_rate = before * (1.0 - LATEST) + if failed { LATEST } else { 0.0 };
        self.at = now;
    }

    /// The target is known to be down.
    pub fn mark_down(&mut self, now: Millis) {
        self.failure_rate = 1.0;
        self.at = now;
    }

    /// How many times longer it takes than expected.
    #[must_use]
    pub fn slowdown(&self) -> f64 {
        self.slowdown
    }

    /// Counts how long a prompt took against what was expected, both in milliseconds.
    pub fn record_latency(&mut self, took: f64, expected: f64) {
        let seen = (took / expected.max(1.0)).clamp(SLOWNESS.0, SLOWNESS.1);
        let weight = if seen > self.slowdown {
            LATEST_SLOWER
        } else {
            LATEST_SPEED
        };
        self.slowdown += (seen - self.slowdown) * weight;
    }
}
