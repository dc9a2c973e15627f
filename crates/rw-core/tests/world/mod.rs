//! Two nodes around a tiny table and two engines, one of which ignores fencing tokens.
//!
//! Everything that can happen next is an action, so that all orders of events can be tried.

use rw_core::{
    AuthorityEffect, AuthorityEvent, CoreSettings, Effect, Event, Holder, LeaseRows, Node,
    OrderRow, WriteOutcome,
};
use rw_fakes::OrderBook;
use rw_types::{
    BootId, Config, LoadReport, Millis, Model, Order, OrderReply, OrderState, Role, Service,
    ServiceKind, Target, TargetKind, Version, fingerprint,
};
use std::{
    hash::{Hash, Hasher},
    sync::Arc,
};

const GROUP: &str = "chat";
const MODELS: [&str; 2] = ["large", "small"];
const NAMES: [&str; 2] = ["engine-1", "engine-2"];
/// One step of time, a little more than half a lease.
const QUANTUM: u64 = 55;
pub const LEASE: u64 = 100;
pub const DRIFT: u64 = 10;
pub const LIFE: u64 = 40;

/// A fault built into the world around the reducer, which the checks must find.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// None.
    Sound,
    /// A successor is told that open orders have failed.
    OpenHidden,
    /// Orders go out however late it is.
    NoClock,
    /// The engine that should check fencing tokens does not.
    NoFence,
    /// The table does not check the versions of rows.
    NoChecks,
}

/// What can happen next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Time passes; nodes that do not tick before the next step were paused.
    Advance,
    /// A node's clock ticks.
    Tick(usize),
    /// A call is carried out and answered.
    Run(usize),
    /// A call is carried out and its answer is lost.
    Lose(usize),
    /// A call is lost on its way.
    Drop(usize),
    /// An engine ends its order.
    Finish(usize),
    /// An engine ends and starts anew with nothing of its past.
    Crash(usize),
    /// A node ends and starts anew with nothing of its past.
    Restart(usize),
}

#[derive(Debug, Clone)]
struct Engine {
    book: OrderBook,
    models: Vec<String>,
    role: Role,
}

#[derive(Debug, Clone)]
pub struct World {
    pub mutant: Mutant,
    pub faults: u32,
    pub quanta: u64,
    now: Millis,
    ticked: [bool; 2],
    nodes: Vec<Node>,
    calls: Vec<(usize, BootId, AuthorityEffect)>,
    engines: Vec<Engine>,
    version: u64,
    holder: (Option<Holder>, Version),
    heartbeat: (bool, Version),
    orders: Vec<(Option<Order>, Version)>,
    boots: u64,
    boot: [BootId; 2],
}

impl PartialEq for World {
    fn eq(&self, other: &Self) -> bool {
        self.identity() == other.identity()
    }
}

impl Eq for World {}

impl Hash for World {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.identity().hash(state);
    }
}

impl World {
    /// Node 0 holds the lease and has both orders to give.
    pub fn new(mutant: Mutant, faults: u32, quanta: u64) -> Self {
        let mut world = Self {
            mutant,
            faults: 0,
            quanta,
            now: Millis(1_000),
            ticked: [false; 2],
            nodes: Vec::new(),
            calls: Vec::new(),
            engines: Vec::new(),
            version: 0,
            holder: (None, Version(0)),
            heartbeat: (false, Version(0)),
            orders: vec![(None, Version(0)); 2],
            boots: 0,
            boot: [BootId(0); 2],
        };
        for n in 0..2 {
            let node = world.new_node(n);
            world.nodes.push(node);
            world.engines.push(Engine {
                book: OrderBook::new(n == 0 && mutant != Mutant::NoFence),
                models: Vec::new(),
                role: Role::Mixed,
            });
        }
        for n in [0, 0, 1] {
            world.act(Action::Tick(n));
            while !world.calls.is_empty() {
                world.act(Action::Run(0));
            }
        }
        world.ticked = [false; 2];
        world.faults = faults;
        world
    }

    fn new_node(&mut self, n: usize) -> Node {
        self.boots += 1;
        self.boot[n] = BootId(self.boots);
        let mut node = Node::new(CoreSettings {
            vm: format!("vm-{n}"),
            boot: BootId(self.boots),
            lease_ms: LEASE,
            drift_ms: DRIFT,
            order_ttl_ms: LIFE,
            stale_ms: 10_000,
            retry_ms: 10,
            ..CoreSettings::default()
        });
        node.step(self.now, Event::ConfigRead(Arc::new(config())));
        node
    }

