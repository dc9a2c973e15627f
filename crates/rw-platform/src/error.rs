//! Errors of the platform.

use displaydoc::Display;

/// Why a call to the platform has no result.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum PlatformError {
    /// the platform did not take the call, so it had no effect; try again later
    NotSent,
    /// the answer was lost and a write may have taken effect; read the rows back
    Lost,
    /// the answer could not be read; check that the address is the platform's
    Garbled,
}

impl std::error::Error for PlatformError {}
