//! Collects the calls of a window from all nodes.

use crate::{Dialect, Peer, Relay};
use async_channel::Receiver;
use jsonrpsee_types::{Id, Request};
use rw_gate::{Event, UsageAnswer, UsageCollection, UsageQuery};
use rw_http::{Client, Pooling, post_json};
use rw_types::Millis;
use serde::Deserialize;
use std::{cell::RefCell, collections::VecDeque, rc::Rc, time::Duration};

/// JSON-RPC method that asks a node for its calls in a window.
pub(crate) const USAGE_METHOD: &str = "usage";
/// Timeout of a query.
const QUERY_TIMEOUT: Duration = Duration::from_millis(600);
/// Time after which no further query is begun, in milliseconds. What is missing then is left out.
const COLLECT_LIMIT_MS: u64 = 1_800;
/// Number of queries in flight at most.
const QUERIES: usize = 16;

#[derive(Debug, Deserialize)]
struct UsageResponse {
    result: UsageAnswer,
}

/// A collection in progress.
#[derive(Debug)]
struct Collecting {
    query: UsageQuery,
    started_at: Millis,
    /// Nodes that are still to be asked; those that did not answer last time come last.
    waiting: RefCell<VecDeque<Peer>>,
    /// Nodes that are asked again once all others have been asked.
    retries: RefCell<Vec<String>>,
    collection: RefCell<UsageCollection>,
    /// Nodes that answered.
    heard: RefCell<Vec<String>>,
    client: Client,
}

impl<D: Dialect> Relay<D> {
    /// Performs one collection after another.
    pub(crate) async fn collect_usage(self: Rc<Self>, queries: Receiver<UsageQuery>) {
        let mut silent: Vec<String> = Vec::new();
        while let Ok(query) = queries.recv().await {
            let window = query.window;
            let (collection, unheard) = self.clone().collect_window(query, &silent).await;
            if unheard != silent {
                log::info!(window, asked = collection.asked, heard = collection.heard, unheard:?; "other nodes asked for usage; calls of those that did not answer are left out");
            }
            silent = unheard;
            self.step(Event::UsageCollected(collection));
        }
    }

    /// Sums the calls of a window over this node and all others. Also returns the nodes that did
    /// not answer, sorted by name.
    async fn collect_window(
        self: Rc<Self>,
        query: UsageQuery,
        silent: &[String],
    ) -> (UsageCollection, Vec<String>) {
        let now = self.clock.now();
        let me = &self.settings.gate.vm;
        let peers: Vec<Peer> = self.peers.borrow().all().to_vec();
        let mut others: Vec<Peer> = peers.into_iter().filter(|p| p.vm != *me).collect();
        others.sort_by_key(|p| silent.binary_search(&p.vm).is_ok());
        let is_lasting = |p: &&Peer| silent.binary_search(&p.vm).is_err();
        let retries = others.iter().filter(is_lasting).map(|p| p.vm.clone());
        let mut names: Vec<String> = others.iter().map(|p| p.vm.clone()).collect();
        names.sort();
        let asked = names.len();
        let mut collection = UsageCollection::default();
        collection.report.window = query.window;
        let own = self.gate.borrow_mut().answer_usage(now, &query);
        for (account, calls) in own.counts {
            collection.report.add(&account, calls);
        }
        let collecting = Rc::new(Collecting {
            query,
            started_at: now,
            retries: RefCell::new(retries.collect()),
            waiting: RefCell::new(others.into()),
            collection: RefCell::new(collection),
            heard: RefCell::default(),
            client: Client::default(),
        });
        let work = || {
            let (relay, collecting) = (self.clone(), collecting.clone());
            let asking = async move { relay.ask_nodes(&collecting).await };
            self.executor.spawn(Box::pin(asking))
        };
        let workers: Vec<_> = (0..QUERIES.min(names.len())).map(|_| work()).collect();
        for worker in workers {
            worker.await;
        }
        let heard = collecting.heard.borrow();
        names.retain(|name| !heard.contains(name));
        let mut collection = collecting.collection.take();
        collection.asked = asked;
        collection.heard = heard.len();
        (collection, names)
    }

    /// Asks one node after another, until none is left or time is up.
    async fn ask_nodes(&self, collecting: &Collecting) {
        loop {
            let next = collecting.waiting.borrow_mut().pop_front();
            let elapsed_ms = self.clock.now().since(collecting.started_at);
            let Some(peer) = next.filter(|_| elapsed_ms < COLLECT_LIMIT_MS) else {
                return;
            };
            let sent_at = self.clock.now();
            match collecting.ask(&peer, elapsed_ms).await {
                Some(answer) => {
                    collecting.take(answer, sent_at, self.clock.now());
                    collecting.heard.borrow_mut().push(peer.vm);
                }
                None => collecting.retry(peer),
            }
        }
    }
}

impl Collecting {
    async fn ask(&self, peer: &Peer, elapsed_ms: u64) -> Option<UsageAnswer> {
        // A node without an address for calls from peers can't be asked.
        if peer.calls == peer.digests {
            return None;
        }
        let query = UsageQuery {
            age_ms: self.query.age_ms + elapsed_ms,
            ..self.query.clone()
        };
        let params = serde_json::value::to_raw_value(&query).ok()?;
        let request = Request::owned(USAGE_METHOD.to_owned(), Some(params), Id::Number(1));
        let body = serde_json::to_vec(&request).ok()?;
        let addr = peer.calls.to_string();
        let request = post_json(&addr, "/", body).ok()?;
        let sent = self
            .client
            .send(&addr, request, Pooling::Fresh, QUERY_TIMEOUT);
        let response = sent.await.ok()?;
        let bytes = response.bytes(QUERY_TIMEOUT).await.ok()?;
        // An older build answers with a snapshot, or refuses the query.
        let response: UsageResponse = serde_json::from_slice(&bytes).ok()?;
        let answer = response.result;
        (answer.window == query.window && answer.vm == peer.vm).then_some(answer)
    }

    fn take(&self, answer: UsageAnswer, sent_at: Millis, received_at: Millis) {
        let mut collection = self.collection.borrow_mut();
        for (account, calls) in &answer.counts {
            collection.report.add(account, *calls);
        }
        if let Some(time_ms) = answer.time_ms {
            // The answer was written between the two.
            let boot_ms = (sent_at.0 + received_at.0) / 2;
            let offset = time_ms as i64 - boot_ms as i64;
            collection.clocks.push((answer.vm, offset));
        }
    }

    /// Asks a node once more, unless it hasn't answered the previous collection either.
    fn retry(&self, peer: Peer) {
        let mut retries = self.retries.borrow_mut();
        if let Some(i) = retries.iter().position(|vm| *vm == peer.vm) {
            retries.swap_remove(i);
            self.waiting.borrow_mut().push_back(peer);
        }
    }
}
