//! Record of a process's used tickets, which it stores on a planned stop.

use crate::TicketRun;
use rw_types::{BootId, Millis};
use serde::{Deserialize, Serialize};

/// All used tickets of a process that stopped as planned. A ticket that it minted, that had not
/// expired and that is not listed did not run and never will.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover {
    /// When the process stopped accepting requests, by its own clock.
    pub stopped: Millis,
    /// Used tickets with their states.
    pub runs: Vec<TicketRun>,
}

/// Object key of the handover of one boot of a VM.
#[must_use]
pub fn handover_key(vm: &str, boot: BootId) -> String {
    format!("tickets/{vm}/{:x}", boot.0)
}
