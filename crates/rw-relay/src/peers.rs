//! Communication between nodes: digests in UDP datagrams, and calls from nodes that have just
//! started.
//!
//! Both are JSON-RPC; a digest is a notification.

use crate::{
    ByteBudget, Dialect, Peer, Relay, RequestHead, Snapshot,
    endpoint_server::{EndpointHandler, EndpointResponse},
    metrics::Direction,
    origin_query::{OriginQuery, QueryScope},
    placements::{Datagram, PLACED_METHOD, SCHEDULE_METHOD},
    usage::USAGE_METHOD,
};
use async_channel::Receiver;
use jsonrpsee_types::{Id, Request, Response, ResponsePayload};
use rw_gate::{DIGEST_FANOUT, Digest, Event, PlacementReply, SchedulerMessage, StreamId};
use rw_http::{Client, Pooling, post_json};
use serde::{Deserialize, Serialize};
use smol::{Async, Timer, future};
use std::{
    borrow::Cow,
    net::{SocketAddr, UdpSocket},
    rc::Rc,
    time::Duration,
};

/// Minimum interval between digests.
const DIGEST_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which it is checked whether a report to the leader is due; one is each second.
const LEADER_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum rate of digests, so that nodes hear of each other whatever limits they state.
const MIN_BYTES_PER_S: u32 = 2_000;
/// Maximum number of streams in one query.
const MAX_ASKS: usize = 24;
/// Maximum number of nodes that a query is widened to.
const MAX_OTHER_SOURCES: usize = 256;
/// Time for which queries may exceed their rate. Callers return all at once after many nodes have
/// stopped, and wait for the answer.
const ASK_BURST: Duration = Duration::from_millis(600);
/// Bytes that the IP and UDP headers add to a datagram.
const HEADER_BYTES: usize = 28;
/// Size of the buffer for a received datagram.
const DATAGRAM_BUFFER_BYTES: usize = 60_000;
/// Timeout for fetching a snapshot from a peer.
const HELLO_TIMEOUT: Duration = Duration::from_millis(800);
/// Pause between rounds of requests to the seeds.
const HELLO_INTERVAL: Duration = Duration::from_millis(500);

/// Method of a digest.
const DIGEST_METHOD: &str = "digest";

/// Content of a received datagram.
enum Received {
    Digest(Box<Digest>),
    Schedule(SchedulerMessage),
    Placed(PlacementReply),
}

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
    if request.method == USAGE_METHOD {
        return answer_usage(relay, &request);
    }
    if let Some(params) = &request.params {
        let peer: Peer = serde_json::from_str(params.get())?;
        relay.merge_peers(vec![peer]);
    }
    let payload = ResponsePayload::success(relay.snapshot());
    serde_json::to_vec(&Response::new(payload, request.id))
}

fn answer_usage<D: Dialect>(
    relay: &Relay<D>,
    request: &Request<'_>,
) -> serde_json::Result<Vec<u8>> {
    let params = request.params.as_ref().map_or("{}", |p| p.get());
    let query = serde_json::from_str(params)?;
    let now = relay.clock.now();
    let answer = relay.gate.borrow_mut().answer_usage(now, &query);
    let payload = ResponsePayload::success(answer);
    serde_json::to_vec(&Response::new(payload, request.id.clone()))
}

impl<D: Dialect> Relay<D> {
    /// Sends and receives digests until the future is dropped.
    pub(crate) async fn gossip(
        self: Rc<Self>,
        socket: Async<UdpSocket>,
        digest_wakes: Receiver<()>,
        asks: Receiver<OriginQuery>,
        messages: Receiver<Datagram>,
    ) {
        let send = future::zip(
            self.send_digests(&socket, digest_wakes),
            self.report_to_leader(&socket),
        );
        let digests = future::zip(send, self.receive_digests(&socket));
        let queries = future::zip(
            self.send_asks(&socket, asks),
            self.send_messages(&socket, messages),
        );
        future::zip(digests, queries).await;
    }

    /// Fetches snapshots from the seeds until one has answered, or until a configuration is known from any
    /// source and each was asked once: a seed knows what the store doesn't have.
    pub(crate) async fn query_seeds(self: Rc<Self>) {
        let client = Client::default();
        loop {
            for seed in self.settings.seeds.clone() {
                if Some(seed) == self.settings.control {
                    continue;
                }
                match hello(&client, seed, self.me()).await {
                    Ok(snapshot) => {
                        let version = snapshot.routing.version;
                        log::info!(from:% = seed, version, targets = snapshot.targets.len(); "snapshot received from a peer");
                        self.apply_snapshot(snapshot);
                        if self.gate.borrow().is_ready() {
                            return;
                        }
                    }
                    Err(why) => {
                        log::debug!(from:% = seed, why = why.as_str(); "snapshot could not be fetched from a peer")
                    }
                }
            }
            if self.gate.borrow().is_ready() {
                return;
            }
            Timer::after(HELLO_INTERVAL).await;
        }
    }

