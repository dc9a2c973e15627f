//! Errors of operator calls.

use displaydoc::Display;
use jsonrpsee_types::ErrorObjectOwned;
use rw_platform::PlatformError;

/// JSON-RPC error code of all operator errors.
const CODE: i32 = -32_000;

/// Why an operator's call failed. The message names the remedy.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum OperatorError {
    /// the table does not answer, so nothing was changed; try again when it does
    TableUnavailable,
    /// the table's response was lost, so the confirmation may or may not have been applied; run 'redwingweir confirm {0}' again, which reports the result without applying the plan twice
    ResponseLost(String),
    /// a row of the table could not be parsed; check that all VMs run the same version
    Unreadable,
    /// plan '{0}' is not kept; run 'redwingweir plan FILE' and confirm its id
    PlanNotFound(String),
    /// the plan is based on configuration {base}, but {since}; run 'redwingweir plan FILE' again and review the new plan
    BaseChanged {
        /// Configuration version that the plan is based on.
        base: u64,
        /// Changes confirmed since, with their operators.
        since: String,
    },
    /// the file matches the configuration in force; there is nothing to confirm
    NoChanges,
    /// the configuration is invalid: {0}
    InvalidConfig(String),
    /// target '{0}' has no history; check the name with 'redwingweir status'
    HistoryNotFound(String),
    /// the configuration was changed by other operators during every attempt; try again
    TooManyConflicts,
}

impl std::error::Error for OperatorError {}

impl From<PlatformError> for OperatorError {
    fn from(error: PlatformError) -> Self {
        match error {
            PlatformError::Malformed => Self::Unreadable,
            PlatformError::NotApplied | PlatformError::Unknown => Self::TableUnavailable,
        }
    }
}

impl From<OperatorError> for ErrorObjectOwned {
    fn from(error: OperatorError) -> Self {
        Self::owned(CODE, error.to_string(), None::<()>)
    }
}
