//! Runs an experiment in virtual time, with the real reducers and the batching of the fake
//! engines, but without sockets.
//!
//! It compares policies cheaply and reproducibly. The network is reduced to fixed latencies, the
//! table to being available or not, and only engines fail.

use crate::{
    Arrival, Experiment, Fault, KindResult, ManualRoles, RunResult, arrivals,
    fleet_config::{config, vm},
    profile::roles,
};
use rw_core::{CoreSettings, Event, Node, Policy};
use rw_fakes::Batch;
use rw_types::{AttemptId, BootId, Config, LoadReport, Millis, Role, Vm};
use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    sync::Arc,
};

/// One-way latency between two processes in the same data centre.
pub(crate) const LOCAL_HOP_US: u64 = 500;
/// Duration of a plain service call and of a table access.
pub(crate) const CALL_US: u64 = 5_000;
/// Delay until an order reaches its engine.
pub(crate) const ORDER_DELAY_US: u64 = 20_000;
/// Time after the last phase for running requests to end.
const DRAIN_US: u64 = 150_000_000;
/// Number of load reports kept per engine.
pub(crate) const MAX_REPORTS: usize = 512;

/// An event scheduled at a point in virtual time.
pub(crate) enum SimEvent {
    Arrive(usize),
    AdvanceEngine(usize),
    Submit(usize),
    PollReports,
    NodeEvent { node: usize, event: Box<Event> },
    Order { engine: usize, role: Role },
    InjectFault(Fault),
    StartPhase(usize),
}

/// An engine and its load reports, latest last, each with its time in microseconds.
pub(crate) struct Engine {
    pub(crate) batch: Batch,
    pub(crate) alive: bool,
    pub(crate) reports: VecDeque<(u64, LoadReport)>,
    /// Ids of the running jobs, sorted; each is an index into [`Simulation::attempts`].
    pub(crate) jobs: Vec<u64>,
}

/// One dispatch of a request to an engine.
pub(crate) struct Attempt {
    pub(crate) request: usize,
    pub(crate) attempt: AttemptId,
    pub(crate) engine: usize,
    pub(crate) resume: u64,
}

/// Progress of one request, indexed like the arrivals.
#[derive(Default)]
pub(crate) struct RequestState {
    pub(crate) tokens: u64,
    pub(crate) last_token_us: u64,
    pub(crate) ended: bool,
    /// Number of times that the plain service ran it.
    pub(crate) executions: u32,
}

/// State of a run.
pub(crate) struct Simulation<'a> {
    pub(crate) experiment: &'a Experiment,
    pub(crate) arrivals: Vec<Arrival>,
    pub(crate) now: u64,
    /// Time, insertion order and index into `events` of each scheduled event, earliest first.
    pub(crate) queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    pub(crate) events: Vec<Option<SimEvent>>,
    pub(crate) config: Config,
    pub(crate) nodes: Vec<Node>,
    pub(crate) engines: Vec<Engine>,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) requests: Vec<RequestState>,
    pub(crate) lag_ms: u64,
    pub(crate) table_down: bool,
    /// By engine: whether a role order was given that the first node still proposes.
    pub(crate) pending_orders: Vec<bool>,
    pub(crate) result: RunResult,
}

/// Runs an experiment in virtual time.
#[must_use]
pub fn run_virtual(experiment: &Experiment) -> RunResult {
    let mut sim = Simulation::new(experiment);
    sim.run();
    sim.finish()
}

impl<'a> Simulation<'a> {
    fn new(experiment: &'a Experiment) -> Self {
        let profile = &experiment.profile;
        let roles = roles(&experiment.split);
        let engines = roles.iter().map(|role| Engine {
            batch: Batch::new(rw_fakes::BatchSettings {
                role: *role,
                ..profile.engine()
            }),
            alive: true,
            reports: VecDeque::new(),
            jobs: Vec::new(),
        });
        let kinds = profile.kinds.iter().map(|k| KindResult {
            kind: k.kind.name.clone(),
            ..KindResult::default()
        });
        let mut sim = Self {
            experiment,
            arrivals: arrivals(profile, experiment.load, experiment.seed),
            now: 0,
            queue: BinaryHeap::new(),
            events: Vec::new(),
            config: config(profile, &roles),
            nodes: Vec::new(),
            engines: engines.collect(),
            attempts: Vec::new(),
            requests: Vec::new(),
            lag_ms: experiment.lag_ms,
            table_down: false,
            pending_orders: vec![false; profile.engines],
            result: RunResult {
                kinds: kinds.collect(),
                ..RunResult::default()
            },
        };
        sim.requests
            .resize_with(sim.arrivals.len(), RequestState::default);
        sim.start_nodes();
        sim.schedule_all();
        sim
    }

