//! Queries to peers about requests that they have claimed.

use crate::{RpcError, Shell};
use rw_core::ClaimStatus;
use rw_types::{BootId, RequestId};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use std::time::Duration;

/// Timeout of a call that the peer responds to from memory.
const PEER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Interval between probes of a peer that has not responded yet.
const PROBE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Maximum number of times that a call is sent. The first may use a pooled connection that the
/// peer has closed meanwhile.
const MAX_SENDS: u32 = 2;

/// Query for the status of a claimed request.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct ClaimQuery {
    /// Boot of the claimant.
    pub boot: BootId,
    /// Id of the request at the claimant.
    pub request: RequestId,
}

impl Shell {
    /// Queries the VM at `peer` for the status of a request that it claimed.
    pub(crate) async fn query_claimant(&self, peer: &str, query: ClaimQuery) -> ClaimStatus {
        let call = self.call_peer_with_retry(peer, "claim_state", &query, PEER_TIMEOUT);
        call.await.unwrap_or(ClaimStatus::Unreachable)
    }

    /// Returns once the peer no longer responds to a probe on a new connection.
    pub(crate) async fn watch_peer(&self, peer: &str) {
        loop {
            smol::Timer::after(PROBE_INTERVAL).await;
            let query = ClaimQuery {
                boot: BootId(0),
                request: RequestId(0),
            };
            // Pooled connections may be unresponsive for the same reason as the one waited on.
            self.client.close_idle(peer);
            if self.query_claimant(peer, query).await == ClaimStatus::Unreachable {
                return;
            }
        }
    }

    /// Calls an idempotent method of a peer, and once more if the peer was unreachable.
    pub(crate) async fn call_peer_with_retry<P: Serialize, R: DeserializeOwned>(
        &self,
        peer: &str,
        method: &str,
        params: &P,
        timeout: Duration,
    ) -> Result<R, RpcError> {
        let mut sends = 1;
        loop {
            match self.call_peer(peer, method, params, timeout).await {
                Err(RpcError::Unreachable(_)) if sends < MAX_SENDS => sends += 1,
                result => return result,
            }
        }
    }
}
