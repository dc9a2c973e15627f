//! Nodes, engines and callers on virtual time.

use super::{
    arrivals::{self, Arrival},
    caller_result::{RelayKindResult, RelayResult},
    engine::{Engine, Made, Prompt},
    sheet::Deployment,
};
use rw_gate::{
    CallLimits, CallRequest, Dispatch, DispatchMode, DispatchOutcome, Effect, EngineSpec, Event,
    Gate, GateSettings, KvHandle, OrderOutcome, Prompt as AskedPrompt, RetryPolicy, Role, Route,
    Routing, Service, ServiceWeight, TargetSpec,
};
use rw_types::{Millis, RequestId};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    sync::Arc,
};

/// Microseconds in a millisecond.
const MS: u64 = 1_000;
/// Microseconds before the first call, in which roles are brought to their split.
const LEAD: u64 = 16_000 * MS;
/// Microseconds after the last call for what still runs.
const TAIL: u64 = 20_000 * MS;
/// Microseconds of one way between a node and an engine or another node.
const HOP: u64 = 400;
/// Microseconds of one way between a caller and a node.
const CALLER: u64 = 1_000;
/// Pause between digests, in microseconds.
const DIGEST: u64 = 50 * MS;
/// Pause between ticks, in microseconds.
const TICK: u64 = 250 * MS;
/// Microseconds that an engine is away when it changes its role.
const SWITCH: u64 = 3_000 * MS;
/// Milliseconds of silence after which callers leave, at least; in objectives; and in pauses.
const PATIENCE: (u64, u64, u64) = (2_000, 4, 8);
const HOST: &str = "a.example";
const SERVICE: &str = "engines";
const MODEL: &str = "m";

/// What happens at a time of its own.
enum Due {
    Arrive { arrival: usize, retry: bool },
    Tell { node: usize, event: Box<Event> },
    Submit { engine: usize, prompt: Prompt },
    Step(usize),
    Switched { engine: usize, role: Role },
    Look(usize),
    Digest(usize),
    Tick(usize),
}

/// One attempt of a caller.
struct Call {
    arrival: usize,
    node: usize,
    retry: bool,
    /// Microseconds of its last sign of life: its arrival, or its latest event.
    heard: u64,
    begun: bool,
    /// Whether an event came later than is on time.
    tardy: bool,
    ended: bool,
    /// Where it is, if anywhere.
    engine: Option<usize>,
}

struct World<'a> {
    sheet: &'a Deployment,
    arrivals: Vec<Arrival>,
    now: u64,
    heap: BinaryHeap<Reverse<(u64, u64)>>,
    due: BTreeMap<u64, Due>,
    next: u64,
    nodes: Vec<Gate>,
    engines: Vec<Engine>,
    calls: Vec<Call>,
    result: RelayResult,
}

/// Plays `seconds` of `load` times the sheet's rates, with arrivals drawn from `seed`.
#[must_use]
pub fn run_relay(sheet: &Deployment, load: f64, seconds: f64, seed: u64) -> RelayResult {
    let mut world = World::new(sheet, load, seconds, seed);
    let end = LEAD + (seconds * 1e6) as u64 + TAIL;
    while let Some(Reverse((at, key))) = world.heap.pop() {
        if at > end {
            break;
        }
        world.now = at;
        if let Some(due) = world.due.remove(&key) {
            world.handle(due);
        }
    }
    world.finish()
}

impl<'a> World<'a> {
    fn new(sheet: &'a Deployment, load: f64, seconds: f64, seed: u64) -> Self {
        let engines = 0..sheet.engine.count;
        let kinds = sheet.kinds.iter().map(|k| RelayKindResult {
            kind: k.name,
            ..RelayKindResult::default()
        });
        let mut world = Self {
            sheet,
            arrivals: arrivals::draw(sheet, load, seconds, seed),
            now: 0,
            heap: BinaryHeap::new(),
            due: BTreeMap::new(),
            next: 0,
            nodes: Vec::new(),
            engines: engines.map(|i| Engine::new(&sheet.engine, i)).collect(),
            calls: Vec::new(),
            result: RelayResult {
                kinds: kinds.collect(),
                ..RelayResult::default()
            },
        };
        world.start(seed);
        world
    }

