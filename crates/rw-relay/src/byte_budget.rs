//! Pacing of bytes to a rate.

use rw_types::Millis;
use std::time::Duration;

/// Limits what is sent to a rate. No credit accumulates while nothing is sent.
#[derive(Debug, Clone, Copy, Default)]
pub struct ByteBudget {
    /// Time by which all that was sent is paid for, in microseconds.
    paid_at_us: u64,
}

impl ByteBudget {
    /// Records that `bytes` were sent at a rate of `bytes_per_s`. A rate of zero counts as one.
    pub fn spend(&mut self, now: Millis, bytes: usize, bytes_per_s: u32) {
        let cost_us = bytes as u64 * 1_000_000 / u64::from(bytes_per_s.max(1));
        self.paid_at_us = self.paid_at_us.max(now.0 * 1_000) + cost_us;
    }

    /// Time until what was sent is paid for; zero if more may be sent.
    #[must_use]
    pub fn debt(&self, now: Millis) -> Duration {
        Duration::from_micros(self.paid_at_us.saturating_sub(now.0 * 1_000))
    }
}
