//! Orders that planners propose.

use rw_types::OrderKind;

/// An order proposed by the role planner or derived from the configuration. The holder of the
/// target's lease turns it into orders.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProposedOrder {
    /// Target name.
    pub target: String,
    /// What the target should do.
    pub kind: OrderKind,
    /// Reason, for the target's history.
    pub reason: String,
}
