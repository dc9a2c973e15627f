//! A run on virtual time: the real reducers and the engine stand-ins' batching, without sockets.
//!
//! It is only there to compare decisions cheaply and repeatably; there is no network to speak of,
//! no table but one that answers or does not, and no process that fails but engines.

use crate::{
    Arrival, Experiment, Fault, Hand, KindResult, Profile, RunResult, Shape, arrival::CALLERS,
    arrivals, profile::roles,
};
use rw_core::{AttemptEnd, Call, ClaimRead, CoreSettings, Effect, Event, Node, Policy, Work};
use rw_fakes::{Batch, Emitted, Job};
use rw_types::{
    Account, AttemptId, BootId, Config, LoadReport, Millis, Model, OrderKind, Outcome, RequestId,
    Role, Service, ServiceKind, Target, TargetKind, Version, Vm,
};
use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    sync::Arc,
};

/// One way between two processes in one data centre, in microseconds.
const HOP: u64 = 500;
/// Time of a plain call and of a table write, in microseconds.
const CALL: u64 = 5_000;
/// Time until an order reaches its engine, in microseconds.
const ORDER: u64 = 20_000;
/// Time after the last arrival for what still runs, in microseconds.
const TAIL: u64 = 150_000_000;
/// Reports kept of an engine.
const REPORTS: usize = 512;
/// Model of all engines.
pub(crate) const MODEL: &str = "small";

enum Happening {
    Arrive(usize),
    Due(usize),
    Submit(usize),
    Poll,
    Tell { node: usize, event: Box<Event> },
    Order { engine: usize, role: Role },
    Strike(Fault),
    Phase(usize),
}

struct Engine {
    batch: Batch,
    alive: bool,
    reports: VecDeque<(u64, LoadReport)>,
    /// Jobs that run, sorted.
    jobs: Vec<u64>,
}

struct Run {
    track: usize,
    attempt: AttemptId,
    engine: usize,
    resume: u64,
}

#[derive(Default)]
struct Track {
    tokens: u64,
    last: u64,
    ended: bool,
    runs: u32,
}