    fn apply_snapshot(&self, snapshot: Snapshot) {
        self.merge_peers(snapshot.peers);
        self.step(Event::Routing(snapshot.routing));
        self.step(Event::TargetsReported(snapshot.targets));
        self.step(Event::TargetsProved(snapshot.proved));
        let received = Digest {
            suspects: snapshot.suspects,
            parts: snapshot.parts,
            leaving: snapshot.leaving,
            ended: snapshot.ended,
            limits: snapshot.limits,
            token: snapshot.token,
            ..Digest::default()
        };
        self.digest_received(received);
    }

    async fn send_digests(&self, socket: &Async<UdpSocket>, digest_wakes: Receiver<()>) {
        let mut budget = ByteBudget::default();
        loop {
            let pause = async {
                Timer::after(DIGEST_INTERVAL).await;
            };
            let woken = async {
                // The sender lives as long as `self`.
                let _never_closed = digest_wakes.recv().await;
            };
            future::or(woken, pause).await;
            // What changes meanwhile is joined into one digest.
            Timer::after(budget.debt(self.clock.now())).await;
            let digest = self.gate.borrow_mut().publish(self.clock.now());
            if let Some(digest) = digest {
                self.send_digest(socket, &digest, &mut budget).await;
            }
        }
    }

    /// Sends a digest to the nodes that hear of this one, within the budget.
    async fn send_digest(
        &self,
        socket: &Async<UdpSocket>,
        digest: &Digest,
        budget: &mut ByteBudget,
    ) {
        let Some(text) = encode(digest) else {
            return;
        };
        let receivers = self
            .peers
            .borrow()
            .listeners(&self.settings.gate.vm, DIGEST_FANOUT);
        let rate = self.digest_rate(&receivers);
        for peer in receivers {
            self.send_text(socket, &text, peer.digests).await;
            budget.spend(self.clock.now(), text.len() + HEADER_BYTES, rate);
            let debt = budget.debt(self.clock.now());
            if debt > DIGEST_INTERVAL {
                Timer::after(debt).await;
            }
        }
    }

    /// Sends the demand at this node to the leader, if that doesn't receive its digests anyway.
    async fn report_to_leader(&self, socket: &Async<UdpSocket>) {
        loop {
            Timer::after(LEADER_CHECK_INTERVAL).await;
            let due = self.gate.borrow_mut().leader_digest(self.clock.now());
            let Some((receivers, digest)) = due else {
                continue;
            };
            let Some(text) = encode(&digest) else {
                continue;
            };
            let addrs = receivers.iter().filter_map(|vm| {
                let peers = self.peers.borrow();
                peers.find(vm).map(|p| p.digests)
            });
            for to in addrs.collect::<Vec<SocketAddr>>() {
                self.send_text(socket, &text, to).await;
            }
        }
    }

    /// Answers a node that reports its demand to this one, so that it knows that this one is alive.
    async fn answer_demand(&self, socket: &Async<UdpSocket>, digest: &Digest, to: SocketAddr) {
        let now = self.clock.now();
        let answer = self.gate.borrow_mut().answer_demand(now, digest);
        if let Some(text) = answer.as_ref().and_then(encode) {
            self.send_text(socket, &text, to).await;
        }
    }

    async fn send_messages(&self, socket: &Async<UdpSocket>, messages: Receiver<Datagram>) {
        while let Ok((to, text)) = messages.recv().await {
            self.send_text(socket, &text, to).await;
        }
    }

    /// Queries other nodes for the origins of streams. Queries that come up meanwhile are joined.
    async fn send_asks(&self, socket: &Async<UdpSocket>, asks: Receiver<OriginQuery>) {
        let mut budget = ByteBudget::default();
        while let Ok(first) = asks.recv().await {
            let debt = budget.debt(self.clock.now());
            Timer::after(debt.saturating_sub(ASK_BURST)).await;
            let more = std::iter::from_fn(|| asks.try_recv().ok());
            let queries: Vec<OriginQuery> =
                std::iter::once(first).chain(more).take(MAX_ASKS).collect();
            for scope in [QueryScope::Sources, QueryScope::Others] {
                let streams = queries.iter().filter(|q| q.scope == scope);
                let streams: Vec<StreamId> = streams.map(|q| q.stream).collect();
                self.send_queries(socket, streams, scope, &mut budget).await;
            }
        }
    }

