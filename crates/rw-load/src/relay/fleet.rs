//! Simulates nodes, engines and callers in virtual time.

use super::{
    arrivals::{self, Arrival},
    deployment::Deployment,
    engine::{Engine, Prompt},
    engine_speeds::SpeedKnowledge,
    kind_result::{RelayKindResult, RelayResult},
    limit_usage::LimitUsage,
    options::{EngineFaultKind, RelayOptions, SizeMode},
    routes::{HOST, ROLE_SWITCH_US, SERVICE, US_PER_MS, WARMUP_US, client_timeout_ms, routing},
    scaling::{Lease, initial_leases, start_us},
};
use rw_gate::{
    CallRequest, Credential, Delivered, DispatchOutcome, DutySettings, Effect, Event, FleetNode,
    Gate, GateSettings, OrderOutcome, PLACEMENT_TIMEOUT_MS, Prompt as RequestPrompt, Role,
    SchedulerNode, TargetSpec, TargetSpeeds,
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
pub(super) const HOP_US: u64 = 400;
/// One-way latency between a caller and a node.
pub(super) const CALLER_HOP_US: u64 = 1_000;
/// Minimum interval between digests of a node.
const DIGEST_INTERVAL_US: u64 = 50 * US_PER_MS;
/// Number of nodes that a digest is sent to.
const DIGEST_FANOUT: usize = 16;
/// Bytes of a digest's datagram beside its content.
const DIGEST_OVERHEAD: usize = 80;
/// Interval of a node's [`Event::Tick`].
const TICK_INTERVAL_US: u64 = 250 * US_PER_MS;
/// Interval in which nodes that know the truth are told the engines' speeds.
const TELL_INTERVAL_US: u64 = 50 * US_PER_MS;
/// One-way time of a message between a node and a scheduler: a link between data centres, and a busy
/// process.
const MESSAGE_US: u64 = 1_500;
const MODEL: &str = "m";

/// An event scheduled at a point in virtual time.
pub(super) enum SimEvent {
    Arrive { arrival: usize, retry: bool },
    NodeEvent { node: usize, event: Box<Event> },
    Submit { engine: usize, prompt: Prompt },
    EndStep(usize),
    RoleChanged { engine: usize, role: Role },
    CheckTimeout(usize),
    CheckStall { call: usize, dispatches: u32 },
    TellSpeeds,
    EngineGone(usize),
    EngineUp(usize),
    EngineEnds(usize),
    CheckSurplus(usize),
    Reclaim(usize),
    ExchangeDigest(usize),
    Tick(usize),
    CutBegins(usize),
}

/// One attempt of a caller; a retry is a call of its own.
pub(super) struct Call {
    pub(super) arrival: usize,
    /// Node that the caller reached.
    pub(super) node: usize,
    /// Node that this one has passed the call to.
    pub(super) delegate: Option<usize>,
    retry: bool,
    /// Time of its arrival or of its latest event, in microseconds.
    pub(super) last_event_us: u64,
    pub(super) started: bool,
    /// Whether an event exceeded the latency objective or the maximum pause.
    pub(super) late: bool,
    pub(super) ended: bool,
    /// Engine of its latest dispatch.
    pub(super) engine: Option<usize>,
    /// Number of dispatches so far.
    pub(super) dispatches: u32,
}

impl Call {
    /// Node that sends the call to engines.
    pub(super) fn runs_at(&self) -> usize {
        self.delegate.unwrap_or(self.node)
    }

    /// What its caller has got, as far as it matters for the next run.
    pub(super) fn delivered(&self) -> Delivered {
        match self.started {
            true => Delivered::Events(0),
            false => Delivered::Nothing,
        }
    }
}

pub(super) struct Simulation<'a> {
    pub(super) deployment: &'a Deployment,
    pub(super) arrivals: Vec<Arrival>,
    pub(super) now: u64,
    pub(super) seed: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, SimEvent>,
    next_key: u64,
    pub(super) nodes: Vec<Gate>,
    pub(super) options: &'a RelayOptions,
    pub(super) engines: Vec<Engine>,
    /// Where each engine is, and what it costs.
    pub(super) leases: Vec<Lease>,
    pub(super) calls: Vec<Call>,
    pub(super) result: RelayResult,
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
        self.add_prices(seconds);
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
            seed,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next_key: 0,
            nodes: Vec::new(),
            options,
            engines: engines
                .map(|i| Engine::new(&deployment.engine, i))
                .collect(),
            leases: initial_leases(deployment, deployment.engine.count),
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
        let routing = Arc::new(routing(self.deployment, self.options));
        let specs: Vec<TargetSpec> = (0..self.engines.len()).map(|i| self.spec(i)).collect();
        for n in 0..self.deployment.nodes {
            let mut gate = Gate::new(GateSettings {
                vm: format!("vm-{n}"),
                centre: "x".to_owned(),
                seed: seed + n as u64,
                duties: DutySettings {
                    sizes_fleet: self.options.size == SizeMode::Ordered,
                    ..DutySettings::default()
                },
                target_speeds: match self.options.speeds.knowledge {
                    SpeedKnowledge::Setting(setting) => setting,
                    SpeedKnowledge::True => TargetSpeeds::Fixed,
                },
                ..GateSettings::default()
            });
            let now = Millis(0);
            let nodes = (0..self.deployment.nodes).map(|n| FleetNode {
                vm: format!("vm-{n}"),
                centre: "x".to_owned(),
            });
            gate.step(now, Event::NodesListed(nodes.collect()));
            if self.options.schedulers {
                gate.step(now, Event::SchedulersListed(self.scheduler_nodes()));
            }
            gate.step(now, Event::Routing(routing.clone()));
            gate.step(
                now,
                Event::RowsRead {
                    confirmed_ms: Some(0),
                },
            );
            gate.step(now, Event::TargetsListed(specs.clone()));
            self.nodes.push(gate);
            let offset = n as u64 * US_PER_MS;
            self.schedule(offset, SimEvent::ExchangeDigest(n));
            self.schedule(offset, SimEvent::Tick(n));
        }
        if self.options.speeds.knowledge == SpeedKnowledge::True {
            self.schedule(0, SimEvent::TellSpeeds);
        }
        let leaving = self.options.faults.iter();
        for fault in leaving.filter(|f| f.kind == EngineFaultKind::Leave) {
            for engine in 0..fault.engines.min(self.engines.len()) {
                self.schedule(fault.end_us(), SimEvent::EngineGone(engine));
            }
        }
        for i in 0..self.options.reclaims.len() {
            self.schedule(start_us(&self.options.reclaims[i]), SimEvent::Reclaim(i));
        }
        for i in 0..self.options.cuts.len() {
            self.schedule(self.options.cuts[i].start_us(), SimEvent::CutBegins(i));
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

    fn scheduler_nodes(&self) -> Vec<SchedulerNode> {
        let nodes = (0..self.deployment.nodes).map(|n| SchedulerNode {
            vm: format!("vm-{n}"),
            weight: 1,
        });
        nodes.collect()
    }

    /// Sends a message from one node to another, unless either is cut off.
    fn send_message(&mut self, from: usize, vm: &str, event: Event) {
        let node = vm.trim_start_matches("vm-").parse().unwrap_or(from);
        self.result.messages += 1;
        let silences = &self.options.silences;
        let is_lost = |n| silences.iter().any(|s| s.affects(self.now, n));
        if !is_lost(from) && !is_lost(node) {
            let event = Box::new(event);
            self.schedule(self.now + MESSAGE_US, SimEvent::NodeEvent { node, event });
        }
    }

    pub(super) fn spec(&self, engine: usize) -> TargetSpec {
        let lease = &self.leases[engine];
        TargetSpec {
            name: format!("e{engine:03}"),
            incarnation: 1,
            service: SERVICE.to_owned(),
            addr: format!("{engine}:1"),
            centre: match self.options.size {
                SizeMode::Fixed => "x".to_owned(),
                _ => self.deployment.scaling.centres[lease.centre].centre.clone(),
            },
            slots: self.deployment.engine.slots,
            role: self.engines[engine].role,
            leaving: lease.ends_us.is_some(),
            models: vec![MODEL.to_owned()],
            software: String::new(),
            spot: lease.spot,
            leaves_ms: lease
                .ends_us
                .map(|at| at.saturating_sub(self.now) / US_PER_MS),
        }
    }

    pub(super) fn schedule(&mut self, at: u64, event: SimEvent) {
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
            SimEvent::CheckStall { call, dispatches } => self.check_stall(call, dispatches),
            SimEvent::TellSpeeds => self.tell_speeds(),
            SimEvent::EngineGone(engine) => self.stop_engine(engine),
            SimEvent::EngineUp(engine) => self.engine_up(engine),
            SimEvent::EngineEnds(engine) => self.end_engine(engine),
            SimEvent::CheckSurplus(engine) => self.check_surplus(engine),
            SimEvent::Reclaim(index) => self.reclaim(index),
            SimEvent::ExchangeDigest(node) => self.exchange_digest(node),
            SimEvent::CutBegins(cut) => self.begin_cut(cut),
            SimEvent::Tick(node) => {
                self.schedule(self.now + TICK_INTERVAL_US, SimEvent::Tick(node));
                self.step_node(node, Event::Tick);
            }
        }
    }

    /// Tells all nodes how fast each engine is now.
    fn tell_speeds(&mut self) {
        for engine in 0..self.engines.len() {
            let speeds = &self.options.speeds;
            let load = self.engines[engine].occupancy();
            let factor = self.engines[engine].step_factor()
                * speeds.factor(self.now, self.seed, engine)
                * speeds.saturation(engine, self.engines.len(), load);
            let name = self.spec(engine).name;
            let nodes = self.nodes.iter_mut();
            nodes.for_each(|node| node.pin_speed(&name, factor));
        }
        self.schedule(self.now + TELL_INTERVAL_US, SimEvent::TellSpeeds);
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

    pub(super) fn send_event(&mut self, node: usize, event: Event) {
        let event = Box::new(event);
        self.schedule(self.now + HOP_US, SimEvent::NodeEvent { node, event });
    }

    fn exchange_digest(&mut self, node: usize) {
        let now = self.millis();
        self.report_to_leader(node);
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

    /// Sends the demand at a node to the nodes that may be the leader, which answer.
    fn report_to_leader(&mut self, node: usize) {
        let now = self.millis();
        let Some((receivers, digest)) = self.nodes[node].leader_digest(now) else {
            return;
        };
        for vm in receivers {
            let receiver: usize = vm.trim_start_matches("vm-").parse().unwrap_or_default();
            let answer = self.nodes[receiver].answer_demand(now, &digest);
            self.send_event(receiver, Event::DigestReceived(digest.clone()));
            if let Some(answer) = answer {
                self.send_event(node, Event::DigestReceived(answer));
            }
        }
    }

    fn arrive(&mut self, arrival: usize, retry: bool) {
        let a = &self.arrivals[arrival];
        if !retry {
            self.result.kinds[a.kind].sent += 1;
            self.result.kinds[a.kind].longest_sent += u64::from(a.is_longest);
            self.count_in_cut(arrival, |group| group.sent += 1);
        }
        let a = &self.arrivals[arrival];
        // A retry goes to another node.
        let node = (a.node + usize::from(retry)) % self.nodes.len();
        let request = self.request(arrival, retry);
        let id = RequestId(self.calls.len() as u64);
        self.calls.push(Call {
            arrival,
            node,
            delegate: None,
            retry,
            last_event_us: self.now,
            started: false,
            late: false,
            ended: false,
            engine: None,
            dispatches: 0,
        });
        self.schedule(self.now + US_PER_MS, SimEvent::CheckTimeout(id.0 as usize));
        let event = Box::new(Event::CallArrived { id, request });
        self.schedule(
            self.now + CALLER_HOP_US,
            SimEvent::NodeEvent { node, event },
        );
    }

    /// The request of an arrival as it is sent now.
    pub(super) fn request(&self, arrival: usize, retry: bool) -> CallRequest {
        let a = &self.arrivals[arrival];
        let kind = &self.deployment.kinds[a.kind];
        let elapsed_ms = self.now.saturating_sub(WARMUP_US + a.at_us) / US_PER_MS;
        CallRequest {
            call_id: format!("{arrival}-{retry}"),
            host: HOST.to_owned(),
            path: format!("/{}/1", kind.name),
            fingerprint: arrival as u64 + 1,
            deadline_ms: Some(kind.deadline_ms.saturating_sub(elapsed_ms)),
            last_event: None,
            resumes: None,
            credential: Credential::Missing,
            prompt: Some(RequestPrompt {
                model: MODEL.to_owned(),
                tokens: a.tokens(),
                max_output: a.events * self.deployment.engine.event_tokens,
                parts: a.parts.clone(),
            }),
            delegated: None,
        }
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
        let nodes = [Some(c.node), c.delegate];
        self.calls[call].ended = true;
        self.result.kinds[self.arrivals[self.calls[call].arrival].kind].failed += 1;
        let id = RequestId(call as u64);
        for node in nodes.into_iter().flatten() {
            self.step_node(node, Event::CallerDisconnected { id });
        }
    }

    fn perform(&mut self, node: usize, effect: Effect) {
        match effect {
            Effect::Dispatch { id, .. } if self.is_cut(node) => self.connect_in_vain(node, id),
            Effect::Dispatch { id, dispatch } => self.dispatch(id.0 as usize, &dispatch),
            Effect::Refuse { id, refusal } if self.calls[id.0 as usize].delegate == Some(node) => {
                self.refuse_delegated(id.0 as usize, refusal);
            }
            Effect::Refuse { id, refusal } => self.refuse(id.0 as usize, refusal.retry_ms),
            Effect::Delegate { id, delegation } => self.delegate(id.0 as usize, &delegation),
            Effect::ProbeTarget(target) => self.probe(node, target),
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
            Effect::RequestPlacement {
                id,
                number,
                vm,
                message,
            } => {
                self.send_message(node, &vm, Event::SchedulerMessage(message));
                let event = Box::new(Event::PlacementExpired { id, number });
                let at = self.now + PLACEMENT_TIMEOUT_MS * US_PER_MS;
                self.schedule(at, SimEvent::NodeEvent { node, event });
            }
            Effect::ReportEnds { vm, message } => {
                self.send_message(node, &vm, Event::SchedulerMessage(message));
            }
            Effect::AnswerPlacement { vm, reply } => {
                self.send_message(node, &vm, Event::PlacementAnswered(reply));
            }
            Effect::Deliver { .. }
            | Effect::ReleaseHandle(_)
            | Effect::PublishDigest
            | Effect::RecordVersions(_)
            | Effect::ReadUsage
            | Effect::CollectUsage(_)
            | Effect::WriteUsage(_)
            | Effect::ReportUsage { .. } => {}
            Effect::OrderSize { .. } => self.order_size(node, &effect),
        }
    }

    pub(super) fn index(&self, target: &str) -> usize {
        let number = target.trim_start_matches('e').parse().unwrap_or(0);
        usize::min(number, self.engines.len() - 1)
    }

    fn role_changed(&mut self, engine: usize, role: Role) {
        if self.leases[engine].is_gone() {
            return;
        }
        if self.now > WARMUP_US {
            self.result.size.role_changes += 1;
        }
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

    pub(super) fn end_dispatch(&mut self, call: usize, outcome: DispatchOutcome) {
        self.send_event_after(0, call, |id| Event::DispatchEnded { id, outcome });
    }

    pub(super) fn send_event_after(
        &mut self,
        us: u64,
        call: usize,
        event: impl FnOnce(RequestId) -> Event,
    ) {
        let event = Box::new(event(RequestId(call as u64)));
        let node = self.calls[call].runs_at();
        self.schedule(self.now + us + HOP_US, SimEvent::NodeEvent { node, event });
    }

    fn finish(mut self) -> RelayResult {
        for kind in &mut self.result.kinds {
            kind.first_event_ms.sort_unstable();
        }
        self.result.prefilled_tokens = self.engines.iter().map(|e| e.prefilled_tokens).sum();
        let engines = self.engines.iter().zip(&self.leases);
        let decode = engines.filter(|(e, l)| e.role != Role::Prefill && !l.is_gone());
        self.result.decode_engines = decode.count();
        self.result.limit_ratio = self.limit_usage.worst_ratio();
        self.result.cached_tokens = self.engines.iter().map(|e| e.cached_tokens).sum();
        self.result
    }
}
