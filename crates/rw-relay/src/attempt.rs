//! Performs one dispatch of a call to a target.

use crate::{
    Dialect, Framing, NamedCall, Relay, ResponseHead, ResponseMetadata,
    body::BodyReader,
    call::Call,
    carried_calls::CallKey,
    delegation::DelegateNote,
    exchange_error::{CallerDisconnected, ExchangeError},
    head::is_hop,
    io_error::malformed,
    notices::Addressee,
    pool::ConnectError,
    probe::{Listener, contact_lost, listener},
    response_body::read_response_body,
    response_progress::{BufferedResponse, ResponseProgress},
    streaming::{StreamedResponse, is_streamed},
    target_connection::{ActiveConnection, TargetConnection},
    timeout::timeout_at,
    unframed_body::UnframedBody,
};
use rw_gate::{Dispatch, DispatchMode, DispatchOutcome, Event};
use smol::future;
use std::{
    fmt::Write as _,
    io,
    net::SocketAddr,
    time::{Duration, Instant},
};

/// Maximum size of a response head.
pub(crate) const MAX_HEAD_BYTES: usize = 32 << 10;
/// Maximum response body that is buffered in full without room from the node's budget. A body with a
/// larger declared length is streamed.
pub(crate) const MAX_BUFFERED_BYTES: u64 = 256 << 10;
/// Maximum number of bytes that are read and dropped before the response to a call: interim responses
/// and responses to other calls, together.
const MAX_SKIPPED_BYTES: usize = MAX_HEAD_BYTES + MAX_BUFFERED_BYTES as usize;
/// Extra wait after a call's deadline, so that the target's own final response can still arrive.
pub(crate) const DEADLINE_GRACE: Duration = Duration::from_millis(40);

impl<D: Dialect> Relay<D> {
    /// Sends `call` to the target of `dispatch`, and forwards a streamed response.
    pub(crate) async fn attempt(
        &self,
        call: &Call,
        dispatch: &Dispatch,
        progress: &mut ResponseProgress,
    ) -> Result<DispatchOutcome, CallerDisconnected> {
        let deadline = Instant::now() + Duration::from_millis(dispatch.left_ms) + DEADLINE_GRACE;
        let Ok(addr) = dispatch.addr.parse::<SocketAddr>() else {
            log::warn!(target = dispatch.target.as_str(), addr = dispatch.addr.as_str(); "target address is not ip:port; correct the target's entry");
            return Ok(DispatchOutcome::NotSent);
        };
        let key = (addr, dispatch.incarnation);
        let call_key = CallKey::of(&call.call_id);
        let acquire = self.pool.acquire(key, call_key, dispatch.max_connections);
        let conn = timeout_at(deadline, acquire).await;
        let conn = match conn {
            Some(Ok(conn)) => conn,
            Some(Err(ConnectError::AtLimit)) => return Ok(DispatchOutcome::Rejected { status: 0 }),
            Some(Err(ConnectError::Failed)) | None => return Ok(DispatchOutcome::NotSent),
        };
        if !self.may_send(dispatch) {
            return Ok(DispatchOutcome::Withheld);
        }
        progress.framing = None;
        let exchange = self.exchange(call, dispatch, conn, progress);
        let stall = dispatch.stall_timeout_ms.map(Duration::from_millis);
        let stall = stall
            .map(|stall| Instant::now() + stall)
            .filter(|at| *at < deadline);
        let Some(ended) = timeout_at(stall.unwrap_or(deadline), exchange).await else {
            self.pool.drop_idle(addr);
            if stall.is_some() {
                return Ok(DispatchOutcome::Stalled);
            }
            return Ok(DispatchOutcome::TimedOut {
                delivered: progress.out.delivered(),
            });
        };
        match ended {
            Ok(end) => Ok(end),
            Err(ExchangeError::Caller) => Err(CallerDisconnected),
            Err(ExchangeError::Unrelated { status }) => Ok(DispatchOutcome::Complete { status }),
            Err(ExchangeError::Target(error)) => {
                self.pool.drop_idle(addr);
                // A malformed response is no sign that its target has terminated.
                let is_malformed = error.kind() == io::ErrorKind::InvalidData;
                let crashed = !is_malformed && self.has_crashed(dispatch, addr).await;
                let request = self.dialect.call_request(&call.head, &call.body);
                let parts = request.prompt.map(|p| p.parts).unwrap_or_default();
                self.log
                    .dispatch_broken(call, dispatch, &parts, &error, crashed);
                Ok(DispatchOutcome::Broken {
                    crashed,
                    delivered: progress.out.delivered(),
                })
            }
        }
    }

