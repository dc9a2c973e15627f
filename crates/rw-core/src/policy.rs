//! Which decisions are in force, and by what they are weighed.

/// How a target is chosen among those that can take a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoutingStrategy {
    /// In turn.
    RoundRobin,
    /// Fewest streams, by the latest report.
    LeastLoaded,
    /// Earliest first token.
    FirstToken,
    /// Earliest whole answer, with the engine's time that it costs.
    TotalTime,
}

/// The decisions in force. A comparison changes them one at a time; nodes run the default.
#[derive(Debug, Clone, PartialEq)]
pub struct Policy {
    /// How a target is chosen.
    pub strategy: RoutingStrategy,
    /// Targets looked at, drawn at random; zero for all.
    pub sample: usize,
    /// Most targets of a model that are all looked at, whatever `sample` says.
    pub scan_max: usize,
    /// Whether this node's work since the latest report counts.
    pub own_requests: bool,
    /// Whether cached prefixes count.
    pub cache: bool,
    /// Weight of the engine's time that an answer costs, against the time until the answer.
    pub cost_weight: f64,
    /// Whether a request that can't meet its deadline is refused.
    pub admit: bool,
    /// Part of the time left that an estimate may fill.
    pub margin: f64,
    /// Whether priorities count.
    pub priorities: bool,
    /// Whether callers are held to their shares under contention.
    pub shares: bool,
    /// Whether the streams of a target are limited by how it does.
    pub limits: bool,
    /// Whether roles are planned.
    pub plan: bool,
    /// Whether roles are planned without the lease of the group, where one node alone is obeyed.
    pub plan_without_lease: bool,
    /// Pause between plans, in milliseconds.
    pub plan_interval_ms: u64,
    /// Time over which a role change must pay, in milliseconds.
    pub horizon_ms: u64,
    /// Time that a change takes an engine away, its drain included, in milliseconds.
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
    /// Routing without any of the other decisions; priorities are still passed on to engines.
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
