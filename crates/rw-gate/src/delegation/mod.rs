//! Calls that this node passes to another node because it doesn't reach the targets itself.
//!
//! A node may lose its links to targets while callers, the registry and the other nodes still reach
//! it. [`Reachability`] tells such a cut from targets that crashed, by the attempts to connect alone.
//! While it lasts, a call goes to a delegate: another node, which places it like a call of its own
//! and returns the response. [`Delegates`] chooses it. A delegate never passes a call on.

mod delegates;
mod delegation_flow;
mod messages;
mod reachability;

pub use messages::{
    DelegatedCall, Delegation, DelegationOutcome, FleetNode, ProbeTarget, ResponseSource,
};

pub(crate) use delegates::Delegates;
pub(crate) use reachability::Reachability;
