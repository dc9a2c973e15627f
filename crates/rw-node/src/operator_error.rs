//! Why an operator's call was refused.

use displaydoc::Display;
use jsonrpsee_types::ErrorObjectOwned;
use rw_platform::PlatformError;

/// JSON-RPC code of a refusal.
const CODE: i32 = -32_000;

/// Why an operator's call was refused. The text names the remedy.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum OperatorError {
    /// the table does not answer, so nothing was changed; try again when it does
    TableUnavailable,
    /// the table took the confirmation or not, and its answer was lost; run 'redwingweir confirm {0}' again, which gives the result without doing it twice
    ResponseLost(String),
    /// the table holds something that can't be read; check that all VMs run the same version
    Unreadable,
    /// plan '{0}' is not kept; run 'redwingweir plan FILE' and confirm its id
    PlanNotFound(String),
    /// the plan starts from configuration {base}, but {since}; run 'redwingweir plan FILE' again and look at the new plan
    BaseChanged {
        /// Version that the plan starts from.
        base: u64,
        /// Who changed what since.
        since: String,
    },
    /// the file is what is in force; there is nothing to confirm
    NoChanges,
    /// the configuration has mistakes: {0}
    InvalidConfig(String),
    /// target '{0}' has no history; check the name with 'redwingweir status'
    HistoryNotFound(String),
    /// operators keep changing the configuration; try again
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
