//! A client with a pool of idle connections per address.

use crate::{ClientResponse, SendError, expiring_stream::ExpiringStream, watch::Watch};
use async_h1::client::{Encoder, decode};
use http_types::{Body, Method, Request, Response, Url};
use rustix::net::sockopt;
use smol::{
    Timer, future,
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
};
use std::{
    future::Future,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

/// Longest age of a pooled connection, so that one that something between lost track of is left.
const MAX_AGE: Duration = Duration::from_secs(30);
/// Longest idle time of a pooled connection; below the idle limit of the listeners.
const MAX_IDLE: Duration = Duration::from_secs(3);
/// Most idle connections kept for one address.
const MAX_POOLED: usize = 64;
/// Time after which bytes that the other side doesn't acknowledge break a connection, in ms.
const UNACKED_MS: u32 = 1_500;
/// Time without traffic after which the other side is probed.
const PROBE_AFTER: Duration = Duration::from_secs(1);
/// Probes without an answer that break a connection.
const PROBES: u32 = 2;
/// Longest wait for a connection to open.
const CONNECT_LIMIT: Duration = Duration::from_millis(1_000);

/// Whether a call may ride on a pooled connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pooling {
    /// A pooled one or a new one; an idempotent call that can be repeated.
    Reuse,
    /// Always a new one, so that a connection closed meanwhile can't make the outcome unknown.
    Fresh,
}

#[derive(Debug)]
pub(crate) struct Conn {
    pub(crate) stream: TcpStream,
    pub(crate) addr: SocketAddr,
    pub(crate) watch: Watch,
    born: Instant,
    idle_since: Instant,
}

impl Conn {
    fn is_fresh(&self) -> bool {
        self.born.elapsed() < MAX_AGE && self.idle_since.elapsed() < MAX_IDLE
    }

    /// Whether the other side has neither closed nor sent anything that nobody asked for.
    async fn is_quiet(&self) -> bool {
        let mut byte = [0];
        future::poll_once(self.stream.peek(&mut byte))
            .await
            .is_none()
    }
}

#[derive(Debug)]
struct Idle {
    addr: SocketAddr,
    conns: Vec<Conn>,
}

/// Client of any number of addresses; clones share the pool.
#[derive(Debug, Clone, Default)]
pub struct Client {
    idle: Arc<Mutex<Vec<Idle>>>,
}

impl Client {
    /// Sends `request` to `addr` and waits for the answer's head.
    ///
    /// # Errors
    ///
    /// [`SendError::NotSent`] only if no byte can have left; the other kinds leave it open.
    pub async fn send(
        &self,
        addr: &str,
        request: Request,
        pooling: Pooling,
        limit: Duration,
    ) -> Result<ClientResponse, SendError> {
        let addr: SocketAddr = addr.parse().map_err(|_| SendError::BadAddr)?;
        let mut conn = match self.pooled(addr, pooling).await {
            Some(conn) => conn,
            None => open(addr, limit.min(CONNECT_LIMIT)).await?,
        };
        let answer = exchange(conn.stream.clone(), request);
        let answer = conn.watch.within(limit, answer).await;
        let answer = answer.and_then(|a| a.map_err(|_| SendError::Broken));
        let Ok(response) = answer else {
            self.drop_idle(addr);
            return Err(answer.err().unwrap_or(SendError::Broken));
        };
        ClientResponse::check(response, conn, self.clone())
    }

    /// Drops the idle connections to `addr`, which may have gone silent with one that did.
    pub fn close_idle(&self, addr: &str) {
        if let Ok(addr) = addr.parse() {
            self.drop_idle(addr);
        }
    }

    fn drop_idle(&self, addr: SocketAddr) {
        let mut idle = self.lock();
        if let Ok(i) = idle.binary_search_by_key(&addr, |e| e.addr) {
            idle[i].conns.clear();
        }
    }

