//! What operators configured: routes, services and limits.

use serde::{Deserialize, Serialize};

/// What may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RetryPolicy {
    /// Running it twice equals running it once.
    Idempotent,
    /// It runs at most once.
    #[serde(rename = "Once")]
    AtMostOnce,
    /// A stream of events; one that is resumable may go on at another target.
    Stream {
        /// Whether it may be resumed after its last event.
        resumable: bool,
    },
}

impl RetryPolicy {
    /// Whether a run of unknown outcome may be followed by another.
    #[must_use]
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Whether the answer is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// One service's part of a route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceWeight {
    /// Service.
    pub service: String,
    /// Weight among the route's shares.
    pub weight: u32,
}

/// Where calls with a host and a path prefix go.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name.
    pub name: String,
    /// Host.
    pub host: String,
    /// Path prefix, with a slash at both ends.
    pub prefix: String,
    /// What may be repeated.
    #[serde(rename = "repeat")]
    pub retry_policy: RetryPolicy,
    /// Longest time that a call is kept waiting, in milliseconds.
    pub timeout_ms: u64,
    /// Time within which an answer, or a stream's first event, is on time, in milliseconds.
    pub objective_ms: u64,
    /// Longest pause between events that is on time, in milliseconds.
    #[serde(rename = "gap_ms")]
    pub max_gap_ms: u64,
    /// Time after which callers leave a stream that tells nothing, in milliseconds.
    #[serde(rename = "patience_ms")]
    pub client_timeout_ms: u64,
    /// Rank; zero is the most urgent.
    pub priority: u8,
    /// Services and their weights.
    #[serde(rename = "shares")]
    pub traffic_split: Vec<ServiceWeight>,
    /// Most targets that may run one call.
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
}

/// What operators say of a service's engines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// Calls that one engine runs at once.
    pub slots: u32,
    /// Tokens that fit into its memory.
    #[serde(rename = "memory")]
    pub kv_tokens: u64,
    /// Bytes of one token's KV cache.
    pub token_bytes: u64,
    /// Bandwidth of its link in Mbit/s.
    pub link_mbps: f64,
    /// How long a handle to a prefilled prompt lasts, in milliseconds.
    #[serde(rename = "handle_ms")]
    pub handle_ttl_ms: u64,
    /// How long a role change takes an engine away, in milliseconds.
    #[serde(rename = "switch_ms")]
    pub role_switch_ms: u64,
}

/// A service and what is common to its targets.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name.
    pub name: String,
    /// Connections that one target accepts from all VMs together.
    #[serde(rename = "connections")]
    pub max_connections: u32,
    /// Set where the targets are model engines.
    pub engine: Option<EngineSpec>,
}

/// What a caller may send, and how long it may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallLimits {
    /// Largest head of a request, in bytes.
    pub header_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Longest time from the first byte of a request to its last, in milliseconds.
    pub header_ms: u64,
    /// Longest time that a connection stays open without a request, in milliseconds.
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

/// One version of all of it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Routing {
    /// Version; zero for none.
    pub version: u64,
    /// Routes, sorted by host and prefix.
    pub routes: Vec<Route>,
    /// Services, sorted by name.
    pub services: Vec<Service>,
    /// Limits of callers.
    pub limits: CallLimits,
}

impl Routing {
    /// Sorts routes and services, so that they can be found.
    #[must_use]
    pub fn sorted(mut self) -> Self {
        self.routes
            .sort_by(|a, b| (&a.host, &a.prefix).cmp(&(&b.host, &b.prefix)));
        self.services.sort_by(|a, b| a.name.cmp(&b.name));
        self
    }

    /// The route with the longest prefix of `path` on `host`.
    #[must_use]
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Route> {
        // Each prefix ends with a slash, so only these cuts of the path can be one.
        let cuts = path.match_indices('/').map(|(i, _)| &path[..=i]);
        cuts.rev().find_map(|prefix| self.exact(host, prefix))
    }

    /// The service of that name.
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
