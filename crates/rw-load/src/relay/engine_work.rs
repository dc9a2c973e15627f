//! Calls on the simulated engines.

use super::{
    engine::{Prompt, StepResult},
    engine_state::EngineState,
    fleet::{CALLER_HOP_US, HOP_US, SimEvent, Simulation},
    routes::{US_PER_MS, WARMUP_US},
};
use rw_gate::{
    DelegationOutcome, Dispatch, DispatchMode, DispatchOutcome, Event, KvHandle, TargetLoad,
};

impl Simulation<'_> {
    pub(super) fn dispatch(&mut self, call: usize, dispatch: &Dispatch) {
        let engine = self.index(&dispatch.target);
        self.calls[call].engine = Some(engine);
        self.calls[call].dispatches += 1;
        let timeout_ms = dispatch.stall_timeout_ms;
        if let Some(timeout_ms) = timeout_ms.filter(|_| self.options.has_stalls) {
            let dispatches = self.calls[call].dispatches;
            self.result.prefills += 1;
            self.schedule(
                self.now + timeout_ms * US_PER_MS,
                SimEvent::CheckStall { call, dispatches },
            );
        }
        let a = &self.arrivals[self.calls[call].arrival];
        let parts = a.parts.clone();
        let tokens = u64::from(a.tokens());
        let output = a.events * self.deployment.engine.event_tokens;
        let local = self.engines[engine].cache.cached_tokens(&parts);
        let mut at = self.now + HOP_US;
        let context = match (&dispatch.mode, &dispatch.fetch_from) {
            (DispatchMode::Decode(_), _) => {
                at = self.engines[engine].transfer(at, tokens);
                tokens - 1
            }
            (_, Some(from)) => {
                let from = from.trim_end_matches(":1").parse().unwrap_or(engine);
                let remote = self.engines[from].cache.cached_tokens(&parts);
                if remote > local {
                    at = self.engines[engine].transfer(at, remote - local);
                }
                remote.max(local)
            }
            (_, None) => local,
        };
        let context = context.min(tokens - 1);
        let prompt = Prompt {
            call,
            priority: dispatch.priority,
            parts,
            remaining: tokens - context,
            context,
            output: (dispatch.mode != DispatchMode::Prefill).then_some(output),
            started: false,
            imported: matches!(dispatch.mode, DispatchMode::Decode(_)),
        };
        self.schedule(at, SimEvent::Submit { engine, prompt });
    }

    pub(super) fn submit(&mut self, engine: usize, prompt: Prompt) {
        let call = prompt.call;
        if self.calls[call].ended {
            return;
        }
        self.count_request(engine);
        match self.engine_state(engine) {
            EngineState::Gone => self.end_dispatch(call, DispatchOutcome::NotSent),
            EngineState::Pausing { left_ms } => {
                self.notice(engine, call, Some(left_ms));
                self.end_dispatch(call, DispatchOutcome::Rejected { status: 503 });
            }
            EngineState::Open | EngineState::Leaving => {
                self.engines[engine].submit(prompt);
                self.start_step(engine);
            }
        }
    }

    fn start_step(&mut self, engine: usize) {
        let speeds = &self.options.speeds;
        let load = self.engines[engine].occupancy();
        let factor = speeds.factor(self.now, self.seed, engine)
            * speeds.saturation(engine, self.engines.len(), load);
        if let Some(us) = self.engines[engine].start_step(factor) {
            self.schedule(self.now + us.max(1), SimEvent::EndStep(engine));
        }
    }

    pub(super) fn end_step(&mut self, engine: usize) {
        let now = self.millis();
        for result in self.engines[engine].end_step(now) {
            self.handle_result(engine, result);
        }
        self.start_step(engine);
    }

    fn handle_result(&mut self, engine: usize, result: StepResult) {
        if let StepResult::Prefilled(call) | StepResult::First { call, .. } = result {
            self.notice(engine, call, None);
        }
        match result {
            StepResult::Prefilled(call) => {
                let handle = KvHandle {
                    addr: format!("{engine}:1"),
                    name: call.to_string(),
                };
                let load = Some(self.load(engine));
                let after = self.first_token_us();
                self.send_event_after(after, call, |id| Event::ResponseStarted { id, load });
                self.send_event_after(self.first_token_us(), call, |id| Event::DispatchEnded {
                    id,
                    outcome: DispatchOutcome::Prefilled(handle),
                });
            }
            StepResult::First { call, imported } => {
                let after = if imported { 0 } else { self.first_token_us() };
                let load = Some(self.load(engine));
                self.send_event_after(after, call, |id| Event::ResponseStarted { id, load });
                self.event_received(call, after);
                self.send_event_after(after, call, |id| Event::FirstEvent { id });
            }
            StepResult::Event(call) => self.event_received(call, 0),
            StepResult::Last(call) => {
                self.event_received(call, 0);
                self.record_completed(call);
                self.end_delegation(call, DelegationOutcome::Delivered);
                self.send_event_after(0, call, |id| Event::DispatchEnded {
                    id,
                    outcome: DispatchOutcome::Delivered,
                });
            }
        }
    }

    /// Load that a response of an engine reports now.
    fn load(&self, engine: usize) -> TargetLoad {
        let speeds = &self.options.speeds;
        let pace = speeds.reported_pace(self.now, self.seed, engine);
        self.engines[engine].load(pace)
    }

    /// Ends a prefill that has exceeded its stall timeout; `dispatches` identifies it.
    pub(super) fn check_stall(&mut self, call: usize, dispatches: u32) {
        let c = &self.calls[call];
        let Some(engine) = c.engine.filter(|_| !c.ended && c.dispatches == dispatches) else {
            return;
        };
        if self.engines[engine].is_waiting(call) {
            self.engines[engine].cancel(call);
            self.result.stalled += 1;
            self.end_dispatch(call, DispatchOutcome::Stalled);
        }
    }

    /// Time between the end of a prompt's prefill and its first token, in microseconds.
    fn first_token_us(&self) -> u64 {
        (self.deployment.engine.first_token_ms * US_PER_MS as f64) as u64
    }

    /// Records that the engine sends an event to the caller, `after` microseconds from now.
    fn event_received(&mut self, call: usize, after: u64) {
        let arrived = WARMUP_US + self.arrivals[self.calls[call].arrival].at_us;
        let kind = &self.deployment.kinds[self.arrivals[self.calls[call].arrival].kind];
        let c = &mut self.calls[call];
        let hops_us = HOP_US + CALLER_HOP_US + c.delegate.map_or(0, |_| HOP_US);
        if c.started {
            // The first event is delayed, so the next may be generated before the first one is
            // sent.
            let at = self.now.max(c.last_event_us);
            c.late |= at - c.last_event_us > kind.max_gap_ms * US_PER_MS;
            c.last_event_us = at;
        } else {
            let latency_us = self.now + after + hops_us - arrived;
            c.started = true;
            c.late = latency_us > kind.objective_ms * US_PER_MS;
            c.last_event_us = self.now + after;
            let kind = self.arrivals[c.arrival].kind;
            self.result.kinds[kind]
                .first_event_ms
                .push(latency_us / US_PER_MS);
        }
    }

    fn record_completed(&mut self, call: usize) {
        let c = &mut self.calls[call];
        c.ended = true;
        let arrival = &self.arrivals[c.arrival];
        let result = &mut self.result.kinds[arrival.kind];
        result.longest_served += u64::from(arrival.is_longest);
        if c.late {
            result.late += 1;
        } else {
            result.on_time += 1;
        }
        let (arrival, is_late) = (c.arrival, c.late);
        self.count_in_cut(arrival, |group| group.record(is_late));
    }
}
