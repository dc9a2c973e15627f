//! The two rows of a group's lease.

use rw_types::{BootId, Version};
use serde::{Deserialize, Serialize};

/// Value of the row `lease/<group>`. It changes only when the lease changes hands, so its version
/// is the fencing token.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// VM of the holder.
    pub vm: String,
    /// Boot of the holder; a restarted process is another holder.
    pub boot: BootId,
}

/// Value of the row `heartbeat/<group>`, written with each renewal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Renewals of this holder so far.
    pub count: u64,
    /// Whether the holder gave the lease up, so that nobody needs to wait for its end.
    pub released: bool,
}

/// Both rows, read together.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseRows {
    /// Group.
    pub group: String,
    /// Latest holder; `None` if there never was one.
    pub holder: Option<Holder>,
    /// Version of the lease row, zero if absent.
    pub lease: Version,
    /// Version of the heartbeat row, zero if absent.
    pub heartbeat: Version,
    /// Whether the holder gave the lease up.
    pub released: bool,
}

/// Key of the row that names a group's holder.
#[must_use]
pub fn lease_key(group: &str) -> String {
    format!("lease/{group}")
}

/// Key of the row that a group's holder renews.
#[must_use]
pub fn heartbeat_key(group: &str) -> String {
    format!("heartbeat/{group}")
}

/// Key of the row of a target's latest order.
#[must_use]
pub fn order_key(target: &str) -> String {
    format!("order/{target}")
}
