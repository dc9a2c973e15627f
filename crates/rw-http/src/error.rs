//! Errors of the client side.

use displaydoc::Display;

/// Why a call got no whole answer.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum SendError {
    /// no connection could be opened, so no byte was sent; check that the address listens
    NotSent,
    /// the connection broke after bytes may have been sent; read the state back before repeating
    Broken,
    /// the time limit ran out after bytes may have been sent; read the state back before repeating
    TimedOut,
    /// the answer has neither a length nor chunks, so its end can't be told; mend the server
    NoLength,
    /// the body ended before its declared length; treat the answer as lost
    Truncated,
    /// the address is not ip:port; correct the setting
    BadAddr,
}

impl SendError {
    /// Whether it is certain that the other side got nothing.
    #[must_use]
    pub fn is_not_sent(self) -> bool {
        matches!(self, Self::NotSent | Self::BadAddr)
    }
}

impl std::error::Error for SendError {}
