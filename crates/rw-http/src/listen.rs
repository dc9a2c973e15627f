//! A listener that bounds what a slow or silent peer can hold.

use crate::Traffic;
use async_h1::server::{ConnectionStatus, Server};
use http_types::{Request, Response, StatusCode};
use smol::{
    Async,
    io::AsyncReadExt as _,
    net::{TcpListener, TcpStream},
};
use std::{
    future::Future,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

/// Limits of one listener.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Longest wait for a request's header, which also bounds idle connections.
    pub header_time: Duration,
    /// Most open connections; more are closed at once.
    pub connections: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_time: Duration::from_secs(10),
            connections: 20_000,
        }
    }
}

/// A bound TCP listener that serves HTTP.
#[derive(Debug)]
pub struct Listener {
    tcp: TcpListener,
    limits: Limits,
    open: Arc<AtomicUsize>,
    traffic: Traffic,
}

impl Listener {
    /// Binds `addr`; port zero lets the kernel choose.
    ///
    /// # Errors
    ///
    /// The error of the operating system, for example that the port is in use.
    pub fn bind(addr: SocketAddr, limits: Limits) -> io::Result<Self> {
        let tcp = Async::<std::net::TcpListener>::bind(addr)?.into();
        Ok(Self {
            tcp,
            limits,
            open: Arc::default(),
            traffic: Traffic::default(),
        })
    }

    /// The address bound.
    ///
    /// # Errors
    ///
    /// The error of the operating system.
    pub fn addr(&self) -> io::Result<SocketAddr> {
        self.tcp.local_addr()
    }

    /// The requests that this listener is busy with.
    #[must_use]
    pub fn traffic(&self) -> Traffic {
        self.traffic.clone()
    }

    /// Serves every connection with `handler` until the future is dropped; connections then end
    /// with their tasks on the global executor.
    pub async fn run<H, F>(&self, handler: H)
    where
        H: Fn(Request) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response> + Send + 'static,
    {
        loop {
            let Ok((stream, _)) = self.tcp.accept().await else {
                // Out of descriptors: wait for some to be freed.
                smol::Timer::after(Duration::from_millis(20)).await;
                continue;
            };
            if self.open.fetch_add(1, Ordering::Relaxed) >= self.limits.connections {
                self.open.fetch_sub(1, Ordering::Relaxed);
                continue;
            }
            let open = self.open.clone();
            let (handler, traffic) = (handler.clone(), self.traffic.clone());
            smol::spawn(async move {
                serve(stream, handler, traffic).await;
                open.fetch_sub(1, Ordering::Relaxed);
            })
            .detach();
        }
    }
}

async fn serve<H, F>(stream: TcpStream, handler: H, traffic: Traffic)
where
    H: Fn(Request) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let held = Mutex::new(None);
    let endpoint = |request: Request| {
        *held.lock().unwrap_or_else(PoisonError::into_inner) = Some(traffic.enter());
        let answer = handler(request);
        let traffic = &traffic;
        async move {
            let mut response = answer.await;
            if traffic.is_closing() {
                response.insert_header("connection", "close");
            }
            Ok(response)
        }
    };
    let mut server = Server::new(stream, endpoint);
    // A connection that breaks is the peer's matter; the handler has counted what it ran.
    while let Ok(ConnectionStatus::KeepAlive) = server.accept_one().await {
        // The last byte of the answer is written only now.
        held.lock().unwrap_or_else(PoisonError::into_inner).take();
    }
}

/// Reads a request's body of at most `limit` bytes.
///
/// # Errors
///
/// 413 if it is longer, 400 if it is cut.
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
