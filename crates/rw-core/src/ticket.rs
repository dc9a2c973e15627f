//! Tickets: keys that name the one process that may run their request.

use rw_types::{BootId, Millis};

/// First part of every ticket.
const PREFIX: &str = "ticket";

/// What a ticket's key says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ticket {
    /// VM that minted it.
    pub vm: String,
    /// Boot that minted it.
    pub boot: BootId,
    /// When it was minted, by the clock of that boot.
    pub minted: Millis,
}

impl Ticket {
    /// The key of this ticket, with a suffix that callers can't guess.
    #[must_use]
    pub fn key(&self, random: u128) -> String {
        let Self { vm, boot, minted } = self;
        format!("{PREFIX}.{vm}.{:x}.{minted}.{random:032x}", boot.0)
    }

    /// Reads a key; `None` if it is not a ticket's.
    #[must_use]
    pub fn parse(key: &str) -> Option<Self> {
        let rest = key.strip_prefix(PREFIX)?.strip_prefix('.')?;
        // From the right, because the name of a VM may contain dots.
        let mut parts = rest.rsplitn(4, '.');
        parts.next()?;
        let minted = parts.next()?.parse().ok()?;
        let boot = u64::from_str_radix(parts.next()?, 16).ok()?;
        let vm = parts.next()?.to_owned();
        Some(Self {
            vm,
            boot: BootId(boot),
            minted: Millis(minted),
        })
    }
}
