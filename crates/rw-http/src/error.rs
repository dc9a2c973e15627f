//! Errors of the client side.

use displaydoc::Display;

/// Why a request got no complete response.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum SendError {
    /// no connection could be opened, so no byte was sent; check that a server listens at the address
    NotSent,
    /// the connection broke after bytes may have been sent; read the state back before retrying
    Broken,
    /// the request timed out after bytes may have been sent; read the state back before retrying
    TimedOut,
    /// the response has neither content-length nor transfer-encoding, so its end is undefined; fix the server
    NoLength,
    /// the response body is incomplete; treat the response as lost
    Truncated,
    /// the address is not ip:port; correct the setting
    InvalidAddr,
}

impl SendError {
    /// Whether it is certain that the server received nothing.
    #[must_use]
    pub fn is_not_sent(self) -> bool {
        matches!(self, Self::NotSent | Self::InvalidAddr)
    }
}

impl std::error::Error for SendError {}
