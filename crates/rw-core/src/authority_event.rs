//! Events of leases and orders.

use crate::LeaseRows;
use rw_types::{Order, OrderResponse, Version};

/// A tick, or the end of the [`AuthorityEffect`](crate::AuthorityEffect) with the same `call`
/// number.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AuthorityEvent {
    /// The periodic timer fired.
    Tick,
    /// A read of lease rows ended.
    LeasesRead {
        /// Number of the call.
        call: u64,
        /// Rows of the groups requested; `None` if the table did not respond.
        rows: Option<Vec<LeaseRows>>,
    },
    /// A write of a lease's rows ended.
    LeaseWritten {
        /// Number of the call.
        call: u64,
        /// Outcome of the write.
        outcome: WriteOutcome,
    },
    /// A read of order rows ended.
    OrdersRead {
        /// Number of the call.
        call: u64,
        /// Rows of the targets requested; `None` if the table did not respond.
        rows: Option<Vec<OrderRow>>,
    },
    /// A write of an order's row ended.
    OrderWritten {
        /// Number of the call.
        call: u64,
        /// Outcome of the write.
        outcome: WriteOutcome,
    },
    /// An order was sent to a target, or its latest order was queried.
    TargetResponded {
        /// Number of the call.
        call: u64,
        /// Response with the target's latest order; `None` if there was none.
        response: Option<OrderResponse>,
    },
}

/// How a conditional write ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// Applied at this version.
    Written(Version),
    /// Not applied: a row no longer had the required version.
    Conflict,
    /// Not applied: the write never reached the table.
    NotApplied,
    /// The response was lost, so the write may have been applied or may still be.
    Unknown,
}

/// A row `order/<target>` as read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderRow {
    /// Target name.
    pub target: String,
    /// Latest order of the target; `None` if it never had one.
    pub order: Option<Order>,
    /// Version of the row, zero if absent.
    pub version: Version,
}
