//! Options of a simulation of forwarded calls.

use super::{engine_speeds::EngineSpeeds, routes::WARMUP_US, scaling::Reclaim};
use rw_gate::RequestRate;

/// What some engines do during a part of a simulation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineFaultKind {
    /// They reject new calls, and ask for a pause until the end of the time.
    Pause,
    /// They say that they are leaving, and are gone at the end of the time. Their entries stay.
    Leave,
    /// They name a rate limit, which all nodes together are to keep to.
    Limit(RequestRate),
}

/// A fault of the first engines of the deployment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineFault {
    /// What they do.
    pub kind: EngineFaultKind,
    /// Number of engines.
    pub engines: usize,
    /// Start in seconds from the first call.
    pub at_s: f64,
    /// Duration in seconds.
    pub for_s: f64,
}

impl EngineFault {
    /// Start in microseconds of the simulation.
    pub(super) fn start_us(&self) -> u64 {
        WARMUP_US + (self.at_s * 1e6) as u64
    }

    /// End in microseconds of the simulation.
    pub(super) fn end_us(&self) -> u64 {
        self.start_us() + (self.for_s * 1e6) as u64
    }

    /// Whether the fault of an engine has begun by the time `now`, in microseconds.
    pub(super) fn has_begun(&self, now: u64, engine: usize) -> bool {
        engine < self.engines && self.start_us() <= now
    }
}

/// The first nodes of the deployment lose their links to all engines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct NodeCut {
    /// Number of nodes.
    pub nodes: usize,
    /// Start in seconds from the first call.
    pub at_s: f64,
    /// Duration in seconds.
    pub for_s: f64,
}

impl NodeCut {
    /// Start in microseconds of the simulation.
    pub(super) fn start_us(&self) -> u64 {
        WARMUP_US + (self.at_s * 1e6) as u64
    }

    /// End in microseconds of the simulation.
    pub(super) fn end_us(&self) -> u64 {
        self.start_us() + (self.for_s * 1e6) as u64
    }
}

/// Who decides how many engines there are, and their roles.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum SizeMode {
    /// The number is fixed, and roles follow constants.
    #[default]
    Fixed,
    /// The number is fixed, and roles follow demand.
    Roles,
    /// The nodes order engines, and roles follow demand.
    Ordered,
}

/// The first nodes of the deployment lose all messages to and from schedulers, and as schedulers. They
/// keep their digests and calls.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Silence {
    /// Number of nodes.
    pub nodes: usize,
    /// Start in seconds from the first call.
    pub at_s: f64,
    /// Duration in seconds.
    pub for_s: f64,
}

impl Silence {
    /// Whether messages of `node` are lost at the time `now`, in microseconds.
    pub(super) fn affects(&self, now: u64, node: usize) -> bool {
        let start = WARMUP_US + (self.at_s * 1e6) as u64;
        let end = start + (self.for_s * 1e6) as u64;
        node < self.nodes && (start..end).contains(&now)
    }
}

/// What a simulation does beside the load.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RelayOptions {
    /// Number of engines that decode from the start, without role changes; `None` for roles that the
    /// nodes choose.
    pub decode: Option<usize>,
    /// Faults of engines.
    pub faults: Vec<EngineFault>,
    /// Cuts of nodes from all engines.
    pub cuts: Vec<NodeCut>,
    /// Whether nodes ignore what engines say about themselves.
    pub ignores_notices: bool,
    /// Who decides how many engines there are.
    pub size: SizeMode,
    /// Data centres that take back their spot engines.
    pub reclaims: Vec<Reclaim>,
    /// Whether prefills end that exceed their stall timeout. The figures of earlier rounds were measured
    /// without.
    pub has_stalls: bool,
    /// Speeds of engines.
    pub speeds: EngineSpeeds,
    /// Whether schedulers place the calls, if the fleet is large enough for them.
    pub schedulers: bool,
    /// Failures of schedulers.
    pub silences: Vec<Silence>,
}
