//! What nodes tell each other: digests in datagrams, and calls of nodes that have just started.
//!
//! Both are JSON-RPC; a digest is a notification.

use crate::{
    Dialect, Peer, Relay, RequestHead, Snapshot,
    small_server::{Answers, Small},
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

/// Pause between digests while there is work.
const PAUSE: Duration = Duration::from_millis(50);
/// Digests without news between two that are sent all the same.
const QUIET: u32 = 20;
/// Most nodes that get one digest.
const FANOUT: usize = 16;
/// Largest datagram, in bytes.
const MAX_DATAGRAM: usize = 60_000;
/// Most prompts told of in one digest; the rest waits for the next.
const MAX_READS: usize = 200;
/// Longest wait for another node's snapshot.
const HELLO: Duration = Duration::from_millis(800);
/// Pause between rounds of questions of a node that knows nothing.
const HELLO_PAUSE: Duration = Duration::from_millis(500);

/// Answers calls of other nodes.
#[derive(Debug)]
pub(crate) struct PeerCalls;

impl<D: Dialect> Answers<D> for PeerCalls {
    fn small(&self, relay: &Relay<D>, _head: &RequestHead, body: &[u8]) -> Small {
        match answer(relay, body) {
            Ok(body) => Small { status: 200, body },
            Err(error) => {
                log::warn!(error:%; "another node's call could not be read; check that both run the same version");
                Small {
                    status: 400,
                    body: Vec::new(),
                }
            }
        }
    }
}

fn answer<D: Dialect>(relay: &Relay<D>, body: &[u8]) -> serde_json::Result<Vec<u8>> {
    let request: Request<'_> = serde_json::from_slice(body)?;
    if let Some(params) = &request.params {
        let peer: Peer = serde_json::from_str(params.get())?;
        relay.take_peers(vec![peer]);
    }
    let payload = ResponsePayload::success(relay.snapshot());
    serde_json::to_vec(&Response::new(payload, request.id))
}

impl<D: Dialect> Relay<D> {
    /// Sends and takes digests until the future is dropped.
    pub(crate) async fn gossip(self: Rc<Self>, socket: Async<UdpSocket>, woken: Receiver<()>) {
        future::zip(
            self.send_digests(&socket, woken),
            self.take_digests(&socket),
        )
        .await;
    }

    /// Asks the seeds what they know, until a configuration is known from anywhere.
    pub(crate) async fn ask_seeds(self: Rc<Self>) {
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
                        log::info!(from:% = seed, version, targets = snapshot.targets.len(); "snapshot of another node taken");
                        self.take_snapshot(snapshot);
                    }
                    Err(why) => {
                        log::debug!(from:% = seed, why = why.as_str(); "no snapshot of another node")
                    }
                }
                known = self.gate.borrow().is_ready();
                if known {
                    break;
                }
            }
            Timer::after(HELLO_PAUSE).await;
            known |= self.gate.borrow().is_ready();
        }
    }

    fn take_snapshot(&self, snapshot: Snapshot) {
        self.take_peers(snapshot.peers);
        self.step(Event::Routing(snapshot.routing));
        // Only where the store told nothing yet: its word is newer.
        if self.gate.borrow().targets().all().is_empty() {
            self.step(Event::TargetsListed(snapshot.targets));
        }
        let heard = Digest {
            suspects: snapshot.suspects,
            ..Digest::default()
        };
        self.step(Event::DigestReceived(heard));
    }

    async fn send_digests(&self, socket: &Async<UdpSocket>, woken: Receiver<()>) {
        let mut quiet = 0;
        let mut had_news = false;
        loop {
            let pause = async {
                Timer::after(PAUSE).await;
                false
            };
            let wake = async { woken.recv().await.is_ok() };
            let urgent = future::or(wake, pause).await;
            let news = self.gate.borrow().has_updates();
            quiet += 1;
            // One more after the last news tells that the work is done.
            if urgent || news || had_news || quiet >= QUIET {
                quiet = 0;
                self.send_digest(socket).await;
            }
            had_news = news;
        }
    }

    async fn send_digest(&self, socket: &Async<UdpSocket>) {
        let mut digest = self.gate.borrow_mut().digest(self.clock.now());
        digest.cache_inserts.truncate(MAX_READS);
        let text = match notification(&digest) {
            Ok(text) if text.len() <= MAX_DATAGRAM => text,
            Ok(text) => {
                log::warn!(bytes = text.len(); "digest over the size of a datagram; not sent");
                return;
            }
            Err(error) => {
                log::warn!(error:%; "digest could not be written; this is a fault of the program");
                return;
            }
        };
        let peers = self.peers.borrow().all().to_vec();
        // Those that follow in the order of names, so that each node hears as many as it tells.
        let me = peers.partition_point(|p| p.vm <= self.settings.gate.vm);
        let after = peers[me..].iter().chain(&peers[..me]);
        let others = after.filter(|p| p.vm != self.settings.gate.vm);
        for peer in others.take(FANOUT) {
            // A datagram that is lost is made up for by the next.
            if let Err(error) = socket.send_to(text.as_bytes(), peer.digests).await {
                log::debug!(to = peer.vm.as_str(), error:%; "digest not sent");
            }
        }
    }

    async fn take_digests(&self, socket: &Async<UdpSocket>) {
        let mut buf = vec![0; MAX_DATAGRAM];
        loop {
            let Ok((n, from)) = socket.recv_from(&mut buf).await else {
                Timer::after(PAUSE).await;
                continue;
            };
            match parse(&buf[..n]) {
                Ok(digest) => {
                    self.step(Event::DigestReceived(digest));
                }
                Err(error) => log::debug!(from:%, error:%; "datagram is no digest; dropped"),
            }
        }
    }
}

fn notification(digest: &Digest) -> serde_json::Result<String> {
    let params = serde_json::value::to_raw_value(digest)?;
    let sent = jsonrpsee_types::Notification::new(Cow::Borrowed("digest"), params);
    serde_json::to_string(&sent)
}

fn parse(bytes: &[u8]) -> serde_json::Result<Digest> {
    let taken: jsonrpsee_types::Notification<'_, &serde_json::value::RawValue> =
        serde_json::from_slice(bytes)?;
    serde_json::from_str(taken.params.get())
}

#[derive(Debug, Deserialize)]
struct Told {
    result: Snapshot,
}

async fn hello(client: &Client, seed: SocketAddr, me: Peer) -> Result<Snapshot, String> {
    let params = serde_json::value::to_raw_value(&me).map_err(|e| e.to_string())?;
    let request = Request::owned("hello".to_owned(), Some(params), Id::Number(1));
    let body = serde_json::to_vec(&request).map_err(|e| e.to_string())?;
    let addr = seed.to_string();
    let request = post_json(&addr, "/", body).map_err(|e| e.to_string())?;
    let sent = client.send(&addr, request, Pooling::Fresh, HELLO).await;
    let reply = sent.map_err(|e| e.to_string())?;
    let bytes = reply.bytes(HELLO).await.map_err(|e| e.to_string())?;
    let told: Told = serde_json::from_slice(&bytes).map_err(|e| e.to_string())?;
    Ok(told.result)
}
