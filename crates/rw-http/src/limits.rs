//! Limits of a listener.

use std::time::Duration;

/// What one connection of a listener may hold, and for how long.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Longest time from the first byte of a header to its last.
    pub header_timeout: Duration,
    /// Largest header, in bytes; at most 8,000.
    pub header_bytes: usize,
    /// Longest time from the end of a header to the end of its body.
    pub body_timeout: Duration,
    /// Longest time without a request.
    pub idle_timeout: Duration,
    /// Longest time in which the peer takes none of the bytes offered to it.
    pub write_timeout: Duration,
    /// Most open connections; above it the one that has been idle longest is closed.
    pub max_connections: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_timeout: Duration::from_secs(10),
            header_bytes: 8_000,
            body_timeout: Duration::from_secs(30),
            idle_timeout: Duration::from_secs(60),
            write_timeout: Duration::from_secs(20),
            max_connections: 16_000,
        }
    }
}
