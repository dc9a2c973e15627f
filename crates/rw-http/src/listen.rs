//! A listener that limits the resources that a slow or unresponsive peer can hold.

use crate::{Limits, Traffic, Workers, conn::Conn, exchange::serve_conn, registry::Registry};
use http_types::{Request, Response, StatusCode};
use smol::{Async, Timer, future, io::AsyncReadExt as _, net::TcpListener};
use std::{
    future::Future,
    io,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

/// Maximum number of connections waiting to be accepted; the kernel's own limit may be lower.
const BACKLOG: i32 = 4_096;
/// Interval between checks for connections that have exceeded a time limit.
const SWEEP_INTERVAL: Duration = Duration::from_millis(200);
/// Pause after an `accept` that failed because the process is out of file descriptors.
const ACCEPT_RETRY: Duration = Duration::from_millis(5);

/// A bound TCP listener that serves HTTP.
#[derive(Debug)]
pub struct Listener {
    tcp: TcpListener,
    limits: Limits,
    workers: Workers,
    open: Arc<Registry>,
    traffic: Traffic,
}

impl Listener {
    /// Binds `addr`; port zero lets the kernel choose.
    ///
    /// # Errors
    ///
    /// The error of the operating system, for example that the port is in use.
    pub fn bind(addr: SocketAddr, limits: Limits) -> io::Result<Self> {
        let tcp = Async::<std::net::TcpListener>::bind(addr)?;
        // With the standard library's backlog of 128, the kernel drops part of a burst of
        // connections, whose callers retransmit only after a second.
        rustix::net::listen(&tcp, BACKLOG)?;
        let tcp = tcp.into();
        Ok(Self {
            tcp,
            limits,
            workers: Workers::default(),
            open: Arc::default(),
            traffic: Traffic::default(),
        })
    }

    /// Distributes connections over `workers` instead of using the global executor.
    #[must_use]
    pub fn with_workers(mut self, workers: Workers) -> Self {
        self.workers = workers;
        self
    }

    /// The address that the listener is bound to.
    ///
    /// # Errors
    ///
    /// The error of the operating system.
    pub fn addr(&self) -> io::Result<SocketAddr> {
        self.tcp.local_addr()
    }

    /// In-flight count and drain flag of this listener.
    #[must_use]
    pub fn traffic(&self) -> Traffic {
        self.traffic.clone()
    }

    /// Serves every connection with `handler` until the future is dropped; connections accepted
    /// before then are served until their own tasks end.
    pub async fn run<H, F>(&self, handler: H)
    where
        H: Fn(Request) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response> + Send + 'static,
    {
        future::or(self.accept(handler), self.sweep()).await;
    }

    async fn accept<H, F>(&self, handler: H)
    where
        H: Fn(Request) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response> + Send + 'static,
    {
        let start = Instant::now();
        for id in 0.. {
            let stream = loop {
                match self.tcp.accept().await {
                    Ok((stream, _)) => break stream,
                    // Out of file descriptors: close an idle connection to make room.
                    Err(_) => {
                        self.open.close_idle();
                        Timer::after(ACCEPT_RETRY).await;
                    }
                }
            };
            let _ = stream.set_nodelay(true);
            let conn = Arc::new(Conn::new(id, stream, self.limits, start));
            let full = self.open.add(conn.clone()) > self.limits.max_connections;
            if full && !self.open.close_idle() {
                self.open.remove(id);
                continue;
            }
            conn.begin();
            let (open, handler, traffic) =
                (self.open.clone(), handler.clone(), self.traffic.clone());
            let serving = async move {
                serve_conn(conn, handler, traffic).await;
                open.remove(id);
            };
            self.workers.spawn(serving).detach();
        }
    }

    async fn sweep(&self) {
        loop {
            Timer::after(SWEEP_INTERVAL).await;
            self.open.sweep();
        }
    }
}

/// Reads the body of a request, which may have at most `limit` bytes.
///
/// # Errors
///
/// 413 if the body is longer than `limit`, 400 if it is truncated.
pub async fn read_body(request: &mut Request, limit: u64) -> Result<Vec<u8>, StatusCode> {
    let declared = request.len();
    if declared.is_some_and(|n| n as u64 > limit) {
        return Err(StatusCode::PayloadTooLarge);
    }
    let mut body = Vec::with_capacity(declared.unwrap_or(0));
    let mut bounded = request.take_body().take(limit + 1);
    let read = bounded.read_to_end(&mut body).await;
    read.map_err(|_| StatusCode::BadRequest)?;
    if body.len() as u64 > limit {
        return Err(StatusCode::PayloadTooLarge);
    }
    if declared.is_some_and(|n| n != body.len()) {
        return Err(StatusCode::BadRequest);
    }
    Ok(body)
}
