//! Routes of a simulated deployment, and how long callers wait on them.

use super::{deployment::Deployment, options::RelayOptions, scaling::node_scaling};
use rw_gate::{CallLimits, EngineSpec, RetryPolicy, Route, Routing, Service, ServiceWeight};

/// Microseconds in a millisecond.
pub(crate) const US_PER_MS: u64 = 1_000;
/// Time before the first call, in which the nodes change the engines' roles to their initial split.
pub(crate) const WARMUP_US: u64 = 16_000 * US_PER_MS;
/// Time from a role order until the engine has the new role.
pub(crate) const ROLE_SWITCH_US: u64 = 3_000 * US_PER_MS;
/// Callers disconnect when no event arrives for the longest of: this many milliseconds, this
/// multiple of the kind's latency objective, this multiple of its maximum pause between events.
const CLIENT_TIMEOUT: (u64, u64, u64) = (2_000, 4, 8);
pub(crate) const HOST: &str = "a.example";
pub(crate) const SERVICE: &str = "engines";

/// Milliseconds without any event after which a caller disconnects.
pub(crate) fn client_timeout_ms(objective_ms: u64, gap_ms: u64) -> u64 {
    let (min_ms, objectives, pauses) = CLIENT_TIMEOUT;
    min_ms.max(objective_ms * objectives).max(gap_ms * pauses)
}

/// Routes and service of a deployment.
pub(crate) fn routing(deployment: &Deployment, options: &RelayOptions) -> Routing {
    let engine = &deployment.engine;
    let routes = deployment.kinds.iter().map(|k| Route {
        name: k.name.clone(),
        host: HOST.to_owned(),
        prefix: format!("/{}/", k.name),
        retry_policy: RetryPolicy::Stream { resumable: false },
        timeout_ms: k.deadline_ms,
        objective_ms: k.objective_ms,
        max_gap_ms: k.max_gap_ms,
        client_timeout_ms: client_timeout_ms(k.objective_ms, k.max_gap_ms),
        priority: k.priority,
        traffic_split: vec![ServiceWeight {
            service: SERVICE.to_owned(),
            weight: 1,
        }],
        max_attempts: 1,
        public: false,
    });
    Routing {
        version: 1,
        routes: routes.collect(),
        services: vec![Service {
            name: SERVICE.to_owned(),
            max_connections: 300,
            engine: Some(EngineSpec {
                slots: engine.slots,
                kv_tokens: engine.kv_tokens,
                token_bytes: engine.token_bytes,
                link_mbps: engine.link_mbps,
                handle_ttl_ms: 5_000,
                role_switch_ms: ROLE_SWITCH_US / US_PER_MS,
            }),
            scaling: node_scaling(deployment, options),
        }],
        limits: CallLimits::default(),
        has_accounts: false,
        accounts: Vec::new(),
    }
    .sorted()
}
