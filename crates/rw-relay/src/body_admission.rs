//! Room for the bodies of requests, before they are read.

use crate::{
    BodyRoom, Connection, Dialect, Framing, Relay, RequestHead, ResponseWriter,
    body::BodyReader,
    delegation::{DelegateNote, Offer},
    front::{AfterRequest, CallSource},
    request_body::first_bytes,
    timeout::timeout,
};
use rw_gate::{CallLimits, Refusal, RefusalKind};
use smol::future;
use std::{io, net::Shutdown, time::Duration};

/// Status of a refusal for lack of room.
const NO_ROOM: u16 = 503;
/// Retry time in a refusal for lack of room, in milliseconds.
const RETRY_MS: u64 = 500;
/// Part of a call's time that it may wait for room, as a divisor. The rest is left to read the body
/// and to run the call.
const WAIT_SHARE: u64 = 2;

/// Why a body gets no room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyRefusal {
    /// It doesn't fit into the budget of this node at all.
    TooLarge,
    /// There was no room for as long as the call could wait.
    NoRoom,
}

impl<D: Dialect> Relay<D> {
    /// Reserves room for the body behind `head`, and waits for it as long as the call can still be
    /// served. A call of another node doesn't wait, because that node can pass it elsewhere.
    pub(crate) async fn reserve_body(
        &self,
        head: &RequestHead,
        offer: Option<&Offer>,
        limits: &CallLimits,
    ) -> Result<BodyRoom, BodyRefusal> {
        let length = match head.framing {
            Framing::Length(n) => Some(n),
            Framing::Chunked | Framing::Close => offer.and_then(|o| o.body_bytes),
        };
        if length.is_some_and(|n| !self.bodies.can_hold(n)) {
            return Err(BodyRefusal::TooLarge);
        }
        let bytes = first_bytes(length, limits.body_bytes);
        if let Some(room) = self.bodies.try_reserve(bytes) {
            return Ok(room);
        }
        if offer.is_some() {
            return Err(BodyRefusal::NoRoom);
        }
        let wait = self.body_wait(head, limits);
        let room = timeout(wait, self.bodies.reserve(bytes)).await;
        room.ok_or(BodyRefusal::NoRoom)
    }

    fn body_wait(&self, head: &RequestHead, limits: &CallLimits) -> Duration {
        let request = self.dialect.call_request(head, &[]);
        let gate = self.gate.borrow();
        let route = gate.routing().find_route(&request.host, &request.path);
        let times = [request.deadline_ms, route.map(|r| r.timeout_ms)];
        let call_ms = times.into_iter().flatten().min().unwrap_or(u64::MAX);
        Duration::from_millis((call_ms / WAIT_SHARE).min(limits.header_ms))
    }

    /// Refuses a request whose body has no room, and drops what still arrives of the body, so that the
    /// caller can read the refusal.
    pub(crate) async fn refuse_body(
        &self,
        conn: &mut Connection,
        mut reader: BodyReader,
        from: CallSource,
        limits: &CallLimits,
    ) -> AfterRequest {
        if self.write_no_room(conn, from).await.is_err() {
            return AfterRequest::Abort;
        }
        // A caller that waits before it sends its body sees the end at once.
        conn.shutdown(Shutdown::Write);
        let limit = Duration::from_millis(limits.header_ms);
        let dropping = drop_body(conn, &mut reader, limits.body_bytes);
        timeout(limit, dropping).await;
        AfterRequest::Close
    }

    async fn write_no_room(&self, conn: &Connection, from: CallSource) -> io::Result<()> {
        let refusal = Refusal {
            kind: RefusalKind::NoCapacity,
            retry_ms: RETRY_MS,
            estimate_ms: 0,
        };
        let kind = refusal.kind.as_str();
        self.log.rejected(NO_ROOM, kind);
        self.metrics.body_refused();
        self.metrics.rejected(kind);
        let mut out = ResponseWriter::new(self.caller_stream(conn), "", true);
        if from == CallSource::Peer {
            self.metrics.delegated(kind);
            out.set_note(Some(DelegateNote::refused(&refusal)));
        }
        out.write_refusal(NO_ROOM, &refusal).await
    }
}

/// Reads the rest of a body, up to `max` bytes of it, and drops it.
async fn drop_body(conn: &mut Connection, reader: &mut BodyReader, max: usize) {
    let mut dropped = 0;
    while dropped < max {
        let Ok(Some(bytes)) = reader.next(conn).await else {
            return;
        };
        dropped += bytes.len();
        future::yield_now().await;
    }
}
