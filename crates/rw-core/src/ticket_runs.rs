//! In-memory records of the used tickets that this process minted.

use crate::{ClaimState, RecordedResponse};
use rw_types::Millis;
use serde::{Deserialize, Serialize};

/// Maximum number of records; further tickets are refused before they run.
const MAX_RUNS: usize = 50_000;
/// Maximum size of the recorded responses; further tickets are refused before they run.
const MAX_BYTES: usize = 64 << 20;

/// Record of one used ticket.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketRun {
    /// When the ticket was minted.
    pub minted: Millis,
    /// Account of the caller.
    pub caller: String,
    /// The ticket's key.
    pub key: String,
    /// Hash of the path and the body; a request with the same key but another hash is refused.
    pub fingerprint: u64,
    /// State of its request; `Held` while it runs.
    pub state: ClaimState,
}

/// Used tickets, sorted by the time they were minted, then caller and key.
#[derive(Debug, Clone, Default)]
pub struct TicketRuns {
    runs: Vec<TicketRun>,
    bytes: usize,
}

impl TicketRuns {
    /// The record of a ticket, if it was used.
    #[must_use]
    pub fn find(&self, minted: Millis, caller: &str, key: &str) -> Option<&TicketRun> {
        let i = self.index(minted, caller, key).ok()?;
        Some(&self.runs[i])
    }

    /// All used tickets.
    #[must_use]
    pub fn all(&self) -> &[TicketRun] {
        &self.runs
    }

    /// Records that a ticket's request starts; false if a limit is reached or the ticket was used.
    pub fn start(&mut self, run: TicketRun) -> bool {
        if self.runs.len() >= MAX_RUNS || self.bytes >= MAX_BYTES {
            return false;
        }
        match self.index(run.minted, &run.caller, &run.key) {
            Ok(_) => false,
            Err(i) => {
                self.runs.insert(i, run);
                true
            }
        }
    }

    /// Records how a ticket's request ended; removes the record if it was never dispatched.
    pub fn settle(&mut self, minted: Millis, caller: &str, key: &str, state: ClaimState) {
        let Ok(i) = self.index(minted, caller, key) else {
            return;
        };
        if state == ClaimState::Released {
            self.runs.remove(i);
            return;
        }
        self.bytes += response_bytes(&state);
        self.runs[i].state = state;
    }

    /// Removes records of ended requests whose tickets were minted before `oldest`; such tickets are
    /// no longer accepted.
    pub fn prune(&mut self, oldest: Millis) {
        let end = self.runs.partition_point(|r| r.minted < oldest);
        if end == 0 {
            return;
        }
        let is_running = |r: &TicketRun| r.state == ClaimState::Held;
        let expired: Vec<_> = self.runs.drain(..end).collect();
        self.bytes -= expired
            .iter()
            .map(|r| response_bytes(&r.state))
            .sum::<usize>();
        let kept = expired.into_iter().filter(is_running);
        self.runs.splice(..0, kept);
    }

    fn index(&self, minted: Millis, caller: &str, key: &str) -> Result<usize, usize> {
        let key = (minted, caller, key);
        self.runs
            .binary_search_by(|r| (r.minted, r.caller.as_str(), r.key.as_str()).cmp(&key))
    }
}

fn response_bytes(state: &ClaimState) -> usize {
    match state {
        ClaimState::Done(RecordedResponse {
            body, content_type, ..
        }) => body.len() + content_type.len(),
        _ => 0,
    }
}
