//! Parameters of one run.

use crate::{Profile, run_virtual};
use rw_core::{Policy, Split};

/// Duration of the trial run of each split on a phase.
const TRIAL_S: f64 = 150.0;

/// A fault injected into a run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// Operators mark an engine as leaving; requests running on it complete.
    Withdraw(usize),
    /// An engine stops and its streams break.
    Kill(usize),
    /// Load reports are delayed by this many milliseconds.
    ReportLag(u64),
    /// The table becomes unavailable (`true`) or available again (`false`).
    TableOutage(bool),
}

/// A fault and the time at which it is injected.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ScheduledFault {
    /// Time from the start, in seconds.
    pub at_s: f64,
    /// The fault.
    pub fault: Fault,
}

/// Whether engine roles are set by the experiment instead of the planner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ManualRoles {
    /// Roles change only by the policy's orders.
    Off,
    /// At the start of each phase, roles are set to its entry in [`Experiment::best_splits`].
    EachPhase,
}

/// One run.
#[derive(Debug, Clone)]
pub struct Experiment {
    /// Fleet and workload.
    pub profile: Profile,
    /// Factor applied to the profile's rates.
    pub load: f64,
    /// Seed of the arrivals and of the nodes.
    pub seed: u64,
    /// Number of entry nodes.
    pub nodes: usize,
    /// Delay of load reports, in milliseconds.
    pub lag_ms: u64,
    /// Interval between reads of a target's load report, in milliseconds.
    pub poll_ms: u64,
    /// Split of the engines over roles at the start.
    pub split: Split,
    /// Whether engine roles are set by the experiment instead of the planner.
    pub manual_roles: ManualRoles,
    /// Split with the highest mean goodput for each phase; see [`Experiment::find_best_splits`].
    pub best_splits: Vec<Split>,
    /// Policy of the nodes.
    pub policy: Policy,
    /// Injected faults, ordered by time.
    pub faults: Vec<ScheduledFault>,
}

impl Experiment {
    /// A run of `profile` with the default policy, starting with the first phase's best split.
    #[must_use]
    pub fn new(profile: Profile, load: f64, seed: u64) -> Self {
        Self {
            split: profile.phases[0].best_split,
            best_splits: profile.phases.iter().map(|p| p.best_split).collect(),
            profile,
            load,
            seed,
            nodes: 6,
            lag_ms: 500,
            poll_ms: 200,
            manual_roles: ManualRoles::Off,
            policy: Policy::default(),
            faults: Vec::new(),
        }
    }

    /// Runs every candidate split on each phase alone, without role changes, and stores the split
    /// with the highest mean goodput for each. The experiment starts with the first phase's.
    #[must_use]
    pub fn find_best_splits(mut self) -> Self {
        let phases = 0..self.profile.phases.len();
        self.best_splits = phases.map(|i| self.best_split(i)).collect();
        self.split = self.best_splits[0];
        self
    }

    fn best_split(&self, phase: usize) -> Split {
        let mut profile = self.profile.single_phase(phase);
        profile.phases[0].seconds = TRIAL_S;
        let trials = profile.candidate_splits().into_iter().map(|split| {
            let trial = Self {
                profile: profile.clone(),
                split,
                manual_roles: ManualRoles::Off,
                faults: Vec::new(),
                policy: Policy {
                    plan: false,
                    ..self.policy.clone()
                },
                ..self.clone()
            };
            (run_virtual(&trial).mean_goodput(), split)
        });
        let best = trials.max_by(|a, b| a.0.total_cmp(&b.0));
        best.map_or(self.split, |(_, split)| split)
    }
}
