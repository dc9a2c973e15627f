//! Simulates nodes, engines and callers in virtual time.

use super::{
    arrivals::{self, Arrival},
    deployment::Deployment,
    engine::{Engine, Prompt, StepResult},
    engine_state::EngineState,
    kind_result::{RelayKindResult, RelayResult},
    limit_usage::LimitUsage,
    options::{EngineFaultKind, RelayOptions},
    routes::{HOST, ROLE_SWITCH_US, SERVICE, US_PER_MS, WARMUP_US, client_timeout_ms, routing},
};
use rw_gate::{
    CallRequest, Dispatch, DispatchMode, DispatchOutcome, Effect, Event, FleetNode, Gate,
    GateSettings, KvHandle, OrderOutcome, Prompt as RequestPrompt, Role, TargetSpec,
};
use rw_types::{Millis, RequestId};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    sync::Arc,
};

/// Time after the last arrival for running calls to end.
const DRAIN_US: u64 = 20_000 * US_PER_MS;
/// One-way latency between a node and an engine or another node.
const HOP_US: u64 = 400;
/// One-way latency between a caller and a node.
const CALLER_HOP_US: u64 = 1_000;
/// Minimum interval between digests of a node.
const DIGEST_INTERVAL_US: u64 = 50 * US_PER_MS;
/// Number of nodes that a digest is sent to.
const DIGEST_FANOUT: usize = 16;
/// Bytes of a digest's datagram beside its content.
const DIGEST_OVERHEAD: usize = 80;
/// Interval of a node's [`Event::Tick`].
const TICK_INTERVAL_US: u64 = 250 * US_PER_MS;
const MODEL: &str = "m";

/// An event scheduled at a point in virtual time.
enum SimEvent {
    Arrive { arrival: usize, retry: bool },
    NodeEvent { node: usize, event: Box<Event> },
    Submit { engine: usize, prompt: Prompt },
    EndStep(usize),
    RoleChanged { engine: usize, role: Role },
    CheckTimeout(usize),
    EngineGone(usize),
    ExchangeDigest(usize),
    Tick(usize),
}

/// One attempt of a caller; a retry is a call of its own.
pub(super) struct Call {
    arrival: usize,
    node: usize,
    retry: bool,
    /// Time of its arrival or of its latest event, in microseconds.
    last_event_us: u64,
    pub(super) started: bool,
    /// Whether an event exceeded the latency objective or the maximum pause.
    late: bool,
    pub(super) ended: bool,
    /// Engine of its latest dispatch.
    pub(super) engine: Option<usize>,
}

pub(super) struct Simulation<'a> {
    deployment: &'a Deployment,
    arrivals: Vec<Arrival>,
    pub(super) now: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, SimEvent>,
    next_key: u64,
    nodes: Vec<Gate>,
    pub(super) options: &'a RelayOptions,
    pub(super) engines: Vec<Engine>,
    pub(super) calls: Vec<Call>,
    result: RelayResult,
    /// Requests to engines that have named a limit.
    pub(super) limit_usage: LimitUsage,
}

/// Simulates `seconds` at `load` times the deployment's rates, with arrivals drawn from `seed`.
#[must_use]
pub fn run_relay(
    deployment: &Deployment,
    load: f64,
    seconds: f64,
    seed: u64,
    options: &RelayOptions,
) -> RelayResult {
    Simulation::new(deployment, load, seconds, seed, options).run(seconds)
}

impl<'a> Simulation<'a> {
    fn run(mut self, seconds: f64) -> RelayResult {
        let end = WARMUP_US + (seconds * 1e6) as u64 + DRAIN_US;
        while let Some(Reverse((at, key))) = self.queue.pop() {
            if at > end {
                break;
            }
            self.now = at;
            if let Some(event) = self.events.remove(&key) {
                self.handle(event);
            }
        }
        self.finish()
    }

    fn new(
        deployment: &'a Deployment,
        load: f64,
        seconds: f64,
        seed: u64,
        options: &'a RelayOptions,
    ) -> Self {
        let engines = 0..deployment.engine.count;
        let kinds = deployment.kinds.iter().map(|k| RelayKindResult {
            kind: k.name.clone(),
            ..RelayKindResult::default()
        });
        let mut sim = Self {
            deployment,
            arrivals: arrivals::draw_arrivals(deployment, load, seconds, seed),
            now: 0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next_key: 0,
            nodes: Vec::new(),
            options,
            engines: engines
                .map(|i| Engine::new(&deployment.engine, i))
                .collect(),
            calls: Vec::new(),
            limit_usage: LimitUsage::default(),
            result: RelayResult {
                kinds: kinds.collect(),
                ..RelayResult::default()
            },
        };
        for engine in sim
            .engines
            .iter_mut()
            .skip(options.decode.unwrap_or(usize::MAX))
        {
            engine.role = Role::Prefill;
        }
        sim.start(seed);
        sim
    }