    fn identity(&self) -> u64 {
        // What nodes know besides is the same in all worlds, or renewed before it is used.
        let nodes = self.nodes.iter().map(Node::authority);
        let nodes: Vec<_> = nodes.collect();
        let time = (self.now, self.ticked, self.quanta, self.faults, self.boot);
        let table = (&self.holder, self.heartbeat, &self.orders, self.version);
        let state = (time, nodes, &self.calls, &self.engines, table);
        fingerprint(format!("{state:?}").as_bytes())
    }

    /// All that can happen now.
    pub fn actions(&self) -> Vec<Action> {
        let calls = (0..self.calls.len()).filter(|i| self.is_next(*i));
        let mut all: Vec<Action> = calls.clone().map(Action::Run).collect();
        all.extend((0..2).filter(|n| !self.ticked[*n]).map(Action::Tick));
        let busy = |e: &usize| self.engines[*e].book.latest().state == Some(OrderState::Open);
        all.extend((0..2).filter(busy).map(Action::Finish));
        if self.quanta > 0 {
            all.push(Action::Advance);
        }
        if self.faults > 0 {
            all.extend(calls.clone().map(Action::Lose));
            all.extend(calls.map(Action::Drop));
            all.extend((0..2).filter(busy).map(Action::Crash));
            all.extend((0..2).map(Action::Restart));
        }
        all
    }

    /// Whether no earlier call of the same node goes to the same place.
    fn is_next(&self, i: usize) -> bool {
        let place = |c: &(usize, BootId, AuthorityEffect)| (c.0, c.1, called(&c.2).to_owned());
        let mine = place(&self.calls[i]);
        self.calls[..i].iter().all(|c| place(c) != mine)
    }

    /// How often an action that could happen does, of 255: changes take long, and some orders are
    /// long on their way.
    pub fn chance(&self, action: Action) -> u8 {
        match action {
            Action::Advance => 50,
            Action::Finish(_) => 60,
            // The first holder's orders are long on their way, those of its successor are not.
            Action::Run(i) if matches!(self.calls[i].2, AuthorityEffect::SendOrder { .. }) => {
                if self.calls[i].0 == 0 {
                    2
                } else {
                    120
                }
            }
            Action::Tick(_) => 120,
            Action::Lose(_) | Action::Drop(_) | Action::Crash(_) | Action::Restart(_) => 2,
            _ => u8::MAX,
        }
    }

    /// The world after one action.
    pub fn after(&self, action: Action) -> Self {
        let mut next = self.clone();
        next.act(action);
        next
    }

    pub fn act(&mut self, action: Action) {
        match action {
            Action::Advance => {
                self.quanta -= 1;
                self.now = self.now.plus(QUANTUM);
                self.ticked = [false; 2];
            }
            Action::Tick(n) => self.tick(n),
            Action::Run(i) => {
                let (n, boot, effect) = self.calls.remove(i);
                let event = self.run(n, boot, &effect);
                self.feed(n, boot, event);
            }
            Action::Lose(i) => {
                self.faults -= 1;
                let (n, boot, effect) = self.calls.remove(i);
                self.run(n, boot, &effect);
                self.feed(n, boot, lost(&effect));
            }
            Action::Drop(i) => {
                self.faults -= 1;
                let (n, boot, effect) = self.calls.remove(i);
                self.feed(n, boot, lost(&effect));
            }
            Action::Finish(e) => self.finish(e),
            Action::Crash(e) => {
                self.faults -= 1;
                let checks = e == 0 && self.mutant != Mutant::NoFence;
                self.engines[e].book = OrderBook::new(checks);
                let addr = addr(e);
                // A connection to a process ends with it.
                let calls = std::mem::take(&mut self.calls);
                let (cut, kept) = calls.into_iter().partition(|(_, _, c)| {
                    matches!(c, AuthorityEffect::SendOrder { addr: a, .. } if *a == addr)
                });
                self.calls = kept;
                let cut: Vec<(usize, BootId, AuthorityEffect)> = cut;
                for (n, boot, effect) in cut {
                    self.feed(n, boot, lost(&effect));
                }
            }
            Action::Restart(n) => {
                self.faults -= 1;
                self.nodes[n] = self.new_node(n);
            }
        }
    }

