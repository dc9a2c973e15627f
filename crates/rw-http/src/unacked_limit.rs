//! Limit on the time for which data may stay unacknowledged.

use rustix::net::sockopt;
use std::{io, os::fd::AsFd};

/// Time after which unacknowledged data breaks a connection.
const UNACKED_TIMEOUT_MS: u32 = 1_500;
/// Maximum size of a message that the peer's system takes in full although its process reads nothing.
const MAX_UNREAD_BYTES: usize = 32 << 10;

/// Makes the operating system break a connection whose peer doesn't acknowledge a message.
///
/// The system doesn't tell a peer that is gone from one whose process reads slowly, so that the limit
/// holds only for messages which the peer's system takes without its process. Keep-alive probes end with
/// it, and without it after their own number.
#[derive(Debug)]
pub struct UnackedLimit {
    is_set: bool,
}

impl UnackedLimit {
    /// Limits a connection on which nothing was sent.
    ///
    /// # Errors
    ///
    /// The error of the operating system.
    pub fn new(socket: impl AsFd) -> io::Result<Self> {
        sockopt::set_tcp_user_timeout(&socket, UNACKED_TIMEOUT_MS)?;
        Ok(Self { is_set: true })
    }

    /// Sets or lifts the limit before a message of `bytes` bytes is sent.
    pub fn begin_message(&mut self, socket: impl AsFd, bytes: usize) {
        let is_set = bytes <= MAX_UNREAD_BYTES;
        if is_set != self.is_set {
            self.is_set = is_set;
            let timeout_ms = if is_set { UNACKED_TIMEOUT_MS } else { 0 };
            let _closed_already = sockopt::set_tcp_user_timeout(&socket, timeout_ms);
        }
    }

    /// Whether the limit holds for the latest message.
    #[must_use]
    pub fn is_set(&self) -> bool {
        self.is_set
    }
}
