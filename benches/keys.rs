//! Compares the cost of a non-idempotent request with a claim and with a ticket.
//!
//! Run with `cargo bench --bench keys`. Rates depend on the machine; compare figures of one run.
//! The fake table responds without delay, so the ratio does not include the limit of a real table.

use rw_http::{Client, Pooling, post_json};
use rw_test::{ACCOUNT_KEY, Fleet, FleetSettings};
use smol::Timer;
use std::{
    io,
    sync::Arc,
    time::{Duration, Instant},
};

const BINARY: &str = env!("CARGO_BIN_EXE_redwingweir");
/// Requests of one measurement.
const REQUESTS: usize = 4_000;
/// Concurrent callers.
const CALLERS: usize = 16;
/// Times that each key source is measured, in turns.
const ROUNDS: usize = 3;
/// Longest wait for a response.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Longest wait for the nodes to read the VM list.
const SETTLE: Duration = Duration::from_secs(1);

/// Source of the key of a request.
#[derive(Debug, Clone, Copy)]
enum KeySource {
    /// The caller chooses the key, and the table stores the claim.
    Claim,
    /// The node that receives the request minted the key.
    Ticket,
    /// Another node minted the key, so the request is forwarded to it.
    Forwarded,
}

#[derive(Clone)]
struct Caller {
    client: Client,
    bearer: String,
    node: String,
    minter: String,
}

impl Caller {
    async fn post(&self, addr: &str, path: &str, key: &str) -> Option<(u16, Vec<u8>)> {
        let mut request = post_json(addr, path, b"{\"score\":7}".to_vec()).ok()?;
        request.insert_header("authorization", self.bearer.as_str());
        if !key.is_empty() {
            request.insert_header("idempotency-key", key);
        }
        let sent = self.client.send(addr, request, Pooling::Reuse, TIMEOUT);
        let response = sent.await.ok()?;
        let status = response.status();
        Some((status, response.bytes(TIMEOUT).await.ok()?))
    }

    async fn key(&self, source: KeySource, name: &str) -> Option<String> {
        let minter = match source {
            KeySource::Claim => return Some(name.to_owned()),
            KeySource::Ticket => &self.node,
            KeySource::Forwarded => &self.minter,
        };
        let (_, body) = self.post(minter, "/tickets", "").await?;
        let body: serde_json::Value = serde_json::from_slice(&body).ok()?;
        Some(body["key"].as_str()?.to_owned())
    }

    async fn run(&self, source: KeySource, name: &str) -> bool {
        let Some(key) = self.key(source, name).await else {
            return false;
        };
        let path = "/services/reservations/reserve";
        let response = self.post(&self.node, path, &key).await;
        response.is_some_and(|(status, _)| status == 200)
    }
}

async fn measure(caller: &Caller, source: KeySource, round: usize) -> (f64, usize) {
    let start = Instant::now();
    let callers: Vec<_> = (0..CALLERS)
        .map(|n| {
            let caller = caller.clone();
            smol::spawn(async move {
                let mut completed = 0;
                for i in 0..REQUESTS / CALLERS {
                    let name = format!("{round}-{n}-{i}");
                    completed += usize::from(caller.run(source, &name).await);
                }
                completed
            })
        })
        .collect();
    let mut completed = 0;
    for caller in callers {
        completed += caller.await;
    }
    (completed as f64 / start.elapsed().as_secs_f64(), completed)
}

async fn run() -> io::Result<()> {
    let plan = FleetSettings {
        nodes: 2,
        services: 2,
        ..FleetSettings::default()
    };
    let fleet = Arc::new(Fleet::start(BINARY, plan).await?);
    Timer::after(SETTLE).await;
    let caller = Caller {
        client: Client::default(),
        bearer: format!("Bearer {ACCOUNT_KEY}"),
        node: fleet.nodes[0].addr("callers"),
        minter: fleet.nodes[1].addr("callers"),
    };
    println!("source round completed requests/s table-writes/request");
    for round in 0..ROUNDS {
        for source in [KeySource::Claim, KeySource::Ticket, KeySource::Forwarded] {
            let before = fleet.table_stats().await.0;
            let (rate, completed) = measure(&caller, source, round).await;
            // Outcomes are recorded after the response is sent.
            Timer::after(SETTLE).await;
            let writes = fleet.table_stats().await.0 - before;
            let writes_each = writes as f64 / completed.max(1) as f64;
            println!("{source:?} {round} {completed} {rate:.0} {writes_each:.3}");
        }
    }
    Ok(())
}

fn main() -> io::Result<()> {
    smol::block_on(run())
}
