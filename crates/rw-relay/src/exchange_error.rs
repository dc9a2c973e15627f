//! Failures of an exchange with a target on behalf of a caller.

use crate::{
    StreamError,
    io_error::{malformed, truncated},
};
use std::io;

/// The caller closed its connection, or the connection failed.
#[derive(Debug)]
pub(crate) struct CallerDisconnected;

/// How an exchange failed.
pub(crate) enum ExchangeError {
    Caller,
    Target(io::Error),
    /// The response has this status, and doesn't go on with the one that has begun.
    Unrelated {
        status: u16,
    },
}

impl ExchangeError {
    /// The failure of a stream whose response has this status.
    pub(crate) fn of_stream(error: StreamError, status: u16) -> Self {
        match error {
            StreamError::Unrelated => Self::Unrelated { status },
            StreamError::Malformed => Self::Target(malformed()),
            StreamError::Truncated => Self::Target(truncated()),
            StreamError::Caller => Self::Caller,
        }
    }
}

impl From<io::Error> for ExchangeError {
    fn from(error: io::Error) -> Self {
        Self::Target(error)
    }
}

/// Result of sending to the caller.
pub(crate) fn caller_result(sent: io::Result<()>) -> Result<(), ExchangeError> {
    sent.map_err(|_| ExchangeError::Caller)
}