    fn start(&mut self, seed: u64) {
        let routing = Arc::new(routing(self.sheet));
        let specs: Vec<TargetSpec> = (0..self.engines.len()).map(|i| self.spec(i)).collect();
        for n in 0..self.sheet.nodes {
            let mut gate = Gate::new(GateSettings {
                vm: format!("vm-{n}"),
                centre: "x".to_owned(),
                seed: seed + n as u64,
                ..GateSettings::default()
            });
            let now = Millis(0);
            gate.step(now, Event::NodeCount(self.sheet.nodes));
            gate.step(now, Event::Routing(routing.clone()));
            gate.step(now, Event::TargetsListed(specs.clone()));
            self.nodes.push(gate);
            let offset = n as u64 * MS;
            self.at(offset, Due::Digest(n));
            self.at(offset, Due::Tick(n));
        }
        for i in 0..self.arrivals.len() {
            let at = LEAD + self.arrivals[i].at;
            self.at(
                at,
                Due::Arrive {
                    arrival: i,
                    retry: false,
                },
            );
        }
    }

    fn spec(&self, engine: usize) -> TargetSpec {
        TargetSpec {
            name: format!("e{engine:03}"),
            incarnation: 1,
            service: SERVICE.to_owned(),
            addr: format!("{engine}:1"),
            centre: "x".to_owned(),
            slots: self.sheet.engine.slots,
            role: self.engines[engine].role,
            leaving: false,
            models: vec![MODEL.to_owned()],
        }
    }

    fn at(&mut self, at: u64, due: Due) {
        self.next += 1;
        self.due.insert(self.next, due);
        self.heap.push(Reverse((at, self.next)));
    }

    fn handle(&mut self, due: Due) {
        match due {
            Due::Arrive { arrival, retry } => self.arrive(arrival, retry),
            Due::Tell { node, event } => self.tell(node, *event),
            Due::Submit { engine, prompt } => self.submit(engine, prompt),
            Due::Step(engine) => self.step(engine),
            Due::Switched { engine, role } => self.switched(engine, role),
            Due::Look(call) => self.look(call),
            Due::Digest(node) => self.digest(node),
            Due::Tick(node) => {
                self.at(self.now + TICK, Due::Tick(node));
                self.tell(node, Event::Tick);
            }
        }
    }

    fn millis(&self) -> Millis {
        Millis(self.now / MS)
    }

    fn tell(&mut self, node: usize, event: Event) {
        let now = self.millis();
        for effect in self.nodes[node].step(now, event) {
            self.perform(node, effect);
        }
    }

    fn tell_soon(&mut self, node: usize, event: Event) {
        let event = Box::new(event);
        self.at(self.now + HOP, Due::Tell { node, event });
    }

    fn digest(&mut self, node: usize) {
        self.at(self.now + DIGEST, Due::Digest(node));
        let now = self.millis();
        let digest = self.nodes[node].digest(now);
        for other in (0..self.nodes.len()).filter(|n| *n != node) {
            self.tell_soon(other, Event::DigestReceived(digest.clone()));
        }
    }

    fn arrive(&mut self, arrival: usize, retry: bool) {
        let a = &self.arrivals[arrival];
        let kind = &self.sheet.kinds[a.kind];
        if !retry {
            self.result.kinds[a.kind].sent += 1;
        }
        // A retry reaches another node.
        let node = (a.node + usize::from(retry)) % self.nodes.len();
        let passed = self.now.saturating_sub(LEAD + a.at) / MS;
        let request = CallRequest {
            call_id: format!("{arrival}-{retry}"),
            host: HOST.to_owned(),
            path: format!("/{}/1", kind.name),
            fingerprint: arrival as u64 + 1,
            deadline_ms: Some(kind.deadline_ms.saturating_sub(passed)),
            last_event: None,
            prompt: Some(AskedPrompt {
                model: MODEL.to_owned(),
                tokens: a.tokens(),
                max_output: a.events * self.sheet.engine.event_tokens,
                parts: a.parts.clone(),
            }),
        };
        let id = RequestId(self.calls.len() as u64);
        self.calls.push(Call {
            arrival,
            node,
            retry,
            heard: self.now,
            begun: false,
            tardy: false,
            ended: false,
            engine: None,
        });
        self.at(self.now + MS, Due::Look(id.0 as usize));
        let event = Box::new(Event::CallArrived { id, request });
        self.at(self.now + CALLER, Due::Tell { node, event });
    }

