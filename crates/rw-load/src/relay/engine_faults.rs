//! Engines that pause, leave or name a rate limit during a simulation.

use super::{
    fleet::{Simulation, WARMUP_US},
    options::{EngineFault, EngineFaultKind},
    routes::US_PER_MS,
};
use rw_gate::{DispatchOutcome, Event, RateNotice, RequestRate, TargetIncarnation, TargetNotice};

/// Time from which a limit must hold after it was first named, in microseconds.
const SETTLE_US: u64 = 3_000 * US_PER_MS;
/// Length of the window in which requests are counted, in milliseconds.
const WINDOW_MS: u64 = 4_000;
/// Requests in a window that a limit allows: factor on its rate, and requests beyond.
const ALLOWED_FACTOR: f64 = 1.5;
const ALLOWED_SPARE: f64 = 5.0;

/// A request to an engine that has named a limit.
#[derive(Debug, Clone, Copy)]
pub(super) struct LimitUsage {
    engine: usize,
    rate: RequestRate,
    at_ms: u64,
}

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
                (EngineFaultKind::Limit(_), _) => state,
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

    /// What an engine says about its rate limit now.
    fn rate_notice(&self, engine: usize) -> RateNotice {
        match self.limit_fault(engine) {
            Some((rate, fault)) if self.now < end_us(fault) => RateNotice::Limited(rate),
            Some(_) => RateNotice::Unlimited {
                asked_at: self.millis(),
            },
            None => RateNotice::Silent,
        }
    }

    /// The limit that an engine has named, with its fault.
    fn limit_fault(&self, engine: usize) -> Option<(RequestRate, &EngineFault)> {
        let faults = self.options.faults.iter();
        let mut begun = faults.filter(|f| engine < f.engines && start_us(f) <= self.now);
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
        if (start_us(fault) + SETTLE_US..end_us(fault)).contains(&self.now) {
            let usage = LimitUsage {
                engine,
                rate,
                at_ms: self.now / US_PER_MS,
            };
            self.limit_usage.push(usage);
        }
    }

    /// Most requests to an engine in any window, as a fraction of what its limit allows; `None` if no
    /// engine named one.
    pub(super) fn worst_limit_ratio(&self) -> Option<f64> {
        let in_window = |first: &LimitUsage, u: &LimitUsage| {
            let window = first.at_ms..first.at_ms + WINDOW_MS;
            u.engine == first.engine && window.contains(&u.at_ms)
        };
        let ratios = self.limit_usage.iter().map(|first| {
            let usage = self.limit_usage.iter();
            let count = usage.filter(|u| in_window(first, u)).count();
            let allowed = first.rate.per_s() * ALLOWED_FACTOR * WINDOW_MS as f64 / 1e3;
            count as f64 / (allowed + ALLOWED_SPARE)
        });
        ratios.reduce(f64::max)
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