struct World<'a> {
    experiment: &'a Experiment,
    arrivals: Vec<Arrival>,
    now: u64,
    heap: BinaryHeap<Reverse<(u64, u64, usize)>>,
    slab: Vec<Option<Happening>>,
    config: Config,
    nodes: Vec<Node>,
    engines: Vec<Engine>,
    runs: Vec<Run>,
    tracks: Vec<Track>,
    lag: u64,
    outage: bool,
    /// Orders given to each engine and not yet seen in its role.
    ordered: Vec<bool>,
    result: RunResult,
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
                    plan_alone: n == 0,
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
            self.at(self.arrivals[i].at, Happening::Arrive(i));
        }
        for fault in &self.experiment.faults {
            self.at((fault.at * 1e6) as u64, Happening::Strike(fault.fault));
        }
        let mut start = 0.0;
        for (i, phase) in self.experiment.profile.phases.iter().enumerate() {
            self.at((start * 1e6) as u64, Happening::Phase(i));
            start += phase.seconds;
        }
        self.at(0, Happening::Poll);
    }

    fn at(&mut self, at: u64, happening: Happening) {
        let i = self.slab.len();
        self.slab.push(Some(happening));
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
                Some(happening) => self.happen(happening),
                None => continue,
            }
        }
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Arrive(i) => self.arrive(i),
            Happening::Due(engine) => self.due(engine),
            Happening::Submit(run) => self.submit(run),
            Happening::Poll => self.poll(),
            Happening::Tell { node, event } => self.tell(node, *event),
            Happening::Order { engine, role } => self.order(engine, role),
            Happening::Strike(fault) => self.strike(fault),
            Happening::Phase(i) => self.phase(i),
        }
    }

    fn arrive(&mut self, i: usize) {
        let arrival = &self.arrivals[i];
        let profile = &self.experiment.profile.kinds[arrival.kind];
        self.result.kinds[arrival.kind].sent += 1;
        let now = Millis(self.now / 1_000);
        let work = match &profile.shape {
            Shape::Generate { .. } => Work::Generate {
                model: MODEL.to_owned(),
                prompt: arrival.prompt,
                output: arrival.output,
                pieces: arrival.pieces.clone(),
            },
            Shape::Call { idempotent } => Work::Service {
                name: "calls".to_owned(),
                idempotent: *idempotent,
            },
        };
        let call = Call {
            caller: format!("caller-{}", arrival.caller),
            kind: profile.kind.name.clone(),
            work,
            key: matches!(profile.shape, Shape::Call { idempotent: false })
                .then(|| format!("key-{i}")),
            fingerprint: i as u64 + 1,
            deadline: now.plus(profile.kind.deadline_ms),
            promised: true,
        };
        let node = (arrival.node % self.nodes.len() as u64) as usize;
        self.tell(
            node,
            Event::Arrived {
                id: RequestId(i as u64),
                call,
            },
        );
    }

    fn tell(&mut self, node: usize, event: Event) {
        let effects = self.nodes[node].step(Millis(self.now / 1_000), event);
        for effect in effects {
            self.perform(node, effect);
        }
    }

    fn perform(&mut self, node: usize, effect: Effect) {
        match effect {
            Effect::Dispatch {
                id,
                attempt,
                target,
                resume,
                ..
            } => {
                self.dispatch(node, id, attempt, &target, resume);
            }
            Effect::Deliver { id } => self.end(id, Some(Outcome::Done), true),
            Effect::Replay { id, .. } => self.end(id, Some(Outcome::Done), true),
            Effect::Refuse { id, refusal } => self.end(id, Some(refusal.outcome), false),
            Effect::WriteClaim { id, .. } | Effect::ReadClaim { id, .. } => {
                let read = if self.outage {
                    ClaimRead::Untaken
                } else {
                    ClaimRead::Written(Version(1))
                };
                self.at(
                    self.now + CALL,
                    Happening::Tell {
                        node,
                        event: Box::new(Event::ClaimRead { id, read }),
                    },
                );
            }
            _ => {}
        }
    }

    fn dispatch(
        &mut self,
        node: usize,
        id: RequestId,
        attempt: AttemptId,
        target: &str,
        resume: u64,
    ) {
        let track = id.0 as usize;
        let position = target
            .strip_prefix("engine-")
            .and_then(|n| n.parse::<usize>().ok());
        let Some(engine) = position else {
            self.tracks[track].runs += 1;
            let end = AttemptEnd::Whole {
                status: 200,
                kind: String::new(),
                body: Vec::new(),
            };
            let event = Event::Ended { id, attempt, end };
            return self.at(
                self.now + CALL,
                Happening::Tell {
                    node,
                    event: Box::new(event),
                },
            );
        };
        let run = self.runs.len();
        self.runs.push(Run {
            track,
            attempt,
            engine,
            resume,
        });
        let away = self.nodes.len() > 1 && node % 3 != engine % 3;
        let hop = if away {
            (self.experiment.profile.hop_ms * 1e3) as u64
        } else {
            HOP
        };
        self.at(self.now + hop, Happening::Submit(run));
    }

    fn submit(&mut self, run: usize) {
        let Run {
            track,
            attempt,
            engine,
            resume,
        } = self.runs[run];
        let id = RequestId(track as u64);
        if !self.engines[engine].alive {
            return self.tell_owner(
                track,
                Event::Ended {
                    id,
                    attempt,
                    end: AttemptEnd::Unsent,
                },
            );
        }
        let arrival = &self.arrivals[track];
        let job = Job {
            id: run as u64,
            prompt: arrival.prompt,
            output: arrival.output,
            resume,
            priority: self.priority(arrival.kind),
            pieces: arrival.pieces.clone(),
            imported: false,
        };
        let one = &mut self.engines[engine];
        if !one.batch.submit(self.now, job) {
            return self.tell_owner(
                track,
                Event::Ended {
                    id,
                    attempt,
                    end: AttemptEnd::Declined,
                },
            );
        }
        if let Err(i) = one.jobs.binary_search(&(run as u64)) {
            one.jobs.insert(i, run as u64);
        }
        self.wake(engine);
    }

    /// Priority as the nodes send it; without priorities all are equal.
    fn priority(&self, kind: usize) -> u8 {
        if self.experiment.policy.priorities {
            self.experiment.profile.kinds[kind].kind.priority
        } else {
            0
        }
    }

    fn wake(&mut self, engine: usize) {
        if let Some(due) = self.engines[engine].batch.due() {
            self.at(due.max(self.now), Happening::Due(engine));
        }
    }

    fn due(&mut self, engine: usize) {
        let one = &mut self.engines[engine];
        // A later wake stands for this one if the engine is not due yet.
        if !one.alive || one.batch.due().is_none_or(|due| due > self.now) {
            return;
        }
        let emitted = one.batch.advance(self.now);
        for token in emitted {
            self.emit(engine, token);
        }
        self.wake(engine);
    }

    fn emit(&mut self, engine: usize, token: Emitted) {
        let Run { track, attempt, .. } = self.runs[token.id as usize];
        let kind = self.arrivals[track].kind;
        let result = &mut self.result.kinds[kind];
        let seen = &mut self.tracks[track];
        if !token.end {
            if seen.tokens == 0 {
                result.firsts.record(self.now - self.arrivals[track].at);
            } else {
                result.gaps.record(self.now - seen.last);
            }
            seen.tokens += 1;
            seen.last = self.now;
            return;
        }
        let jobs = &mut self.engines[engine].jobs;
        if let Ok(i) = jobs.binary_search(&token.id) {
            jobs.remove(i);
        }
        let id = RequestId(track as u64);
        let end = AttemptEnd::Whole {
            status: 200,
            kind: String::new(),
            body: Vec::new(),
        };
        self.tell_owner(track, Event::Ended { id, attempt, end });
    }

    fn tell_owner(&mut self, track: usize, event: Event) {
        let node = (self.arrivals[track].node % self.nodes.len() as u64) as usize;
        self.at(
            self.now + HOP,
            Happening::Tell {
                node,
                event: Box::new(event),
            },
        );
    }

    fn end(&mut self, id: RequestId, outcome: Option<Outcome>, whole: bool) {
        let i = id.0 as usize;
        let arrival = &self.arrivals[i];
        let deadline = self.experiment.profile.kinds[arrival.kind].kind.deadline_ms;
        let result = &mut self.result.kinds[arrival.kind];
        self.tracks[i].ended = true;
        match outcome {
            _ if whole && self.now <= arrival.at + deadline * 1_000 => result.good += 1,
            _ if whole => result.late += 1,
            Some(Outcome::NotRun) => result.refused += 1,
            _ => result.unknown += 1,
        }
    }

    fn poll(&mut self) {
        let lag = self.lag * 1_000;
        for i in 0..self.engines.len() {
            let engine = &mut self.engines[i];
            if !engine.alive {
                continue;
            }
            let report = LoadReport {
                models: vec![MODEL.to_owned()],
                ..engine.batch.report()
            };
            if engine.reports.len() == REPORTS {
                engine.reports.pop_front();
            }
            engine.reports.push_back((self.now, report));
            let old = engine.reports.iter().rev().find(|r| r.0 + lag <= self.now);
            let Some((made, report)) = old.cloned() else {
                continue;
            };
            let report = LoadReport {
                age_ms: (self.now - made) / 1_000,
                ..report
            };
            let target = format!("engine-{i}");
            for node in 0..self.nodes.len() {
                let event = Event::Reported {
                    target: target.clone(),
                    report: report.clone(),
                };
                self.tell(node, event);
            }
        }
        self.obey();
        self.at(self.now + self.experiment.poll_ms * 1_000, Happening::Poll);
    }

    /// Carries out the wishes of the one node that may order.
    fn obey(&mut self) {
        let wishes = self.nodes[0].wishes().to_vec();
        for wish in wishes {
            let position = wish
                .target
                .strip_prefix("engine-")
                .and_then(|n| n.parse().ok());
            let (Some(engine), OrderKind::Role { role }) = (position, &wish.kind) else {
                continue;
            };
            let engine: usize = engine;
            if !self.ordered[engine] {
                self.ordered[engine] = true;
                self.result
                    .reasons
                    .push(format!("{:.0} s: {}", self.now as f64 / 1e6, wish.why));
                self.at(
                    self.now + ORDER,
                    Happening::Order {
                        engine,
                        role: *role,
                    },
                );
            }
        }
        for engine in 0..self.ordered.len() {
            let wished = self.nodes[0]
                .wishes()
                .iter()
                .any(|w| w.target == format!("engine-{engine}"));
            self.ordered[engine] &= wished;
        }
    }

    fn order(&mut self, engine: usize, role: Role) {
        let one = &mut self.engines[engine];
        if one.alive && one.batch.is_up() && one.batch.role() != role {
            one.batch.change_role(self.now, role);
            self.result.changes += 1;
            self.wake(engine);
        }
    }

    fn strike(&mut self, fault: Fault) {
        match fault {
            Fault::Lag(ms) => self.lag = ms,
            Fault::TableOutage(out) => self.outage = out,
            Fault::Withdraw(engine) => {
                self.config.version.0 += 1;
                let name = format!("engine-{engine}");
                let targets = self.config.targets.iter_mut();
                targets
                    .filter(|t| t.name == name)
                    .for_each(|t| t.leaving = true);
                let config = Arc::new(self.config.clone());
                for node in 0..self.nodes.len() {
                    self.tell(node, Event::ConfigRead(config.clone()));
                }
            }
            Fault::Kill(engine) => {
                self.engines[engine].alive = false;
                for job in std::mem::take(&mut self.engines[engine].jobs) {
                    let Run { track, attempt, .. } = self.runs[job as usize];
                    let tokens = self.tracks[track].tokens;
                    let end = AttemptEnd::Broken {
                        tokens,
                        crashed: false,
                    };
                    let id = RequestId(track as u64);
                    self.tell_owner(track, Event::Ended { id, attempt, end });
                }
            }
        }
    }

    fn phase(&mut self, i: usize) {
        if self.experiment.hand == Hand::Off || i == 0 {
            return;
        }
        let mut wanted = self.experiment.right[i];
        // Those that have a wanted role keep it; the others take what is left.
        let mut rest = Vec::new();
        for engine in 0..self.engines.len() {
            let left = wanted.of_mut(self.engines[engine].batch.role());
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
        let looked: u64 = self.engines.iter().map(|e| e.batch.looked).sum();
        let hits: u64 = self.engines.iter().map(|e| e.batch.hits).sum();
        self.result.hits = hits as f64 / looked.max(1) as f64;
        self.result.work = self.engines.iter().map(|e| e.batch.emitted).collect();
        self.result.sum_up();
        self.result
    }
}

