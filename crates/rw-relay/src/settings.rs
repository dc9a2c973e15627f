//! Settings of a relay.

use rw_gate::GateSettings;
use std::{net::SocketAddr, time::Duration};

/// What a node listens on, whom it asks, and its limits.
#[derive(Debug, Clone)]
pub struct RelaySettings {
    /// Settings of the reducer.
    pub gate: GateSettings,
    /// Address for callers.
    pub front: SocketAddr,
    /// Address at which the balancer asks whether this node takes calls.
    pub ready: SocketAddr,
    /// Address for calls of other nodes; none on a VM that has no such address.
    pub control: Option<SocketAddr>,
    /// UDP address for digests of other nodes.
    pub digests: SocketAddr,
    /// Address for metrics.
    pub metrics: SocketAddr,
    /// Addresses of nodes that may know what the store can't tell now.
    pub seeds: Vec<SocketAddr>,
    /// Most open connections of callers.
    pub connections: usize,
    /// Time from the signal to stop until the process is killed.
    pub grace: Duration,
}
