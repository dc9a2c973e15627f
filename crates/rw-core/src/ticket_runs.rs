//! Memory of the tickets that this process minted and saw used.

use crate::{ClaimState, RecordedResponse};
use rw_types::Millis;
use serde::{Deserialize, Serialize};

/// Most used tickets remembered; more are refused before they run.
const MAX_RUNS: usize = 50_000;
/// Most bytes of answers remembered; further tickets are refused before they run.
const MAX_BYTES: usize = 64 << 20;

/// One used ticket.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketRun {
    /// When its ticket was minted.
    pub minted: Millis,
    /// Account of the caller.
    pub caller: String,
    /// Key.
    pub key: String,
    /// Fingerprint of the body.
    pub fingerprint: u64,
    /// `Held` while it runs.
    pub state: ClaimState,
}

/// Used tickets, sorted by the time they were minted, caller and key.
#[derive(Debug, Clone, Default)]
pub struct TicketRuns {
    runs: Vec<TicketRun>,
    bytes: usize,
}

impl TicketRuns {
    /// The run of a ticket, if it was used.
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

    /// Notes that a ticket runs now; false if there is no room.
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

    /// Notes how a ticket's run ended; a run that was never dispatched is forgotten.
    pub fn settle(&mut self, minted: Millis, caller: &str, key: &str, state: ClaimState) {
        let Ok(i) = self.index(minted, caller, key) else {
            return;
        };
        if state == ClaimState::Released {
            self.runs.remove(i);
            return;
        }
        self.bytes += size(&state);
        self.runs[i].state = state;
    }

    /// Forgets ended runs of tickets minted before `oldest`, which are no longer taken.
    pub fn prune(&mut self, oldest: Millis) {
        let end = self.runs.partition_point(|r| r.minted < oldest);
        if end == 0 {
            return;
        }
        let open = |r: &TicketRun| r.state == ClaimState::Held;
        let old: Vec<_> = self.runs.drain(..end).collect();
        self.bytes -= old.iter().map(|r| size(&r.state)).sum::<usize>();
        let kept = old.into_iter().filter(open);
        self.runs.splice(..0, kept);
    }

    fn index(&self, minted: Millis, caller: &str, key: &str) -> Result<usize, usize> {
        let wanted = (minted, caller, key);
        self.runs
            .binary_search_by(|r| (r.minted, r.caller.as_str(), r.key.as_str()).cmp(&wanted))
    }
}

fn size(state: &ClaimState) -> usize {
    match state {
        ClaimState::Done(RecordedResponse { body, kind, .. }) => body.len() + kind.len(),
        _ => 0,
    }
}
