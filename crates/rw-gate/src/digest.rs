//! What nodes tell each other.

use crate::PrefillJob;
use rw_types::{Role, Suspect};
use serde::{Deserialize, Serialize};

/// Prompt work of one node on one target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetPrefills {
    /// Target name.
    pub target: String,
    /// Prompts that wait or are being filled.
    pub jobs: Vec<PrefillJob>,
}

/// A prompt that a target read since the digest before.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheInsert {
    /// Target name.
    pub target: String,
    /// Hash of each part with all parts before it, and the part's tokens.
    #[serde(rename = "chain")]
    pub prefix_hashes: Vec<(u64, u32)>,
}

/// Generations of one node that run on a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetUsage {
    /// Target name.
    pub target: String,
    /// How many.
    pub calls: u32,
    /// Tokens that they hold.
    pub tokens: u64,
}

/// A target that changes its role.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoleChange {
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
    #[serde(rename = "reach_ms")]
    pub connected_ms: u64,
    /// Its prompt work; a target that is left out has none.
    #[serde(rename = "work")]
    pub prefills: Vec<TargetPrefills>,
    /// Its generations; a target that is left out has none.
    #[serde(rename = "open")]
    pub usage: Vec<TargetUsage>,
    /// Prompts read since the digest before.
    #[serde(rename = "read")]
    pub cache_inserts: Vec<CacheInsert>,
    /// Role changes that it ordered.
    pub changes: Vec<RoleChange>,
    /// Calls that ended their targets.
    pub suspects: Vec<Suspect>,
}
