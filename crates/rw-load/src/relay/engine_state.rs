//! What engines do under the faults of a simulation.

use super::{
    options::{EngineFault, EngineFaultKind},
    routes::US_PER_MS,
};

/// What an engine does with new calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum EngineState {
    Open,
    Pausing { left_ms: u64 },
    Leaving,
    Gone,
}

impl EngineState {
    /// State of an engine at the time `now`, in microseconds.
    pub(super) fn at(now: u64, faults: &[EngineFault], engine: usize) -> Self {
        let mut state = Self::Open;
        for fault in faults.iter().filter(|f| f.has_begun(now, engine)) {
            let left_us = fault.end_us().checked_sub(now).filter(|us| *us > 0);
            state = match (fault.kind, left_us) {
                (EngineFaultKind::Leave, None) => return Self::Gone,
                (EngineFaultKind::Leave, Some(_)) => Self::Leaving,
                (EngineFaultKind::Pause, Some(us)) => Self::Pausing {
                    left_ms: us / US_PER_MS,
                },
                (EngineFaultKind::Pause, None) | (EngineFaultKind::Limit(_), _) => state,
            };
        }
        state
    }
}
