//! Effects for leases and orders.

use rw_types::{FencingToken, Millis, Order, Version};

/// A call that the shell makes for a lease or an order. It ends with exactly one
/// [`AuthorityEvent`](crate::AuthorityEvent) with the same `call` number.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AuthorityEffect {
    /// Read the lease row and the heartbeat row of each group.
    ReadLeases {
        /// Number of the call.
        call: u64,
        /// Names of the groups.
        groups: Vec<String>,
    },
    /// Write this boot as holder together with its first heartbeat, if neither row has changed.
    AcquireLease {
        /// Number of the call.
        call: u64,
        /// Name of the group.
        group: String,
        /// Version that the lease row must have.
        lease: Version,
        /// Version that the heartbeat row must have.
        heartbeat: Version,
    },
    /// Write a heartbeat, if the fencing token of the lease is still this one.
    RenewLease {
        /// Number of the call.
        call: u64,
        /// Name of the group.
        group: String,
        /// Fencing token that the lease must have.
        fence: FencingToken,
        /// Number of heartbeats before this one.
        count: u64,
        /// Whether this write releases the lease.
        released: bool,
    },
    /// Read the order rows of these targets.
    ReadOrders {
        /// Number of the call.
        call: u64,
        /// Target names.
        targets: Vec<String>,
    },
    /// Write an order's row, if the fencing token of the lease is still this one and the row has
    /// not changed.
    WriteOrder {
        /// Number of the call.
        call: u64,
        /// Name of the group.
        group: String,
        /// Fencing token that the lease must have.
        fence: FencingToken,
        /// Version that the order's row must have.
        version: Version,
        /// Order to write to the row.
        order: Order,
    },
    /// Send an order to its target, unless `deadline` has passed when the first byte is written.
    SendOrder {
        /// Number of the call.
        call: u64,
        /// `ip:port` of the target.
        addr: String,
        /// Order to send; its row has been written before.
        order: Order,
        /// Latest time at which a byte of the order may be written.
        deadline: Millis,
    },
    /// Query a target for its latest order.
    ReadTarget {
        /// Number of the call.
        call: u64,
        /// `ip:port` of the target.
        addr: String,
    },
}
