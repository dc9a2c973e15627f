//! Settings of a node process.

use rw_core::Policy;
use rw_http::Limits;
use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::Duration,
};

/// Loopback address with a port assigned by the kernel.
const ANY: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Settings that a node process is started with.
#[derive(Clone)]
pub struct NodeSettings {
    /// Name of this VM in the platform's list.
    pub vm: String,
    /// Data centre of this VM.
    pub centre: String,
    /// Address of the listener for callers.
    pub listen: SocketAddr,
    /// Address of the listener for peers.
    pub peer_listen: SocketAddr,
    /// Address of the listener for operators.
    pub operator_listen: SocketAddr,
    /// Address of the platform, as `ip:port`.
    pub platform: String,
    /// Timeout of a platform call.
    pub platform_timeout: Duration,
    /// Token of peers and operators; during a rotation two, separated by a comma. The first one is
    /// sent, both are accepted.
    pub token: String,
    /// Secret with which account keys are hashed.
    pub secret: [u8; 32],
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: u64,
    /// Maximum wait for a target's first byte, and between bytes.
    pub read_timeout: Duration,
    /// Wait for a target's first byte before the target is probed, and timeout of an idempotent
    /// call to a plain service.
    pub first_byte_timeout: Duration,
    /// Wait for the next token before the target is probed.
    pub token_timeout: Duration,
    /// Time between reporting not ready and refusing new requests, for the load balancer to notice.
    pub shutdown_grace: Duration,
    /// Interval between reads of the configuration's head and of the VM list.
    pub poll_interval: Duration,
    /// Interval between reads of a target's load.
    pub load_poll_interval: Duration,
    /// Throughput of the platform's weight store in bytes per second, used to estimate plans.
    pub weight_rate: u64,
    /// Duration of a lease, counted from the time at which its renewal was sent.
    pub lease_ttl: Duration,
    /// Maximum drift between the clocks of two VMs within one lease.
    pub clock_drift: Duration,
    /// Longest time for which an order can be in flight to its target.
    pub order_ttl: Duration,
    /// Age from which a load report is ignored when orders are planned.
    pub max_report_age: Duration,
    /// Limits of the listener for callers.
    pub limits: Limits,
    /// Number of threads that serve callers, each with its own executor; zero uses the global
    /// executor.
    pub threads: usize,
    /// Which decisions of the reducer are enabled.
    pub policy: Policy,
}

impl NodeSettings {
    /// Returns the settings of a node on loopback, with ports assigned by the kernel and short
    /// intervals.
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
    /// Omits the token and the secret.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("NodeSettings")
            .field("vm", &self.vm)
            .field("centre", &self.centre)
            .field("listen", &self.listen)
            .field("platform", &self.platform)
            .finish_non_exhaustive()
    }
}
