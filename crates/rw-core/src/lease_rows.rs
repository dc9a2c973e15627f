//! Table rows of leases and orders, and their keys.

use rw_types::{BootId, Version};
use serde::{Deserialize, Serialize};

/// Value of the row `lease/<group>`. It is written only when the holder changes, so the version of
/// the row is the fencing token.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// Name of the holder's VM.
    pub vm: String,
    /// Boot of the holder; a restarted process counts as another holder.
    pub boot: BootId,
}

/// Value of the row `heartbeat/<group>`, written with each renewal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Renewals by this holder before this one.
    pub count: u64,
    /// Whether the holder released the lease, so that successors need not wait for it to expire.
    pub released: bool,
}

/// Both rows of one group's lease, read together.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseRows {
    /// Name of the group.
    pub group: String,
    /// Current or last holder; `None` if there never was one.
    pub holder: Option<Holder>,
    /// Version of the lease row, zero if absent.
    pub lease: Version,
    /// Version of the heartbeat row, zero if absent.
    pub heartbeat: Version,
    /// Whether the holder released the lease.
    pub released: bool,
}

/// Key of the row with a group's [`Holder`].
#[must_use]
pub fn lease_key(group: &str) -> String {
    format!("lease/{group}")
}

/// Key of the row with a group's [`Heartbeat`].
#[must_use]
pub fn heartbeat_key(group: &str) -> String {
    format!("heartbeat/{group}")
}

/// Key of the row with a target's latest order.
#[must_use]
pub fn order_key(target: &str) -> String {
    format!("order/{target}")
}
