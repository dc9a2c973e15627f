//! What this node asks peers about keys that they hold.

use crate::{RpcError, Shell};
use rw_core::ClaimStatus;
use rw_types::{BootId, RequestId};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use std::time::Duration;

/// Longest wait for a peer that answers from memory.
const PEER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Pause between probes of a peer that is slow to answer.
const PROBE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Sends of a peer call; the first may ride on a connection that the peer closed meanwhile.
const MAX_SENDS: u32 = 2;

/// Which claimed request is asked about.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct ClaimQuery {
    /// Boot of the claimant.
    pub boot: BootId,
    /// The claimant's request.
    pub request: RequestId,
}

impl Shell {
    /// Asks the VM at `peer` how far a request is that it claimed.
    pub(crate) async fn query_claimant(&self, peer: &str, claimed: ClaimQuery) -> ClaimStatus {
        let asked = self.call_peer_with_retry(peer, "claim_state", &claimed, PEER_TIMEOUT);
        asked.await.unwrap_or(ClaimStatus::Unreachable)
    }

    /// Returns once the peer no longer answers a probe on a new connection.
    pub(crate) async fn watch_peer(&self, peer: &str) {
        loop {
            smol::Timer::after(PROBE_INTERVAL).await;
            let claimed = ClaimQuery {
                boot: BootId(0),
                request: RequestId(0),
            };
            // Pooled connections may have gone silent with the one that is waited on.
            self.client.close_idle(peer);
            if self.query_claimant(peer, claimed).await == ClaimStatus::Unreachable {
                return;
            }
        }
    }

    /// Calls a peer's method that may safely be called twice.
    pub(crate) async fn call_peer_with_retry<P: Serialize, R: DeserializeOwned>(
        &self,
        peer: &str,
        method: &str,
        params: &P,
        limit: Duration,
    ) -> Result<R, RpcError> {
        let mut sends = 1;
        loop {
            match self.call_peer(peer, method, params, limit).await {
                Err(RpcError::Unreachable(_)) if sends < MAX_SENDS => sends += 1,
                ended => return ended,
            }
        }
    }
}
