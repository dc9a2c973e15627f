//! Settings of routing, admission and role planning.

/// How a target is chosen among those that can take a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoutingStrategy {
    /// Round robin over all that accept requests.
    RoundRobin,
    /// Fewest running and waiting streams in the latest report.
    LeastLoaded,
    /// Lowest estimated time to first token.
    FirstToken,
    /// Lowest estimated total time plus weighted engine time.
    TotalTime,
}

/// Which mechanisms are active, and their parameters. Nodes run the default; load comparisons change
/// one field at a time.
#[derive(Debug, Clone, PartialEq)]
pub struct Policy {
    /// How a target is chosen.
    pub strategy: RoutingStrategy,
    /// Number of targets sampled at random per decision; zero for all.
    pub sample: usize,
    /// Up to this many targets for a model, all are compared, whatever `sample` says.
    pub scan_max: usize,
    /// Whether estimates include this node's requests sent since the latest report.
    pub own_requests: bool,
    /// Whether estimates and sampling consider cached prefixes.
    pub cache: bool,
    /// Weight of a response's engine time relative to its total time.
    pub cost_weight: f64,
    /// Whether requests that are estimated to miss their deadline are refused.
    pub admit: bool,
    /// Fraction of the remaining time that the estimated total time may take.
    pub margin: f64,
    /// Whether priorities are considered.
    pub priorities: bool,
    /// Whether accounts' shares are enforced under contention.
    pub shares: bool,
    /// Whether an adaptive concurrency limit applies to each target.
    pub limits: bool,
    /// Whether role changes are planned.
    pub plan: bool,
    /// Whether roles are planned without holding the group's lease, for fleets in which only one node
    /// gives orders.
    pub plan_without_lease: bool,
    /// Time between two plans, in milliseconds.
    pub plan_interval_ms: u64,
    /// Time within which the gain of a role change must exceed its cost, in milliseconds.
    pub horizon_ms: u64,
    /// Time for which a role change makes an engine unavailable, including its drain, in
    /// milliseconds.
    pub role_change_ms: u64,
    /// Time over which demand is averaged, in milliseconds.
    pub window_ms: u64,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            strategy: RoutingStrategy::TotalTime,
            sample: 3,
            scan_max: 64,
            own_requests: true,
            cache: true,
            cost_weight: 8.0,
            admit: true,
            margin: 0.9,
            priorities: true,
            shares: true,
            limits: true,
            plan: true,
            plan_without_lease: false,
            plan_interval_ms: 1_000,
            horizon_ms: 60_000,
            role_change_ms: 5_000,
            window_ms: 20_000,
        }
    }
}

impl Policy {
    /// Routing by `strategy` alone; priorities are still passed on to engines.
    #[must_use]
    pub fn routing_only(strategy: RoutingStrategy) -> Self {
        Self {
            strategy,
            sample: 0,
            scan_max: usize::MAX,
            own_requests: false,
            cache: false,
            admit: false,
            shares: false,
            limits: false,
            plan: false,
            ..Self::default()
        }
    }
}
