//! What a node would order of a target if it holds the target's lease.

use rw_types::OrderKind;

/// A wish of the role planner or of the configuration; the authority turns it into an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProposedOrder {
    /// Target name.
    pub target: String,
    /// What is wanted.
    pub kind: OrderKind,
    /// Reason, for the target's history.
    pub reason: String,
}
