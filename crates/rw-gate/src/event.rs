//! Input events of the reducer.

use crate::{
    CallRequest, DelegationOutcome, Delivered, Digest, FleetNode, GateSettings, OrderOutcome,
    PlacementReply, Routing, SchedulerMessage, SchedulerNode, SoftwareId, StoredUsage,
    TargetIncarnation, TargetNotice, TargetSpec, UsageCollection, VersionRecord,
};
use rw_types::{Millis, RequestId};
use std::sync::Arc;

/// Load that a target reports with a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetLoad {
    /// Calls that are running.
    pub running: u32,
    /// Calls that are queued.
    pub waiting: u32,
    /// Calls that can run concurrently.
    pub slots: u32,
    /// Time that work takes at this moment, in percent of the usual time, if the target says so.
    pub pace: Option<u32>,
}

/// Reference to the KV cache of a prefilled prompt on a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KvHandle {
    /// `ip:port` of the target.
    pub addr: String,
    /// Name of the handle at that target.
    pub name: String,
}

/// How a dispatch ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DispatchOutcome {
    /// The complete response has been received, but not yet delivered.
    Complete {
        /// HTTP status.
        status: u16,
    },
    /// The complete response was streamed to the caller.
    Delivered,
    /// The prompt was prefilled.
    Prefilled(KvHandle),
    /// No byte was sent to the target.
    NotSent,
    /// The target has asked for a pause or said that it is leaving since the call was assigned to it, so
    /// that no byte was sent.
    Withheld,
    /// The target reported that it did not run the call.
    Rejected {
        /// HTTP status.
        status: u16,
    },
    /// The connection failed, or carried an unexpected response, after bytes may have been sent.
    Broken {
        /// Whether the target is known to have crashed during the call.
        crashed: bool,
        /// What the caller has got by now.
        delivered: Delivered,
    },
    /// A prefill did not finish within its stall timeout; nothing was run.
    Stalled,
    /// The deadline of the call expired.
    TimedOut {
        /// What the caller has got by now.
        delivered: Delivered,
    },
}

/// How a call to the platform's API ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DutyOutcome {
    /// The platform accepted the call.
    Accepted,
    /// The platform has seen a higher fencing token: this node no longer holds the lease.
    Fenced,
    /// The platform has no targets of this kind there at the moment.
    Unavailable,
    /// All nodes together have made too many calls.
    RateLimited,
    /// The call wasn't sent.
    NotSent,
    /// No response; the call may still be carried out.
    Unknown,
}

