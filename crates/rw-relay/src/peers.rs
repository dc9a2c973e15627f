//! Communication between nodes: digests in UDP datagrams, and calls from nodes that have just
//! started.
//!
//! Both are JSON-RPC; a digest is a notification.

use crate::{
    Dialect, Peer, Relay, RequestHead, Snapshot,
    endpoint_server::{EndpointHandler, EndpointResponse},
    metrics::Direction,
};
use async_channel::Receiver;
use jsonrpsee_types::{Id, Request, Response, ResponsePayload};
use rw_gate::{Digest, Event};
use rw_http::{Client, Pooling, post_json};
use serde::Deserialize;
use smol::{Async, Timer, future};
use std::{
    borrow::Cow,
    net::{SocketAddr, UdpSocket},
    rc::Rc,
    time::Duration,
};

/// Interval between digests while there are updates to publish.
const DIGEST_INTERVAL: Duration = Duration::from_millis(50);
/// Number of intervals without a digest after which one is sent even without updates.
const MAX_SKIPPED: u32 = 20;
/// Maximum number of nodes that a digest is sent to.
const FANOUT: usize = 16;
/// Maximum size of a datagram.
const MAX_DATAGRAM_BYTES: usize = 60_000;
/// Maximum number of cache inserts reported in one digest; the rest is dropped.
const MAX_CACHE_INSERTS: usize = 200;
/// Timeout for fetching a snapshot from a peer.
const HELLO_TIMEOUT: Duration = Duration::from_millis(800);
/// Pause between rounds of requests to the seeds.
const HELLO_INTERVAL: Duration = Duration::from_millis(500);

/// Handles calls from peers.
#[derive(Debug)]
pub(crate) struct PeerCalls;

impl<D: Dialect> EndpointHandler<D> for PeerCalls {
    fn handle(&self, relay: &Relay<D>, _head: &RequestHead, body: &[u8]) -> EndpointResponse {
        match handle_call(relay, body) {
            Ok(body) => EndpointResponse { status: 200, body },
            Err(error) => {
                log::warn!(error:%; "call from a peer could not be parsed; check that both nodes run the same version");
                EndpointResponse {
                    status: 400,
                    body: Vec::new(),
                }
            }
        }
    }
}

fn handle_call<D: Dialect>(relay: &Relay<D>, body: &[u8]) -> serde_json::Result<Vec<u8>> {
    let request: Request<'_> = serde_json::from_slice(body)?;
    if let Some(params) = &request.params {
        let peer: Peer = serde_json::from_str(params.get())?;
        relay.merge_peers(vec![peer]);
    }
    let payload = ResponsePayload::success(relay.snapshot());
    serde_json::to_vec(&Response::new(payload, request.id))
}

impl<D: Dialect> Relay<D> {
    /// Sends and receives digests until the future is dropped.
    pub(crate) async fn gossip(
        self: Rc<Self>,
        socket: Async<UdpSocket>,
        digest_wakes: Receiver<()>,
    ) {
        future::zip(
            self.send_digests(&socket, digest_wakes),
            self.receive_digests(&socket),
        )
        .await;
    }

    /// Fetches snapshots from the seeds until a configuration is known from any source.
    pub(crate) async fn query_seeds(self: Rc<Self>) {
        let client = Client::default();
        let mut known = false;
        while !known {
            for seed in self.settings.seeds.clone() {
                if Some(seed) == self.settings.control {
                    continue;
                }
                match hello(&client, seed, self.me()).await {
                    Ok(snapshot) => {
                        let version = snapshot.routing.version;
                        log::info!(from:% = seed, version, targets = snapshot.targets.len(); "snapshot received from a peer");
                        self.apply_snapshot(snapshot);
                    }
                    Err(why) => {
                        log::debug!(from:% = seed, why = why.as_str(); "snapshot could not be fetched from a peer")
                    }
                }
                known = self.gate.borrow().is_ready();
                if known {
                    break;
                }
            }
            Timer::after(HELLO_INTERVAL).await;
            known |= self.gate.borrow().is_ready();
        }
    }

    fn apply_snapshot(&self, snapshot: Snapshot) {
        self.merge_peers(snapshot.peers);
        self.step(Event::Routing(snapshot.routing));
        // Only if the store has reported no targets yet, because its data is newer.
        if self.gate.borrow().targets().all().is_empty() {
            self.step(Event::TargetsListed(snapshot.targets));
        }
        let received = Digest {
            suspects: snapshot.suspects,
            ..Digest::default()
        };
        self.step(Event::DigestReceived(received));
    }