    /// Whether the caller leaves now; else looks again when it might.
    fn look(&mut self, call: usize) {
        let c = &self.calls[call];
        if c.ended {
            return;
        }
        let a = &self.arrivals[c.arrival];
        let kind = &self.sheet.kinds[a.kind];
        let leaves = (c.heard + patience(kind.objective_ms, kind.max_gap_ms) * MS)
            .min(LEAD + a.at + kind.deadline_ms * MS);
        if self.now < leaves {
            return self.at(leaves, Due::Look(call));
        }
        if let Some(engine) = c.engine {
            self.engines[engine].drop_call(call);
        }
        let node = c.node;
        self.calls[call].ended = true;
        self.result.kinds[self.arrivals[self.calls[call].arrival].kind].failed += 1;
        let id = RequestId(call as u64);
        self.tell(node, Event::CallerDisconnected { id });
    }

    fn perform(&mut self, node: usize, effect: Effect) {
        match effect {
            Effect::Dispatch { id, dispatch } => self.dispatch(id.0 as usize, &dispatch),
            Effect::Refuse { id, refusal } => self.refuse(id.0 as usize, refusal.retry_ms),
            Effect::AcquireLease => self.tell_soon(node, Event::LeaseResult(Some(self.now))),
            Effect::Order { target, role, .. } => {
                let engine = self.index(&target);
                self.at(self.now + SWITCH, Due::Switched { engine, role });
                let outcome = OrderOutcome::Accepted;
                self.tell_soon(node, Event::OrderEnded { target, outcome });
            }
            Effect::Deliver { .. } | Effect::ReleaseHandle(_) | Effect::PublishDigest => {}
        }
    }

    fn index(&self, target: &str) -> usize {
        let number = target.trim_start_matches('e').parse().unwrap_or(0);
        usize::min(number, self.engines.len() - 1)
    }

    fn switched(&mut self, engine: usize, role: Role) {
        self.engines[engine].role = role;
        let spec = self.spec(engine);
        for node in 0..self.nodes.len() {
            self.tell_soon(node, Event::TargetUpdated(spec.clone()));
        }
    }

    fn refuse(&mut self, call: usize, retry_ms: u64) {
        let (arrival, retry) = (self.calls[call].arrival, self.calls[call].retry);
        self.calls[call].ended = true;
        let a = &self.arrivals[arrival];
        let ends = LEAD + a.at + self.sheet.kinds[a.kind].deadline_ms * MS;
        let at = self.now + retry_ms * MS;
        if retry || at > self.now + ends.saturating_sub(self.now) / 3 {
            self.result.kinds[a.kind].refused += 1;
        } else {
            let retry = true;
            self.at(at, Due::Arrive { arrival, retry });
        }
    }

    fn dispatch(&mut self, call: usize, dispatch: &Dispatch) {
        let engine = self.index(&dispatch.target);
        self.calls[call].engine = Some(engine);
        let a = &self.arrivals[self.calls[call].arrival];
        let parts = a.parts.clone();
        let tokens = u64::from(a.tokens());
        let output = a.events * self.sheet.engine.event_tokens;
        let own = self.engines[engine].cache.cached_tokens(&parts);
        let mut at = self.now + HOP;
        let before = match (&dispatch.mode, &dispatch.fetch_from) {
            (DispatchMode::Decode(_), _) => {
                at = self.engines[engine].transfer(at, tokens);
                tokens - 1
            }
            (_, Some(from)) => {
                let from = from.trim_end_matches(":1").parse().unwrap_or(engine);
                let there = self.engines[from].cache.cached_tokens(&parts);
                if there > own {
                    at = self.engines[engine].transfer(at, there - own);
                }
                there.max(own)
            }
            (_, None) => own,
        };
        let before = before.min(tokens - 1);
        let prompt = Prompt {
            call,
            rank: dispatch.priority,
            parts,
            left: tokens - before,
            before,
            output: (dispatch.mode != DispatchMode::Prefill).then_some(output),
            begun: false,
            taken: matches!(dispatch.mode, DispatchMode::Decode(_)),
        };
        self.at(at, Due::Submit { engine, prompt });
    }

    fn submit(&mut self, engine: usize, prompt: Prompt) {
        if !self.calls[prompt.call].ended {
            self.engines[engine].submit(prompt);
            self.begin_step(engine);
        }
    }

    fn begin_step(&mut self, engine: usize) {
        if let Some(us) = self.engines[engine].begin_step() {
            self.at(self.now + us.max(1), Due::Step(engine));
        }
    }

    fn step(&mut self, engine: usize) {
        let now = self.millis();
        for made in self.engines[engine].end_step(now) {
            self.made(engine, made);
        }
        self.begin_step(engine);
    }

