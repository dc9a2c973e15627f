//! Options of a simulation of forwarded calls.

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

/// What a simulation does beside the load.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RelayOptions {
    /// Number of engines that decode from the start, without role changes; `None` for roles that the
    /// nodes choose.
    pub decode: Option<usize>,
    /// Faults of engines.
    pub faults: Vec<EngineFault>,
    /// Whether nodes ignore what engines say about themselves.
    pub ignores_notices: bool,
}