    /// Sends `request` on a new connection, unless `latest` has passed when its bytes go out.
    ///
    /// The clock is read directly before each write, on the thread that writes.
    ///
    /// # Errors
    ///
    /// As [`Client::send`]; a request cut by `latest` is [`SendError::Broken`], and its target
    /// never sees it whole.
    pub async fn send_before(
        &self,
        addr: &str,
        request: Request,
        latest: Instant,
        limit: Duration,
    ) -> Result<ClientResponse, SendError> {
        let addr: SocketAddr = addr.parse().map_err(|_| SendError::BadAddr)?;
        let conn = open(addr, limit.min(CONNECT_LIMIT)).await?;
        let stream = ExpiringStream::new(conn.stream.clone(), latest);
        let answer = within(limit, async_h1::connect(stream, request)).await?;
        let response = answer.map_err(|_| SendError::Broken)?;
        ClientResponse::check(response, conn, self.clone())
    }

    async fn pooled(&self, addr: SocketAddr, pooling: Pooling) -> Option<Conn> {
        if pooling == Pooling::Fresh {
            return None;
        }
        while let Some(conn) = self.pop(addr) {
            if conn.is_fresh() && conn.is_quiet().await {
                return Some(conn);
            }
        }
        None
    }

    fn pop(&self, addr: SocketAddr) -> Option<Conn> {
        let mut idle = self.lock();
        let i = idle.binary_search_by_key(&addr, |e| e.addr).ok()?;
        idle[i].conns.pop()
    }

    pub(crate) fn put_back(&self, mut conn: Conn) {
        conn.idle_since = Instant::now();
        let mut idle = self.lock();
        let i = match idle.binary_search_by_key(&conn.addr, |e| e.addr) {
            Ok(i) => i,
            Err(i) => {
                let addr = conn.addr;
                idle.insert(
                    i,
                    Idle {
                        addr,
                        conns: Vec::new(),
                    },
                );
                i
            }
        };
        if idle[i].conns.len() < MAX_POOLED {
            idle[i].conns.push(conn);
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Idle>> {
        self.idle
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

/// Sends a request in one piece and reads the head of its answer.
async fn exchange(mut stream: TcpStream, request: Request) -> http_types::Result<Response> {
    let mut encoder = Encoder::new(request);
    let mut bytes = Vec::with_capacity(512);
    encoder.read_to_end(&mut bytes).await?;
    stream.write_all(&bytes).await?;
    decode(stream).await
}

async fn open(addr: SocketAddr, limit: Duration) -> Result<Conn, SendError> {
    let opened = within(limit, TcpStream::connect(addr)).await;
    let stream = match opened {
        Ok(Ok(stream)) => stream,
        _ => return Err(SendError::NotSent),
    };
    // A delayed small segment costs more than the system call.
    stream.set_nodelay(true).map_err(|_| SendError::NotSent)?;
    set_probes(&stream).map_err(|_| SendError::NotSent)?;
    let now = Instant::now();
    Ok(Conn {
        stream,
        addr,
        watch: Watch::new(),
        born: now,
        idle_since: now,
    })
}

/// Lets the operating system break a connection whose other side went silent.
fn set_probes(stream: &TcpStream) -> std::io::Result<()> {
    sockopt::set_tcp_user_timeout(stream, UNACKED_MS)?;
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, PROBE_AFTER)?;
    sockopt::set_tcp_keepintvl(stream, PROBE_AFTER)?;
    sockopt::set_tcp_keepcnt(stream, PROBES)?;
    Ok(())
}

/// Runs `work` for at most `limit`.
async fn within<T>(limit: Duration, work: impl Future<Output = T>) -> Result<T, SendError> {
    let timer = async {
        Timer::after(limit).await;
        Err(SendError::TimedOut)
    };
    future::or(async { Ok(work.await) }, timer).await
}

/// A POST of `body` as JSON to `http://addr path`.
///
/// # Errors
///
/// [`SendError::BadAddr`] if `addr` and `path` make no URL.
pub fn post_json(addr: &str, path: &str, body: Vec<u8>) -> Result<Request, SendError> {
    let url = Url::parse(&format!("http://{addr}{path}")).map_err(|_| SendError::BadAddr)?;
    let mut request = Request::new(Method::Post, url);
    request.set_body(Body::from_bytes(body));
    request.insert_header("content-type", "application/json");
    Ok(request)
}
