//! Runs a node from startup to graceful shutdown.

use crate::{
    Dialect, DutyApi, Metrics, Registry, RegistryRequests, RegistryUpdate, Relay, RelaySettings,
    duties::SIZE_WORKERS,
    duty_queues::duty_queues,
    endpoint_server::{MetricsText, Readiness},
    front::listen,
    peers::PeerCalls,
    relay::Senders,
};
use async_channel::Receiver;
use displaydoc::Display;
use rw_gate::{Effect, Event};
use smol::{Async, LocalExecutor, Timer, future};
use std::{
    future::Future,
    io,
    net::{SocketAddr, TcpListener, UdpSocket},
    rc::Rc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// How long after the stop signal new connections may still arrive: the load balancer checks
/// readiness once a second and acts on the second failed check.
const DRAIN_DELAY: Duration = Duration::from_millis(2_800);
/// How long before the end of the grace period the process ends its work.
const EXIT_MARGIN: Duration = Duration::from_millis(400);
/// How long calls that are open then may take to be answered.
const ANSWER_TIME: Duration = Duration::from_millis(200);
/// Interval between checks during shutdown whether all responses are complete.
const DRAIN_POLL: Duration = Duration::from_millis(50);
/// Interval between prunings of the connection pool.
const PRUNE_INTERVAL: Duration = Duration::from_secs(2);
/// Capacity of the order queue.
const ORDER_QUEUE: usize = 64;
/// Maximum number of streams that wait until other nodes are asked about them.
const ASK_QUEUE: usize = 256;
/// Maximum number of messages to schedulers and answers that wait to be sent.
const MESSAGE_QUEUE: usize = 1_024;
/// Maximum number of records of software versions that wait to be written.
const RECORD_QUEUE: usize = 64;
/// Interval between ticks of the gate.
const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Capacity of the queue of registry updates.
const UPDATE_QUEUE: usize = 1_024;

/// Why a node can't run.
#[derive(Debug, Display)]
pub enum ServeError {
    /// {0} can't be bound: {1}; choose a free address of this VM
    Bind(SocketAddr, io::Error),
    /// a metric is registered twice: {0}; this is a bug
    Metrics(String),
}

impl std::error::Error for ServeError {}

/// A node whose listen addresses are bound.
#[derive(Debug)]
pub struct BoundRelay {
    settings: RelaySettings,
    front: Async<TcpListener>,
    ready: Async<TcpListener>,
    metrics: Async<TcpListener>,
    control: Option<Async<TcpListener>>,
    digests: Async<UdpSocket>,
    delegated: Async<TcpListener>,
}

impl BoundRelay {
    /// Binds all listen addresses.
    ///
    /// # Errors
    ///
    /// [`ServeError::Bind`] if an address can't be bound.
    pub fn bind(settings: RelaySettings) -> Result<Self, ServeError> {
        let tcp = |addr| listen(addr).map_err(|e| ServeError::Bind(addr, e));
        let udp = Async::<UdpSocket>::bind(settings.digests);
        let digests = udp.map_err(|e| ServeError::Bind(settings.digests, e))?;
        Ok(Self {
            front: tcp(settings.front)?,
            ready: tcp(settings.ready)?,
            metrics: tcp(settings.metrics)?,
            control: settings.control.map(tcp).transpose()?,
            digests,
            delegated: tcp(settings.digests)?,
            settings,
        })
    }

    /// Serves on this thread until `stop` completes and every response is complete or the grace
    /// period ends. `reload` runs concurrently and sends new settings to `changed`.
    ///
    /// # Errors
    ///
    /// [`ServeError::Metrics`] if a metric is registered twice.
    pub fn run<D: Dialect, R: Registry, A: DutyApi>(
        self,
        dialect: D,
        (registry, duty_api): (R, A),
        (reload, changed): (impl Future<Output = ()> + 'static, Receiver<RelaySettings>),
        stop: impl Future<Output = ()>,
    ) -> Result<(), ServeError> {
        let executor = Rc::new(LocalExecutor::new());
        let metrics = Metrics::new().map_err(|e| ServeError::Metrics(e.to_string()))?;
        let (wake_digests, digest_wakes) = async_channel::bounded(1);
        let (request_lease, lease_requests) = async_channel::bounded(1);
        let (order_queue, orders) = async_channel::bounded(ORDER_QUEUE);
        let (version_records, records) = async_channel::bounded(RECORD_QUEUE);
        let (origin_asks, asks) = async_channel::bounded(ASK_QUEUE);
        let (refresh_targets, refreshes) = async_channel::bounded(1);
        let (duties, duty_calls) = duty_queues();
        let (datagrams, messages) = async_channel::bounded(MESSAGE_QUEUE);
        let senders = Senders {
            wake_digests,
            request_lease,
            version_records,
            origin_asks,
            refresh_targets,
            datagrams,
            order_queue,
            duties,
        };
        let relay = Relay::new(self.settings, dialect, metrics, executor.clone(), senders);
        let requests = RegistryRequests {
            leases: lease_requests,
            records,
            usage: duty_calls.records,
            refreshes,
            clock: relay.clock,
            max_config_age_ms: relay.max_config_age_ms.clone(),
        };
        relay.step(Event::TimeOfDay { unix_ms: unix_ms() });
        let (sender, updates) = async_channel::bounded(UPDATE_QUEUE);
        let spawn = |work| executor.spawn(work).detach();
        spawn_servers(&executor, &relay, self.front, self.ready, self.metrics);
        if let Some(control) = self.control {
            executor
                .spawn(relay.clone().serve_endpoint(control, PeerCalls))
                .detach();
        }
        executor
            .spawn(
                relay
                    .clone()
                    .gossip(self.digests, digest_wakes, asks, messages),
            )
            .detach();
        let delegated = relay.clone().accept_delegated(self.delegated);
        executor.spawn(delegated).detach();
        executor.spawn(relay.clone().query_seeds()).detach();
        // Boxed, because a task is moved several times before it runs, on the stack.
        let watching = Box::pin(registry.watch(relay.me(), sender, requests));
        executor.spawn(watching).detach();
        spawn(Box::pin(apply_updates(relay.clone(), updates)));
        executor.spawn(reload).detach();
        executor.spawn(relay.clone().send_orders(orders)).detach();
        let calls = (duty_calls.reports, duty_calls.sizes);
        spawn_duties(&executor, &relay, duty_api, calls);
        let collecting = Box::pin(relay.clone().collect_usage(duty_calls.queries));
        executor.spawn(collecting).detach();
        executor.spawn(tick(relay.clone())).detach();
        executor
            .spawn(apply_settings(relay.clone(), changed))
            .detach();
        let draining = drain(relay, stop);
        smol::block_on(executor.run(draining));
        Ok(())
    }
}

/// Spawns the servers for callers, readiness checks and metrics, and the pruning of the pool.
fn spawn_servers<D: Dialect>(
    executor: &LocalExecutor<'static>,
    relay: &Rc<Relay<D>>,
    front: Async<TcpListener>,
    ready: Async<TcpListener>,
    metrics: Async<TcpListener>,
) {
    executor.spawn(relay.clone().accept(front)).detach();
    let readiness = relay.clone().serve_endpoint(ready, Readiness);
    executor.spawn(readiness).detach();
    let text = relay.clone().serve_endpoint(metrics, MetricsText);
    executor.spawn(text).detach();
    let relay = relay.clone();
    let pruning = async move {
        loop {
            Timer::after(PRUNE_INTERVAL).await;
            relay.pool.prune();
        }
    };
    executor.spawn(pruning).detach();
}

/// Spawns the tasks that send usage reports and size orders. Neither waits for the other.
fn spawn_duties<D: Dialect, A: DutyApi>(
    executor: &LocalExecutor<'static>,
    relay: &Rc<Relay<D>>,
    api: A,
    (reports, sizes): (Receiver<Effect>, Receiver<Effect>),
) {
    let api = Rc::new(api);
    let perform = |calls| Box::pin(relay.clone().perform_duties(api.clone(), calls));
    executor.spawn(perform(reports)).detach();
    for _ in 0..SIZE_WORKERS {
        executor.spawn(perform(sizes.clone())).detach();
    }
}

/// The time of day, in milliseconds since the start of 1970.
fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| d.as_millis() as u64)
}

