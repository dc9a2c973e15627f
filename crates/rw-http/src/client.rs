//! HTTP client with a pool of idle connections per address.

use crate::{
    ClientResponse, SendError, UnackedLimit,
    expiring_stream::ExpiringStream,
    head_limit::{HeadBudget, HeadLimited},
    keepalive::set_keepalive,
    lazy_timer::LazyTimer,
};
use async_h1::client::{Encoder, decode};
use http_types::{Body, Method, Request, Response, Url};
use smol::{
    Timer, future,
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
};
use std::{
    future::Future,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

/// Maximum age of a pooled connection, so that one whose state was lost by a middlebox on the path
/// is not used for long.
const MAX_AGE: Duration = Duration::from_secs(30);
/// Maximum idle time of a pooled connection; below the idle timeout of the listeners.
const MAX_IDLE: Duration = Duration::from_secs(3);
/// Maximum number of idle connections kept per address.
const MAX_POOLED: usize = 64;
/// Maximum timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Whether a request may use a pooled connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pooling {
    /// A pooled connection if there is one; for idempotent requests, which can be retried.
    Reuse,
    /// Always a new connection: a pooled one may just have been closed by the server, which would
    /// leave the outcome unknown.
    Fresh,
}

/// A connection to a server, in use or in the pool.
#[derive(Debug)]
pub(crate) struct ClientConn {
    pub(crate) stream: TcpStream,
    pub(crate) addr: SocketAddr,
    pub(crate) timer: LazyTimer,
    unacked: UnackedLimit,
    /// Whether an earlier response was read from it.
    pub(crate) is_used: bool,
    opened: Instant,
    idle_since: Instant,
}

impl ClientConn {
    fn begin_message(&mut self, bytes: usize) {
        self.unacked.begin_message(&self.stream, bytes);
    }

    fn is_reusable(&self) -> bool {
        self.opened.elapsed() < MAX_AGE && self.idle_since.elapsed() < MAX_IDLE
    }

    /// Whether the server has neither closed the connection nor sent unsolicited data.
    async fn is_clean(&self) -> bool {
        let mut byte = [0];
        future::poll_once(self.stream.peek(&mut byte))
            .await
            .is_none()
    }
}

#[derive(Debug)]
struct IdleConns {
    addr: SocketAddr,
    conns: Vec<ClientConn>,
}

/// HTTP client for any number of addresses; clones share the pool.
#[derive(Debug, Clone, Default)]
pub struct Client {
    idle: Arc<Mutex<Vec<IdleConns>>>,
}

impl Client {
    /// Sends `request` to `addr` and waits for the header of the response. `timeout` applies to
    /// connecting, where it is at most one second, and again to the exchange.
    ///
    /// # Errors
    ///
    /// [`SendError::NotSent`] and [`SendError::InvalidAddr`] only if no byte was sent; after any
    /// other error the server may have received the request.
    pub async fn send(
        &self,
        addr: &str,
        request: Request,
        pooling: Pooling,
        timeout: Duration,
    ) -> Result<ClientResponse, SendError> {
        let addr: SocketAddr = addr.parse().map_err(|_| SendError::InvalidAddr)?;
        let mut conn = match self.pooled(addr, pooling).await {
            Some(conn) => conn,
            None => connect(addr, timeout.min(CONNECT_TIMEOUT)).await?,
        };
        let message = encode(request).await.map_err(|_| SendError::NotSent)?;
        conn.begin_message(message.len());
        let result = exchange(conn.stream.clone(), &message);
        let result = conn.timer.within(timeout, result).await;
        let result = result.and_then(|r| r.map_err(|_| SendError::Broken));
        let Ok((response, budget)) = result else {
            self.drop_idle(addr);
            return Err(result.err().unwrap_or(SendError::Broken));
        };
        ClientResponse::check(response, conn, self.clone(), budget)
    }

    /// Closes the idle connections to `addr`; to be called when a connection to `addr` stopped
    /// responding, because the others may have stopped too.
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