    fn start(&mut self, seed: u64) {
        let routing = Arc::new(routing(self.deployment));
        let specs: Vec<TargetSpec> = (0..self.engines.len()).map(|i| self.spec(i)).collect();
        for n in 0..self.deployment.nodes {
            let mut gate = Gate::new(GateSettings {
                vm: format!("vm-{n}"),
                centre: "x".to_owned(),
                seed: seed + n as u64,
                ..GateSettings::default()
            });
            let now = Millis(0);
            let nodes = (0..self.deployment.nodes).map(|n| FleetNode {
                vm: format!("vm-{n}"),
                centre: "x".to_owned(),
            });
            gate.step(now, Event::NodesListed(nodes.collect()));
            gate.step(now, Event::Routing(routing.clone()));
            gate.step(now, Event::TargetsListed(specs.clone()));
            self.nodes.push(gate);
            let offset = n as u64 * US_PER_MS;
            self.schedule(offset, SimEvent::ExchangeDigest(n));
            self.schedule(offset, SimEvent::Tick(n));
        }
        let leaving = self.options.faults.iter();
        for fault in leaving.filter(|f| f.kind == EngineFaultKind::Leave) {
            for engine in 0..fault.engines.min(self.engines.len()) {
                self.schedule(fault.end_us(), SimEvent::EngineGone(engine));
            }
        }
        for i in 0..self.arrivals.len() {
            let at = WARMUP_US + self.arrivals[i].at_us;
            self.schedule(
                at,
                SimEvent::Arrive {
                    arrival: i,
                    retry: false,
                },
            );
        }
    }

    pub(super) fn spec(&self, engine: usize) -> TargetSpec {
        TargetSpec {
            name: format!("e{engine:03}"),
            incarnation: 1,
            service: SERVICE.to_owned(),
            addr: format!("{engine}:1"),
            centre: "x".to_owned(),
            slots: self.deployment.engine.slots,
            role: self.engines[engine].role,
            leaving: false,
            models: vec![MODEL.to_owned()],
            software: String::new(),
        }
    }