    /// Whether nothing listens at the target's address any more, or nothing responds there, while this
    /// node reaches others.
    async fn has_crashed(&self, dispatch: &Dispatch, addr: SocketAddr) -> bool {
        let found = listener(addr).await;
        if found == Listener::Open {
            return false;
        }
        let is_witnessed = self.reaches_others(&dispatch.target, found).await;
        if found == Listener::None {
            self.target_ended(&dispatch.target, dispatch.incarnation, is_witnessed);
        }
        is_witnessed
    }

    async fn exchange(
        &self,
        call: &Call,
        dispatch: &Dispatch,
        conn: TargetConnection,
        progress: &mut ResponseProgress,
    ) -> Result<DispatchOutcome, ExchangeError> {
        let request = (self.request_head(call, dispatch), call.body.as_slice());
        let (conn, sending) = conn.begin(CallKey::of(&call.call_id), request);
        let receive = self.receive(call, dispatch, conn, progress);
        sending.during(receive).await
    }

    /// Reads the response to `call`, and forwards a streamed one.
    async fn receive(
        &self,
        call: &Call,
        dispatch: &Dispatch,
        mut conn: ActiveConnection,
        progress: &mut ResponseProgress,
    ) -> Result<DispatchOutcome, ExchangeError> {
        let is_watched = !conn.connection().is_unacked_limited();
        let lost = contact_lost(conn.addr(), is_watched);
        let reading = self.read_response_head(call, dispatch, &mut conn);
        let (head, metadata) = future::or(reading, lost).await?;
        let event = Event::ResponseStarted {
            id: call.id,
            load: metadata.load,
        };
        self.step(event);
        progress.framing = Some(head.framing);
        let mut body = BodyReader::new(head.framing);
        if metadata.rejected {
            body.read_all(conn.connection(), MAX_BUFFERED_BYTES as usize)
                .await?;
            self.release(conn, &head);
            return Ok(DispatchOutcome::Rejected {
                status: head.status,
            });
        }
        if dispatch.mode == DispatchMode::Prefill {
            return self.finish_prefill(dispatch, conn, &head, body).await;
        }
        if !metadata.signed {
            return Err(malformed().into());
        }
        let unframed = UnframedBody::new(head.framing, &dispatch.target, conn.addr());
        if is_streamed(&head, dispatch.stream) {
            progress.out.set_note(self.source_note(call));
            let streamed = StreamedResponse {
                conn: conn.connection(),
                head: head.clone(),
                body,
                is_stream: dispatch.stream,
                is_resumable: dispatch.resumable,
                resume_after: dispatch.resume_after,
                from: &dispatch.target,
                unframed,
                begun: Event::StreamBegun { id: call.id },
            };
            self.stream_response(call, streamed, progress).await?;
            self.release(conn, &head);
            return Ok(DispatchOutcome::Delivered);
        }
        let body = (&mut body, head.framing);
        let held = read_response_body(body, conn.connection(), self.answers.empty_room());
        let body = held.await?;
        self.check_end(unframed).await?;
        let status = head.status;
        self.release(conn, &head);
        progress.buffered = Some(BufferedResponse {
            head,
            body,
            note: self.source_note(call),
        });
        Ok(DispatchOutcome::Complete { status })
    }

    fn may_send(&self, dispatch: &Dispatch) -> bool {
        let gate = self.gate.borrow();
        gate.may_send(self.clock.now(), &dispatch.target, dispatch.incarnation)
    }

    /// Note on a response of the current target, if the call is one of another node.
    fn source_note(&self, call: &Call) -> Option<DelegateNote> {
        let source = self.gate.borrow().response_source(call.id);
        let source = source.filter(|_| call.is_delegated);
        source.map(DelegateNote::Target)
    }

