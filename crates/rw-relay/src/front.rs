//! Server for callers' connections.

use crate::{
    BootClock, Connection, Dialect, HeadError, Relay, RequestHead, ResponseWriter,
    body::BodyReader,
    body_admission::BodyRefusal,
    call::Call,
    caller_stream::CallerStream,
    delegation::{EXTRA_HEADER_BYTES, restore_framing},
    exchange_error::CallerDisconnected,
    request_body::{BodyError, read_body},
    response_progress::ResponseProgress,
    timeout::timeout,
};
use rw_gate::{CallLimits, DelegatedCall, Event};
use rw_types::RequestId;
use smol::{Async, future};
use std::{
    io,
    net::{Shutdown, TcpListener, TcpStream},
    rc::Rc,
    time::Duration,
};

/// Maximum number of connections that wait to be accepted.
const LISTEN_BACKLOG: i32 = 1_024;
/// Pause after a failed accept, which is usually due to a lack of file descriptors.
const ACCEPT_RETRY: Duration = Duration::from_millis(20);
/// How long input is still read before a connection is closed, so that the caller can read the
/// last response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum number of bytes that are read meanwhile.
const MAX_LINGER_BYTES: usize = 8 << 20;
/// Interval between checks whether an idle connection is to be closed.
const IDLE_POLL: Duration = Duration::from_millis(500);
/// Minimum time for which a caller may take nothing of a response.
const MIN_PATIENCE: Duration = Duration::from_secs(10);
/// Time by which an idle connection outlives the configured idle timeout, in milliseconds.
const IDLE_GRACE_MS: u64 = 500;

/// Who sends the requests on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallSource {
    Caller,
    /// Another node, which passes on calls of its callers.
    Peer,
}

/// What happens to a connection after a request.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum AfterRequest {
    Keep,
    /// The response is complete; close gracefully.
    Close,
    /// The response is incomplete; close immediately.
    Abort,
}

/// How the work on a call ends.
enum CallEnd {
    Answered,
    Disconnected,
    /// By the exit of this process.
    Interrupted,
}

/// Binds `addr` with a backlog for bursts of connections.
pub(crate) fn listen(addr: std::net::SocketAddr) -> io::Result<Async<TcpListener>> {
    let listener = Async::<TcpListener>::bind(addr)?;
    rustix::net::listen(&listener, LISTEN_BACKLOG)?;
    Ok(listener)
}

