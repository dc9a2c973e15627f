//! Settings of a node process.

use rw_core::Policy;
use rw_http::Limits;
use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::Duration,
};

/// Loopback with a port given by the kernel.
const ANY: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Everything a node process is told at its start.
#[derive(Clone)]
pub struct NodeSettings {
    /// Name of this VM in the platform's list.
    pub vm: String,
    /// Data centre of this VM.
    pub centre: String,
    /// Callers' listener.
    pub listen: SocketAddr,
    /// Peers' listener.
    pub peer_listen: SocketAddr,
    /// Operators' listener.
    pub operator_listen: SocketAddr,
    /// `ip:port` of the platform.
    pub platform: String,
    /// Time limit of a platform call.
    pub platform_timeout: Duration,
    /// Token of peers and operators.
    pub token: String,
    /// Secret under which account keys are hashed.
    pub secret: [u8; 32],
    /// Largest request body taken, in bytes.
    pub max_body_bytes: u64,
    /// Longest silence of a target before its first byte and between bytes.
    pub read_timeout: Duration,
    /// Wait for a target's first byte before it is probed.
    pub first_byte_timeout: Duration,
    /// Wait for the next token before the target is probed.
    pub token_timeout: Duration,
    /// Time between turning not ready and refusing new requests, for the balancer to notice.
    pub shutdown_grace: Duration,
    /// Pause between reads of the configuration's head and of the VM list.
    pub poll_interval: Duration,
    /// Pause between reads of a target's load.
    pub load_poll_interval: Duration,
    /// Bytes a second that the platform's weight store gives out, for plans.
    pub weight_rate: u64,
    /// Time that a lease runs from before its renewal was sent.
    pub lease_ttl: Duration,
    /// Most by which the clocks of two VMs drift apart within one lease.
    pub clock_drift: Duration,
    /// Longest life of an order on its way to its target.
    pub order_ttl: Duration,
    /// Age from which a target's report is no longer planned on.
    pub max_report_age: Duration,
    /// Limits of the callers' listener.
    pub limits: Limits,
    /// Threads that serve callers, each with an executor of its own; none for the global executor.
    pub threads: usize,
    /// Decisions in force.
    pub policy: Policy,
}

impl NodeSettings {
    /// Settings of a node on loopback, with ports given by the kernel and short pauses.
    #[must_use]
    pub fn loopback(vm: &str, centre: &str, platform: SocketAddr) -> Self {
        Self {
            vm: vm.to_owned(),
            centre: centre.to_owned(),
            listen: ANY,
            peer_listen: ANY,
            operator_listen: ANY,
            platform: platform.to_string(),
            platform_timeout: Duration::from_secs(1),
            token: "dev-token-for-loopback-only".to_owned(),
            secret: [7; 32],
            max_body_bytes: 4 << 20,
            read_timeout: Duration::from_secs(5),
            first_byte_timeout: Duration::from_secs(2),
            token_timeout: Duration::from_secs(2),
            shutdown_grace: Duration::from_secs(2),
            poll_interval: Duration::from_millis(200),
            load_poll_interval: Duration::from_millis(200),
            weight_rate: 1 << 30,
            lease_ttl: Duration::from_secs(2),
            clock_drift: Duration::from_millis(100),
            order_ttl: Duration::from_millis(500),
            max_report_age: Duration::from_secs(2),
            limits: Limits::default(),
            threads: 0,
            policy: Policy::default(),
        }
    }
}

impl std::fmt::Debug for NodeSettings {
    /// Leaves the token and the secret out.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("NodeSettings")
            .field("vm", &self.vm)
            .field("centre", &self.centre)
            .field("listen", &self.listen)
            .field("platform", &self.platform)
            .finish_non_exhaustive()
    }
}
