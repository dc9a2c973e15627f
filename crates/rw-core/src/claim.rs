//! Claims: a table row written before the only dispatch of a non-idempotent request.
//!
//! The row makes the request run at most once: a retry of its idempotency key finds the row,
//! whichever VM receives it.

use crate::RecordedResponse;
use rw_types::{BootId, RequestId, Version};
use serde::{Deserialize, Serialize};

/// Value of a claim's row. Only the claimant that it names may dispatch the request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// VM of the claimant.
    pub vm: String,
    /// Boot of the claimant.
    pub boot: BootId,
    /// The request's id at the claimant.
    pub request: RequestId,
    /// Hash of the path and the body; a request with the same key but another hash is refused.
    pub fingerprint: u64,
    /// State of the request.
    pub state: ClaimState,
}

/// State of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimState {
    /// The claimant may dispatch it at any time, or is running it.
    Held,
    /// The claimant did not dispatch it and never will; any VM may claim it again.
    Released,
    /// It ran and this is its response.
    Done(RecordedResponse),
    /// It may have run, but the response was lost.
    Lost,
}

/// Status of a claimed request as its claimant reports it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimStatus {
    /// It may still be dispatched or is running.
    Running,
    /// It was not dispatched and never will be.
    Released,
    /// It ran and this is its response.
    Done(RecordedResponse),
    /// It may have run, but the response was lost.
    Lost,
    /// The claimant has no record of it: its outcome is in the table, or the record expired.
    Settled,
    /// The claimant's process has terminated.
    #[serde(rename = "gone")]
    Terminated,
    /// The claimant can't be reached at present, so the status is unknown.
    #[serde(rename = "silent")]
    Unreachable,
}

/// Result of a read or conditional write of a claim's row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimResult {
    /// The write was applied; the row now has this version.
    Written(Version),
    /// The current row; `None` if there is none.
    Found(Option<(Claim, Version)>),
    /// The write was not applied.
    NotApplied,
    /// It is unknown whether the write was applied.
    Unknown,
    /// The row could not be read.
    Unreadable,
}

/// Table key of the claim for a caller's idempotency key.
#[must_use]
pub fn claim_key(caller: &str, key: &str) -> String {
    format!("claim/{caller}/{key}")
}
