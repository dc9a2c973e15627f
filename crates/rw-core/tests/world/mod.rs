//! Two nodes, a simulated table and two simulated engines, one of which ignores fencing tokens.
//!
//! Everything that can happen next is an [`Action`], so that tests can explore all interleavings.

use rw_core::{
    AuthorityEffect, AuthorityEvent, CoreSettings, Effect, Event, Holder, LeaseRows, Node,
    OrderRow, WriteOutcome,
};
use rw_fakes::OrderTracker;
use rw_types::{
    BootId, Config, LoadReport, Millis, Model, Order, OrderResponse, OrderState, Role, Service,
    ServiceKind, Target, TargetKind, Version, fingerprint,
};
use std::{
    hash::{Hash, Hasher},
    sync::Arc,
};

const GROUP: &str = "chat";
const MODELS: [&str; 2] = ["large", "small"];
const NAMES: [&str; 2] = ["engine-1", "engine-2"];
/// One time step, slightly longer than half a lease.
const STEP_MS: u64 = 55;
pub const LEASE_MS: u64 = 100;
pub const DRIFT_MS: u64 = 10;
pub const ORDER_TTL_MS: u64 = 40;

/// A deliberate fault in the simulated environment, which the checks must detect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// No fault.
    Unmodified,
    /// Reads of order rows report open orders as failed.
    OpenOrdersHidden,
    /// Orders are sent and arrive even after their deadline.
    NoDeadline,
    /// The engine that should check fencing tokens ignores them.
    NoFencing,
    /// The table applies writes without checking row versions.
    NoVersionChecks,
}

/// What can happen next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Time advances by one step. A node that does not tick before the next step was paused.
    Advance,
    /// A node gets a tick.
    Tick(usize),
    /// A call is carried out, and its response arrives.
    Run(usize),
    /// A call is carried out, but its response is lost.
    LoseResponse(usize),
    /// A call is lost before it is carried out.
    LoseRequest(usize),
    /// An engine completes its order.
    Finish(usize),
    /// An engine restarts without any of its state.
    Crash(usize),
    /// A node restarts without any of its state.
    Restart(usize),
}

#[derive(Debug, Clone)]
struct Engine {
    book: OrderTracker,
    models: Vec<String>,
    role: Role,
}

