//! The state of one request.

use crate::{Call, Claim, Ticket};
use rw_types::{AttemptId, RefusalKind, RequestId, Version};

/// A request that has no final answer yet.
#[derive(Debug, Clone)]
pub struct Request {
    /// Identity.
    pub id: RequestId,
    /// What it asks for.
    pub call: Call,
    /// What it waits for.
    pub phase: Phase,
    /// Dispatches so far.
    pub attempts: u32,
    /// Targets dispatched to so far.
    pub tried: Vec<String>,
    /// Tokens that the caller has.
    pub tokens: u64,
    /// Whether a target may have run any part of it.
    pub may_have_run: bool,
    /// Whether a claim of it may be in the table although its write was not confirmed.
    pub unconfirmed_claim: bool,
    /// Whether peers were asked once more after its last dispatch.
    pub suspects_shared: bool,
    /// Whether its claim was read again after the claimant had nothing on it.
    pub reread: bool,
    /// Ticket of this process that it runs under.
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

/// What a request waits for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Phase {
    /// Nothing yet.
    Arrived,
    /// The claimant, for how far the request is.
    AskingClaimant {
        /// Claim to be written if the claimant gave the request up.
        claim: Claim,
        /// Version of the claimant's row.
        version: Version,
    },
    /// The VM that minted its ticket.
    Forwarded(Ticket),
    /// What the process that minted its ticket left behind.
    ReadingHandover {
        /// Ticket.
        ticket: Ticket,
        /// What the caller is told if nothing was left.
        refusal: RefusalKind,
    },
    /// Peers, which are told of a crash before the next dispatch.
    SharingSuspects,
    /// The table, for a claim.
    Claiming {
        /// Claim being written.
        claim: Claim,
    },
    /// Its target.
    Running {
        /// Attempt.
        attempt: AttemptId,
        /// Target name.
        target: String,
        /// Claim it runs under, with the version of its row.
        claim: Option<(Claim, Version)>,
    },
}
