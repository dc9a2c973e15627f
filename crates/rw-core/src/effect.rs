//! What the shell is to do.

use crate::{AuthorityEffect, Claim, RecordedResponse, SyncEffect};
use rw_types::{AttemptId, BootId, Refusal, RequestId, Version};

/// An effect, as data.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Write a claim if its row still has `version`, then report what the table says.
    WriteClaim {
        /// Request.
        id: RequestId,
        /// Row key.
        key: String,
        /// Version that the row must have.
        version: Version,
        /// Claim.
        claim: Claim,
    },
    /// Read a claim back, because the answer to the write was lost.
    ReadClaim {
        /// Request.
        id: RequestId,
        /// Row key.
        key: String,
    },
    /// Record how a claimed request ended; retried in the background until it is settled.
    SettleClaim {
        /// Request.
        id: RequestId,
        /// Row key.
        key: String,
        /// Version that the row must have.
        version: Version,
        /// Claim with its last state.
        claim: Claim,
    },
    /// Release a claim that may have been written, if its row is still this claim; retried in the
    /// background.
    ReleaseClaim {
        /// Request.
        id: RequestId,
        /// Row key.
        key: String,
        /// Claim as it may have been written.
        claim: Claim,
    },
    /// Ask another VM how far a request is that it claimed.
    AskClaimant {
        /// Request.
        id: RequestId,
        /// `ip:port` of the claimant's peer listener.
        peer: String,
        /// Boot of the claimant.
        boot: BootId,
        /// The claimant's request.
        claimed: RequestId,
    },
    /// Send the request to the VM that minted its ticket.
    Forward {
        /// Request.
        id: RequestId,
        /// `ip:port` of that VM's peer listener.
        peer: String,
    },
    /// Read what the process that minted a ticket left behind.
    ReadHandover {
        /// Request.
        id: RequestId,
        /// Object key.
        key: String,
    },
    /// Tell all peers which bodies crash their targets, and learn what they know.
    ShareSuspects {
        /// Request.
        id: RequestId,
        /// Whether the request waits for it.
        wait: bool,
    },
    /// Send the request to a target.
    Dispatch {
        /// Request.
        id: RequestId,
        /// Attempt.
        attempt: AttemptId,
        /// Target name.
        target: String,
        /// `ip:port` of the target.
        addr: String,
        /// Token to resume from.
        resume: u64,
    },
    /// Give the caller the whole answer of the attempt that just ended.
    Deliver {
        /// Request.
        id: RequestId,
    },
    /// Give the caller the recorded answer of an earlier run.
    Replay {
        /// Request.
        id: RequestId,
        /// Recorded answer.
        answer: RecordedResponse,
    },
    /// Give the caller a final answer that is not a target's.
    Refuse {
        /// Request.
        id: RequestId,
        /// Why, what is known of the run, and when to come back.
        refusal: Refusal,
    },
    /// Stop an attempt whose caller is gone.
    Cancel {
        /// Request.
        id: RequestId,
        /// Attempt.
        attempt: AttemptId,
    },
    /// Keep the configuration in force.
    Sync(SyncEffect),
    /// Something about leases and orders.
    Authority(AuthorityEffect),
}

impl Effect {
    /// The request an effect belongs to, if any.
    #[must_use]
    pub fn request(&self) -> Option<RequestId> {
        match self {
            Self::WriteClaim { id, .. }
            | Self::ReadClaim { id, .. }
            | Self::SettleClaim { id, .. }
            | Self::ReleaseClaim { id, .. }
            | Self::AskClaimant { id, .. }
            | Self::Forward { id, .. }
            | Self::ReadHandover { id, .. }
            | Self::ShareSuspects { id, .. }
            | Self::Dispatch { id, .. }
            | Self::Deliver { id }
            | Self::Replay { id, .. }
            | Self::Refuse { id, .. }
            | Self::Cancel { id, .. } => Some(*id),
            Self::Sync(_) | Self::Authority(_) => None,
        }
    }
}