    /// Reads the head of the response to this call; responses to other calls are read and dropped.
    async fn read_response_head(
        &self,
        call: &Call,
        dispatch: &Dispatch,
        conn: &mut ActiveConnection,
    ) -> io::Result<(ResponseHead, ResponseMetadata)> {
        let sent_at = self.clock.now();
        let mut skippable = MAX_SKIPPED_BYTES;
        loop {
            let bytes = conn.connection().read_head(MAX_HEAD_BYTES).await?;
            let bytes = bytes.map_err(|_| malformed())?;
            skippable = skippable.checked_sub(bytes.len()).ok_or_else(malformed)?;
            let parsed = ResponseHead::parse(&bytes, &call.head.method);
            let head = parsed.map_err(|_| malformed())?;
            if head.status < 200 {
                continue;
            }
            let metadata = self.dialect.response_metadata(&head);
            let is_own = match &metadata.named_call {
                NamedCall::One(call_id) => *call_id == call.call_id,
                // Without a call identifier, only the first response on a connection is known to
                // belong to its request.
                NamedCall::Missing => conn.awaits_first_response(),
                // It may be a copy that was written while this call runs, so its promise that the
                // call has not run can't be believed.
                NamedCall::Conflicting => return Err(malformed()),
            };
            let target = Addressee {
                name: &dispatch.target,
                incarnation: dispatch.incarnation,
                addr: conn.addr(),
                asked_at: is_own.then_some(sent_at),
            };
            if is_own {
                self.notice(target, &metadata);
                return Ok((head, metadata));
            }
            self.notice_of_other_response(target, &metadata);
            conn.set_suspect();
            self.log.unmatched_response(call, &metadata);
            let mut body = BodyReader::new(head.framing);
            let dropped = body.read_all(conn.connection(), skippable).await?;
            skippable -= dropped.len();
            if !head.keep_alive {
                return Err(malformed());
            }
        }
    }

    async fn finish_prefill(
        &self,
        dispatch: &Dispatch,
        mut conn: ActiveConnection,
        head: &ResponseHead,
        mut body: BodyReader,
    ) -> Result<DispatchOutcome, ExchangeError> {
        let bytes = body
            .read_all(conn.connection(), MAX_BUFFERED_BYTES as usize)
            .await?;
        self.release(conn, head);
        let handle = self.dialect.parse_handle(&dispatch.addr, &bytes);
        Ok(match handle.filter(|_| head.status == 200) {
            Some(handle) => DispatchOutcome::Prefilled(handle),
            None => DispatchOutcome::Rejected {
                status: head.status,
            },
        })
    }

    /// Returns a connection to the pool if it can carry another call.
    fn release(&self, conn: ActiveConnection, head: &ResponseHead) {
        let Some(conn) = conn.finish().filter(|_| head.keep_alive) else {
            return;
        };
        let idle_s = head.header("keep-alive").and_then(keep_alive_seconds);
        self.pool.release(conn, idle_s);
    }

    fn request_head(&self, call: &Call, dispatch: &Dispatch) -> Vec<u8> {
        let head = &call.head;
        let mut text = format!("{} {} HTTP/1.1\r\n", head.method, head.target);
        let forwarded = head.headers.iter().filter(|f| !is_hop(&f.name));
        for header in forwarded.filter(|f| self.dialect.is_forwarded(&f.name, dispatch)) {
            // A resumed stream sends its own last-event-id instead of the caller's.
            if dispatch.resume_after.is_some() && header.name == "last-event-id" {
                continue;
            }
            // Writing to a `String` can't fail.
            let _infallible = write!(text, "{}: {}\r\n", header.name, header.value);
        }
        if let Some(last) = dispatch.resume_after {
            let _infallible = write!(text, "last-event-id: {last}\r\n");
        }
        if !call.body.is_empty() || head.framing != Framing::Length(0) {
            let _infallible = write!(text, "content-length: {}\r\n", call.body.len());
        } else if head.header("content-length").is_some() {
            text.push_str("content-length: 0\r\n");
        }
        text.push_str(&self.dialect.dispatch_headers(dispatch));
        text.push_str("\r\n");
        text.into_bytes()
    }
}

/// Idle timeout in seconds that a keep-alive header announces.
fn keep_alive_seconds(value: &str) -> Option<u64> {
    let mut params = value.split(',').map(str::trim);
    params
        .find_map(|w| w.strip_prefix("timeout="))?
        .parse()
        .ok()
}
