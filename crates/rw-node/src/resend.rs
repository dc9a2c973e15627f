//! What this node asks peers about keys that they hold.

use crate::{RpcError, Shell};
use rw_core::ClaimStatus;
use rw_types::{BootId, RequestId};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use std::time::Duration;

/// Longest wait for a peer that answers from memory.
const PEER_LIMIT: Duration = Duration::from_millis(1_000);
/// Pause between probes of a peer that is slow to answer.
const PEER_PAUSE: Duration = Duration::from_millis(1_000);
/// Sends of a peer call; the first may ride on a connection that the peer closed meanwhile.
const PEER_SENDS: u32 = 2;

/// Which claimed request is asked about.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct Claimed {
    /// Boot of the claimant.
    pub boot: BootId,
    /// The claimant's request.
    pub request: RequestId,
}

impl Shell {
    /// Asks the VM at `peer` how far a request is that it claimed.
    pub(crate) async fn ask_claimant(&self, peer: &str, claimed: Claimed) -> ClaimStatus {
        let asked = self.ask_peer(peer, "claim_state", &claimed, PEER_LIMIT);
        asked.await.unwrap_or(ClaimStatus::Unreachable)
    }

    /// Returns once the peer no longer answers a probe on a new connection.
    pub(crate) async fn watch_peer(&self, peer: &str) {
        loop {
            smol::Timer::after(PEER_PAUSE).await;
            let claimed = Claimed {
                boot: BootId(0),
                request: RequestId(0),
            };
            // Pooled connections may have gone silent with the one that is waited on.
            self.client.close_idle(peer);
            if self.ask_claimant(peer, claimed).await == ClaimStatus::Unreachable {
                return;
            }
        }
    }

    /// Calls a peer's method that may safely be called twice.
    pub(crate) async fn ask_peer<P: Serialize, R: DeserializeOwned>(
        &self,
        peer: &str,
        method: &str,
        params: &P,
        limit: Duration,
    ) -> Result<R, RpcError> {
        let mut sends = 1;
        loop {
            match self.call_peer(peer, method, params, limit).await {
                Err(RpcError::Unreachable(_)) if sends < PEER_SENDS => sends += 1,
                ended => return ended,
            }
        }
    }
}
