//! Effects: the output of the reducer.

use crate::{AuthorityEffect, Claim, RecordedResponse, SyncEffect};
use rw_types::{AttemptId, BootId, Refusal, RequestId, Version};

/// Something that the shell must do.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Write a claim if its row still has `version`, then report the outcome.
    WriteClaim {
        /// Request identifier.
        id: RequestId,
        /// Key of the claim's row.
        key: String,
        /// Version that the row must have.
        version: Version,
        /// Claim to be written.
        claim: Claim,
    },
    /// Read a claim back, because the response to its write was lost.
    ReadClaim {
        /// Request identifier.
        id: RequestId,
        /// Key of the claim's row.
        key: String,
    },
    /// Record the outcome of a claimed request. Retried in the background until it succeeds.
    SettleClaim {
        /// Request identifier.
        id: RequestId,
        /// Key of the claim's row.
        key: String,
        /// Version that the row must have.
        version: Version,
        /// Claim with its final state.
        claim: Claim,
    },
    /// Release a claim that may have been written, if its row still holds this claim. Retried in
    /// the background.
    ReleaseClaim {
        /// Request identifier.
        id: RequestId,
        /// Key of the claim's row.
        key: String,
        /// Claim as it may have been written.
        claim: Claim,
    },
    /// Query another VM for the status of a request that it claimed.
    QueryClaimant {
        /// Request identifier.
        id: RequestId,
        /// `ip:port` of the claimant's peer listener.
        peer: String,
        /// Boot of the claimant.
        boot: BootId,
        /// Identifier of the request at the claimant.
        claimed: RequestId,
    },
    /// Forward the request to the VM that minted its ticket.
    Forward {
        /// Request identifier.
        id: RequestId,
        /// `ip:port` of that VM's peer listener.
        peer: String,
    },
    /// Read the handover of the process that minted a ticket.
    ReadHandover {
        /// Request identifier.
        id: RequestId,
        /// Object key.
        key: String,
    },
    /// Exchange suspect requests with all peers.
    ShareSuspects {
        /// Request identifier.
        id: RequestId,
        /// Whether the request waits for the exchange to end.
        wait: bool,
    },
    /// Send the request to a target.
    Dispatch {
        /// Request identifier.
        id: RequestId,
        /// Attempt identifier.
        attempt: AttemptId,
        /// Target name.
        target: String,
        /// `ip:port` of the target.
        addr: String,
        /// Number of tokens that the caller has already; generation resumes after them.
        resume: u64,
    },
    /// Complete the response to the caller with the result of the attempt that just ended.
    Deliver {
        /// Request identifier.
        id: RequestId,
    },
    /// Send the caller the recorded response of an earlier run.
    Replay {
        /// Request identifier.
        id: RequestId,
        /// Recorded response.
        response: RecordedResponse,
    },
    /// Send the caller a final refusal.
    Refuse {
        /// Request identifier.
        id: RequestId,
        /// Reason, whether the request ran, and when to retry.
        refusal: Refusal,
    },
    /// Cancel an attempt whose caller has disconnected.
    Cancel {
        /// Request identifier.
        id: RequestId,
        /// Attempt identifier.
        attempt: AttemptId,
    },
    /// An effect of configuration synchronization.
    Sync(SyncEffect),
    /// An effect of leases and orders.
    Authority(AuthorityEffect),
}

impl Effect {
    /// Request that the effect belongs to, if any.
    #[must_use]
    pub fn request(&self) -> Option<RequestId> {
        match self {
            Self::WriteClaim { id, .. }
            | Self::ReadClaim { id, .. }
            | Self::SettleClaim { id, .. }
            | Self::ReleaseClaim { id, .. }
            | Self::QueryClaimant { id, .. }
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
