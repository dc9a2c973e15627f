//! State of a node, and execution of the gate's effects.

use crate::{
    BodyBudget, BootClock, Connection, Dialect, Metrics, Peer, Peers, PlacementMode, RelaySettings,
    ResponseHead, Snapshot,
    attempt::MAX_HEAD_BYTES,
    decision_log::DecisionLog,
    duty_queues::DutySenders,
    exit_signal::ExitSignal,
    io_error::malformed,
    origin_query::OriginQuery,
    placements::{Datagram, PLACED_METHOD, PlacementWaiters, SCHEDULE_METHOD, scheduler_nodes},
    pool::Pool,
    probe::{Listener, listener},
    timeout::timeout,
};
use async_channel::Sender;
use rw_gate::{
    DutyPacer, Effect, Event, FleetNode, Gate, KvHandle, ProbeTarget, RecordRequest,
    TargetIncarnation,
};
use rw_types::RequestId;
use smol::LocalExecutor;
use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    rc::{Rc, Weak},
    time::Duration,
};

/// Maximum number of other targets that are connected to before one counts as crashed.
const MAX_WITNESSES: usize = 2;
/// The same if connections to the target are refused: that takes no time, and neighbours may have crashed with
/// it.
const MAX_REFUSING_WITNESSES: usize = 8;
/// Room for held responses, as a divisor of that for the bodies of requests.
const ANSWER_SHARE: usize = 4;
/// Timeout for releasing a handle; a handle that is not released expires by itself.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A node that forwards calls.
///
/// It owns the sockets and the clock. Each thing that happens, such as a call, a response or a
/// digest, becomes an event for [`Gate`], and the relay performs the effects that the gate returns.
/// It reads and writes heads and bodies through the [`Dialect`] of the platform.
#[derive(Debug)]
pub struct Relay<D> {
    pub(crate) settings: RelaySettings,
    pub(crate) gate: RefCell<Gate>,
    pub(crate) clock: BootClock,
    pub(crate) dialect: D,
    pub(crate) pool: Pool,
    pub(crate) peers: RefCell<Peers>,
    /// Room for the bodies of requests.
    pub(crate) bodies: BodyBudget,
    /// Room for responses of unknown length that are held, apart from that for requests: neither may
    /// use up that of the other.
    pub(crate) answers: BodyBudget,
    pub(crate) metrics: Metrics,
    pub(crate) log: DecisionLog,
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    /// Triggers an immediate digest.
    pub(crate) wake_digests: Sender<()>,
    /// Requests the lease on the duties of the fleet.
    pub(crate) request_lease: Sender<u64>,
    /// Queue of records of software versions.
    pub(crate) version_records: Sender<RecordRequest>,
    /// Queue of streams to ask other nodes about.
    pub(crate) origin_asks: Sender<OriginQuery>,
    /// Requests that the registry reads the changes of targets now.
    pub(crate) refresh_targets: Sender<()>,
    /// Queue of messages between nodes and schedulers.
    pub(crate) datagrams: Sender<Datagram>,
    /// Calls that wait for schedulers.
    pub(crate) placements: PlacementWaiters,
    /// Queue of orders to send to targets.
    pub(crate) order_queue: Sender<Effect>,
    /// Queues of the duties towards the platform.
    pub(crate) duties: DutySenders,
    pub(crate) duty_pacer: RefCell<DutyPacer>,
    /// A stop was requested: not ready, but still serving.
    pub(crate) stopping: Cell<bool>,
    /// Whether idle connections are to be closed.
    pub(crate) close_idle: Cell<bool>,
    /// Ends the open calls before the process exits.
    pub(crate) exit: ExitSignal,
    /// Requests whose response is not complete.
    pub(crate) in_flight: Cell<usize>,
    /// Open connections of other nodes that pass on calls.
    pub(crate) delegated: Cell<usize>,
    /// Open caller connections.
    pub(crate) connections: Cell<usize>,
    /// Maximum number of open caller connections.
    pub(crate) max_connections: Cell<usize>,
    /// Time from the stop signal until the process is killed.
    pub(crate) grace: Cell<Duration>,
    /// Age that knowledge of the configuration must not reach, for the registry.
    pub(crate) max_config_age_ms: Rc<Cell<Option<u64>>>,
    /// Whether the keys of client accounts could be checked at the latest tick.
    verifies_keys: Cell<bool>,
    next_request: Cell<u64>,
    /// Itself, for tasks that outlive a call.
    weak: Weak<Self>,
}

