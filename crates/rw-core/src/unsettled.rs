//! Outcomes of claimed requests that may not have been written to the table yet.

use crate::{ClaimState, ClaimStatus};
use rw_types::{Millis, RequestId};

/// Maximum number of outcomes kept; the oldest are evicted first. A retry of an evicted one gets
/// outcome `unknown`.
const MAX_KEPT: usize = 10_000;

#[derive(Debug, Clone)]
struct UnsettledClaim {
    id: RequestId,
    state: ClaimState,
    at: Millis,
}

/// Outcomes of this process's claims until they are in the table, sorted by request.
#[derive(Debug, Clone, Default)]
pub struct Unsettled {
    claims: Vec<UnsettledClaim>,
}

impl Unsettled {
    /// Keeps the outcome of a claimed request and removes those older than `ttl_ms`.
    pub fn insert(&mut self, now: Millis, id: RequestId, state: ClaimState, ttl_ms: u64) {
        self.claims.retain(|e| now.since(e.at) < ttl_ms);
        if self.claims.len() >= MAX_KEPT {
            self.claims.remove(0);
        }
        let claim = UnsettledClaim { id, state, at: now };
        match self.index(id) {
            Ok(i) => self.claims[i] = claim,
            Err(i) => self.claims.insert(i, claim),
        }
    }

    /// Removes an outcome that is in the table now.
    pub fn remove(&mut self, id: RequestId) {
        if let Ok(i) = self.index(id) {
            self.claims.remove(i);
        }
    }

    /// Status of a claimed request that is no longer open.
    #[must_use]
    pub fn status(&self, id: RequestId) -> ClaimStatus {
        let Ok(i) = self.index(id) else {
            return ClaimStatus::Settled;
        };
        match &self.claims[i].state {
            ClaimState::Released => ClaimStatus::Released,
            ClaimState::Done(response) => ClaimStatus::Done(response.clone()),
            ClaimState::Lost => ClaimStatus::Lost,
            ClaimState::Held => ClaimStatus::Running,
        }
    }

    fn index(&self, id: RequestId) -> Result<usize, usize> {
        self.claims.binary_search_by_key(&id, |e| e.id)
    }
}
