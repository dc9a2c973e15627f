//! Configuration by operators: routes, services and limits.

use rw_types::KeyHash;
use serde::{Deserialize, Serialize};

/// When calls of a route may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RetryPolicy {
    /// Running the call more than once has the same effect as running it once.
    Idempotent,
    /// The call must not run more than once.
    #[serde(rename = "Once")]
    AtMostOnce,
    /// A stream of events.
    Stream {
        /// Whether the stream may be resumed on another target after its last event.
        resumable: bool,
    },
}

impl RetryPolicy {
    /// Whether the call may be retried if the outcome of a run is unknown.
    #[must_use]
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Whether a stream may be resumed on another target.
    #[must_use]
    pub fn is_resumable(self) -> bool {
        matches!(self, Self::Stream { resumable: true })
    }

    /// Whether the response is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// Weight of a service in a traffic split.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceWeight {
    /// Name of the service.
    pub service: String,
    /// Weight relative to the other services of the route.
    pub weight: u32,
}

/// Rule for calls with a given host and path prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name.
    pub name: String,
    /// Host.
    pub host: String,
    /// Path prefix, which begins and ends with a slash.
    pub prefix: String,
    /// When its calls may be retried.
    #[serde(rename = "repeat")]
    pub retry_policy: RetryPolicy,
    /// Maximum time until the response is complete, in milliseconds.
    pub timeout_ms: u64,
    /// Latency objective for a response or the first event of a stream, in milliseconds.
    pub objective_ms: u64,
    /// Maximum pause between the events of a stream that meets the objective, in milliseconds.
    #[serde(rename = "gap_ms")]
    pub max_gap_ms: u64,
    /// Time without any event after which clients disconnect from a stream, in milliseconds.
    #[serde(rename = "patience_ms")]
    pub client_timeout_ms: u64,
    /// Priority; zero is the most urgent.
    pub priority: u8,
    /// Services that share the traffic, and their weights.
    #[serde(rename = "shares")]
    pub traffic_split: Vec<ServiceWeight>,
    /// Maximum number of targets that may run one call.
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
    /// Whether calls need no key although the configuration has client accounts.
    #[serde(default)]
    pub public: bool,
}

/// A client account.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Account {
    /// Name, which targets are given with each call.
    pub name: String,
    /// Hashes of its keys.
    pub keys: Vec<KeyHash>,
    /// Priority of its calls, which takes precedence over that of their routes.
    pub priority: Option<u8>,
}

/// How many targets of a service may be ordered, and what they cost.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Scaling {
    /// Minimum number of targets in each data centre, spot targets included.
    pub min_instances: u32,
    /// Maximum number of targets in each data centre, spot targets included.
    pub max_instances: u32,
    /// Time from an order until the new targets serve, in milliseconds.
    pub boot_ms: u64,
    /// Price of a spot target as a fraction of that of another target; `None` if there are none.
    pub spot_price: Option<f64>,
    /// Price of a second of a target, by data centre, sorted by name.
    pub prices: Vec<(String, f64)>,
}

/// Properties of the engines of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// Calls that one engine can run concurrently.
    pub slots: u32,
    /// Capacity of its KV cache in tokens.
    #[serde(rename = "memory")]
    pub kv_tokens: u64,
    /// Bytes of KV cache per token.
    pub token_bytes: u64,
    /// Network bandwidth of the engine in Mbit/s.
    pub link_mbps: f64,
    /// Time to live of the handle to a prefilled prompt, in milliseconds.
    #[serde(rename = "handle_ms")]
    pub handle_ttl_ms: u64,
    /// Time for which an engine is unavailable during a role change, in milliseconds.
    #[serde(rename = "switch_ms")]
    pub role_switch_ms: u64,
}

/// A service and the common properties of its targets.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name.
    pub name: String,
    /// Connections that one target accepts from all VMs together.
    #[serde(rename = "connections")]
    pub max_connections: u32,
    /// Set if the targets are model engines.
    pub engine: Option<EngineSpec>,
    /// Set if the number of its targets can be ordered.
    #[serde(default)]
    pub scaling: Option<Scaling>,
}

/// Limits on requests and connections of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallLimits {
    /// Maximum size of the request head, in bytes.
    pub header_bytes: usize,
    /// Maximum size of the request body, in bytes.
    pub body_bytes: usize,
    /// Maximum time from the first byte of a request to its last, in milliseconds.
    pub header_ms: u64,
    /// Maximum time that a connection may be idle, in milliseconds.
    pub idle_ms: u64,
}

impl Default for CallLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_ms: 3_000,
            idle_ms: 15_000,
        }
    }
}

/// One version of the configuration.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Routing {
    /// Version; zero if no configuration has been loaded.
    pub version: u64,
    /// Routes, sorted by host and prefix.
    pub routes: Vec<Route>,
    /// Services, sorted by name.
    pub services: Vec<Service>,
    /// Limits on callers.
    pub limits: CallLimits,
    /// Whether there are client accounts, so that calls on routes that aren't public need a key.
    #[serde(default)]
    pub has_accounts: bool,
    /// Client accounts, sorted by name. They are not part of snapshots for other nodes.
    #[serde(skip)]
    pub accounts: Vec<Account>,
}

impl Routing {
    /// Sorts routes and services for binary search.
    #[must_use]
    pub fn sorted(mut self) -> Self {
        self.routes
            .sort_by(|a, b| (&a.host, &a.prefix).cmp(&(&b.host, &b.prefix)));
        self.services.sort_by(|a, b| a.name.cmp(&b.name));
        self
    }

    /// The route for `host` with the longest prefix that matches `path`.
    #[must_use]
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Route> {
        // Prefixes end with a slash, so only the parts of the path up to a slash can match.
        let cuts = path.match_indices('/').map(|(i, _)| &path[..=i]);
        cuts.rev().find_map(|prefix| self.exact(host, prefix))
    }

    /// Whether the configuration has client accounts that aren't part of this copy of it, because it
    /// comes from another node.
    #[must_use]
    pub fn lacks_accounts(&self) -> bool {
        self.has_accounts && self.accounts.is_empty()
    }

    /// The service with this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        let i = self
            .services
            .binary_search_by(|s| s.name.as_str().cmp(name))
            .ok()?;
        Some(&self.services[i])
    }

    fn exact(&self, host: &str, prefix: &str) -> Option<&Route> {
        let wanted = (host, prefix);
        let i = self
            .routes
            .binary_search_by(|r| (r.host.as_str(), r.prefix.as_str()).cmp(&wanted))
            .ok()?;
        Some(&self.routes[i])
    }
}
