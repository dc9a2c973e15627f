//! What can happen to forwarded calls.

use crate::{CallRequest, Digest, GateSettings, OrderOutcome, Routing, TargetSpec};
use rw_types::{Millis, RequestId};
use std::sync::Arc;

/// Load that a target tells with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetLoad {
    /// Calls that run.
    pub running: u32,
    /// Calls that wait.
    pub waiting: u32,
    /// Calls that can run at once.
    pub slots: u32,
}

/// A prefilled prompt that waits on a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KvHandle {
    /// `ip:port` of the target.
    pub addr: String,
    /// Its name there.
    pub name: String,
}

/// How a dispatch ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DispatchOutcome {
    /// The whole answer is here and not yet delivered.
    Complete {
        /// HTTP status.
        status: u16,
    },
    /// The whole answer has gone to the caller as it came.
    Delivered,
    /// The prompt is filled.
    Prefilled(KvHandle),
    /// No byte left this process.
    NotSent,
    /// The target said that it did not run the call.
    Rejected {
        /// HTTP status.
        status: u16,
    },
    /// The connection broke, or carried something else, after bytes may have left.
    Broken {
        /// Whether the target is known to have ended with it.
        crashed: bool,
        /// Last event that the caller has, if any of the answer has gone to it.
        delivered: Option<u64>,
    },
    /// A prompt was not filled in the time given for it; nothing ran.
    Stalled,
    /// Its time ran out.
    TimedOut {
        /// Whether any of the answer has gone to the caller.
        delivered: bool,
    },
}

/// An event; its time is given beside it.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A caller's call arrived whole.
    CallArrived {
        /// Call.
        id: RequestId,
        /// What it asks for.
        request: CallRequest,
    },
    /// A target's answer began.
    ResponseStarted {
        /// Call.
        id: RequestId,
        /// Load told with it.
        load: Option<TargetLoad>,
    },
    /// The first event of a stream came, so its prompt is filled.
    FirstEvent {
        /// Call.
        id: RequestId,
    },
    /// A dispatch ended.
    DispatchEnded {
        /// Call.
        id: RequestId,
        /// How.
        outcome: DispatchOutcome,
    },
    /// The caller has gone.
    CallerDisconnected {
        /// Call.
        id: RequestId,
    },
    /// A configuration was read; only a higher version is applied.
    Routing(Arc<Routing>),
    /// A target registered itself or changed its entry.
    TargetUpdated(TargetSpec),
    /// A target's entry is gone.
    TargetRemoved {
        /// Its name.
        name: String,
    },
    /// All entries were read; what is missing is gone.
    TargetsListed(Vec<TargetSpec>),
    /// The store answers again after it did not.
    StoreConnected,
    /// The store no longer answers.
    StoreDisconnected,
    /// Time has passed.
    Tick,
    /// The store gave the lease with this fencing token, or refused it.
    LeaseResult(Option<u64>),
    /// An order ended.
    OrderEnded {
        /// Target name.
        target: String,
        /// How.
        outcome: OrderOutcome,
    },
    /// The process stops at `end`, and the balancer had its time to notice.
    ShuttingDown {
        /// When the process ends.
        end: Millis,
    },
    /// Settings were read again.
    Settings(GateSettings),
    /// How many nodes the fleet has, this one included.
    NodeCount(usize),
    /// Another node told of its work.
    DigestReceived(Digest),
}
