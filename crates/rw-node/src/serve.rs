//! Binds the listeners of a node and serves until it is shut down.

use crate::{
    Metrics, NodeSettings, Shell, operators::operator_module, peers::peer_module, rpc::handle_rpc,
};
use displaydoc::Display;
use rw_core::{CoreSettings, Event};
use rw_http::{Limits, Listener, Traffic, Workers};
use rw_types::BootId;
use smol::future;
use std::{future::Future, io, net::SocketAddr, sync::Arc, time::Duration};

/// Interval between checks during shutdown for requests that are still in progress.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Why a node can't serve. The message names the remedy.
#[derive(Debug, Display)]
pub enum ServeError {
    /// {setting} {addr} can't be bound: {error}; choose a free address of this VM
    Bind {
        /// Setting that names the address.
        setting: &'static str,
        /// Address.
        addr: SocketAddr,
        /// Error of the operating system.
        error: io::Error,
    },
    /// the threads set by --threads can't be started: {0}; set a lower number
    Threads(io::Error),
    /// the operating system provided no random numbers; check that the VM has an entropy source
    Random,
    /// a metric or RPC method can't be registered: {0}; this is a bug, please report it
    Registration(String),
}

impl std::error::Error for ServeError {}

/// A node whose listeners are bound but not serving yet.
#[derive(Debug)]
pub struct BoundNode {
    shell: Arc<Shell>,
    callers: Listener,
    peers: Listener,
    operators: Listener,
    workers: Workers,
}

impl BoundNode {
    /// Starts the worker threads and binds all listeners.
    ///
    /// # Errors
    ///
    /// Any [`ServeError`].
    pub fn bind(settings: NodeSettings) -> Result<Self, ServeError> {
        let workers = Workers::start(settings.threads).map_err(ServeError::Threads)?;
        let limits = Limits::default();
        let callers =
            bind("--listen", settings.listen, settings.limits)?.with_workers(workers.clone());
        let peers = bind("--peer-listen", settings.peer_listen, limits)?;
        let operators = bind("--operator-listen", settings.operator_listen, limits)?;
        let boot = getrandom::u64().map_err(|_| ServeError::Random)?;
        let core = CoreSettings {
            vm: settings.vm.clone(),
            boot: BootId(boot),
            centre: settings.centre.clone(),
            seed: boot,
            lease_ms: settings.lease_ttl.as_millis() as u64,
            drift_ms: settings.clock_drift.as_millis() as u64,
            order_ttl_ms: settings.order_ttl.as_millis() as u64,
            stale_ms: settings.max_report_age.as_millis() as u64,
            policy: settings.policy.clone(),
            ..CoreSettings::default()
        };
        let metrics = Metrics::new().map_err(|e| ServeError::Registration(e.to_string()))?;
        let shell = Arc::new(Shell::new(settings, core, metrics));
        Ok(Self {
            shell,
            callers,
            peers,
            operators,
            workers,
        })
    }

    /// Returns the addresses of the listeners for callers, peers and operators, in this order.
    ///
    /// # Errors
    ///
    /// Any error of the operating system.
    pub fn addrs(&self) -> io::Result<[SocketAddr; 3]> {
        Ok([
            self.callers.addr()?,
            self.peers.addr()?,
            self.operators.addr()?,
        ])
    }

    /// Runs the node on its worker threads, see [`BoundNode::run`].
    ///
    /// # Errors
    ///
    /// [`ServeError::Registration`].
    pub fn run_blocking(
        self,
        stop: impl Future<Output = ()> + Send + 'static,
    ) -> Result<(), ServeError> {
        let workers = self.workers.clone();
        workers.block_on(self.run(stop))
    }

    /// Returns the node's shell.
    #[must_use]
    pub fn shell(&self) -> &Arc<Shell> {
        &self.shell
    }

    /// Serves until `stop` completes, then reports not ready, drains all requests and returns.
    ///
    /// # Errors
    ///
    /// [`ServeError::Registration`].
    pub async fn run(self, stop: impl Future<Output = ()>) -> Result<(), ServeError> {
        let registration =
            |e: jsonrpsee_core::RegisterMethodError| ServeError::Registration(e.to_string());
        let peer_calls = Arc::new(peer_module(self.shell.clone()).map_err(registration)?);
        let operator_calls = Arc::new(operator_module(self.shell.clone()).map_err(registration)?);
        let shell = self.shell.clone();
        let callers = self
            .callers
            .run(move |request| shell.clone().handle_caller(request));
        let shell = self.shell.clone();
        let peers = self.peers.run(move |request| {
            let (shell, calls) = (shell.clone(), peer_calls.clone());
            async move { handle_rpc(&shell, &calls, request).await }
        });
        let shell = self.shell.clone();
        let operators = self.operators.run(move |request| {
            let (shell, calls) = (shell.clone(), operator_calls.clone());
            async move { handle_rpc(&shell, &calls, request).await }
        });
        let platform = future::zip(
            self.shell.clone().poll_vms(),
            self.shell.clone().sync_config(),
        );
        let loops = future::zip(platform, self.shell.clone().poll_loads());
        let loops = future::zip(loops, self.shell.clone().run_authority());
        let serving = async {
            future::zip(future::zip(callers, peers), future::zip(operators, loops)).await;
        };
        let traffic = [self.callers.traffic(), self.peers.traffic()];
        let stopping = async {
            stop.await;
            shut_down(&self.shell, &traffic).await;
        };
        future::or(serving, stopping).await;
        Ok(())
    }
}

async fn shut_down(shell: &Shell, traffic: &[Traffic]) {
    log::info!("shutting down: not ready; new requests are refused after the grace period");
    shell.step(Event::ShuttingDown);
    smol::Timer::after(shell.settings.shutdown_grace).await;
    shell.step(Event::Close);
    traffic.iter().for_each(Traffic::drain);
    // A connection is busy until the last byte of its response is written.
    while shell.lock().open_requests() > 0 || traffic.iter().any(|t| t.in_flight() > 0) {
        smol::Timer::after(DRAIN_POLL_INTERVAL).await;
    }
    shell.write_handover().await;
    log::info!("shut down: every request has its response");
}

fn bind(setting: &'static str, addr: SocketAddr, limits: Limits) -> Result<Listener, ServeError> {
    Listener::bind(addr, limits).map_err(|error| ServeError::Bind {
        setting,
        addr,
        error,
    })
}
