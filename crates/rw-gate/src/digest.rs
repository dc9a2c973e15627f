//! Digests that nodes exchange.

use crate::PrefillJob;
use rw_types::{Role, Suspect};
use serde::{Deserialize, Serialize};

/// Prefills of one node on one target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetPrefills {
    /// Target name.
    pub target: String,
    /// Prefills that are queued or running.
    pub jobs: Vec<PrefillJob>,
}

/// A prompt that a target has received since the previous digest, and now holds in its prefix
/// cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheInsert {
    /// Target name.
    pub target: String,
    /// For each segment, the hash of the prefix that ends with it and the tokens of the segment.
    #[serde(rename = "chain")]
    pub prefix_hashes: Vec<(u64, u32)>,
}

/// Generations of one node that are running on a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetUsage {
    /// Target name.
    pub target: String,
    /// Number of generations.
    pub calls: u32,
    /// Tokens that they hold in the KV cache.
    pub tokens: u64,
}

/// A role change of a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoleChange {
    /// Target name.
    pub target: String,
    /// The new role. A target that already has this role has completed the change.
    pub role: Role,
    /// Maximum number of milliseconds until the target is available again.
    pub left_ms: u64,
}

/// State that one node publishes to the others.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// VM of the node.
    pub vm: String,
    /// Version of its configuration.
    pub version: u64,
    /// Milliseconds for which the node has reached the store without interruption; zero if it does
    /// not reach it.
    #[serde(rename = "reach_ms")]
    pub connected_ms: u64,
    /// Its prefills; targets without any are omitted.
    #[serde(rename = "work")]
    pub prefills: Vec<TargetPrefills>,
    /// Its running generations; targets without any are omitted.
    #[serde(rename = "open")]
    pub usage: Vec<TargetUsage>,
    /// Prompts sent to targets since the previous digest.
    #[serde(rename = "read")]
    pub cache_inserts: Vec<CacheInsert>,
    /// Role changes under way.
    pub changes: Vec<RoleChange>,
    /// Requests that crashed their targets.
    pub suspects: Vec<Suspect>,
}