/// Channels to the tasks that perform the effects that concern no single call.
#[derive(Debug)]
pub(crate) struct Senders {
    pub(crate) wake_digests: Sender<()>,
    pub(crate) request_lease: Sender<u64>,
    pub(crate) version_records: Sender<RecordRequest>,
    pub(crate) origin_asks: Sender<OriginQuery>,
    pub(crate) refresh_targets: Sender<()>,
    pub(crate) datagrams: Sender<Datagram>,
    pub(crate) order_queue: Sender<Effect>,
    pub(crate) duties: DutySenders,
}

impl<D: Dialect> Relay<D> {
    /// Creates a node that has no configuration, targets or peers yet.
    pub(crate) fn new(
        settings: RelaySettings,
        dialect: D,
        metrics: Metrics,
        executor: Rc<LocalExecutor<'static>>,
        senders: Senders,
    ) -> Rc<Self> {
        let clock = BootClock::start();
        Rc::new_cyclic(|weak| Self {
            gate: RefCell::new(Gate::new(settings.gate.clone())),
            clock,
            dialect,
            pool: Pool::new(clock),
            peers: RefCell::default(),
            bodies: BodyBudget::new(settings.body_bytes),
            answers: BodyBudget::new(settings.body_bytes / ANSWER_SHARE),
            metrics,
            log: DecisionLog::new(clock),
            executor,
            wake_digests: senders.wake_digests,
            request_lease: senders.request_lease,
            version_records: senders.version_records,
            origin_asks: senders.origin_asks,
            refresh_targets: senders.refresh_targets,
            datagrams: senders.datagrams,
            placements: PlacementWaiters::default(),
            order_queue: senders.order_queue,
            duties: senders.duties,
            duty_pacer: RefCell::default(),
            stopping: Cell::new(false),
            close_idle: Cell::new(false),
            exit: ExitSignal::default(),
            in_flight: Cell::new(0),
            delegated: Cell::new(0),
            connections: Cell::new(0),
            max_connections: Cell::new(settings.connections),
            grace: Cell::new(settings.grace),
            max_config_age_ms: Rc::new(Cell::new(settings.gate.max_config_age_ms())),
            verifies_keys: Cell::new(true),
            next_request: Cell::new(1),
            weak: weak.clone(),
            settings,
        })
    }

    /// Passes an event to the gate, and performs the effects that concern no single call. Returns
    /// all effects.
    pub(crate) fn step(&self, event: Event) -> Vec<Effect> {
        let effects = self.gate.borrow_mut().step(self.clock.now(), event);
        for effect in &effects {
            match effect {
                Effect::ReleaseHandle(handle) => self.release_handle(handle.clone()),
                Effect::AcquireLease => {
                    let known = self.gate.borrow().highest_token();
                    // A full channel means that a request is already pending.
                    let _already_pending = self.request_lease.try_send(known);
                }
                Effect::RecordVersions(request) => self.record_versions(request.clone()),
                Effect::ProbeTarget(target) => self.probe(target.clone()),
                Effect::Order { .. } => self.enqueue_order(effect.clone()),
                Effect::OrderSize { service, .. } => self.log_size_order(service, effect),
                // A full channel means that a digest is already triggered.
                Effect::PublishDigest => drop(self.wake_digests.try_send(())),
                Effect::RequestPlacement { vm, message, .. }
                | Effect::ReportEnds { vm, message } => {
                    self.send_message(vm, SCHEDULE_METHOD, message);
                }
                Effect::AnswerPlacement { vm, reply } => {
                    self.send_message(vm, PLACED_METHOD, reply);
                }
                effect => self.duties.enqueue(effect),
            }
        }
        effects
    }

