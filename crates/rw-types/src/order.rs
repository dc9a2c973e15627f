//! Orders to targets: the administrative operations that an engine carries out.

use crate::{FencingToken, Role};
use serde::{Deserialize, Serialize};

/// The operation that an order requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "do")]
pub enum OrderKind {
    /// Load a model, further adapters of it, or another version of it.
    Load {
        /// Model name.
        model: String,
        /// Version of the weights.
        version: String,
        /// Adapters to load along with the weights.
        adapters: Vec<String>,
    },
    /// Unload a model.
    Unload {
        /// Model name.
        model: String,
    },
    /// Change the role. The engine is unavailable for some seconds meanwhile.
    Role {
        /// New role.
        role: Role,
    },
    /// Accept no new streams and finish those in progress.
    Drain,
}

/// An order, as stored in the table and sent to its target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Target name.
    pub target: String,
    /// Fencing token of the lease under which the order was written.
    pub fence: FencingToken,
    /// Sequence number at the target, one higher with each order.
    pub seq: u64,
    /// Requested operation.
    pub kind: OrderKind,
    /// Progress of the order.
    pub state: OrderState,
    /// Reason for the order, as shown in the target's history.
    #[serde(default, rename = "why")]
    pub reason: String,
}

/// Progress of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderState {
    /// Written to the table; the target may or may not have received it.
    Open,
    /// Carried out by the target.
    Done,
    /// Failed at the target, or never accepted by it.
    Failed,
}

/// A target's response to an order, with the state of the latest order it has accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderResponse {
    /// Highest fencing token that the target has seen.
    pub fence: FencingToken,
    /// Sequence number of the latest order; zero if there is none.
    pub seq: u64,
    /// State of the latest order.
    pub state: Option<OrderState>,
    /// Whether the order in the request was accepted, now or before.
    #[serde(rename = "taken")]
    pub accepted: bool,
}
