//! Which decisions are in force, and by what they are weighed.

/// How a target is chosen among those that can take a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pick {
    /// In turn.
    RoundRobin,
    /// Fewest streams, by the latest report.
    LeastLoad,
    /// Earliest first token.
    FirstToken,
    /// Earliest whole answer, with the engine's time that it costs.
    WholeAnswer,
}

/// The decisions in force. A comparison changes them one at a time; nodes run the default.
#[derive(Debug, Clone, PartialEq)]
pub struct Policy {
    /// How a target is chosen.
    pub pick: Pick,
    /// Targets looked at, drawn at random; zero for all.
    pub sample: usize,
    /// Most targets of a model that are all looked at, whatever `sample` says.
    pub scan: usize,
    /// Whether this node's work since the latest report counts.
    pub own: bool,
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
    pub plan_alone: bool,
    /// Pause between plans, in milliseconds.
    pub plan_ms: u64,
    /// Time over which a role change must pay, in milliseconds.
    pub horizon_ms: u64,
    /// Time that a change takes an engine away, its drain included, in milliseconds.
    pub away_ms: u64,
    /// Time over which demand is averaged, in milliseconds.
    pub window_ms: u64,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            pick: Pick::WholeAnswer,
            sample: 3,
            scan: 64,
            own: true,
            cache: true,
            cost_weight: 8.0,
            admit: true,
            margin: 0.9,
            priorities: true,
            shares: true,
            limits: true,
            plan: true,
            plan_alone: false,
            plan_ms: 1_000,
            horizon_ms: 60_000,
            away_ms: 5_000,
            window_ms: 20_000,
        }
    }
}

impl Policy {
    /// Routing without any of the other decisions; priorities are still passed on to engines.
    #[must_use]
    pub fn bare(pick: Pick) -> Self {
        Self {
            pick,
            sample: 0,
            scan: usize::MAX,
            own: false,
            cache: false,
            admit: false,
            shares: false,
            limits: false,
            plan: false,
            ..Self::default()
        }
    }
}