    fn tick(&mut self, n: usize) {
        self.ticked[n] = true;
        for (e, name) in NAMES.iter().enumerate() {
            let report = LoadReport {
                models: self.engines[e].models.clone(),
                ..LoadReport::default()
            };
            let target = (*name).to_owned();
            self.nodes[n].step(self.now, Event::Reported { target, report });
        }
        let boot = self.boot(n);
        self.feed(n, boot, AuthorityEvent::Tick);
    }

    fn boot(&self, n: usize) -> BootId {
        self.boot[n]
    }

    fn feed(&mut self, n: usize, boot: BootId, event: AuthorityEvent) {
        // Answers to an earlier boot reach nobody.
        if boot != self.boot(n) {
            return;
        }
        for effect in self.nodes[n].step(self.now, Event::Authority(event)) {
            if let Effect::Authority(effect) = effect {
                self.calls.push((n, boot, effect));
            }
        }
    }

    fn finish(&mut self, e: usize) {
        let engine = &mut self.engines[e];
        let Some(last) = engine.book.held().last() else {
            return;
        };
        let order = last.order.clone();
        engine
            .book
            .finish(order, &mut engine.models, &mut engine.role);
    }

    fn run(&mut self, n: usize, boot: BootId, effect: &AuthorityEffect) -> AuthorityEvent {
        match effect {
            AuthorityEffect::ReadLeases { call, .. } => AuthorityEvent::LeasesRead {
                call: *call,
                rows: Some(vec![LeaseRows {
                    group: GROUP.to_owned(),
                    holder: self.holder.0.clone(),
                    lease: self.holder.1,
                    heartbeat: self.heartbeat.1,
                    released: self.heartbeat.0,
                }]),
            },
            AuthorityEffect::TakeLease {
                call,
                lease,
                heartbeat,
                ..
            } => {
                let fits = self.fits(&[(*lease, self.holder.1), (*heartbeat, self.heartbeat.1)]);
                let outcome = self.write(fits);
                if fits {
                    let vm = format!("vm-{n}");
                    self.holder = (Some(Holder { vm, boot }), Version(self.version));
                    self.heartbeat = (false, Version(self.version));
                }
                AuthorityEvent::LeaseWritten {
                    call: *call,
                    outcome,
                }
            }
            AuthorityEffect::RenewLease {
                call,
                fence,
                released,
                ..
            } => {
                let fits = self.fits(&[(Version(fence.0), self.holder.1)]);
                let outcome = self.write(fits);
                if fits {
                    self.heartbeat = (*released, Version(self.version));
                }
                AuthorityEvent::LeaseWritten {
                    call: *call,
                    outcome,
                }
            }
            AuthorityEffect::ReadOrders { call, targets } => AuthorityEvent::OrdersRead {
                call: *call,
                rows: Some(targets.iter().map(|t| self.order_row(t)).collect()),
            },
            AuthorityEffect::WriteOrder {
                call,
                fence,
                version,
                order,
                ..
            } => {
                let e = index(&order.target);
                let checks = [
                    (Version(fence.0), self.holder.1),
                    (*version, self.orders[e].1),
                ];
                let fits = self.fits(&checks);
                let outcome = self.write(fits);
                if fits {
                    self.orders[e] = (Some(order.clone()), Version(self.version));
                }
                AuthorityEvent::OrderWritten {
                    call: *call,
                    outcome,
                }
            }
            AuthorityEffect::SendOrder {
                call,
                order,
                deadline,
                ..
            } => AuthorityEvent::TargetReplied {
                call: *call,
                reply: self.send(order, *deadline),
            },
            AuthorityEffect::ReadTarget { call, addr: at } => {
                let e = usize::from(*at == addr(1));
                AuthorityEvent::TargetReplied {
                    call: *call,
                    reply: Some(self.engines[e].book.latest().clone()),
                }
            }
        }
    }

