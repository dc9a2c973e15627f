//! What a non-idempotent request costs under a claim and under a ticket.
//!
//! Run with `cargo bench --bench keys`. Rates depend on the machine; compare figures of one run.
//! The table stand-in answers as fast as it can, so the ratio leaves its real limit out.

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
/// Callers at once.
const CALLERS: usize = 16;
/// Alternations of the ways.
const ROUNDS: usize = 3;
/// Longest wait for an answer.
const LIMIT: Duration = Duration::from_secs(10);
/// Longest wait for the nodes to read the VM list.
const SETTLE: Duration = Duration::from_secs(1);

/// Where a request gets its key.
#[derive(Debug, Clone, Copy)]
enum Way {
    /// The caller makes it, and the table keeps it.
    Claim,
    /// The node that gets the request minted it.
    Ticket,
    /// Another node minted it.
    Forwarded,
}

#[derive(Clone)]
struct Caller {
    client: Client,
    bearer: String,
    node: String,
    mint: String,
}

impl Caller {
    async fn post(&self, addr: &str, path: &str, key: &str) -> Option<(u16, Vec<u8>)> {
        let mut request = post_json(addr, path, b"{\"score\":7}".to_vec()).ok()?;
        request.insert_header("authorization", self.bearer.as_str());
        if !key.is_empty() {
            request.insert_header("idempotency-key", key);
        }
        let sent = self.client.send(addr, request, Pooling::Reuse, LIMIT);
        let reply = sent.await.ok()?;
        let status = reply.status();
        Some((status, reply.bytes(LIMIT).await.ok()?))
    }

    async fn key(&self, way: Way, name: &str) -> Option<String> {
        let minter = match way {
            Way::Claim => return Some(name.to_owned()),
            Way::Ticket => &self.node,
            Way::Forwarded => &self.mint,
        };
        let (_, body) = self.post(minter, "/tickets", "").await?;
        let body: serde_json::Value = serde_json::from_slice(&body).ok()?;
        Some(body["key"].as_str()?.to_owned())
    }

    async fn run(&self, way: Way, name: &str) -> bool {
        let Some(key) = self.key(way, name).await else {
            return false;
        };
        let path = "/services/reservations/reserve";
        let answer = self.post(&self.node, path, &key).await;
        answer.is_some_and(|(status, _)| status == 200)
    }
}

async fn measure(caller: &Caller, way: Way, round: usize) -> (f64, usize) {
    let begun = Instant::now();
    let callers: Vec<_> = (0..CALLERS)
        .map(|n| {
            let caller = caller.clone();
            smol::spawn(async move {
                let mut whole = 0;
                for i in 0..REQUESTS / CALLERS {
                    let name = format!("{round}-{n}-{i}");
                    whole += usize::from(caller.run(way, &name).await);
                }
                whole
            })
        })
        .collect();
    let mut whole = 0;
    for caller in callers {
        whole += caller.await;
    }
    (whole as f64 / begun.elapsed().as_secs_f64(), whole)
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
        mint: fleet.nodes[1].addr("callers"),
    };
    println!("way round whole requests/s table-writes/request");
    for round in 0..ROUNDS {
        for way in [Way::Claim, Way::Ticket, Way::Forwarded] {
            let before = fleet.table_stats().await.0;
            let (rate, whole) = measure(&caller, way, round).await;
            // Ends are recorded behind the answer.
            Timer::after(SETTLE).await;
            let writes = fleet.table_stats().await.0 - before;
            let each = writes as f64 / whole.max(1) as f64;
            println!("{way:?} {round} {whole} {rate:.0} {each:.3}");
        }
    }
    Ok(())
}

fn main() -> io::Result<()> {
    smol::block_on(run())
}
