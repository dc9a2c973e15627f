//! Events: the input of the reducer.

use crate::{AuthorityEvent, Call, ClaimResult, ClaimStatus, Handover, Suspect, SyncEvent};
use rw_types::{AttemptId, Config, LoadReport, RequestId, TargetNotice, Vm};
use std::sync::Arc;

/// Something that happened to a node. The time is passed to [`Node::step`](crate::Node::step)
/// separately.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A caller's request was received completely.
    Arrived {
        /// Request identifier.
        id: RequestId,
        /// Content of the request.
        call: Call,
    },
    /// A write or read of a claim ended.
    ClaimResult {
        /// Request identifier.
        id: RequestId,
        /// Outcome of the write or read.
        result: ClaimResult,
    },
    /// A query to the VM that claimed a request ended.
    ClaimStatus {
        /// Request identifier.
        id: RequestId,
        /// Status of the request as the claimant reports it.
        status: ClaimStatus,
    },
    /// The outcome of a claim is stored in the table.
    ClaimSettled {
        /// Request identifier.
        id: RequestId,
    },
    /// A request was forwarded to the VM that minted its ticket.
    Forwarded {
        /// Request identifier.
        id: RequestId,
        /// Whether that VM gave a final response.
        responded: bool,
    },
    /// The handover of the process that minted a ticket was read from the object store.
    HandoverRead {
        /// Request identifier.
        id: RequestId,
        /// The handover; `None` if it does not exist or could not be read.
        handover: Option<Handover>,
    },
    /// Suspect requests were exchanged with all peers.
    SuspectsShared {
        /// Request that waited for the exchange.
        id: RequestId,
    },
    /// A peer reported its suspect requests.
    SuspectsRead(Vec<Suspect>),
    /// An attempt ended.
    AttemptEnded {
        /// Request identifier.
        id: RequestId,
        /// Attempt identifier.
        attempt: AttemptId,
        /// Outcome of the attempt.
        outcome: AttemptOutcome,
    },
    /// The caller closed its connection.
    CallerDisconnected {
        /// Request identifier.
        id: RequestId,
    },
    /// A configuration was read. It is applied only if its version is higher than the one in force.
    ConfigRead(Arc<Config>),
    /// A target said something about itself with a response.
    TargetNotice {
        /// `ip:port` that the request was sent to.
        addr: String,
        /// What it said.
        notice: TargetNotice,
    },
    /// A target that does not say it is leaving reported its load.
    Reported {
        /// Target name.
        target: String,
        /// Load report.
        report: LoadReport,
    },
    /// The platform's list of VMs was read.
    VmsRead(Vec<Vm>),
    /// An event of configuration synchronization.
    Sync(SyncEvent),
    /// An event of leases and orders.
    Authority(AuthorityEvent),
    /// The process was told to stop. It reports not ready, but still accepts requests.
    ShuttingDown,
    /// The grace period for load balancers is over. New requests are refused from now on.
    Close,
}

/// Outcome of an attempt.
#[derive(Debug, Clone, PartialEq)]
pub enum AttemptOutcome {
    /// The complete response was received.
    Complete {
        /// HTTP status of the response.
        status: u16,
        /// Content type of the response.
        content_type: String,
        /// Response body of a plain service, which may have to be recorded; empty for an engine.
        body: Vec<u8>,
    },
    /// No byte was sent.
    NotSent,
    /// The target responded that it did not run the request.
    Rejected,
    /// The connection broke, timed out or carried an invalid response after bytes may have been
    /// sent.
    Broken {
        /// Number of tokens that the caller has received already.
        tokens: u64,
        /// Whether the target is known to have crashed.
        crashed: bool,
    },
}