impl<D: Dialect> Relay<D> {
    /// Accepts callers' connections until the future is dropped.
    pub(crate) async fn accept(self: Rc<Self>, listener: Async<TcpListener>) {
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    log::warn!(error:%; "could not accept a caller's connection; raise the limit of file descriptors");
                    smol::Timer::after(ACCEPT_RETRY).await;
                    continue;
                }
            };
            if self.connections.get() >= self.max_connections.get() {
                self.metrics.over_limit();
                continue;
            }
            let relay = self.clone();
            self.executor
                .spawn(async move {
                    relay.connections.set(relay.connections.get() + 1);
                    relay.serve_connection(stream, CallSource::Caller).await;
                    relay.connections.set(relay.connections.get() - 1);
                })
                .detach();
        }
    }

    /// Serves the requests on a connection until it ends.
    pub(crate) async fn serve_connection(&self, stream: Async<TcpStream>, from: CallSource) {
        let Ok(mut conn) = Connection::accepted(stream) else {
            return;
        };
        let mut previous = None;
        while self.wait_request(&mut conn).await {
            self.in_flight.set(self.in_flight.get() + 1);
            // Boxed, so that an idle connection doesn't hold the memory of an active one.
            let after = Box::pin(self.serve_request(&mut conn, from, &mut previous)).await;
            self.in_flight.set(self.in_flight.get() - 1);
            match after {
                // Requests that have arrived already would keep the thread from other connections.
                AfterRequest::Keep if conn.has_unread() => future::yield_now().await,
                AfterRequest::Keep => {}
                AfterRequest::Close => return linger(conn).await,
                AfterRequest::Abort => return,
            }
        }
    }

    /// Waits for the next request; false if the connection is to be closed.
    async fn wait_request(&self, conn: &mut Connection) -> bool {
        let limits = self.limits();
        let clock = BootClock::start();
        loop {
            match timeout(IDLE_POLL, conn.wait_readable()).await {
                Some(Ok(true)) => return true,
                Some(Ok(false) | Err(_)) => return false,
                None if self.close_idle.get() => return false,
                None if clock.now().0 > limits.idle_ms + IDLE_GRACE_MS => return false,
                None => {}
            }
        }
    }

    async fn serve_request(
        &self,
        conn: &mut Connection,
        from: CallSource,
        previous: &mut Option<RequestId>,
    ) -> AfterRequest {
        let mut limits = self.limits();
        if from == CallSource::Peer {
            limits.header_bytes += EXTRA_HEADER_BYTES;
        }
        let read_timeout = Duration::from_millis(limits.header_ms);
        let mut head = match timeout(read_timeout, self.read_request_head(conn, &limits)).await {
            Some(Ok(Ok(head))) => head,
            Some(Ok(Err(error))) => return self.reject_head(conn, error).await,
            Some(Err(_)) => return AfterRequest::Abort,
            None => return self.reject(conn, "", 408, "slow-request").await,
        };
        let offer = match from {
            CallSource::Caller => None,
            CallSource::Peer => match self.accept_offer(conn, &mut head).await {
                Some(offer) => Some(offer),
                None => return AfterRequest::Close,
            },
        };
        if let crate::Framing::Length(n) = head.framing
            && n > limits.body_bytes as u64
        {
            return self.reject(conn, &head.method, 413, "body-too-large").await;
        }
        let mut reader = BodyReader::new(head.framing);
        let headed = self.clock.now();
        let reserving = self.reserve_body(&head, offer.as_ref(), &limits);
        let mut room = match reserving.await {
            Ok(room) => room,
            Err(BodyRefusal::TooLarge) => {
                return self.reject(conn, &head.method, 413, "body-too-large").await;
            }
            Err(BodyRefusal::NoRoom) => {
                return self.refuse_body(conn, reader, from, &limits).await;
            }
        };
        let waited_ms = self.clock.now().since(headed);
        if head.is_http_1_1
            && head.header("expect").is_some()
            && conn
                .write_all(b"HTTP/1.1 100 Continue\r\n\r\n")
                .await
                .is_err()
        {
            return AfterRequest::Abort;
        }
        let reading = read_body(&mut reader, conn, &mut room, limits.body_bytes);
        let body = match timeout(read_timeout, reading).await {
            Some(Ok(body)) => body,
            Some(Err(BodyError::TooLarge)) => {
                return self.reject(conn, &head.method, 413, "body-too-large").await;
            }
            Some(Err(BodyError::NoRoom)) => {
                drop(room);
                return self.refuse_body(conn, reader, from, &limits).await;
            }
            Some(Err(BodyError::Io(e))) if e.kind() == io::ErrorKind::InvalidData => {
                return self.reject(conn, &head.method, 400, "malformed-body").await;
            }
            Some(Err(BodyError::Io(_))) => return AfterRequest::Abort,
            None => return self.reject(conn, &head.method, 408, "slow-request").await,
        };
        if offer.is_some() {
            restore_framing(&mut head, &body);
        }
        let delegated = offer.map(|offer| offer.call);
        // `room` is freed after the call, with the body.
        self.handle_call(conn, (head, body, waited_ms), delegated, previous)
            .await
    }

    async fn read_request_head(
        &self,
        conn: &mut Connection,
        limits: &CallLimits,
    ) -> io::Result<Result<RequestHead, HeadError>> {
        let bytes = conn.read_head(limits.header_bytes).await?;
        Ok(bytes.and_then(|b| RequestHead::parse(&b)))
    }

    async fn handle_call(
        &self,
        conn: &mut Connection,
        (head, body, waited_ms): (RequestHead, Vec<u8>, u64),
        delegated: Option<DelegatedCall>,
        previous: &mut Option<RequestId>,
    ) -> AfterRequest {
        let id = self.next_id();
        let close = !head.keep_alive || self.stopping.get();
        let keep = head.keep_alive;
        let resets = !head.is_http_1_1;
        let mut out = ResponseWriter::new(self.caller_stream(conn), &head.method, close);
        if resets {
            // An orderly close ends a body without a length, also if this process exits.
            conn.set_reset_on_close(true);
            out = out.for_http_1_0();
        }
        let mut progress = ResponseProgress::new(out);
        let call_id = self.dialect.call_id(&head).to_owned();
        let started = self.clock.now();
        let call = Call {
            arrived: started,
            id,
            head,
            body,
            waited_ms,
            call_id,
            is_delegated: delegated.is_some(),
            previous: previous.replace(id),
        };
        self.metrics.call_received();
        let completed = self.answer(conn, &call, delegated, &mut progress).await;
        let out = &progress.out;
        if !completed {
            let gate = self.gate.borrow();
            let dispatch = gate.open_dispatch(id);
            self.log
                .caller_disconnected(&call, dispatch, out.is_started());
            drop(gate);
            self.step(Event::CallerDisconnected { id });
        }
        let end = out.end();
        self.metrics.response_ended(end);
        self.log.response_ended(&call, end, out.written());
        self.metrics.call_finished(self.clock.now().since(started));
        let is_whole = completed && out.is_finished();
        if resets && is_whole {
            conn.set_reset_on_close(false);
        }
        match (is_whole, keep && !out.close) {
            (false, _) => AfterRequest::Abort,
            (true, true) => AfterRequest::Keep,
            (true, false) => AfterRequest::Close,
        }
    }

    /// Answers a call; false if its caller disconnected.
    async fn answer(
        &self,
        conn: &mut Connection,
        call: &Call,
        delegated: Option<DelegatedCall>,
        progress: &mut ResponseProgress,
    ) -> bool {
        let disconnected = async {
            conn.closed().await;
            CallEnd::Disconnected
        };
        let exiting = async {
            self.exit.raised().await;
            // A final response is still written.
            if !self.gate.borrow().is_open(call.id) {
                future::pending::<()>().await;
            }
            CallEnd::Interrupted
        };
        let forwarded = async {
            match self.forward(call, delegated, progress).await {
                Ok(()) => CallEnd::Answered,
                Err(CallerDisconnected) => CallEnd::Disconnected,
            }
        };
        match future::or(forwarded, future::or(disconnected, exiting)).await {
            CallEnd::Answered => true,
            CallEnd::Disconnected => false,
            CallEnd::Interrupted => self.interrupt(call, progress).await.is_ok(),
        }
    }

    async fn reject_head(&self, conn: &Connection, error: HeadError) -> AfterRequest {
        let (status, kind) = match error {
            HeadError::TooLarge => (431, "head-too-large"),
            HeadError::Malformed | HeadError::Framing | HeadError::Host => (400, "malformed-head"),
        };
        self.reject(conn, "", status, kind).await
    }

    /// Rejects a request with `method`, which is empty if it wasn't read.
    async fn reject(
        &self,
        conn: &Connection,
        method: &str,
        status: u16,
        kind: &'static str,
    ) -> AfterRequest {
        self.log.rejected(status, kind);
        self.metrics.rejected(kind);
        let mut out = ResponseWriter::new(self.caller_stream(conn), method, true);
        match out.write_error(status, kind, 0).await {
            Ok(()) => AfterRequest::Close,
            Err(_) => AfterRequest::Abort,
        }
    }

    /// A caller's connection to write a response to. The caller may pause for as long as it may stay
    /// idle, or a little longer.
    pub(crate) fn caller_stream(&self, conn: &Connection) -> CallerStream {
        let idle = Duration::from_millis(self.limits().idle_ms);
        CallerStream::new(conn.stream(), idle.max(MIN_PATIENCE))
    }

    fn limits(&self) -> CallLimits {
        self.gate.borrow().routing().limits
    }
}

/// Closes so that the caller can still read the last response: closing with unread input would
/// reset the connection.
async fn linger(mut conn: Connection) {
    conn.shutdown(Shutdown::Write);
    let drained = async {
        let mut left = MAX_LINGER_BYTES;
        while let Ok(bytes @ [_, ..]) = conn.read_some(left).await.as_deref() {
            left -= bytes.len();
        }
    };
    timeout(LINGER_TIMEOUT, drained).await;
}
