//! Errors of the platform.

use displaydoc::Display;

/// Why a call to the platform has no result.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum PlatformError {
    /// the platform did not take the call, so it had no effect; try again later
    NotApplied,
    /// the answer was lost and a write may have taken effect; read the rows back
    Unknown,
    /// the answer could not be read; check that the address is the platform's
    Malformed,
}

impl std::error::Error for PlatformError {}
