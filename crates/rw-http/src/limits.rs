//! Limits of a listener.

use std::time::Duration;

/// What one connection of a listener may hold, and for how long.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Longest time from the first byte of a header to its last.
    pub header_time: Duration,
    /// Largest header, in bytes; at most 8,000.
    pub header_bytes: usize,
    /// Longest time from the end of a header to the end of its body.
    pub body_time: Duration,
    /// Longest time without a request.
    pub idle_time: Duration,
    /// Longest time in which the peer takes none of the bytes offered to it.
    pub write_time: Duration,
    /// Most open connections; above it the one that has been idle longest is closed.
    pub connections: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_time: Duration::from_secs(10),
            header_bytes: 8_000,
            body_time: Duration::from_secs(30),
            idle_time: Duration::from_secs(60),
            write_time: Duration::from_secs(20),
            connections: 16_000,
        }
    }
}
