//! What nodes tell each other.

use rw_types::Suspect;
use serde::{Deserialize, Serialize};

/// Prompt work of one node on one target, in tokens.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkSum {
    /// Target name.
    pub target: String,
    /// All of it.
    pub tokens: u64,
    /// Its most urgent part.
    pub urgent: u64,
}

/// A prompt that a target read since the digest before.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Read {
    /// Target name.
    pub target: String,
    /// Hash of each part with all parts before it, and the part's tokens.
    pub chain: Vec<(u64, u32)>,
}

/// One node's word to the others.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// VM that speaks.
    pub vm: String,
    /// Version of its configuration.
    pub version: u64,
    /// Its prompt work; a target that is left out has none.
    pub work: Vec<WorkSum>,
    /// Prompts read since the digest before.
    pub read: Vec<Read>,
    /// Calls that ended their targets.
    pub suspects: Vec<Suspect>,
}