/// An event; the time is passed separately to [`Gate::step`](crate::Gate::step).
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A complete request arrived from a caller.
    CallArrived {
        /// Identifier of the call.
        id: RequestId,
        /// The request.
        request: CallRequest,
    },
    /// A target started to respond.
    ResponseStarted {
        /// Identifier of the call.
        id: RequestId,
        /// Load reported with the response.
        load: Option<TargetLoad>,
    },
    /// The first event of a stream arrived, so the prompt is prefilled.
    FirstEvent {
        /// Identifier of the call.
        id: RequestId,
    },
    /// An event of a stream is about to be delivered to the caller, the first one of this dispatch.
    StreamBegun {
        /// Identifier of the call.
        id: RequestId,
    },
    /// A dispatch ended.
    DispatchEnded {
        /// Identifier of the call.
        id: RequestId,
        /// How it ended.
        outcome: DispatchOutcome,
    },
    /// A delegation ended.
    DelegationEnded {
        /// Identifier of the call.
        id: RequestId,
        /// How it ended.
        outcome: DelegationOutcome,
    },
    /// An event of a stream from a delegate is about to be delivered to the caller, the first one of
    /// this delegation.
    DelegatedStreamBegun {
        /// Identifier of the call.
        id: RequestId,
        /// Version of the software of the target that made it.
        software: SoftwareId,
    },
    /// A connection to a target was opened or could not be opened, outside of any dispatch.
    TargetProbed {
        /// The target.
        target: TargetIncarnation,
        /// Whether it was opened.
        is_reached: bool,
    },
    /// The caller disconnected.
    CallerDisconnected {
        /// Identifier of the call.
        id: RequestId,
    },
    /// A configuration was read; it is applied only if its version is higher than the current one.
    Routing(Arc<Routing>),
    /// The store confirmed that the configuration in force was current when it was asked.
    ConfigConfirmed {
        /// Time at which the store was asked.
        asked_at: Millis,
    },
    /// The registry no longer keeps some changes of targets, so that all targets are read anew.
    ChangesMissed,
    /// All changes of targets up to a time have been applied.
    TargetsConfirmed {
        /// The time, at which the registry had no other targets.
        at: Millis,
    },
    /// No connection to the platform's API could be opened.
    ApiUnreachable,
    /// Nothing listens at the address of a target.
    TargetEnded {
        /// The target.
        target: TargetIncarnation,
        /// Whether this node reaches other targets, so that the process has ended. Otherwise, its own
        /// links may refuse connections.
        is_witnessed: bool,
    },
    /// The time of day was read, when this process started.
    TimeOfDay {
        /// Milliseconds since the start of 1970.
        unix_ms: u64,
    },
    /// The store's record of usage reports was read; `None` if the store did not answer.
    UsageRead(Option<StoredUsage>),
    /// The nodes were asked for their calls in a window.
    UsageCollected(UsageCollection),
    /// A write of the store's record of usage reports ended: the new version of its row, or `None`
    /// if it had another version or if the store did not answer.
    UsageWritten(Option<u64>),
    /// A usage report ended.
    UsageReported {
        /// Number of the window.
        window: u64,
        /// How the call ended.
        outcome: DutyOutcome,
    },
    /// A size order ended.
    SizeOrdered {
        /// Name of the service.
        service: String,
        /// Data centre.
        centre: String,
        /// Whether it was for spot targets.
        spot: bool,
        /// How the call ended.
        outcome: DutyOutcome,
    },
    /// A target registered or updated its entry.
    TargetUpdated(TargetSpec),
    /// A target's entry was removed.
    TargetRemoved {
        /// Name of the target.
        name: String,
    },
    /// A target said something about itself with a response.
    TargetNotice {
        /// The target, as the request addressed it.
        target: TargetIncarnation,
        /// What it said.
        notice: TargetNotice,
    },
    /// All entries were read; known targets that are not listed were removed.
    TargetsListed(Vec<TargetSpec>),
    /// All records of software versions were read: when this node started, after an outage, after changes
    /// were missed, or because a record could not be written. Follows [`Event::RowsRead`] of the same read.
    VersionsRead(Vec<VersionRecord>),
    /// The store was read.
    RowsRead {
        /// Set if a node has confirmed since the store's latest return from a copy that nothing is missing;
        /// otherwise, what isn't in the store may have been there. Milliseconds for which the records
        /// of software versions have all that there were.
        confirmed_ms: Option<u64>,
    },
    /// All entries that another node knows. Once any is known from the store, whose data is newer, only those
    /// count that the store's copy may lack.
    TargetsReported(Vec<TargetSpec>),
    /// Another node knows that the processes of these targets have written their entries.
    TargetsProved(Vec<TargetIncarnation>),
    /// The store is reachable again after an outage.
    StoreConnected,
    /// The store came back from a copy, which lacks what was written last. All that follows from the
    /// registry was read since.
    StoreRestored,
    /// The store is unreachable.
    StoreDisconnected,
    /// Periodic timer.
    Tick,
    /// Response to a lease request: the fencing token, or `None` if the store refused the lease.
    LeaseResult(Option<u64>),
    /// An order to a target ended.
    OrderEnded {
        /// Name of the target.
        target: String,
        /// How it ended.
        outcome: OrderOutcome,
    },
    /// A stop of the process was requested.
    ShuttingDown {
        /// Time by which the load balancer has taken it out of rotation.
        drained: Millis,
        /// Time at which the process exits.
        end: Millis,
    },
    /// The process exits before a call has its final response.
    CallInterrupted {
        /// Identifier of the call.
        id: RequestId,
        /// What the caller has got by now.
        delivered: Delivered,
    },
    /// The settings were reloaded.
    Settings(GateSettings),
    /// A request that belongs to no call was sent to the target at this `ip:port`.
    RequestSent {
        /// `ip:port` of the target.
        addr: String,
    },
    /// All nodes of the fleet, including this one.
    NodesListed(Vec<FleetNode>),
    /// A digest from another node arrived.
    DigestReceived(Digest),
    /// The nodes that understand placement requests, including this one; none if calls are placed by
    /// each node's own estimate.
    SchedulersListed(Vec<SchedulerNode>),
    /// Another node addressed this one as a scheduler.
    SchedulerMessage(SchedulerMessage),
    /// A scheduler answered a placement request.
    PlacementAnswered(PlacementReply),
    /// The time for the answer to a placement request is over.
    PlacementExpired {
        /// Identifier of the call.
        id: RequestId,
        /// Number of the request.
        number: u32,
    },
}