    fn start_nodes(&mut self) {
        let vms: Vec<Vm> = (0..self.experiment.nodes).map(vm).collect();
        for (n, vm) in vms.iter().enumerate() {
            let settings = CoreSettings {
                vm: vm.name.clone(),
                boot: BootId(n as u64),
                centre: vm.centre.clone(),
                seed: self.experiment.seed + n as u64,
                // No lease can be held without a table, so the first node alone plans role changes.
                policy: Policy {
                    plan_without_lease: n == 0,
                    ..self.experiment.policy.clone()
                },
                ..CoreSettings::default()
            };
            let mut node = Node::new(settings);
            node.step(Millis(0), Event::ConfigRead(Arc::new(self.config.clone())));
            node.step(Millis(0), Event::VmsRead(vms.clone()));
            self.nodes.push(node);
        }
    }

    fn schedule_all(&mut self) {
        for i in 0..self.arrivals.len() {
            self.schedule(self.arrivals[i].at_us, SimEvent::Arrive(i));
        }
        for fault in &self.experiment.faults {
            self.schedule(
                (fault.at_s * 1e6) as u64,
                SimEvent::InjectFault(fault.fault),
            );
        }
        let mut start = 0.0;
        for (i, phase) in self.experiment.profile.phases.iter().enumerate() {
            self.schedule((start * 1e6) as u64, SimEvent::StartPhase(i));
            start += phase.seconds;
        }
        self.schedule(0, SimEvent::PollReports);
    }

    pub(crate) fn schedule(&mut self, at: u64, event: SimEvent) {
        let i = self.events.len();
        self.events.push(Some(event));
        self.queue.push(Reverse((at, i as u64, i)));
    }

    fn run(&mut self) {
        let end = (self.experiment.profile.seconds() * 1e6) as u64 + DRAIN_US;
        while let Some(Reverse((at, _, i))) = self.queue.pop() {
            if at > end {
                return;
            }
            self.now = at;
            match self.events[i].take() {
                Some(event) => self.handle(event),
                None => continue,
            }
        }
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Arrive(i) => self.arrive(i),
            SimEvent::AdvanceEngine(engine) => self.advance(engine),
            SimEvent::Submit(attempt) => self.submit(attempt),
            SimEvent::PollReports => self.poll_reports(),
            SimEvent::NodeEvent { node, event } => self.step_node(node, *event),
            SimEvent::Order { engine, role } => self.change_role(engine, role),
            SimEvent::InjectFault(fault) => self.inject_fault(fault),
            SimEvent::StartPhase(i) => self.start_phase(i),
        }
    }

    fn start_phase(&mut self, i: usize) {
        if self.experiment.manual_roles == ManualRoles::Off || i == 0 {
            return;
        }
        let mut wanted = self.experiment.best_splits[i];
        // Engines whose role is still needed keep it; the others take the remaining roles.
        let mut others = Vec::new();
        for engine in 0..self.engines.len() {
            let remaining = wanted.count_mut(self.engines[engine].batch.role());
            if *remaining > 0 {
                *remaining -= 1;
            } else {
                others.push(engine);
            }
        }
        for (engine, role) in others.into_iter().zip(roles(&wanted)) {
            self.change_role(engine, role);
        }
    }

    fn finish(mut self) -> RunResult {
        for (i, request) in self.requests.iter().enumerate() {
            let result = &mut self.result.kinds[self.arrivals[i].kind];
            result.lost += u64::from(!request.ended);
            result.doubled += u64::from(request.executions.saturating_sub(1));
        }
        let looked_up: u64 = self.engines.iter().map(|e| e.batch.lookup_tokens).sum();
        let hits: u64 = self.engines.iter().map(|e| e.batch.cached_tokens).sum();
        self.result.hits = hits as f64 / looked_up.max(1) as f64;
        self.result.work = self.engines.iter().map(|e| e.batch.output_tokens).collect();
        self.result.compute_total();
        self.result
    }
}
