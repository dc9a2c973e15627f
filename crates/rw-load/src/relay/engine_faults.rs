//! Engines that pause, leave or name a rate limit during a simulation.

use super::{
    engine_state::EngineState,
    fleet::Simulation,
    options::{EngineFault, EngineFaultKind},
    routes::US_PER_MS,
};
use rw_gate::{DispatchOutcome, Event, RateNotice, RequestRate, TargetIncarnation, TargetNotice};

/// Time from which a limit must hold after it was first named, in microseconds.
const SETTLE_US: u64 = 3_000 * US_PER_MS;

impl Simulation<'_> {
    /// What an engine does now, by the faults of the simulation.
    pub(super) fn engine_state(&self, engine: usize) -> EngineState {
        if self.leases[engine].is_gone() {
            return EngineState::Gone;
        }
        EngineState::at(self.now, &self.options.faults, engine)
    }

    /// What an engine says about its rate limit now.
    fn rate_notice(&self, engine: usize) -> RateNotice {
        match self.limit_fault(engine) {
            Some((rate, fault)) if self.now < fault.end_us() => RateNotice::Limited(rate),
            Some(_) => RateNotice::Unlimited {
                asked_at: self.millis(),
            },
            None => RateNotice::Silent,
        }
    }

    /// The limit that an engine has named, with its fault.
    fn limit_fault(&self, engine: usize) -> Option<(RequestRate, &EngineFault)> {
        let faults = self.options.faults.iter();
        let mut begun = faults.filter(|f| f.has_begun(self.now, engine));
        begun.find_map(|fault| match fault.kind {
            EngineFaultKind::Limit(rate) => Some((rate, fault)),
            EngineFaultKind::Pause | EngineFaultKind::Leave => None,
        })
    }

    /// Counts a request to an engine that has named a limit for long enough.
    pub(super) fn count_request(&mut self, engine: usize) {
        let Some((rate, fault)) = self.limit_fault(engine) else {
            return;
        };
        if (fault.start_us() + SETTLE_US..fault.end_us()).contains(&self.now) {
            let at_ms = self.millis().0;
            self.limit_usage.record(engine, rate, at_ms);
        }
    }

    /// An engine says with the response to a call that it is leaving, or asks for a pause.
    pub(super) fn notice(&mut self, engine: usize, call: usize, pause_ms: Option<u64>) {
        let is_leaving = self.engine_state(engine) == EngineState::Leaving;
        let notice = TargetNotice {
            is_leaving,
            pause_ms,
            rate: self.rate_notice(engine),
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
            let delivered = self.calls[call].delivered();
            let outcome = DispatchOutcome::Broken {
                crashed: true,
                delivered,
            };
            self.end_dispatch(call, outcome);
        }
    }
}
