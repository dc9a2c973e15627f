//! Errors of calls to the platform.

use displaydoc::Display;

/// Why a call to the platform has no result.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum PlatformError {
    /// the platform did not execute the call, so it had no effect; retry later
    NotApplied,
    /// the response was lost or reported an error, and a write may have taken effect; read the rows back
    Unknown,
    /// the response cannot be parsed or lacks data; check that the address is the platform's
    Malformed,
}

impl std::error::Error for PlatformError {}
