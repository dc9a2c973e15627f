//! Incarnations of targets.

use serde::{Deserialize, Serialize};

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
