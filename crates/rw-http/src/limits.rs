//! Limits of a listener.

use std::time::Duration;

/// Limits of a listener's connections.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Maximum time from the first byte of a header to its last.
    pub header_timeout: Duration,
    /// Maximum size of a header, in bytes; at most 8,000.
    pub header_bytes: usize,
    /// Maximum time from the end of a header to the end of the body.
    pub body_timeout: Duration,
    /// Maximum time that a connection waits for a request.
    pub idle_timeout: Duration,
    /// Maximum time in which the peer accepts none of the bytes to be written.
    pub write_timeout: Duration,
    /// Maximum number of open connections; above it the longest idle connection is closed.
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