    fn made(&mut self, engine: usize, made: Made) {
        match made {
            Made::Filled(call) => {
                let handle = KvHandle {
                    addr: format!("{engine}:1"),
                    name: call.to_string(),
                };
                self.tell_after(self.first_us(), call, |id| Event::DispatchEnded {
                    id,
                    outcome: DispatchOutcome::Prefilled(handle),
                });
            }
            Made::First { call, taken } => {
                let after = if taken { 0 } else { self.first_us() };
                self.heard(call, after);
                self.tell_after(after, call, |id| Event::FirstEvent { id });
            }
            Made::Event(call) => self.heard(call, 0),
            Made::Last(call) => {
                self.heard(call, 0);
                self.finish_call(call);
                self.tell_after(0, call, |id| Event::DispatchEnded {
                    id,
                    outcome: DispatchOutcome::Delivered,
                });
            }
        }
    }

    /// Microseconds that an engine takes beside its steps until a prompt's first token.
    fn first_us(&self) -> u64 {
        (self.sheet.engine.first_token_ms * MS as f64) as u64
    }

    fn tell_after(&mut self, us: u64, call: usize, event: impl FnOnce(RequestId) -> Event) {
        let event = Box::new(event(RequestId(call as u64)));
        let node = self.calls[call].node;
        self.at(self.now + us + HOP, Due::Tell { node, event });
    }

    /// The caller gets an event, `after` microseconds from now.
    fn heard(&mut self, call: usize, after: u64) {
        let arrived = LEAD + self.arrivals[self.calls[call].arrival].at;
        let kind = &self.sheet.kinds[self.arrivals[self.calls[call].arrival].kind];
        let way = HOP + CALLER;
        let c = &mut self.calls[call];
        if c.begun {
            // The first event is on its way for a while, and the next may follow at once.
            let at = self.now.max(c.heard);
            c.tardy |= at - c.heard > kind.max_gap_ms * MS;
            c.heard = at;
        } else {
            let took = self.now + after + way - arrived;
            c.begun = true;
            c.tardy = took > kind.objective_ms * MS;
            c.heard = self.now + after;
            let kind = self.arrivals[c.arrival].kind;
            self.result.kinds[kind].first_event_ms.push(took / MS);
        }
    }

    fn finish_call(&mut self, call: usize) {
        let c = &mut self.calls[call];
        c.ended = true;
        let result = &mut self.result.kinds[self.arrivals[c.arrival].kind];
        if c.tardy {
            result.late += 1;
        } else {
            result.on_time += 1;
        }
    }

    fn finish(mut self) -> RelayResult {
        for kind in &mut self.result.kinds {
            kind.first_event_ms.sort_unstable();
        }
        self.result.prefilled_tokens = self.engines.iter().map(|e| e.filled).sum();
        self.result.cached_tokens = self.engines.iter().map(|e| e.kept).sum();
        self.result
    }
}

fn patience(objective_ms: u64, gap_ms: u64) -> u64 {
    let (least, objectives, pauses) = PATIENCE;
    least.max(objective_ms * objectives).max(gap_ms * pauses)
}

fn routing(sheet: &Deployment) -> Routing {
    let engine = &sheet.engine;
    let routes = sheet.kinds.iter().map(|k| Route {
        name: k.name.to_owned(),
        host: HOST.to_owned(),
        prefix: format!("/{}/", k.name),
        retry_policy: RetryPolicy::Stream { resumable: false },
        timeout_ms: k.deadline_ms,
        objective_ms: k.objective_ms,
        max_gap_ms: k.max_gap_ms,
        client_timeout_ms: patience(k.objective_ms, k.max_gap_ms),
        priority: k.priority,
        traffic_split: vec![ServiceWeight {
            service: SERVICE.to_owned(),
            weight: 1,
        }],
        max_attempts: 1,
    });
    Routing {
        version: 1,
        routes: routes.collect(),
        services: vec![Service {
            name: SERVICE.to_owned(),
            max_connections: 300,
            engine: Some(EngineSpec {
                slots: engine.slots,
                kv_tokens: engine.kv_tokens,
                token_bytes: engine.token_bytes,
                link_mbps: engine.link_mbps,
                handle_ttl_ms: 5_000,
                role_switch_ms: SWITCH / MS,
            }),
        }],
        limits: CallLimits::default(),
    }
    .sorted()
}