    /// Applies new settings without affecting calls in flight. Listen addresses stay as they are
    /// bound.
    pub(crate) fn reload(&self, new: RelaySettings) {
        let old = &self.settings;
        let moved = (old.front, old.ready, old.control) != (new.front, new.ready, new.control);
        log::info!(connections = new.connections, grace_ms = new.grace.as_millis() as u64, moved; "settings reloaded; changed addresses need a restart");
        self.max_connections.set(new.connections);
        self.bodies.set_total(new.body_bytes);
        self.answers.set_total(new.body_bytes / ANSWER_SHARE);
        self.grace.set(new.grace);
        self.max_config_age_ms.set(new.gate.max_config_age_ms());
        self.step(Event::Settings(new.gate));
    }

    /// Logs when this node begins or ceases to know which keys of client accounts are valid.
    pub(crate) fn log_key_checks(&self) {
        let gate = self.gate.borrow();
        let verifies_keys = gate.can_verify_keys(self.clock.now());
        if self.verifies_keys.replace(verifies_keys) == verifies_keys {
            return;
        }
        let version = gate.routing().version;
        match verifies_keys {
            true => log::info!(version; "configuration confirmed: keys are checked again"),
            false => {
                log::warn!(version, max_age_ms:? = self.max_config_age_ms.get(); "configuration not confirmed for too long: calls with keys are refused until the store confirms it")
            }
        }
    }

    pub(crate) fn next_id(&self) -> RequestId {
        let id = self.next_request.get();
        self.next_request.set(id + 1);
        RequestId(id)
    }

    pub(crate) fn is_ready(&self) -> bool {
        let gate = self.gate.borrow();
        !self.stopping.get() && gate.is_ready() && !gate.defers_to_peers(self.clock.now())
    }

    pub(crate) fn me(&self) -> Peer {
        Peer {
            vm: self.settings.gate.vm.clone(),
            centre: self.settings.gate.centre.clone(),
            calls: self.settings.control.unwrap_or(self.settings.digests),
            digests: self.settings.digests,
            digest_bytes_per_s: self.settings.digest_bytes_per_s,
            schedules: self.settings.placement == PlacementMode::Scheduler,
        }
    }

    /// State that this node hands to a node that is starting.
    pub(crate) fn snapshot(&self) -> Snapshot {
        let gate = self.gate.borrow();
        let targets = gate.targets().all().iter().map(|t| t.spec.clone());
        Snapshot {
            routing: gate.routing().clone(),
            targets: targets.collect(),
            peers: self.peers.borrow().all().to_vec(),
            suspects: gate.suspects(self.clock.now()),
            parts: gate.part_suspects(self.clock.now()),
            leaving: gate.leaving_targets(),
            ended: gate.ended_targets(),
            proved: gate.proved_targets(),
            limits: gate.rate_limits(self.clock.now()),
            token: gate.highest_token(),
        }
    }

    /// Adds or updates the nodes in `list`.
    pub(crate) fn merge_peers(&self, list: Vec<Peer>) {
        let mut peers = self.peers.borrow_mut();
        list.into_iter().for_each(|p| peers.upsert(p));
        let nodes = peers.all().iter().map(|p| FleetNode {
            vm: p.vm.clone(),
            centre: p.centre.clone(),
        });
        let nodes = nodes.collect();
        let schedulers = scheduler_nodes(self.settings.placement, &peers);
        drop(peers);
        self.step(Event::NodesListed(nodes));
        self.step(Event::SchedulersListed(schedulers));
    }

    /// Opens a connection to a target, which a later call can use, and reports whether that was
    /// possible.
    fn probe(&self, target: ProbeTarget) {
        let Ok(addr) = target.addr.parse::<SocketAddr>() else {
            return;
        };
        let Some(relay) = self.weak.upgrade() else {
            return;
        };
        let probing = async move {
            relay.open_probe(target, addr).await;
        };
        self.executor.spawn(probing).detach();
    }

    async fn open_probe(&self, target: ProbeTarget, addr: SocketAddr) -> bool {
        let is_reached = self.pool.probe(addr, target.incarnation).await;
        self.metrics.probed(is_reached);
        let target = TargetIncarnation {
            name: target.name,
            incarnation: target.incarnation,
        };
        self.step(Event::TargetProbed { target, is_reached });
        is_reached
    }

