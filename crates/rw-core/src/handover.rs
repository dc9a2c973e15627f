//! What a process leaves behind of its tickets on a planned stop.

use crate::TicketRun;
use rw_types::{BootId, Millis};
use serde::{Deserialize, Serialize};

/// Every used ticket of a process that ended as planned. A ticket that it minted within its life
/// and that is not listed did not run and never will.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover {
    /// When the process took its last request, by its clock.
    pub stopped: Millis,
    /// Used tickets.
    pub runs: Vec<TicketRun>,
}

/// Object key of the handover of one boot of a VM.
#[must_use]
pub fn handover_key(vm: &str, boot: BootId) -> String {
    format!("tickets/{vm}/{:x}", boot.0)
}