    /// Sends `request` on a new connection, but writes nothing once `deadline` has passed.
    ///
    /// The clock is read immediately before each write, on the thread that writes.
    ///
    /// # Errors
    ///
    /// As [`Client::send`]. [`SendError::Broken`] if `deadline` passed before the request was
    /// completely written; the target then never receives all of it.
    pub async fn send_before(
        &self,
        addr: &str,
        request: Request,
        deadline: Instant,
        timeout: Duration,
    ) -> Result<ClientResponse, SendError> {
        let addr: SocketAddr = addr.parse().map_err(|_| SendError::InvalidAddr)?;
        let mut conn = connect(addr, timeout.min(CONNECT_TIMEOUT)).await?;
        conn.begin_message(request.len().unwrap_or(usize::MAX));
        let stream = ExpiringStream::new(conn.stream.clone(), deadline);
        let stream = HeadLimited::new(stream);
        let budget = stream.budget();
        let result = within(timeout, async_h1::connect(stream, request)).await?;
        let response = result.map_err(|_| SendError::Broken)?;
        ClientResponse::check(response, conn, self.clone(), budget)
    }

    async fn pooled(&self, addr: SocketAddr, pooling: Pooling) -> Option<ClientConn> {
        if pooling == Pooling::Fresh {
            return None;
        }
        while let Some(conn) = self.pop(addr) {
            if conn.is_reusable() && conn.is_clean().await {
                return Some(conn);
            }
        }
        None
    }

    fn pop(&self, addr: SocketAddr) -> Option<ClientConn> {
        let mut idle = self.lock();
        let i = idle.binary_search_by_key(&addr, |e| e.addr).ok()?;
        idle[i].conns.pop()
    }

    pub(crate) fn put_back(&self, mut conn: ClientConn) {
        conn.idle_since = Instant::now();
        conn.is_used = true;
        let mut idle = self.lock();
        let i = match idle.binary_search_by_key(&conn.addr, |e| e.addr) {
            Ok(i) => i,
            Err(i) => {
                let addr = conn.addr;
                idle.insert(
                    i,
                    IdleConns {
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

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<IdleConns>> {
        self.idle
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

/// The bytes of a request.
async fn encode(request: Request) -> io::Result<Vec<u8>> {
    let mut encoder = Encoder::new(request);
    let mut bytes = Vec::with_capacity(512);
    encoder.read_to_end(&mut bytes).await?;
    Ok(bytes)
}

/// Sends a request in one write and reads the header of the response. Returns it with the budget for the
/// body.
async fn exchange(
    mut stream: TcpStream,
    message: &[u8],
) -> http_types::Result<(Response, HeadBudget)> {
    stream.write_all(message).await?;
    let stream = HeadLimited::new(stream);
    let budget = stream.budget();
    let response = decode(stream).await?;
    Ok((response, budget))
}

async fn connect(addr: SocketAddr, timeout: Duration) -> Result<ClientConn, SendError> {
    let opened = within(timeout, TcpStream::connect(addr)).await;
    let stream = match opened {
        Ok(Ok(stream)) => stream,
        _ => return Err(SendError::NotSent),
    };
    // Delaying small segments (Nagle's algorithm) costs more than this system call.
    stream.set_nodelay(true).map_err(|_| SendError::NotSent)?;
    set_keepalive(&stream).map_err(|_| SendError::NotSent)?;
    let unacked = UnackedLimit::new(&stream).map_err(|_| SendError::NotSent)?;
    let now = Instant::now();
    Ok(ClientConn {
        stream,
        addr,
        timer: LazyTimer::new(),
        unacked,
        is_used: false,
        opened: now,
        idle_since: now,
    })
}

/// Runs `work` with a timeout.
async fn within<T>(timeout: Duration, work: impl Future<Output = T>) -> Result<T, SendError> {
    let timer = async {
        Timer::after(timeout).await;
        Err(SendError::TimedOut)
    };
    future::or(async { Ok(work.await) }, timer).await
}

/// A POST request to `http://{addr}{path}` with the JSON text `body`.
///
/// # Errors
///
/// [`SendError::InvalidAddr`] if `addr` and `path` do not form a URL.
pub fn post_json(addr: &str, path: &str, body: Vec<u8>) -> Result<Request, SendError> {
    let url = Url::parse(&format!("http://{addr}{path}")).map_err(|_| SendError::InvalidAddr)?;
    let mut request = Request::new(Method::Post, url);
    request.set_body(Body::from_bytes(body));
    request.insert_header("content-type", "application/json");
    Ok(request)
}