    /// Whether this node reaches another target of the service of `target`, where it has found `found`. If
    /// it reaches none, its own links may be the cause. Those that refuse connections meanwhile are held
    /// in doubt as well.
    pub(crate) async fn reaches_others(&self, target: &str, found: Listener) -> bool {
        let max = match found {
            Listener::None => MAX_REFUSING_WITNESSES,
            Listener::Open | Listener::Silent => MAX_WITNESSES,
        };
        let now = self.clock.now();
        let witnesses = self.gate.borrow().witnesses(now, target, max);
        let mut is_reached = witnesses.is_empty();
        let mut ended = Vec::new();
        for witness in witnesses {
            let Ok(addr) = witness.addr.parse() else {
                continue;
            };
            if self.open_probe(witness.clone(), addr).await {
                is_reached = true;
                break;
            }
            if listener(addr).await == Listener::None {
                ended.push(witness);
            }
        }
        for witness in ended {
            self.target_ended(&witness.name, witness.incarnation, is_reached);
        }
        is_reached
    }

    /// Nothing listens at the address of a target. Another process may run there next.
    pub(crate) fn target_ended(&self, name: &str, incarnation: u64, is_witnessed: bool) {
        let target = TargetIncarnation {
            name: name.to_owned(),
            incarnation,
        };
        self.step(Event::TargetEnded {
            target,
            is_witnessed,
        });
    }

    /// Logs a size order with the inputs of the decision.
    fn log_size_order(&self, name: &str, order: &Effect) {
        let gate = self.gate.borrow();
        let inputs = gate.size_inputs();
        let inputs = inputs.iter().find(|(service, _)| *service == name);
        if let (
            Some((service, i)),
            Effect::OrderSize {
                centre,
                count,
                spot,
                token,
                ..
            },
        ) = (inputs, order)
        {
            let w = i.latest;
            log::info!(service, centre = centre.as_str(), count, spot, token, planned = i.planned, needed = i.needed, present = i.present, calls_per_s = w.calls, prefill_engines = w.prefill, streams = w.streams, kv_tokens = w.tokens, refused_per_s = w.refused, running = w.running, seen_s = i.busy_s, heard = i.heard, nodes = i.nodes; "size order queued");
        }
    }

    fn record_versions(&self, request: RecordRequest) {
        if self.version_records.try_send(request).is_err() {
            log::warn!(
                "record of software versions dropped because the queue is full; it is written with the next change"
            );
        }
    }

    fn enqueue_order(&self, order: Effect) {
        if self.order_queue.try_send(order).is_err() {
            log::warn!("order dropped because the queue is full; the gate will plan it again");
        }
    }

    fn release_handle(&self, handle: KvHandle) {
        // It ends with its target, or expires during the pause.
        if !self.takes_requests(&handle.addr) {
            return;
        }
        let Ok(addr) = handle.addr.parse::<SocketAddr>() else {
            return;
        };
        self.record_request(addr);
        let (method, path) = self.dialect.release_request(&handle);
        let request =
            format!("{method} {path} HTTP/1.1\r\nhost: {addr}\r\nconnection: close\r\n\r\n");
        let Some(relay) = self.weak.upgrade() else {
            return;
        };
        let release = async move {
            let response = timeout(RELEASE_TIMEOUT, exchange_release(addr, &request)).await;
            match response {
                Some(Ok(head)) => relay.notice_at(addr, &head),
                Some(Err(_)) | None => {
                    log::debug!(addr:%; "handle could not be released; it expires by itself");
                }
            }
        };
        self.executor.spawn(release).detach();
    }
}

/// Sends the request that releases a handle, and returns the head of the response.
async fn exchange_release(addr: SocketAddr, request: &str) -> io::Result<ResponseHead> {
    let mut conn = Connection::open(addr).await?;
    conn.write_all(request.as_bytes()).await?;
    let bytes = conn.read_head(MAX_HEAD_BYTES).await?;
    let bytes = bytes.map_err(|_| malformed())?;
    ResponseHead::parse(&bytes, "DELETE").map_err(|_| malformed())
}
