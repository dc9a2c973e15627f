//! A run on virtual time: the real reducers and the engine stand-ins' batching, without sockets.
//!
//! It is only there to compare decisions cheaply and repeatably; there is no network to speak of,
//! no table but one that answers or does not, and no process that fails but engines.

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

/// One way between two processes in one data centre, in microseconds.
pub(crate) const HOP: u64 = 500;
/// Time of a plain call and of a table write, in microseconds.
pub(crate) const CALL: u64 = 5_000;
/// Time until an order reaches its engine, in microseconds.
pub(crate) const ORDER: u64 = 20_000;
/// Time after the last arrival for what still runs, in microseconds.
const TAIL: u64 = 150_000_000;
/// Reports kept of an engine.
pub(crate) const REPORTS: usize = 512;

/// What happens at a time of its own.
pub(crate) enum SimEvent {
    Arrive(usize),
    Due(usize),
    Submit(usize),
    Poll,
    Tell { node: usize, event: Box<Event> },
    Order { engine: usize, role: Role },
    Strike(Fault),
    Phase(usize),
}

/// An engine with the reports it has made, newest last.
pub(crate) struct Engine {
    pub(crate) batch: Batch,
    pub(crate) alive: bool,
    pub(crate) reports: VecDeque<(u64, LoadReport)>,
    /// Jobs that run, sorted.
    pub(crate) jobs: Vec<u64>,
}

/// One dispatch.
pub(crate) struct Run {
    pub(crate) track: usize,
    pub(crate) attempt: AttemptId,
    pub(crate) engine: usize,
    pub(crate) resume: u64,
}

/// What became of one arrival.
#[derive(Default)]
pub(crate) struct Track {
    pub(crate) tokens: u64,
    pub(crate) last: u64,
    pub(crate) ended: bool,
    pub(crate) runs: u32,
}

/// The state of a run.
pub(crate) struct World<'a> {
    pub(crate) experiment: &'a Experiment,
    pub(crate) arrivals: Vec<Arrival>,
    pub(crate) now: u64,
    pub(crate) heap: BinaryHeap<Reverse<(u64, u64, usize)>>,
    pub(crate) slab: Vec<Option<SimEvent>>,
    pub(crate) config: Config,
    pub(crate) nodes: Vec<Node>,
    pub(crate) engines: Vec<Engine>,
    pub(crate) runs: Vec<Run>,
    pub(crate) tracks: Vec<Track>,
    pub(crate) lag: u64,
    pub(crate) outage: bool,
    /// Orders given to each engine and not yet seen in its role.
    pub(crate) ordered: Vec<bool>,
    pub(crate) result: RunResult,
}

/// Runs an experiment to its end.
#[must_use]
pub fn run_virtual(experiment: &Experiment) -> RunResult {
    let mut world = World::new(experiment);
    world.run();
    world.finish()
}

impl<'a> World<'a> {
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
        let mut world = Self {
            experiment,
            arrivals: arrivals(profile, experiment.load, experiment.seed),
            now: 0,
            heap: BinaryHeap::new(),
            slab: Vec::new(),
            config: config(profile, &roles),
            nodes: Vec::new(),
            engines: engines.collect(),
            runs: Vec::new(),
            tracks: Vec::new(),
            lag: experiment.lag_ms,
            outage: false,
            ordered: vec![false; profile.engines],
            result: RunResult {
                kinds: kinds.collect(),
                ..RunResult::default()
            },
        };
        world
            .tracks
            .resize_with(world.arrivals.len(), Track::default);
        world.start_nodes();
        world.schedule_all();
        world
    }

    fn start_nodes(&mut self) {
        let vms: Vec<Vm> = (0..self.experiment.nodes).map(vm).collect();
        for (n, vm) in vms.iter().enumerate() {
            let settings = CoreSettings {
                vm: vm.name.clone(),
                boot: BootId(n as u64),
                centre: vm.centre.clone(),
                seed: self.experiment.seed + n as u64,
                // There is no table to hold leases in; the orders of the first node are obeyed.
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
            self.at(self.arrivals[i].at_us, SimEvent::Arrive(i));
        }
        for fault in &self.experiment.faults {
            self.at((fault.at_s * 1e6) as u64, SimEvent::Strike(fault.fault));
        }
        let mut start = 0.0;
        for (i, phase) in self.experiment.profile.phases.iter().enumerate() {
            self.at((start * 1e6) as u64, SimEvent::Phase(i));
            start += phase.seconds;
        }
        self.at(0, SimEvent::Poll);
    }

    pub(crate) fn at(&mut self, at: u64, event_due: SimEvent) {
        let i = self.slab.len();
        self.slab.push(Some(event_due));
        self.heap.push(Reverse((at, i as u64, i)));
    }

    fn run(&mut self) {
        let end = (self.experiment.profile.seconds() * 1e6) as u64 + TAIL;
        while let Some(Reverse((at, _, i))) = self.heap.pop() {
            if at > end {
                return;
            }
            self.now = at;
            match self.slab[i].take() {
                Some(event_due) => self.handle(event_due),
                None => continue,
            }
        }
    }

    fn handle(&mut self, event_due: SimEvent) {
        match event_due {
            SimEvent::Arrive(i) => self.arrive(i),
            SimEvent::Due(engine) => self.due(engine),
            SimEvent::Submit(run) => self.submit(run),
            SimEvent::Poll => self.poll(),
            SimEvent::Tell { node, event } => self.tell(node, *event),
            SimEvent::Order { engine, role } => self.order(engine, role),
            SimEvent::Strike(fault) => self.strike(fault),
            SimEvent::Phase(i) => self.phase(i),
        }
    }

    fn phase(&mut self, i: usize) {
        if self.experiment.manual_roles == ManualRoles::Off || i == 0 {
            return;
        }
        let mut wanted = self.experiment.best_splits[i];
        // Those that have a wanted role keep it; the others take what is left.
        let mut rest = Vec::new();
        for engine in 0..self.engines.len() {
            let left = wanted.count_mut(self.engines[engine].batch.role());
            if *left > 0 {
                *left -= 1;
            } else {
                rest.push(engine);
            }
        }
        for (engine, role) in rest.into_iter().zip(roles(&wanted)) {
            self.order(engine, role);
        }
    }

    fn finish(mut self) -> RunResult {
        for (i, track) in self.tracks.iter().enumerate() {
            let result = &mut self.result.kinds[self.arrivals[i].kind];
            result.lost += u64::from(!track.ended);
            result.doubled += u64::from(track.runs.saturating_sub(1));
        }
        let looked: u64 = self.engines.iter().map(|e| e.batch.lookup_tokens).sum();
        let hits: u64 = self.engines.iter().map(|e| e.batch.cached_tokens).sum();
        self.result.hits = hits as f64 / looked.max(1) as f64;
        self.result.work = self.engines.iter().map(|e| e.batch.output_tokens).collect();
        self.result.compute_total();
        self.result
    }
}
