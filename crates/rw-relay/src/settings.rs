//! Settings of a relay.

use crate::PlacementMode;
use rw_gate::GateSettings;
use std::{net::SocketAddr, time::Duration};

/// Listen addresses, seeds and limits of a node.
#[derive(Debug, Clone)]
pub struct RelaySettings {
    /// Settings of the gate.
    pub gate: GateSettings,
    /// Listen address for callers.
    pub front: SocketAddr,
    /// Listen address for the load balancer's readiness checks.
    pub ready: SocketAddr,
    /// Listen address for calls from peers; `None` on a VM that has no such address.
    pub control: Option<SocketAddr>,
    /// Listen address for peers: for digests over UDP, and for calls that they pass on over TCP.
    pub digests: SocketAddr,
    /// Maximum number of bytes per second that this node sends, and receives from others, in digests.
    pub digest_bytes_per_s: u32,
    /// Listen address for metrics.
    pub metrics: SocketAddr,
    /// Addresses of nodes to fetch a snapshot from while the store is unavailable.
    pub seeds: Vec<SocketAddr>,
    /// Maximum number of open caller connections.
    pub connections: usize,
    /// Maximum number of bytes that the bodies of requests take up together.
    pub body_bytes: usize,
    /// How calls are placed in large fleets.
    pub placement: PlacementMode,
    /// Time to wait for the answer of a scheduler.
    pub placement_timeout: Duration,
    /// Time from the stop signal until the process is killed.
    pub grace: Duration,
}