fn vm(n: usize) -> Vm {
    Vm {
        name: format!("vm-{n}"),
        centre: format!("centre-{}", n % 3),
        peer: String::new(),
        leaving: false,
    }
}

/// The configuration of a profile; addresses are left to the caller.
pub(crate) fn config(profile: &Profile, roles: &[Role]) -> Config {
    let engine = |(i, role): (usize, &Role)| target(format!("engine-{i}"), i, Some(*role));
    let service = |i| target(format!("service-{i}"), i, None);
    let named = |name: &str, kind| Service {
        name: name.to_owned(),
        kind,
        idempotent: vec!["/lookup".to_owned()],
    };
    let account = |n| Account {
        name: format!("caller-{n}"),
        keys: Vec::new(),
        share: 1,
    };
    let mut config = Config {
        version: Version(1),
        models: vec![Model {
            name: MODEL.to_owned(),
            version: "1".to_owned(),
            adapters: Vec::new(),
            bytes: 1,
            replicas: 1,
        }],
        services: vec![
            named("runners", ServiceKind::Engine),
            named("calls", ServiceKind::Plain),
        ],
        targets: roles
            .iter()
            .enumerate()
            .map(engine)
            .chain((0..profile.services).map(service))
            .collect(),
        accounts: (0..CALLERS).map(account).collect(),
        kinds: profile.kinds.iter().map(|k| k.kind.clone()).collect(),
        change_weight: profile.change_weight,
    };
    config.sort();
    config
}

fn target(name: String, i: usize, role: Option<Role>) -> Target {
    let engine = role.is_some();
    Target {
        name,
        addr: "127.0.0.1:1".to_owned(),
        centre: format!("centre-{}", i % 3),
        kind: if engine {
            TargetKind::Engine
        } else {
            TargetKind::Plain
        },
        service: if engine { "runners" } else { "calls" }.to_owned(),
        group: String::new(),
        models: if engine {
            vec![MODEL.to_owned()]
        } else {
            Vec::new()
        },
        role: role.unwrap_or_default(),
        checks_fence: i % 4 != 3,
        leaving: false,
    }
}