    /// The bytes went out before `deadline`, and arrive within the longest life of an order; to an
    /// engine that checks fencing tokens they may arrive at any time.
    fn send(&mut self, order: &Order, deadline: Millis) -> Option<OrderReply> {
        let e = index(&order.target);
        let arrives = e == 0 || self.now < deadline.plus(LIFE) || self.mutant == Mutant::NoClock;
        arrives.then(|| self.engines[e].book.take(order, 0).0)
    }

    fn order_row(&self, target: &str) -> OrderRow {
        let (order, version) = self.orders[index(target)].clone();
        let hide = |o: Order| match (self.mutant, o.state) {
            (Mutant::OpenHidden, OrderState::Open) => Order {
                state: OrderState::Failed,
                ..o
            },
            _ => o,
        };
        OrderRow {
            target: target.to_owned(),
            order: order.map(hide),
            version,
        }
    }

    fn fits(&self, checks: &[(Version, Version)]) -> bool {
        self.mutant == Mutant::NoChecks || checks.iter().all(|(wanted, is)| wanted == is)
    }

    fn write(&mut self, fits: bool) -> WriteOutcome {
        if !fits {
            return WriteOutcome::Conflict;
        }
        self.version += 1;
        WriteOutcome::Written(Version(self.version))
    }

    /// What no history may show at an engine.
    pub fn fault(&self) -> Option<&'static str> {
        let held = self.engines.iter().map(|e| e.book.held());
        held.flat_map(|held| {
            held.iter().enumerate().filter_map(move |(i, one)| {
                let again = held[..i].iter().any(|h| h.order.seq >= one.order.seq);
                match (one.overlapped, one.order.fence < one.seen, again) {
                    (true, _, _) => Some("two orders at once"),
                    (_, true, _) => Some("an order from a lower fence"),
                    (_, _, true) => Some("an order that came back"),
                    _ => None,
                }
            })
        })
        .next()
    }

    /// Orders that engines took in all.
    pub fn taken(&self) -> usize {
        self.engines.iter().map(|e| e.book.held().len()).sum()
    }
}

fn lost(effect: &AuthorityEffect) -> AuthorityEvent {
    match effect {
        AuthorityEffect::ReadLeases { call, .. } => AuthorityEvent::LeasesRead {
            call: *call,
            rows: None,
        },
        AuthorityEffect::ReadOrders { call, .. } => AuthorityEvent::OrdersRead {
            call: *call,
            rows: None,
        },
        AuthorityEffect::TakeLease { call, .. } | AuthorityEffect::RenewLease { call, .. } => {
            AuthorityEvent::LeaseWritten {
                call: *call,
                outcome: WriteOutcome::Unknown,
            }
        }
        AuthorityEffect::WriteOrder { call, .. } => AuthorityEvent::OrderWritten {
            call: *call,
            outcome: WriteOutcome::Unknown,
        },
        AuthorityEffect::SendOrder { call, .. } | AuthorityEffect::ReadTarget { call, .. } => {
            AuthorityEvent::TargetReplied {
                call: *call,
                reply: None,
            }
        }
    }
}

/// The engine called, empty for the table.
fn called(effect: &AuthorityEffect) -> &str {
    match effect {
        AuthorityEffect::SendOrder { addr, .. } | AuthorityEffect::ReadTarget { addr, .. } => addr,
        _ => "",
    }
}

fn index(target: &str) -> usize {
    usize::from(target == NAMES[1])
}

fn addr(e: usize) -> String {
    format!("10.0.0.{}:1", e + 1)
}

fn model(name: &str) -> Model {
    Model {
        name: name.to_owned(),
        version: "1".to_owned(),
        adapters: Vec::new(),
        bytes: 1,
        replicas: 2,
    }
}

fn config() -> Config {
    let target = |e: usize| Target {
        name: NAMES[e].to_owned(),
        addr: addr(e),
        centre: "centre-a".to_owned(),
        kind: TargetKind::Engine,
        service: GROUP.to_owned(),
        group: String::new(),
        models: MODELS.iter().map(|m| (*m).to_owned()).collect(),
        role: Role::Mixed,
        checks_fence: e == 0,
        leaving: false,
    };
    Config {
        version: Version(1),
        models: MODELS.iter().map(|m| model(m)).collect(),
        services: vec![Service {
            name: GROUP.to_owned(),
            kind: ServiceKind::Engine,
            idempotent: Vec::new(),
        }],
        targets: vec![target(0), target(1)],
        ..Config::default()
    }
}
