//! Failures of an exchange with a target on behalf of a caller.

use std::io;

/// The caller closed its connection, or the connection failed.
#[derive(Debug)]
pub(crate) struct CallerDisconnected;

/// Which side failed during an exchange.
pub(crate) enum ExchangeError {
    Caller,
    Target(io::Error),
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
