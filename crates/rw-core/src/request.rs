//! The state of one request.

use crate::{Call, Claim, Ticket};
use rw_types::{AttemptId, RefusalKind, RequestId, Version};

/// A request that has no final response yet.
#[derive(Debug, Clone)]
pub struct Request {
    /// Id, unique within this process.
    pub id: RequestId,
    /// What the caller requested.
    pub call: Call,
    /// What the request currently waits for.
    pub phase: Phase,
    /// Number of dispatches so far.
    pub attempts: u32,
    /// Names of the targets dispatched to so far.
    pub tried: Vec<String>,
    /// Number of tokens that the caller has received.
    pub tokens: u64,
    /// Whether a target may have run any part of the request.
    pub may_have_run: bool,
    /// Whether its claim may be in the table although the write was not confirmed.
    pub unconfirmed_claim: bool,
    /// Whether suspects were exchanged with peers once more after its last dispatch.
    pub suspects_shared: bool,
    /// Whether its claim was read again after the claimant had no record of it.
    pub reread: bool,
    /// The ticket, minted by this process, that it runs under.
    pub ticket: Option<Ticket>,
}

impl Request {
    pub(crate) fn new(id: RequestId, call: Call) -> Self {
        Self {
            id,
            call,
            phase: Phase::Arrived,
            attempts: 0,
            tried: Vec::new(),
            tokens: 0,
            may_have_run: false,
            unconfirmed_claim: false,
            suspects_shared: false,
            reread: false,
            ticket: None,
        }
    }
}

/// What a request currently waits for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Phase {
    /// Nothing: it has just arrived.
    Arrived,
    /// The claimant's report of the request's status.
    QueryingClaimant {
        /// Claim to be written if the claimant released the request.
        claim: Claim,
        /// Version of the claimant's row in the table.
        version: Version,
    },
    /// A response of the VM that minted its ticket.
    Forwarded(Ticket),
    /// The handover of the process that minted its ticket.
    ReadingHandover {
        /// Ticket.
        ticket: Ticket,
        /// Refusal for the caller if there is no handover.
        refusal: RefusalKind,
    },
    /// The exchange of suspects with peers, which precedes the next dispatch after a crash.
    SharingSuspects,
    /// A read or write of its claim in the table.
    Claiming {
        /// Claim being written.
        claim: Claim,
    },
    /// The outcome of an attempt at a target.
    Running {
        /// Id of the attempt.
        attempt: AttemptId,
        /// Target name.
        target: String,
        /// Claim that it runs under, with the version of its row.
        claim: Option<(Claim, Version)>,
    },
}
