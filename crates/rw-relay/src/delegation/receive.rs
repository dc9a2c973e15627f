//! Accepts calls that other nodes pass to this one.

use super::{DELEGATION_HEADER, DelegateNote, offer::Offer, take_json};
use crate::{
    Connection, Dialect, Framing, Relay, RequestHead, ResponseWriter, caller_stream::CallerStream,
    front::CallSource,
};
use rw_gate::{Refusal, RefusalKind};
use smol::{Async, Timer};
use std::{
    io,
    net::{IpAddr, TcpListener},
    rc::Rc,
    time::Duration,
};

/// Size by which the head of a delegated call may exceed the limit for callers.
pub(crate) const EXTRA_HEADER_BYTES: usize = 1_024;
/// Number of caller connections for each delegated call that may be open, so that most of a node's room
/// stays with its own callers.
const CONNECTIONS_PER_DELEGATED: usize = 2;
/// Retry time in a refusal of a node that has no room, in milliseconds.
const CAPACITY_RETRY_MS: u64 = 500;
/// Pause after a failed accept, which is usually due to a lack of file descriptors.
const ACCEPT_RETRY: Duration = Duration::from_millis(20);

impl<D: Dialect> Relay<D> {
    /// Accepts the connections of other nodes until the future is dropped.
    pub(crate) async fn accept_delegated(self: Rc<Self>, listener: Async<TcpListener>) {
        loop {
            let (stream, from) = match listener.accept().await {
                Ok(accepted) => accepted,
                Err(error) => {
                    log::warn!(error:%; "could not accept a node's connection; raise the limit of file descriptors");
                    Timer::after(ACCEPT_RETRY).await;
                    continue;
                }
            };
            if !self.is_peer(from.ip()) {
                self.metrics.delegated("stranger");
                log::debug!(from:%; "connection for delegated calls refused: not an address of a registered node");
                continue;
            }
            let relay = self.clone();
            self.executor
                .spawn(async move {
                    relay.delegated.set(relay.delegated.get() + 1);
                    relay.serve_connection(stream, CallSource::Peer).await;
                    relay.delegated.set(relay.delegated.get() - 1);
                })
                .detach();
        }
    }

    fn is_peer(&self, addr: IpAddr) -> bool {
        let peers = self.peers.borrow();
        peers.all().iter().any(|p| p.digests.ip() == addr)
    }

    /// Removes what the passing node says about a call from its head, and returns it if this node
    /// takes the call. Otherwise responds with the refusal.
    pub(crate) async fn accept_offer(
        &self,
        conn: &Connection,
        head: &mut RequestHead,
    ) -> Option<Offer> {
        // One that can't be parsed comes from a node of another build, or from no node.
        let offer = take_json(&mut head.headers, DELEGATION_HEADER);
        let refusal = match &offer {
            Some(_) => self.delegated_refusal(),
            None => Some(not_ready()),
        };
        let Some(refusal) = refusal else {
            return offer;
        };
        self.metrics.delegated(refusal.kind.as_str());
        // The passing node notices a failed connection itself.
        let out = self.caller_stream(conn);
        let _closed_already = refuse_offer(out, &refusal).await;
        None
    }

    /// Why this node can't take a call of another one now, if it can't.
    fn delegated_refusal(&self) -> Option<Refusal> {
        let room = self.max_connections.get() / CONNECTIONS_PER_DELEGATED;
        let (kind, retry_ms) = if self.stopping.get() {
            (RefusalKind::ShuttingDown, 0)
        } else if !self.is_ready() {
            (RefusalKind::NotReady, 0)
        } else if self.delegated.get() > room {
            (RefusalKind::NoCapacity, CAPACITY_RETRY_MS)
        } else {
            return None;
        };
        Some(Refusal {
            kind,
            retry_ms,
            estimate_ms: 0,
        })
    }
}

fn not_ready() -> Refusal {
    Refusal {
        kind: RefusalKind::NotReady,
        retry_ms: 0,
        estimate_ms: 0,
    }
}

/// Restores the framing of a request without a body, which is chunked on the way between nodes.
pub(crate) fn restore_framing(head: &mut RequestHead, body: &[u8]) {
    let has_no_body = matches!(head.method.as_str(), "GET" | "HEAD" | "DELETE");
    if body.is_empty() && has_no_body {
        head.framing = Framing::Length(0);
    }
}

/// Refuses a delegated call whose body hasn't been read.
async fn refuse_offer(out: CallerStream, refusal: &Refusal) -> io::Result<()> {
    let status = refusal.kind.status().unwrap_or(503);
    let mut out = ResponseWriter::new(out, "", true);
    out.set_note(Some(DelegateNote::refused(refusal)));
    out.write_refusal(status, refusal).await
}
