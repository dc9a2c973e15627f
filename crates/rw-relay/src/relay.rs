//! A node's state and the way to its reducer.

use crate::{
    BootClock, Dialect, Metrics, Peer, Peers, RelaySettings, Snapshot, decision_log::DecisionLog,
    pool::Pool, within::timeout,
};
use async_channel::Sender;
use rw_gate::{Effect, Event, Gate, KvHandle};
use rw_types::RequestId;
use smol::LocalExecutor;
use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

/// Longest time for freeing a handle, which lapses by itself anyway.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// One node.
#[derive(Debug)]
pub struct Relay<D> {
    pub(crate) settings: RelaySettings,
    pub(crate) gate: RefCell<Gate>,
    pub(crate) clock: BootClock,
    pub(crate) dialect: D,
    pub(crate) pool: Pool,
    pub(crate) peers: RefCell<Peers>,
    pub(crate) metrics: Metrics,
    pub(crate) log: DecisionLog,
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    /// Wakes the sender of digests.
    pub(crate) wake_digests: Sender<()>,
    /// Asks for the lease on role changes.
    pub(crate) lease_requests: Sender<()>,
    /// Orders to be given.
    pub(crate) orders: Sender<Effect>,
    /// Told to stop: not ready, but still serving.
    pub(crate) stopping: Cell<bool>,
    /// Idle connections are closed.
    pub(crate) close_idle: Cell<bool>,
    /// Requests whose answer is not written to its end.
    pub(crate) in_flight: Cell<usize>,
    /// Open connections of callers.
    pub(crate) connections: Cell<usize>,
    /// Most open connections of callers.
    pub(crate) max_connections: Cell<usize>,
    /// Time from the signal to stop until the process is killed.
    pub(crate) grace: Cell<Duration>,
    next_request: Cell<u64>,
}

impl<D: Dialect> Relay<D> {
    /// A node that knows nothing yet.
    pub(crate) fn new(
        settings: RelaySettings,
        dialect: D,
        metrics: Metrics,
        executor: Rc<LocalExecutor<'static>>,
        (wake_digests, lease_requests, orders): (Sender<()>, Sender<()>, Sender<Effect>),
    ) -> Self {
        let clock = BootClock::start();
        Self {
            gate: RefCell::new(Gate::new(settings.gate.clone())),
            clock,
            dialect,
            pool: Pool::new(clock),
            peers: RefCell::default(),
            metrics,
            log: DecisionLog::new(clock),
            executor,
            wake_digests,
            lease_requests,
            orders,
            stopping: Cell::new(false),
            close_idle: Cell::new(false),
            in_flight: Cell::new(0),
            connections: Cell::new(0),
            max_connections: Cell::new(settings.connections),
            grace: Cell::new(settings.grace),
            next_request: Cell::new(1),
            settings,
        }
    }

    /// Takes one event to the reducer and does what concerns no single caller.
    pub(crate) fn step(&self, event: Event) -> Vec<Effect> {
        let effects = self.gate.borrow_mut().step(self.clock.now(), event);
        for effect in &effects {
            match effect {
                Effect::ReleaseHandle(handle) => self.release_handle(handle.clone()),
                // A full channel means that it is being asked for.
                Effect::AcquireLease => drop(self.lease_requests.try_send(())),
                Effect::Order { .. } => self.enqueue_order(effect.clone()),
                // A full channel means that the sender is already awake.
                Effect::PublishDigest => drop(self.wake_digests.try_send(())),
                _ => {}
            }
        }
        effects
    }

    /// Takes over new settings without touching a call. Addresses stay as they are bound.
    pub(crate) fn reload(&self, new: RelaySettings) {
        let old = &self.settings;
        let moved = (old.front, old.ready, old.control) != (new.front, new.ready, new.control);
        log::info!(connections = new.connections, grace_ms = new.grace.as_millis() as u64, moved; "settings reloaded; changed addresses need a restart");
        self.max_connections.set(new.connections);
        self.grace.set(new.grace);
        self.step(Event::Settings(new.gate));
    }

    pub(crate) fn next_id(&self) -> RequestId {
        let id = self.next_request.get();
        self.next_request.set(id + 1);
        RequestId(id)
    }

    pub(crate) fn is_ready(&self) -> bool {
        !self.stopping.get() && self.gate.borrow().is_ready()
    }

    pub(crate) fn me(&self) -> Peer {
        Peer {
            vm: self.settings.gate.vm.clone(),
            calls: self.settings.control.unwrap_or(self.settings.digests),
            digests: self.settings.digests,
        }
    }

    /// All that this node knows.
    pub(crate) fn snapshot(&self) -> Snapshot {
        let gate = self.gate.borrow();
        let targets = gate.targets().all().iter().map(|t| t.spec.clone());
        Snapshot {
            routing: gate.routing().clone(),
            targets: targets.collect(),
            peers: self.peers.borrow().all().to_vec(),
            suspects: gate.suspects(self.clock.now()),
        }
    }

    /// Takes over which nodes there are.
    pub(crate) fn merge_peers(&self, list: Vec<Peer>) {
        let mut peers = self.peers.borrow_mut();
        list.into_iter().for_each(|p| peers.upsert(p));
        let nodes = peers.all().len();
        drop(peers);
        self.step(Event::NodeCount(nodes));
    }

    fn enqueue_order(&self, order: Effect) {
        if self.orders.try_send(order).is_err() {
            log::warn!("an order was dropped, since too many wait; it is planned again");
        }
    }

    fn release_handle(&self, handle: KvHandle) {
        let Ok(addr) = handle.addr.parse::<SocketAddr>() else {
            return;
        };
        let (method, path) = self.dialect.free_request(&handle);
        let request =
            format!("{method} {path} HTTP/1.1\r\nhost: {addr}\r\nconnection: close\r\n\r\n");
        let release = async move {
            let response = timeout(RELEASE_TIMEOUT, async {
                let mut conn = crate::Connection::open(addr).await?;
                conn.write_all(request.as_bytes()).await?;
                conn.read_some(1).await
            });
            if !matches!(response.await, Some(Ok(_))) {
                log::debug!(addr:%; "a handle could not be freed; it lapses by itself");
            }
        };
        self.executor.spawn(release).detach();
    }
}
