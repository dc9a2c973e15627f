//! Monotonic clock that includes the time for which the VM is suspended.

use rustix::time::{ClockId, clock_gettime};
use rw_types::Millis;

/// Milliseconds since the clock was started. Time spent suspended counts, so that a resumed
/// process sees the true age of its state.
#[derive(Debug, Clone, Copy)]
pub struct BootClock {
    start: i64,
}

impl BootClock {
    /// Starts a clock at zero.
    #[must_use]
    pub fn start() -> Self {
        Self { start: read() }
    }

    /// Time since the clock was started.
    #[must_use]
    pub fn now(&self) -> Millis {
        Millis((read() - self.start).max(0) as u64)
    }
}

fn read() -> i64 {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec * 1_000 + time.tv_nsec / 1_000_000
}