#[derive(Debug, Clone)]
pub struct World {
    pub mutant: Mutant,
    pub faults: u32,
    pub advances: u64,
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
    /// Initial state: node 0 holds the lease, and both engines have an order due.
    pub fn new(mutant: Mutant, faults: u32, advances: u64) -> Self {
        let mut world = Self {
            mutant,
            faults: 0,
            advances,
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
                book: OrderTracker::new(n == 0 && mutant != Mutant::NoFencing),
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
            lease_ms: LEASE_MS,
            drift_ms: DRIFT_MS,
            order_ttl_ms: ORDER_TTL_MS,
            stale_ms: 10_000,
            retry_ms: 10,
            ..CoreSettings::default()
        });
        node.step(self.now, Event::ConfigRead(Arc::new(config())));
        node
    }

    fn identity(&self) -> u64 {
        // The remaining state of nodes is the same in all worlds, or refreshed before it is used.
        let nodes = self.nodes.iter().map(Node::authority);
        let nodes: Vec<_> = nodes.collect();
        let time = (self.now, self.ticked, self.advances, self.faults, self.boot);
        let table = (&self.holder, self.heartbeat, &self.orders, self.version);
        let state = (time, nodes, &self.calls, &self.engines, table);
        fingerprint(format!("{state:?}").as_bytes())
    }

    /// All actions that are possible now.
    pub fn actions(&self) -> Vec<Action> {
        let calls = (0..self.calls.len()).filter(|i| self.is_first_in_line(*i));
        let mut all: Vec<Action> = calls.clone().map(Action::Run).collect();
        all.extend((0..2).filter(|n| !self.ticked[*n]).map(Action::Tick));
        let has_open_order =
            |e: &usize| self.engines[*e].book.latest().state == Some(OrderState::Open);
        all.extend((0..2).filter(has_open_order).map(Action::Finish));
        if self.advances > 0 {
            all.push(Action::Advance);
        }
        if self.faults > 0 {
            all.extend(calls.clone().map(Action::LoseResponse));
            all.extend(calls.map(Action::LoseRequest));
            all.extend((0..2).filter(has_open_order).map(Action::Crash));
            all.extend((0..2).map(Action::Restart));
        }
        all
    }

    /// Whether no earlier call of the same boot of the node goes to the same destination.
    fn is_first_in_line(&self, i: usize) -> bool {
        let destination =
            |c: &(usize, BootId, AuthorityEffect)| (c.0, c.1, destination_addr(&c.2).to_owned());
        let own = destination(&self.calls[i]);
        self.calls[..i].iter().all(|c| destination(c) != own)
    }

    /// Probability, out of 255, that a possible action happens when it is picked. Orders
    /// take long to complete, and some are in flight for long.
    pub fn chance(&self, action: Action) -> u8 {
        match action {
            Action::Advance => 50,
            Action::Finish(_) => 60,
            // Orders of the first holder are in flight for long, those of its successor are not, so
            // that old orders arrive after a takeover.
            Action::Run(i) if matches!(self.calls[i].2, AuthorityEffect::SendOrder { .. }) => {
                if self.calls[i].0 == 0 {
                    2
                } else {
                    120
                }
            }
            Action::Tick(_) => 120,
            Action::LoseResponse(_)
            | Action::LoseRequest(_)
            | Action::Crash(_)
            | Action::Restart(_) => 2,
            _ => u8::MAX,
        }
    }

    /// State after `action`.
    pub fn after(&self, action: Action) -> Self {
        let mut next = self.clone();
        next.act(action);
        next
    }

    pub fn act(&mut self, action: Action) {
        match action {
            Action::Advance => {
                self.advances -= 1;
                self.now = self.now.plus(STEP_MS);
                self.ticked = [false; 2];
            }
            Action::Tick(n) => self.tick(n),
            Action::Run(i) => {
                let (n, boot, effect) = self.calls.remove(i);
                let event = self.run(n, boot, &effect);
                self.deliver(n, boot, event);
            }
            Action::LoseResponse(i) => {
                self.faults -= 1;
                let (n, boot, effect) = self.calls.remove(i);
                self.run(n, boot, &effect);
                self.deliver(n, boot, lost_response(&effect));
            }
            Action::LoseRequest(i) => {
                self.faults -= 1;
                let (n, boot, effect) = self.calls.remove(i);
                self.deliver(n, boot, lost_response(&effect));
            }
            Action::Finish(e) => self.finish(e),
            Action::Crash(e) => {
                self.faults -= 1;
                let checks = e == 0 && self.mutant != Mutant::NoFencing;
                self.engines[e].book = OrderTracker::new(checks);
                let addr = addr(e);
                // Connections to the engine break when it crashes.
                let calls = std::mem::take(&mut self.calls);
                let (cut, kept) = calls.into_iter().partition(|(_, _, c)| {
                    matches!(c, AuthorityEffect::SendOrder { addr: a, .. } if *a == addr)
                });
                self.calls = kept;
                let cut: Vec<(usize, BootId, AuthorityEffect)> = cut;
                for (n, boot, effect) in cut {
                    self.deliver(n, boot, lost_response(&effect));
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
        self.deliver(n, boot, AuthorityEvent::Tick);
    }

    fn boot(&self, n: usize) -> BootId {
        self.boot[n]
    }

    fn deliver(&mut self, n: usize, boot: BootId, event: AuthorityEvent) {
        // Responses to calls of an earlier boot are discarded.
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
        let Some(last) = engine.book.accepted().last() else {
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
            AuthorityEffect::AcquireLease {
                call,
                lease,
                heartbeat,
                ..
            } => {
                let matches =
                    self.versions_match(&[(*lease, self.holder.1), (*heartbeat, self.heartbeat.1)]);
                let outcome = self.write(matches);
                if matches {
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
                let matches = self.versions_match(&[(Version(fence.0), self.holder.1)]);
                let outcome = self.write(matches);
                if matches {
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
                let matches = self.versions_match(&checks);
                let outcome = self.write(matches);
                if matches {
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
            } => AuthorityEvent::TargetResponded {
                call: *call,
                response: self.send(order, *deadline),
            },
            AuthorityEffect::ReadTarget { call, addr: at } => {
                let e = usize::from(*at == addr(1));
                AuthorityEvent::TargetResponded {
                    call: *call,
                    response: Some(self.engines[e].book.latest().clone()),
                }
            }
        }
    }

    /// An order is sent before its deadline and arrives within [`ORDER_TTL_MS`]. At the engine that
    /// checks fencing tokens it may arrive at any time.
    fn send(&mut self, order: &Order, deadline: Millis) -> Option<OrderResponse> {
        let e = index(&order.target);
        let on_time =
            e == 0 || self.now < deadline.plus(ORDER_TTL_MS) || self.mutant == Mutant::NoDeadline;
        on_time.then(|| self.engines[e].book.accept(order, 0).0)
    }

    fn order_row(&self, target: &str) -> OrderRow {
        let (order, version) = self.orders[index(target)].clone();
        let apply_mutant = |o: Order| match (self.mutant, o.state) {
            (Mutant::OpenOrdersHidden, OrderState::Open) => Order {
                state: OrderState::Failed,
                ..o
            },
            _ => o,
        };
        OrderRow {
            target: target.to_owned(),
            order: order.map(apply_mutant),
            version,
        }
    }

    fn versions_match(&self, checks: &[(Version, Version)]) -> bool {
        self.mutant == Mutant::NoVersionChecks
            || checks.iter().all(|(expected, actual)| expected == actual)
    }

    fn write(&mut self, matches: bool) -> WriteOutcome {
        if !matches {
            return WriteOutcome::Conflict;
        }
        self.version += 1;
        WriteOutcome::Written(Version(self.version))
    }

    /// Returns the invariant that an engine has seen violated, if any.
    pub fn fault(&self) -> Option<&'static str> {
        let held = self.engines.iter().map(|e| e.book.accepted());
        held.flat_map(|held| {
            held.iter().enumerate().filter_map(move |(i, one)| {
                let repeated = held[..i].iter().any(|h| h.order.seq >= one.order.seq);
                match (
                    one.overlapped,
                    one.order.fence < one.highest_fence,
                    repeated,
                ) {
                    (true, _, _) => Some("an order was taken while another was open"),
                    (_, true, _) => Some("an order with an outdated fencing token was taken"),
                    (_, _, true) => Some("an order was taken twice or out of sequence"),
                    _ => None,
                }
            })
        })
        .next()
    }

    /// Total number of orders that engines have taken.
    pub fn taken(&self) -> usize {
        self.engines.iter().map(|e| e.book.accepted().len()).sum()
    }
}

fn lost_response(effect: &AuthorityEffect) -> AuthorityEvent {
    match effect {
        AuthorityEffect::ReadLeases { call, .. } => AuthorityEvent::LeasesRead {
            call: *call,
            rows: None,
        },
        AuthorityEffect::ReadOrders { call, .. } => AuthorityEvent::OrdersRead {
            call: *call,
            rows: None,
        },
        AuthorityEffect::AcquireLease { call, .. } | AuthorityEffect::RenewLease { call, .. } => {
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
            AuthorityEvent::TargetResponded {
                call: *call,
                response: None,
            }
        }
    }
}

/// Address of the engine called; empty for the table.
fn destination_addr(effect: &AuthorityEffect) -> &str {
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
