//! State that nodes exchange with their peers.

use crate::{BootId, Suspect, Version};
use serde::{Deserialize, Serialize};

/// Summary of a node's state, exchanged between peers.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// Name of the VM.
    pub vm: String,
    /// Boot of the VM's process.
    pub boot: BootId,
    /// Configuration version in force at the node.
    pub version: Version,
    /// Milliseconds since the table's newest version was last known to be at most this one;
    /// absent if it was never known.
    #[serde(default)]
    pub age_ms: Option<u64>,
    /// Whether the node accepts new requests.
    #[serde(default)]
    pub ready: bool,
    /// Whether the burn rate of the node's objectives is high.
    #[serde(default, skip_serializing_if = "is_false")]
    pub burning: bool,
    /// Most recent suspect requests; their number is bounded to keep the digest small.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub suspects: Vec<Suspect>,
}

fn is_false(flag: &bool) -> bool {
    !flag
}