async fn tick<D: Dialect>(relay: Rc<Relay<D>>) {
    loop {
        let due = Instant::now() + TICK_INTERVAL;
        Timer::at(due).await;
        relay.metrics.timer_fired(due.elapsed());
        relay.step(Event::Tick);
        relay.log_key_checks();
    }
}

async fn apply_updates<D: Dialect>(relay: Rc<Relay<D>>, updates: Receiver<RegistryUpdate>) {
    while let Ok(update) = updates.recv().await {
        match update {
            RegistryUpdate::Event(event) => drop(relay.step(*event)),
            RegistryUpdate::RowSkipped => relay.metrics.row_skipped(),
            RegistryUpdate::Peers(peers) => relay.merge_peers(peers),
        }
    }
}

async fn apply_settings<D: Dialect>(relay: Rc<Relay<D>>, changed: Receiver<RelaySettings>) {
    while let Ok(settings) = changed.recv().await {
        relay.reload(settings);
    }
}

/// Reports not ready, serves calls that still arrive, and returns once every response is complete
/// and every call is collected for a usage report, or the grace period ends. Calls without a response
/// then get one that says what is known of them.
async fn drain<D: Dialect>(relay: Rc<Relay<D>>, stop: impl Future<Output = ()>) {
    stop.await;
    let stopped = Instant::now();
    let grace = relay.grace.get();
    relay.stopping.set(true);
    log::info!(busy = relay.in_flight.get(), grace_ms = grace.as_millis() as u64; "stopping: not ready, calls in flight continue");
    let working = grace.saturating_sub(EXIT_MARGIN);
    let draining = DRAIN_DELAY.min(working);
    let now = relay.clock.now();
    relay.step(Event::ShuttingDown {
        drained: now.plus(draining.as_millis() as u64),
        end: now.plus(working.as_millis() as u64),
    });
    Timer::after(draining).await;
    relay.close_idle.set(true);
    wait_idle(&relay, stopped + working).await;
    let unfinished = relay.in_flight.get();
    relay.exit.raise();
    wait_idle(&relay, stopped + working + ANSWER_TIME).await;
    let unanswered = relay.in_flight.get();
    log::info!(unfinished, unanswered; "stopped");
    future::yield_now().await;
}

/// Waits until every response is complete and every call is collected for a usage report, or until
/// `deadline`.
async fn wait_idle<D: Dialect>(relay: &Relay<D>, deadline: Instant) {
    while Instant::now() < deadline {
        let is_idle = relay.in_flight.get() == 0 && relay.connections.get() == 0;
        if is_idle && !relay.gate.borrow().has_uncollected_usage() {
            return;
        }
        Timer::after(DRAIN_POLL).await;
    }
}
