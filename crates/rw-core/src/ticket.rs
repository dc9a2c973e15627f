//! Tickets: idempotency keys that name the only process that may run their request.

use rw_types::{BootId, Millis};

/// First part of every ticket.
const PREFIX: &str = "ticket";

/// The contents of a ticket's key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ticket {
    /// VM that minted it.
    pub vm: String,
    /// Boot of that VM's process.
    pub boot: BootId,
    /// When it was minted, by the clock of that process.
    pub minted: Millis,
}

impl Ticket {
    /// The key of this ticket; `random` makes it impossible to guess.
    #[must_use]
    pub fn key(&self, random: u128) -> String {
        let Self { vm, boot, minted } = self;
        format!("{PREFIX}.{vm}.{:x}.{minted}.{random:032x}", boot.0)
    }

    /// Parses a key; `None` if it is not a ticket's.
    #[must_use]
    pub fn parse(key: &str) -> Option<Self> {
        let rest = key.strip_prefix(PREFIX)?.strip_prefix('.')?;
        // Split from the right, because the name of a VM may contain dots.
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
