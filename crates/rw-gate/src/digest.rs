//! What nodes tell each other.

use crate::Job;
use rw_types::{Role, Suspect};
use serde::{Deserialize, Serialize};

/// Prompt work of one node on one target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkSum {
    /// Target name.
    pub target: String,
    /// Prompts that wait or are being filled.
    pub jobs: Vec<Job>,
}

/// A prompt that a target read since the digest before.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Read {
    /// Target name.
    pub target: String,
    /// Hash of each part with all parts before it, and the part's tokens.
    pub chain: Vec<(u64, u32)>,
}

/// Generations of one node that run on a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenSum {
    /// Target name.
    pub target: String,
    /// How many.
    pub calls: u32,
    /// Tokens that they hold.
    pub tokens: u64,
}

/// A target that changes its role.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Target name.
    pub target: String,
    /// Role that it is to have; one that has it already is back.
    pub role: Role,
    /// Milliseconds until it is back at the latest.
    pub left_ms: u64,
}

/// One node's word to the others.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// VM that speaks.
    pub vm: String,
    /// Version of its configuration.
    pub version: u64,
    /// Milliseconds for which it has reached the store without a break; zero if it doesn't.
    pub reach_ms: u64,
    /// Its prompt work; a target that is left out has none.
    pub work: Vec<WorkSum>,
    /// Its generations; a target that is left out has none.
    pub open: Vec<OpenSum>,
    /// Prompts read since the digest before.
    pub read: Vec<Read>,
    /// Role changes that it ordered.
    pub changes: Vec<Change>,
    /// Calls that ended their targets.
    pub suspects: Vec<Suspect>,
}
