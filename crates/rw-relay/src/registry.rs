//! Where routes, targets and the other nodes are registered.

use crate::Peer;
use async_channel::{Receiver, Sender};
use rw_gate::{Event, Routing, TargetSpec};
use serde::{Deserialize, Serialize};
use std::{future::Future, sync::Arc};

/// What a registry tells.
#[derive(Debug)]
pub enum RegistryUpdate {
    /// Something that the reducer decides by.
    Event(Box<Event>),
    /// A row that names no target; it was skipped.
    RowSkipped,
    /// The registered nodes, this one included.
    Peers(Vec<Peer>),
}

/// All that a node knows, for one that starts while the store is away.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Snapshot {
    /// Configuration in force.
    pub routing: Arc<Routing>,
    /// Targets.
    pub targets: Vec<TargetSpec>,
    /// Nodes.
    pub peers: Vec<Peer>,
    /// Calls that ended their targets.
    pub suspects: Vec<rw_types::Suspect>,
}

/// The platform's register of routes, targets and nodes.
pub trait Registry: 'static {
    /// Registers this node as `me`, tells all changes, and asks for the lease as often as it is
    /// `wanted`, until the future is dropped.
    fn watch(
        self,
        me: Peer,
        updates: Sender<RegistryUpdate>,
        lease_requests: Receiver<()>,
    ) -> impl Future<Output = ()>;
}
