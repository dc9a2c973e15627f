//! Everything that can happen to a node.

use crate::{AuthorityEvent, Call, ClaimRead, SyncEvent};
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
        read: ClaimRead,
    },
    /// An attempt ended.
    Ended {
        /// Request.
        id: RequestId,
        /// Attempt.
        attempt: AttemptId,
        /// How.
        end: AttemptEnd,
    },
    /// The caller closed its connection.
    CallerGone {
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
    /// The process was told to stop.
    Leave,
}

/// How an attempt ended.
#[derive(Debug, Clone, PartialEq)]
pub enum AttemptEnd {
    /// The whole answer is here.
    Whole {
        /// HTTP status of the answer.
        status: u16,
        /// Body, where it must be recorded with a claim.
        body: String,
    },
    /// No byte left this process.
    Unsent,
    /// The target said that it did not run the request.
    Declined,
    /// The connection broke, went silent or carried a wrong answer after bytes may have left.
    Broken {
        /// Tokens that the caller has already.
        tokens: u64,
        /// Whether the target is known to have ended with it.
        crashed: bool,
    },
}
