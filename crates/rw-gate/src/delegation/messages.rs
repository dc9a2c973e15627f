//! What the reducer and its shell say to each other about delegated calls.

use crate::{Delivered, Refusal, SoftwareId};
use serde::{Deserialize, Serialize};

/// A node of the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetNode {
    /// VM name.
    pub vm: String,
    /// Data centre; empty if it isn't known.
    pub centre: String,
}

/// What a delegate must know of a call beside the request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DelegatedCall {
    /// Service that the call goes to.
    pub service: String,
    /// Milliseconds until the deadline of the call.
    pub left_ms: u64,
    /// Version of the configuration that the call was admitted under.
    #[serde(default)]
    pub version: u64,
    /// Whether it counts as a call in another node's part of the retry budget.
    #[serde(default)]
    pub is_counted: bool,
    /// Number of targets that have run it or may have run it.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub runs: u32,
    /// Version of the targets' software at which the stream must go on.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub software: Option<SoftwareId>,
    /// Event after which the stream is resumed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resume_after: Option<u64>,
}

fn is_zero(n: &u32) -> bool {
    *n == 0
}

/// A call to be passed to another node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Delegation {
    /// VM of the delegate.
    pub vm: String,
    /// What the delegate must know of the call.
    pub call: DelegatedCall,
    /// Whether the response is a stream of events.
    pub stream: bool,
    /// Whether the stream may be resumed.
    pub resumable: bool,
}

/// The target whose response a delegate returns.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResponseSource {
    /// Target name.
    pub target: String,
    /// Incarnation of the target.
    pub incarnation: u64,
    /// Version of its software.
    pub software: SoftwareId,
}

/// A target to which a connection is to be opened, to learn whether it can be reached.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProbeTarget {
    /// Target name.
    pub name: String,
    /// Incarnation of the target.
    pub incarnation: u64,
    /// `ip:port` of the target.
    pub addr: String,
}

/// How a delegation ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DelegationOutcome {
    /// The complete response of a target has been received, but not yet delivered.
    Complete,
    /// The complete response of a target was streamed to the caller.
    Delivered,
    /// The delegate did not get the whole request, so that it runs nothing of it.
    NotSent,
    /// The delegate refused the call.
    Refused(Refusal),
    /// The connection failed after the delegate may have got the request.
    Broken {
        /// What the caller has got by now.
        delivered: Delivered,
    },
    /// The deadline of the call expired.
    TimedOut {
        /// What the caller has got by now.
        delivered: Delivered,
    },
}
