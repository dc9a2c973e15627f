//! What can happen to a node's leases and orders.

use crate::LeaseRows;
use rw_types::{Order, OrderReply, Version};

/// An event of the authority. `call` is the number of the effect that it answers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AuthorityEvent {
    /// Time has passed.
    Tick,
    /// The rows of some leases were read.
    LeasesRead {
        /// Call.
        call: u64,
        /// Rows of the groups asked for; `None` if the table gave no answer.
        rows: Option<Vec<LeaseRows>>,
    },
    /// A write of a lease's rows ended.
    LeaseWritten {
        /// Call.
        call: u64,
        /// How.
        outcome: WriteOutcome,
    },
    /// The rows of some orders were read.
    OrdersRead {
        /// Call.
        call: u64,
        /// Rows of the targets asked for; `None` if the table gave no answer.
        rows: Option<Vec<OrderRow>>,
    },
    /// A write of an order's row ended.
    OrderWritten {
        /// Call.
        call: u64,
        /// How.
        outcome: WriteOutcome,
    },
    /// A target told its latest order; `None` if no answer came.
    TargetReplied {
        /// Call.
        call: u64,
        /// Its word.
        reply: Option<OrderReply>,
    },
}

/// How a conditional write ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It took effect at this version.
    Written(Version),
    /// A condition did not hold; nothing was written.
    Conflict,
    /// The table did not take it; nothing was written.
    NotApplied,
    /// The answer was lost; it may have taken effect.
    Unknown,
}

/// The row `order/<target>` as read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderRow {
    /// Target name.
    pub target: String,
    /// Latest order, if there is one.
    pub order: Option<Order>,
    /// Version of the row, zero if absent.
    pub version: Version,
}
