//! Messages between nodes and schedulers.

use super::LoadFields;
use crate::PrefillSize;
use serde::{Deserialize, Serialize};

/// What a placement must meet to be granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Bound {
    /// The wait for queued prefills is at most this many milliseconds.
    Wait(u64),
    /// The cost is lower than this many milliseconds.
    Cost(u64),
    /// No bound.
    Open,
}

/// Request for a placement of one prompt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementRequest {
    /// Identifier of the call at the requesting node.
    pub id: u64,
    /// Number of the request among those for this call.
    pub number: u32,
    /// Service.
    pub service: String,
    /// Group of engines.
    pub group: u32,
    /// Model that is to run the prompt.
    pub model: String,
    /// Length of the prompt in tokens.
    pub tokens: u32,
    /// Maximum number of tokens to generate.
    pub max_output: u32,
    /// Identifiers and tokens of the prompt's segments; empty if it is prefilled already.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub parts: Vec<(u64, u32)>,
    /// Priority; zero is the most urgent.
    pub priority: u8,
    /// Whether the stream may be resumed.
    #[serde(default)]
    pub resumable: bool,
    /// Milliseconds for which the caller waits for the response to start.
    pub wait_ms: u64,
    /// Milliseconds until the deadline of the call.
    pub left_ms: u64,
    /// Data centre in which the prompt was prefilled; `None` if that is still to be done.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prefilled_in: Option<String>,
    /// What the placement must meet.
    pub bound: Bound,
}

/// Report that work on a target has ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkEnd {
    /// Identifier of the call at the reporting node.
    pub id: u64,
    /// Target name.
    pub target: String,
    /// Milliseconds from sending until the prompt was prefilled, if it was.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prefill_ms: Option<u64>,
    /// Whether the target has no more work of this call.
    #[serde(default)]
    pub ended: bool,
    /// Load that the target reported: running, waiting and slots.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub load: Option<LoadFields>,
}

/// What a node tells a scheduler in one datagram. The ends come before the request.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SchedulerMessage {
    /// VM of the sender.
    pub vm: String,
    /// Work that has ended.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub ends: Vec<WorkEnd>,
    /// A prompt to place.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<PlacementRequest>,
}

/// A reserved place on an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementGrant {
    /// Target name.
    pub target: String,
    /// Incarnation of the target.
    pub incarnation: u64,
    /// Whether the target only prefills the prompt.
    #[serde(default)]
    pub prefill_only: bool,
    /// Prefill work.
    #[serde(default)]
    pub size: PrefillSize,
    /// `ip:port` of a target from which the cached beginning of the prompt is fetched.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fetch_from: Option<String>,
    /// Milliseconds for which the prefill occupies the target.
    pub busy_ms: u64,
    /// Milliseconds until the prompt is prefilled.
    pub prefill_ms: u64,
    /// Milliseconds until the response starts.
    pub start_ms: u64,
    /// Whether no other prefill is queued on the target.
    #[serde(default)]
    pub queue_empty: bool,
}

/// Decision of a scheduler.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlacementOutcome {
    /// The place is reserved.
    Granted(PlacementGrant),
    /// The best place has this cost in milliseconds, which does not meet the bound.
    Exceeds(u64),
    /// The response would start too late, in this many milliseconds.
    TooLate(u64),
    /// No engine of the group can take the prompt.
    NoTarget,
}

/// Answer to a [`PlacementRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementReply {
    /// VM of the scheduler.
    pub vm: String,
    /// Identifier of the call.
    pub id: u64,
    /// Number of the request.
    pub number: u32,
    /// Decision.
    pub outcome: PlacementOutcome,
}
