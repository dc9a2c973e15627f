//! The state of one request.

use crate::{Call, Claim};
use rw_types::{AttemptId, RequestId, Version};

/// A request that has no final answer yet.
#[derive(Debug, Clone)]
pub struct Request {
    /// Identity.
    pub id: RequestId,
    /// What it asks for.
    pub call: Call,
    /// What it waits for.
    pub phase: Phase,
    /// Dispatches so far.
    pub attempts: u32,
    /// Targets dispatched to so far.
    pub tried: Vec<String>,
    /// Tokens that the caller has.
    pub tokens: u64,
}

/// What a request waits for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Phase {
    /// The table, for a claim.
    Claiming {
        /// Claim being written.
        claim: Claim,
    },
    /// Its target.
    Running {
        /// Attempt.
        attempt: AttemptId,
        /// Target name.
        target: String,
        /// Claim it runs under, with the version of its row.
        claim: Option<(Claim, Version)>,
    },
}