    fn schedule(&mut self, at: u64, event: SimEvent) {
        self.next_key += 1;
        self.events.insert(self.next_key, event);
        self.queue.push(Reverse((at, self.next_key)));
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Arrive { arrival, retry } => self.arrive(arrival, retry),
            SimEvent::NodeEvent { node, event } => self.step_node(node, *event),
            SimEvent::Submit { engine, prompt } => self.submit(engine, prompt),
            SimEvent::EndStep(engine) => self.end_step(engine),
            SimEvent::RoleChanged { engine, role } => self.role_changed(engine, role),
            SimEvent::CheckTimeout(call) => self.check_timeout(call),
            SimEvent::EngineGone(engine) => self.stop_engine(engine),
            SimEvent::ExchangeDigest(node) => self.exchange_digest(node),
            SimEvent::Tick(node) => {
                self.schedule(self.now + TICK_INTERVAL_US, SimEvent::Tick(node));
                self.step_node(node, Event::Tick);
            }
        }
    }

    pub(super) fn millis(&self) -> Millis {
        Millis(self.now / US_PER_MS)
    }

    fn step_node(&mut self, node: usize, event: Event) {
        let now = self.millis();
        for effect in self.nodes[node].step(now, event) {
            self.perform(node, effect);
        }
    }

    fn send_event(&mut self, node: usize, event: Event) {
        let event = Box::new(event);
        self.schedule(self.now + HOP_US, SimEvent::NodeEvent { node, event });
    }

    fn exchange_digest(&mut self, node: usize) {
        let now = self.millis();
        let Some(digest) = self.nodes[node].publish(now) else {
            let next = self.now + DIGEST_INTERVAL_US;
            return self.schedule(next, SimEvent::ExchangeDigest(node));
        };
        let bytes = serde_json::to_vec(&digest).map_or(0, |b| b.len()) + DIGEST_OVERHEAD;
        let nodes = self.nodes.len();
        let receivers = DIGEST_FANOUT.min(nodes - 1);
        let rate = u64::from(self.deployment.digest_bytes_per_s.max(1));
        let pause = (receivers * bytes) as u64 * 1_000_000 / rate;
        let next = self.now + pause.max(DIGEST_INTERVAL_US);
        self.schedule(next, SimEvent::ExchangeDigest(node));
        for n in 0..receivers {
            let event = Box::new(Event::DigestReceived(digest.clone()));
            let event = SimEvent::NodeEvent {
                node: (node + 1 + n) % nodes,
                event,
            };
            let sent_after = pause * n as u64 / receivers as u64;
            self.schedule(self.now + HOP_US + sent_after, event);
        }
    }

    fn arrive(&mut self, arrival: usize, retry: bool) {
        let a = &self.arrivals[arrival];
        let kind = &self.deployment.kinds[a.kind];
        if !retry {
            self.result.kinds[a.kind].sent += 1;
            self.result.kinds[a.kind].longest_sent += u64::from(a.is_longest);
        }
        // A retry goes to another node.
        let node = (a.node + usize::from(retry)) % self.nodes.len();
        let elapsed_ms = self.now.saturating_sub(WARMUP_US + a.at_us) / US_PER_MS;
        let request = CallRequest {
            call_id: format!("{arrival}-{retry}"),
            host: HOST.to_owned(),
            path: format!("/{}/1", kind.name),
            fingerprint: arrival as u64 + 1,
            deadline_ms: Some(kind.deadline_ms.saturating_sub(elapsed_ms)),
            last_event: None,
            resumes: None,
            prompt: Some(RequestPrompt {
                model: MODEL.to_owned(),
                tokens: a.tokens(),
                max_output: a.events * self.deployment.engine.event_tokens,
                parts: a.parts.clone(),
            }),
            delegated: None,
        };
        let id = RequestId(self.calls.len() as u64);
        self.calls.push(Call {
            arrival,
            node,
            retry,
            last_event_us: self.now,
            started: false,
            late: false,
            ended: false,
            engine: None,
        });
        self.schedule(self.now + US_PER_MS, SimEvent::CheckTimeout(id.0 as usize));
        let event = Box::new(Event::CallArrived { id, request });
        self.schedule(
            self.now + CALLER_HOP_US,
            SimEvent::NodeEvent { node, event },
        );
    }

    /// Disconnects the caller if its timeout has passed, else schedules a check at the new timeout.
    fn check_timeout(&mut self, call: usize) {
        let c = &self.calls[call];
        if c.ended {
            return;
        }
        let a = &self.arrivals[c.arrival];
        let kind = &self.deployment.kinds[a.kind];
        let timeout_us = (c.last_event_us
            + client_timeout_ms(kind.objective_ms, kind.max_gap_ms) * US_PER_MS)
            .min(WARMUP_US + a.at_us + kind.deadline_ms * US_PER_MS);
        if self.now < timeout_us {
            return self.schedule(timeout_us, SimEvent::CheckTimeout(call));
        }
        if let Some(engine) = c.engine {
            self.engines[engine].cancel(call);
        }
        let node = c.node;
        self.calls[call].ended = true;
        self.result.kinds[self.arrivals[self.calls[call].arrival].kind].failed += 1;
        let id = RequestId(call as u64);
        self.step_node(node, Event::CallerDisconnected { id });
    }

    fn perform(&mut self, node: usize, effect: Effect) {
        match effect {
            Effect::Dispatch { id, dispatch } => self.dispatch(id.0 as usize, &dispatch),
            Effect::Refuse { id, refusal } => self.refuse(id.0 as usize, refusal.retry_ms),
            Effect::AcquireLease => self.send_event(node, Event::LeaseResult(Some(self.now))),
            Effect::Order { target, .. } if self.options.decode.is_some() => {
                let outcome = OrderOutcome::Refused;
                self.send_event(node, Event::OrderEnded { target, outcome });
            }
            Effect::Order { target, role, .. } => {
                let engine = self.index(&target);
                self.schedule(
                    self.now + ROLE_SWITCH_US,
                    SimEvent::RoleChanged { engine, role },
                );
                let outcome = OrderOutcome::Accepted;
                self.send_event(node, Event::OrderEnded { target, outcome });
            }
            Effect::Deliver { .. }
            | Effect::ReleaseHandle(_)
            | Effect::PublishDigest
            | Effect::RecordVersions(_)
            | Effect::Delegate { .. }
            | Effect::ProbeTarget(_) => {}
        }
    }

    fn index(&self, target: &str) -> usize {
        let number = target.trim_start_matches('e').parse().unwrap_or(0);
        usize::min(number, self.engines.len() - 1)
    }

    fn role_changed(&mut self, engine: usize, role: Role) {
        self.engines[engine].role = role;
        let spec = self.spec(engine);
        for node in 0..self.nodes.len() {
            self.send_event(node, Event::TargetUpdated(spec.clone()));
        }
    }

    /// Handles a refusal. A caller retries once, and only if the requested wait is at most a third
    /// of the time left until its deadline.
    fn refuse(&mut self, call: usize, retry_ms: u64) {
        let (arrival, retry) = (self.calls[call].arrival, self.calls[call].retry);
        self.calls[call].ended = true;
        let a = &self.arrivals[arrival];
        let deadline_us =
            WARMUP_US + a.at_us + self.deployment.kinds[a.kind].deadline_ms * US_PER_MS;
        let at = self.now + retry_ms * US_PER_MS;
        if retry || at > self.now + deadline_us.saturating_sub(self.now) / 3 {
            self.result.kinds[a.kind].refused += 1;
        } else {
            let retry = true;
            self.schedule(at, SimEvent::Arrive { arrival, retry });
        }
    }

    fn dispatch(&mut self, call: usize, dispatch: &Dispatch) {
        let engine = self.index(&dispatch.target);
        self.calls[call].engine = Some(engine);
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

    fn submit(&mut self, engine: usize, prompt: Prompt) {
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

    pub(super) fn end_dispatch(&mut self, call: usize, outcome: DispatchOutcome) {
        self.send_event_after(0, call, |id| Event::DispatchEnded { id, outcome });
    }

    fn start_step(&mut self, engine: usize) {
        if let Some(us) = self.engines[engine].start_step() {
            self.schedule(self.now + us.max(1), SimEvent::EndStep(engine));
        }
    }

    fn end_step(&mut self, engine: usize) {
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
                self.send_event_after(self.first_token_us(), call, |id| Event::DispatchEnded {
                    id,
                    outcome: DispatchOutcome::Prefilled(handle),
                });
            }
            StepResult::First { call, imported } => {
                let after = if imported { 0 } else { self.first_token_us() };
                let load = Some(self.engines[engine].load());
                self.send_event_after(after, call, |id| Event::ResponseStarted { id, load });
                self.event_received(call, after);
                self.send_event_after(after, call, |id| Event::FirstEvent { id });
            }
            StepResult::Event(call) => self.event_received(call, 0),
            StepResult::Last(call) => {
                self.event_received(call, 0);
                self.record_completed(call);
                self.send_event_after(0, call, |id| Event::DispatchEnded {
                    id,
                    outcome: DispatchOutcome::Delivered,
                });
            }
        }
    }

    /// Time between the end of a prompt's prefill and its first token, in microseconds.
    fn first_token_us(&self) -> u64 {
        (self.deployment.engine.first_token_ms * US_PER_MS as f64) as u64
    }

    pub(super) fn send_event_after(
        &mut self,
        us: u64,
        call: usize,
        event: impl FnOnce(RequestId) -> Event,
    ) {
        let event = Box::new(event(RequestId(call as u64)));
        let node = self.calls[call].node;
        self.schedule(self.now + us + HOP_US, SimEvent::NodeEvent { node, event });
    }

    /// Records that the engine sends an event to the caller, `after` microseconds from now.
    fn event_received(&mut self, call: usize, after: u64) {
        let arrived = WARMUP_US + self.arrivals[self.calls[call].arrival].at_us;
        let kind = &self.deployment.kinds[self.arrivals[self.calls[call].arrival].kind];
        let hops_us = HOP_US + CALLER_HOP_US;
        let c = &mut self.calls[call];
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
    }

    fn finish(mut self) -> RelayResult {
        for kind in &mut self.result.kinds {
            kind.first_event_ms.sort_unstable();
        }
        self.result.prefilled_tokens = self.engines.iter().map(|e| e.prefilled_tokens).sum();
        let decode = self.engines.iter().filter(|e| e.role != Role::Prefill);
        self.result.decode_engines = decode.count();
        self.result.limit_ratio = self.limit_usage.worst_ratio();
        self.result.cached_tokens = self.engines.iter().map(|e| e.cached_tokens).sum();
        self.result
    }
}
