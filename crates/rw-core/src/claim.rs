//! Claims: a row inserted before the one dispatch of a non-idempotent request.

use crate::RecordedResponse;
use rw_types::{BootId, RequestId, Version};
use serde::{Deserialize, Serialize};

/// The row of a claim. Only the claimant named in it may dispatch the request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// VM of the claimant.
    pub vm: String,
    /// Boot of the claimant.
    pub boot: BootId,
    /// Request of the claimant.
    pub request: RequestId,
    /// Fingerprint of the body.
    pub fingerprint: u64,
    /// How far it is.
    pub state: ClaimState,
}

/// How far a claimed request is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimState {
    /// The claimant may dispatch it at any time.
    Held,
    /// The claimant never dispatched it and never will; anyone may claim it anew.
    Released,
    /// It ran and this was the answer.
    Done(RecordedResponse),
    /// It may have run and the answer is lost.
    Lost,
}

/// What a claimant says of a request that it claimed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimStatus {
    /// It may still be dispatched or is running.
    Running,
    /// It was not dispatched and never will be.
    Released,
    /// It ran and this was the answer.
    Done(RecordedResponse),
    /// It may have run and the answer is lost.
    Lost,
    /// The claimant has nothing on it: its end is in the table, or is forgotten.
    Settled,
    /// The claimant's process is gone.
    #[serde(rename = "gone")]
    Terminated,
    /// The claimant can't be asked now.
    #[serde(rename = "silent")]
    Unreachable,
}

/// What the table says of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimResult {
    /// The write took effect at this version.
    Written(Version),
    /// The row as it is; `None` if there is none.
    Found(Option<(Claim, Version)>),
    /// The table did not take the write.
    NotApplied,
    /// The write may have taken effect.
    Unknown,
    /// The row could not be read back either.
    Unreadable,
}

/// Row key of a caller's idempotency key.
#[must_use]
pub fn claim_key(caller: &str, key: &str) -> String {
    format!("claim/{caller}/{key}")
}