    async fn send_digests(&self, socket: &Async<UdpSocket>, digest_wakes: Receiver<()>) {
        let mut skipped = 0;
        let mut had_updates = false;
        loop {
            let pause = async {
                Timer::after(DIGEST_INTERVAL).await;
                false
            };
            let woken = async { digest_wakes.recv().await.is_ok() };
            let urgent = future::or(woken, pause).await;
            let has_updates = self.gate.borrow().has_updates();
            skipped += 1;
            // One more digest after the last update reports that the work is done.
            if urgent || has_updates || had_updates || skipped >= MAX_SKIPPED {
                skipped = 0;
                self.send_digest(socket).await;
            }
            had_updates = has_updates;
        }
    }

    async fn send_digest(&self, socket: &Async<UdpSocket>) {
        let mut digest = self.gate.borrow_mut().digest(self.clock.now());
        digest.cache_inserts.truncate(MAX_CACHE_INSERTS);
        let text = match notification(&digest) {
            Ok(text) if text.len() <= MAX_DATAGRAM_BYTES => text,
            Ok(text) => {
                log::warn!(bytes = text.len(); "digest exceeds the maximum datagram size; not sent");
                return;
            }
            Err(error) => {
                log::warn!(error:%; "digest could not be serialized; this is a bug");
                return;
            }
        };
        let peers = self.peers.borrow().all().to_vec();
        // Picks the nodes that follow in the order of names, so that each node receives as many
        // digests as it sends.
        let me = peers.partition_point(|p| p.vm <= self.settings.gate.vm);
        let after = peers[me..].iter().chain(&peers[..me]);
        let others = after.filter(|p| p.vm != self.settings.gate.vm);
        for peer in others.take(FANOUT) {
            // A lost datagram is superseded by the next one.
            match socket.send_to(text.as_bytes(), peer.digests).await {
                Ok(bytes) => self.metrics.digest(Direction::Sent, bytes),
                Err(error) => {
                    log::debug!(to = peer.vm.as_str(), error:%; "digest not sent")
                }
            }
        }
    }

    async fn receive_digests(&self, socket: &Async<UdpSocket>) {
        let mut buf = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let Ok((n, from)) = socket.recv_from(&mut buf).await else {
                Timer::after(DIGEST_INTERVAL).await;
                continue;
            };
            self.metrics.digest(Direction::Received, n);
            match parse_digest(&buf[..n]) {
                Ok(digest) => {
                    self.step(Event::DigestReceived(digest));
                }
                Err(error) => log::debug!(from:%, error:%; "datagram is not a digest; dropped"),
            }
        }
    }
}

fn notification(digest: &Digest) -> serde_json::Result<String> {
    let params = serde_json::value::to_raw_value(digest)?;
    let sent = jsonrpsee_types::Notification::new(Cow::Borrowed("digest"), params);
    serde_json::to_string(&sent)
}

fn parse_digest(bytes: &[u8]) -> serde_json::Result<Digest> {
    let notification: jsonrpsee_types::Notification<'_, &serde_json::value::RawValue> =
        serde_json::from_slice(bytes)?;
    serde_json::from_str(notification.params.get())
}

#[derive(Debug, Deserialize)]
struct HelloResponse {
    result: Snapshot,
}

async fn hello(client: &Client, seed: SocketAddr, me: Peer) -> Result<Snapshot, String> {
    let params = serde_json::value::to_raw_value(&me).map_err(|e| e.to_string())?;
    let request = Request::owned("hello".to_owned(), Some(params), Id::Number(1));
    let body = serde_json::to_vec(&request).map_err(|e| e.to_string())?;
    let addr = seed.to_string();
    let request = post_json(&addr, "/", body).map_err(|e| e.to_string())?;
    let sent = client
        .send(&addr, request, Pooling::Fresh, HELLO_TIMEOUT)
        .await;
    let response = sent.map_err(|e| e.to_string())?;
    let bytes = response
        .bytes(HELLO_TIMEOUT)
        .await
        .map_err(|e| e.to_string())?;
    let response: HelloResponse = serde_json::from_slice(&bytes).map_err(|e| e.to_string())?;
    Ok(response.result)
}
