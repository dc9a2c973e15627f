//! Everything that can happen to a node.

use crate::{AuthorityEvent, Call, ClaimResult, ClaimStatus, Handover, Suspect, SyncEvent};
use rw_types::{AttemptId, Config, LoadReport, RequestId, Vm};
use std::sync::Arc;

/// An event; its time is given beside it.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A caller's request arrived whole.
    Arrived {
        /// Request.
        id: RequestId,
        /// What it asks for.
        call: Call,
    },
    /// The table answered, or failed to answer, about a claim.
    ClaimRead {
        /// Request.
        id: RequestId,
        /// What is known now.
        read: ClaimResult,
    },
    /// A claimant was asked how far a claimed request is.
    ClaimStanding {
        /// Request.
        id: RequestId,
        /// What the claimant says.
        standing: ClaimStatus,
    },
    /// The table has the end of a claim.
    ClaimSettled {
        /// Request.
        id: RequestId,
    },
    /// A request was sent to the VM that minted its ticket.
    Forwarded {
        /// Request.
        id: RequestId,
        /// Whether that VM gave a final answer.
        answered: bool,
    },
    /// The object store was asked what the process that minted a ticket left behind.
    HandoverRead {
        /// Request.
        id: RequestId,
        /// What it left; `None` if there is nothing or it can't be read.
        handover: Option<Handover>,
    },
    /// Peers were told which bodies crash their targets.
    SuspectsShared {
        /// Request that waited for it.
        id: RequestId,
    },
    /// A peer told which bodies crash their targets.
    SuspectsRead(Vec<Suspect>),
    /// An attempt ended.
    AttemptEnded {
        /// Request.
        id: RequestId,
        /// Attempt.
        attempt: AttemptId,
        /// How.
        outcome: AttemptOutcome,
    },
    /// The caller closed its connection.
    CallerDisconnected {
        /// Request.
        id: RequestId,
    },
    /// A configuration was read; only a higher version is applied.
    ConfigRead(Arc<Config>),
    /// A target reported its load.
    Reported {
        /// Target name.
        target: String,
        /// Its report.
        report: LoadReport,
    },
    /// The platform's list was read.
    VmsRead(Vec<Vm>),
    /// Something about the configuration in force.
    Sync(SyncEvent),
    /// Something about leases and orders.
    Authority(AuthorityEvent),
    /// The process was told to stop: it is no longer ready, but still takes what reaches it.
    Leave,
    /// The balancer had its time to notice: new requests are refused from now on.
    Close,
}

/// How an attempt ended.
#[derive(Debug, Clone, PartialEq)]
pub enum AttemptOutcome {
    /// The whole answer is here.
    Complete {
        /// HTTP status of the answer.
        status: u16,
        /// Content type.
        kind: String,
        /// Body of a plain service's answer, which may have to be recorded.
        body: Vec<u8>,
    },
    /// No byte left this process.
    NotSent,
    /// The target said that it did not run the request.
    Rejected,
    /// The connection broke, went silent or carried a wrong answer after bytes may have left.
    Broken {
        /// Tokens that the caller has already.
        tokens: u64,
        /// Whether the target is known to have ended with it.
        crashed: bool,
    },
}
