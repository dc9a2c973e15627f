//! Engines that pause or leave during a simulation.

use super::{
    fleet::{Simulation, WARMUP_US},
    options::{EngineFault, EngineFaultKind},
    routes::US_PER_MS,
};
use rw_gate::{DispatchOutcome, Event, TargetIncarnation, TargetNotice};

/// What an engine does with new calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum EngineState {
    Open,
    Pausing { left_ms: u64 },
    Leaving,
    Gone,
}

impl Simulation<'_> {
    /// What an engine does now, by the faults of the simulation.
    pub(super) fn engine_state(&self, engine: usize) -> EngineState {
        let faults = self.options.faults.iter();
        let begun = faults.filter(|f| engine < f.engines && start_us(f) <= self.now);
        let mut state = EngineState::Open;
        for fault in begun {
            let left_us = end_us(fault).checked_sub(self.now).filter(|us| *us > 0);
            state = match (fault.kind, left_us) {
                (EngineFaultKind::Leave, None) => return EngineState::Gone,
                (EngineFaultKind::Leave, Some(_)) => EngineState::Leaving,
                (EngineFaultKind::Pause, Some(us)) => EngineState::Pausing {
                    left_ms: us / US_PER_MS,
                },
                (EngineFaultKind::Pause, None) => state,
            };
        }
        state
    }

    /// An engine says with the response to a call that it is leaving, or asks for a pause.
    pub(super) fn notice(&mut self, engine: usize, call: usize, pause_ms: Option<u64>) {
        let is_leaving = self.engine_state(engine) == EngineState::Leaving;
        let notice = TargetNotice {
            is_leaving,
            pause_ms,
            ..TargetNotice::default()
        };
        if self.options.ignores_notices || notice.is_empty() {
            return;
        }
        let target = TargetIncarnation {
            name: self.spec(engine).name,
            incarnation: 1,
        };
        let event = Event::TargetNotice { target, notice };
        self.send_event_after(0, call, |_| event);
    }

    /// Stops an engine for good, which breaks the calls on it.
    pub(super) fn stop_engine(&mut self, engine: usize) {
        for call in 0..self.calls.len() {
            if self.calls[call].engine != Some(engine) || self.calls[call].ended {
                continue;
            }
            self.engines[engine].cancel(call);
            let delivered = self.calls[call].started.then_some(0);
            let outcome = DispatchOutcome::Broken {
                crashed: true,
                delivered,
            };
            self.end_dispatch(call, outcome);
        }
    }
}

fn start_us(fault: &EngineFault) -> u64 {
    WARMUP_US + (fault.at_s * 1e6) as u64
}

pub(super) fn end_us(fault: &EngineFault) -> u64 {
    start_us(fault) + (fault.for_s * 1e6) as u64
}
