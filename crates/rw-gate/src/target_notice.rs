//! What targets say about themselves.

use serde::{Deserialize, Serialize};

/// What a target says about itself in the head of a response, whatever the response is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TargetNotice {
    /// Whether it is leaving. This is a fact of the target, so that nodes tell each other.
    pub is_leaving: bool,
    /// Milliseconds for which it wants no new work from this node. It may want work from others, so
    /// that nodes keep this to themselves.
    pub pause_ms: Option<u64>,
}

/// Serialized form of a [`TargetIncarnation`], its fields in order.
type IncarnationFields = (String, u64);

/// One incarnation of a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "IncarnationFields", into = "IncarnationFields")]
pub struct TargetIncarnation {
    /// Target name.
    pub name: String,
    /// Start time, as in [`TargetSpec::incarnation`](crate::TargetSpec::incarnation).
    pub incarnation: u64,
}

impl From<IncarnationFields> for TargetIncarnation {
    fn from((name, incarnation): IncarnationFields) -> Self {
        Self { name, incarnation }
    }
}

impl From<TargetIncarnation> for IncarnationFields {
    fn from(target: TargetIncarnation) -> Self {
        (target.name, target.incarnation)
    }
}