    async fn send_queries(
        &self,
        socket: &Async<UdpSocket>,
        streams: Vec<StreamId>,
        scope: QueryScope,
        budget: &mut ByteBudget,
    ) {
        if streams.is_empty() {
            return;
        }
        let digest = self.gate.borrow().ask_origins(self.clock.now(), streams);
        let Some(text) = encode(&digest) else {
            return;
        };
        let peers = self.query_receivers(scope);
        // Each node receives one datagram, so that only this node's own link sets the rate.
        let rate = self.settings.digest_bytes_per_s.max(MIN_BYTES_PER_S);
        for peer in peers {
            self.send_text(socket, &text, peer.digests).await;
            budget.spend(self.clock.now(), text.len() + HEADER_BYTES, rate);
        }
    }

    fn query_receivers(&self, scope: QueryScope) -> Vec<Peer> {
        let vm = &self.settings.gate.vm;
        let peers = self.peers.borrow();
        match scope {
            QueryScope::Sources => peers.sources(vm, DIGEST_FANOUT),
            QueryScope::Others => peers.other_sources(vm, DIGEST_FANOUT, MAX_OTHER_SOURCES),
        }
    }

    /// Bytes per second that may be sent to `receivers`. The slowest one sets the rate, so that none
    /// receives more than it can bear.
    fn digest_rate(&self, receivers: &[Peer]) -> u32 {
        let rates = receivers.iter().map(|p| p.digest_bytes_per_s);
        let rate = rates.fold(self.settings.digest_bytes_per_s, u32::min);
        rate.max(MIN_BYTES_PER_S)
    }

    /// Answers a query of the node at `to` for the origins of streams.
    async fn answer_asks(&self, socket: &Async<UdpSocket>, query: &Digest, to: SocketAddr) {
        if query.asks.is_empty() {
            return;
        }
        // The node that asks repeats its query until it knows enough.
        self.refresh_targets();
        let now = self.clock.now();
        let answer = self.gate.borrow().answer_origins(now, query);
        if let Some(text) = encode(&answer) {
            self.send_text(socket, &text, to).await;
        }
    }

    async fn send_text(&self, socket: &Async<UdpSocket>, text: &str, to: SocketAddr) {
        // A lost datagram is superseded by later ones.
        match socket.send_to(text.as_bytes(), to).await {
            Ok(bytes) => self.metrics.digest(Direction::Sent, bytes),
            Err(error) => log::debug!(to:%, error:%; "digest not sent"),
        }
    }

    async fn receive_digests(&self, socket: &Async<UdpSocket>) {
        let mut buf = vec![0; DATAGRAM_BUFFER_BYTES];
        loop {
            let Ok((n, from)) = socket.recv_from(&mut buf).await else {
                Timer::after(DIGEST_INTERVAL).await;
                continue;
            };
            self.metrics.digest(Direction::Received, n);
            match parse(&buf[..n]) {
                Ok(Received::Schedule(message)) => {
                    self.step(Event::SchedulerMessage(message));
                }
                Ok(Received::Placed(reply)) => self.placement_received(reply),
                Ok(Received::Digest(digest)) => {
                    let digest = *digest;
                    let query = Digest {
                        asks: digest.asks.clone(),
                        asked_ms: digest.asked_ms,
                        ..Digest::default()
                    };
                    self.answer_demand(socket, &digest, from).await;
                    self.digest_received(digest);
                    self.answer_asks(socket, &query, from).await;
                }
                Err(error) => log::debug!(from:%, error:%; "datagram is not a digest; dropped"),
            }
        }
    }
}

/// Serializes a digest for a datagram.
fn encode(digest: &Digest) -> Option<String> {
    let text = notification(DIGEST_METHOD, digest);
    if let Err(error) = &text {
        log::warn!(error:%; "digest could not be serialized; this is a bug");
    }
    text.ok()
}

/// Serializes a message for a datagram.
pub(crate) fn notification(method: &str, message: &impl Serialize) -> serde_json::Result<String> {
    let params = serde_json::value::to_raw_value(message)?;
    let sent = jsonrpsee_types::Notification::new(Cow::Borrowed(method), params);
    serde_json::to_string(&sent)
}

fn parse(bytes: &[u8]) -> serde_json::Result<Received> {
    let notification: jsonrpsee_types::Notification<'_, &serde_json::value::RawValue> =
        serde_json::from_slice(bytes)?;
    let params = notification.params.get();
    match notification.method.as_ref() {
        SCHEDULE_METHOD => serde_json::from_str(params).map(Received::Schedule),
        PLACED_METHOD => serde_json::from_str(params).map(Received::Placed),
        _ => serde_json::from_str(params).map(Received::Digest),
    }
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
