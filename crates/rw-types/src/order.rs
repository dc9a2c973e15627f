//! Orders to targets.

use crate::{FencingToken, Role};
use serde::{Deserialize, Serialize};

/// What an order asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "do")]
pub enum OrderKind {
    /// Load a model, an adapter of it, or another version of it.
    Load {
        /// Model name.
        model: String,
        /// Version of the weights.
        version: String,
        /// Adapters to hold beside the weights.
        adapters: Vec<String>,
    },
    /// Drop a model.
    Unload {
        /// Model name.
        model: String,
    },
    /// Change role; the engine is away for seconds.
    Role {
        /// Role to take.
        role: Role,
    },
    /// Take no new streams and finish those that run.
    Drain,
}

/// An order as it is written to the table and sent to its target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Target name.
    pub target: String,
    /// Fencing token of the lease it was written under.
    pub fence: FencingToken,
    /// Sequence number at the target; grows by one with each order.
    pub seq: u64,
    /// What is asked.
    pub kind: OrderKind,
    /// How far it is.
    pub state: OrderState,
    /// Reason, for the target's history.
    #[serde(default, rename = "why")]
    pub reason: String,
}

/// How far an order is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderState {
    /// Written; the target may or may not have it.
    Open,
    /// The target carried it out.
    Done,
    /// The target reported that it failed or was never taken.
    Failed,
}

/// A target's word on its latest order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderReply {
    /// Highest fencing token the target has seen.
    pub fence: FencingToken,
    /// Sequence number of its latest order; zero for none.
    pub seq: u64,
    /// State of that order.
    pub state: Option<OrderState>,
    /// Whether the order in the call was taken now or before.
    #[serde(rename = "taken")]
    pub accepted: bool,
}
