//! What nodes tell each other about the speed of targets.

use crate::TargetIncarnation;
use serde::{Deserialize, Serialize};

/// Serialized form of a [`SpeedReport`], its fields in order.
type ReportFields = (TargetIncarnation, u8, u32, u16, u8, u64);

/// What one node has measured of a target whose speed differs clearly from the others of its service,
/// or that others have reported to differ.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "ReportFields", into = "ReportFields")]
pub struct SpeedReport {
    /// The target.
    pub target: TargetIncarnation,
    /// Kind of work: position in [`WorkKind::ALL`](crate::WorkKind::ALL). Reports of a kind that the
    /// receiver doesn't know are ignored.
    pub kind: u8,
    /// Node that has measured it, as a hash of its name.
    pub source: u32,
    /// Time that work takes there, in percent of the mean of the service.
    pub percent: u16,
    /// Number of samples behind it.
    pub samples: u8,
    /// Time since it was measured, in milliseconds.
    pub age_ms: u64,
}

impl From<ReportFields> for SpeedReport {
    fn from((target, kind, source, percent, samples, age_ms): ReportFields) -> Self {
        Self {
            target,
            kind,
            source,
            percent,
            samples,
            age_ms,
        }
    }
}

impl From<SpeedReport> for ReportFields {
    fn from(r: SpeedReport) -> Self {
        let SpeedReport { target, kind, .. } = r;
        (target, kind, r.source, r.percent, r.samples, r.age_ms)
    }
}
