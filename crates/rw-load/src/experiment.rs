//! What one run is made of.

use crate::{Profile, run_virtual};
use rw_core::{Policy, Split};

/// Seconds for which each split is tried on a phase.
const TRIAL_S: f64 = 150.0;

/// Something that goes wrong.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// Operators withdraw an engine; what runs on it ends.
    Withdraw(usize),
    /// An engine dies with its streams.
    Kill(usize),
    /// Load reports lag by so many milliseconds.
    ReportLag(u64),
    /// The table answers no more, or answers again.
    TableOutage(bool),
}

/// A fault with its time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ScheduledFault {
    /// Seconds from the start.
    pub at_s: f64,
    /// What goes wrong.
    pub fault: Fault,
}

/// Whether roles are set by hand.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ManualRoles {
    /// They stay as they begin, but for what the policy orders.
    Off,
    /// They are set at the start of each phase to the best split found for it by trying.
    EachPhase,
}

/// One run.
#[derive(Debug, Clone)]
pub struct Experiment {
    /// Fleet and work.
    pub profile: Profile,
    /// Times the profile's rates.
    pub load: f64,
    /// Seed of the arrivals and of the nodes.
    pub seed: u64,
    /// Entry nodes.
    pub nodes: usize,
    /// Milliseconds by which load reports lag.
    pub lag_ms: u64,
    /// Pause between reads of a load report, in milliseconds.
    pub poll_ms: u64,
    /// Roles at the start.
    pub split: Split,
    /// Whether roles are set by hand.
    pub manual_roles: ManualRoles,
    /// Best split of each phase; see [`Experiment::find_right`].
    pub best_splits: Vec<Split>,
    /// Decisions in force.
    pub policy: Policy,
    /// What goes wrong, in order of time.
    pub faults: Vec<ScheduledFault>,
}

impl Experiment {
    /// A run of `profile` with the default decisions and the first phase's roles.
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

    /// Tries every split on each phase alone, without role changes, and keeps the best ones. The
    /// run begins with the first phase's.
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
