//! Where streams began: identifiers of streams and of software versions.

use crate::TargetSpec;
use serde::{Deserialize, Serialize};

/// Short hash of two hashes, uniform over its range.
fn fold(a: u64, b: u64) -> u32 {
    (rw_core::mix(a, b) >> 32) as u32
}

fn short_hash(text: &str) -> u32 {
    fold(rw_core::hash(text), 0)
}

/// Identifier of a stream: hash of the identifier of the call that brought its first event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StreamId(u32);

impl StreamId {
    /// The stream that the call `call_id` began.
    #[must_use]
    pub fn of_call(call_id: &str) -> Self {
        Self(short_hash(call_id))
    }
}

/// Identifier of a version of the software of one service: hash of the names of both.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SoftwareId(u32);

impl SoftwareId {
    /// A version of the software of `service`.
    #[must_use]
    pub fn of(service: &str, version: &str) -> Self {
        Self(fold(rw_core::hash(service), rw_core::hash(version)))
    }

    /// The version that a target has.
    #[must_use]
    pub fn of_target(spec: &TargetSpec) -> Self {
        Self::of(&spec.service, &spec.software)
    }
}

/// Serialized form of an [`OriginReport`], its fields in order.
type OriginFields = (SoftwareId, Vec<StreamId>);

/// Streams that began at one version of the targets' software.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "OriginFields", into = "OriginFields")]
pub struct OriginReport {
    /// The version.
    pub software: SoftwareId,
    /// The streams.
    pub streams: Vec<StreamId>,
}

impl From<OriginFields> for OriginReport {
    fn from((software, streams): OriginFields) -> Self {
        Self { software, streams }
    }
}

impl From<OriginReport> for OriginFields {
    fn from(report: OriginReport) -> Self {
        (report.software, report.streams)
    }
}
