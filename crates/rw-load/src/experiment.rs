//! What one run is made of.

use crate::Profile;
use rw_core::{Policy, Split};

/// Something that goes wrong.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// Operators withdraw an engine; what runs on it ends.
    Withdraw(usize),
    /// An engine dies with its streams.
    Kill(usize),
    /// Load reports lag by so many milliseconds.
    Lag(u64),
    /// The table answers no more, or answers again.
    TableOutage(bool),
}

/// A fault with its time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FaultAt {
    /// Seconds from the start.
    pub at: f64,
    /// What goes wrong.
    pub fault: Fault,
}

/// Whether roles are set by hand.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Hand {
    /// They stay as they begin, but for what the policy orders.
    Off,
    /// They are set to what fits best at the start of each phase.
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
    pub hand: Hand,
    /// Decisions in force.
    pub policy: Policy,
    /// What goes wrong, in order of time.
    pub faults: Vec<FaultAt>,
}

impl Experiment {
    /// A run of `profile` with the default decisions and the first phase's roles.
    #[must_use]
    pub fn new(profile: Profile, load: f64, seed: u64) -> Self {
        Self {
            split: profile.phases[0].right,
            profile,
            load,
            seed,
            nodes: 6,
            lag_ms: 500,
            poll_ms: 200,
            hand: Hand::Off,
            policy: Policy::default(),
            faults: Vec::new(),
        }
    }
}
