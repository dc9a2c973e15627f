//! What the shell is to do for a node's leases and orders.

use rw_types::{FencingToken, Millis, Order, Version};

/// An effect of the authority. Each is answered by one event that carries its `call`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AuthorityEffect {
    /// Read both rows of each group.
    ReadLeases {
        /// Call.
        call: u64,
        /// Groups.
        groups: Vec<String>,
    },
    /// Write this boot as holder and a first heartbeat, if both rows are as read.
    TakeLease {
        /// Call.
        call: u64,
        /// Group.
        group: String,
        /// Version that the lease row must have.
        lease: Version,
        /// Version that the heartbeat row must have.
        heartbeat: Version,
    },
    /// Write a heartbeat, if the lease is still the one with this fencing token.
    RenewLease {
        /// Call.
        call: u64,
        /// Group.
        group: String,
        /// Fencing token.
        fence: FencingToken,
        /// Heartbeats before this one.
        count: u64,
        /// Whether to give the lease up.
        released: bool,
    },
    /// Read the order rows of these targets.
    ReadOrders {
        /// Call.
        call: u64,
        /// Target names.
        targets: Vec<String>,
    },
    /// Write an order's row, if the lease is still the one with this fencing token and the row is
    /// as read.
    WriteOrder {
        /// Call.
        call: u64,
        /// Group.
        group: String,
        /// Fencing token of the lease.
        fence: FencingToken,
        /// Version that the order's row must have.
        version: Version,
        /// Order.
        order: Order,
    },
    /// Send an order to its target, unless `deadline` has passed when its bytes are about to go out.
    SendOrder {
        /// Call.
        call: u64,
        /// `ip:port` of the target.
        addr: String,
        /// Order.
        order: Order,
        /// Last instant at which a byte of it may be written.
        deadline: Millis,
    },
    /// Ask a target for its latest order.
    ReadTarget {
        /// Call.
        call: u64,
        /// `ip:port` of the target.
        addr: String,
    },
}
