//! What nodes tell each other of themselves.

use crate::{BootId, Suspect, Version};
use serde::{Deserialize, Serialize};

/// A node's word on itself, exchanged between peers.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// VM.
    pub vm: String,
    /// Boot.
    pub boot: BootId,
    /// Version of the configuration in force.
    pub version: Version,
    /// Milliseconds since the table's head was at most this version; absent if never known.
    #[serde(default)]
    pub age_ms: Option<u64>,
    /// Whether the node takes new requests.
    #[serde(default)]
    pub ready: bool,
    /// Whether the objectives of its callers burn fast.
    #[serde(default, skip_serializing_if = "is_false")]
    pub burning: bool,
    /// Latest bodies suspected to end their targets; bounded, so that the digest stays small.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub suspects: Vec<Suspect>,
}

fn is_false(flag: &bool) -> bool {
    !flag
}
