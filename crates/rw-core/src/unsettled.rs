//! Ends of claimed requests that the table may not have yet.

use crate::{ClaimState, ClaimStatus};
use rw_types::{Millis, RequestId};

/// Most ends kept; the oldest go first, and their claims are then `unknown` to a resend.
const MAX_KEPT: usize = 10_000;

#[derive(Debug, Clone)]
struct End {
    id: RequestId,
    state: ClaimState,
    at: Millis,
}

/// Ends of this process's claims until the table has them, sorted by request.
#[derive(Debug, Clone, Default)]
pub struct Unsettled {
    ends: Vec<End>,
}

impl Unsettled {
    /// Keeps how a claimed request ended and drops what is older than `keep_ms`.
    pub fn insert(&mut self, now: Millis, id: RequestId, state: ClaimState, keep_ms: u64) {
        self.ends.retain(|e| now.since(e.at) < keep_ms);
        if self.ends.len() >= MAX_KEPT {
            self.ends.remove(0);
        }
        let end = End { id, state, at: now };
        match self.index(id) {
            Ok(i) => self.ends[i] = end,
            Err(i) => self.ends.insert(i, end),
        }
    }

    /// Forgets an end that the table has now.
    pub fn remove(&mut self, id: RequestId) {
        if let Ok(i) = self.index(id) {
            self.ends.remove(i);
        }
    }

    /// What is known of a request that is no longer open.
    #[must_use]
    pub fn status(&self, id: RequestId) -> ClaimStatus {
        let Ok(i) = self.index(id) else {
            return ClaimStatus::Settled;
        };
        match &self.ends[i].state {
            ClaimState::Released => ClaimStatus::Released,
            ClaimState::Done(answer) => ClaimStatus::Done(answer.clone()),
            ClaimState::Lost => ClaimStatus::Lost,
            ClaimState::Held => ClaimStatus::Running,
        }
    }

    fn index(&self, id: RequestId) -> Result<usize, usize> {
        self.ends.binary_search_by_key(&id, |e| e.id)
    }
}
