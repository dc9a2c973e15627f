//! Non-idempotent requests during two faults at once: a node is killed or paused while targets,
//! the table or both fail. The faults are drawn from a seed; the targets count the runs.

use fastrand::Rng;
use futures_util::future::join_all;
use rw_http::{Method, SendError};
use rw_test::{ACCOUNT_KEY, Fleet, FleetSettings, TextRequest, TextResponse, send_request};
use smol::Timer;
use std::time::Duration;

const BINARY: &str = env!("CARGO_BIN_EXE_redwingweir");
const PATH: &str = "/services/reservations/reserve";
const NO_FAULTS: &str = "[]";
const ROUNDS: usize = 10;
const KEYS: usize = 6;
const TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time from the sends to the kill or pause.
const DISTURB_DELAY: Duration = Duration::from_millis(120);
/// Time for which a node is paused: longer than its peers wait for its response.
const NODE_PAUSE: Duration = Duration::from_millis(2_500);

const SERVICE_FAULTS: &[&str] = &[
    NO_FAULTS,
    r#"[{"fault":"lose-answer"}]"#,
    r#"[{"fault":"cut-answer"}]"#,
    r#"[{"fault":"cross-answer"}]"#,
    r#"[{"fault":"refuse","count":2}]"#,
    r#"[{"fault":"latency","ms":250}]"#,
];

const TABLE_FAULTS: &[&str] = &[
    NO_FAULTS,
    r#"[{"fault":"outage","path":"/table/txn"},{"fault":"outage","path":"/table/get"}]"#,
    r#"[{"fault":"latency","ms":150,"path":"/table"}]"#,
    r#"[{"fault":"lose-answer","path":"/table/txn","count":2}]"#,
    r#"[{"fault":"lose-answer","path":"/table/txn"},{"fault":"outage","path":"/table/get"}]"#,
];

async fn post(addr: String, key: String) -> Result<TextResponse, SendError> {
    let bearer = format!("Bearer {ACCOUNT_KEY}");
    let headers = [
        ("authorization", bearer.as_str()),
        ("idempotency-key", key.as_str()),
    ];
    let sent = TextRequest {
        method: Method::Post,
        path: PATH,
        body: "{}",
        headers: &headers,
    };
    send_request(&addr, sent).await
}

async fn set_faults(fleet: &Fleet, service: &str, table: &str) {
    for process in &fleet.services {
        fleet
            .set_faults(process, service)
            .await
            .expect("a fault is set");
    }
    let set = fleet.set_faults(&fleet.platform, table).await;
    set.expect("a fault is set");
}

async fn wait_until(expected: &str, mut condition: impl AsyncFnMut() -> bool) {
    for _ in 0..TIMEOUT.as_millis() / POLL_INTERVAL.as_millis() {
        if condition().await {
            return;
        }
        Timer::after(POLL_INTERVAL).await;
    }
    panic!("{expected}: not within {TIMEOUT:?}");
}

/// Waits until every node has read the current VM list and all targets are open.
async fn wait_settled(fleet: &Fleet) {
    fleet.wait_vm_list().await.expect("the list is read");
    wait_until("all targets are open", async || {
        fleet.all_targets_open().await
    })
    .await;
}

async fn keys(fleet: &Fleet, round: usize) -> Vec<String> {
    let mut keys = Vec::new();
    for i in 0..KEYS {
        if i < KEYS / 2 {
            keys.push(format!("key-{round}-{i}"));
            continue;
        }
        let minted = fleet.post(i % 3, "/tickets", "", "").await;
        let body = minted.expect("a ticket").body;
        let body: serde_json::Value = serde_json::from_str(&body).expect("JSON");
        keys.push(body["key"].as_str().expect("a key").to_owned());
    }
    keys
}

/// Kills a node, pauses it for a while or does neither, and sends the keys to the next node.
async fn disturb(fleet: &mut Fleet, rng: &mut Rng, keys: &[String]) -> Vec<PendingSend> {
    Timer::after(DISTURB_DELAY).await;
    let n = rng.usize(..fleet.nodes.len());
    let action = rng.u8(..3);
    let paused = action == 1;
    match action {
        0 => {}
        1 => fleet.nodes[n].signal("STOP"),
        _ => {
            fleet.nodes[n].kill();
            fleet.nodes[n] = fleet.start_node(n + 1).expect("a node starts");
            fleet.publish_vms().await.expect("the list is written");
        }
    }
    let next = fleet.nodes[(n + 1) % fleet.nodes.len()].addr("callers");
    let sends = send(keys.iter().map(|key| (next.clone(), key.clone())));
    if paused {
        Timer::after(NODE_PAUSE).await;
        fleet.nodes[n].signal("CONT");
    }
    sends
}

/// A key and its pending response.
type PendingSend = (String, smol::Task<Result<TextResponse, SendError>>);

fn send(sends: impl Iterator<Item = (String, String)>) -> Vec<PendingSend> {
    sends
        .map(|(addr, key)| (key.clone(), smol::spawn(post(addr, key))))
        .collect()
}

async fn check(
    fleet: &Fleet,
    context: &str,
    key: &str,
    done: &mut Option<String>,
    response: &TextResponse,
) {
    let runs = fleet.key_runs(key).await;
    assert!(runs <= 1, "{context}: {runs} runs");
    match response.outcome.as_str() {
        "done" => {
            assert_eq!(runs, 1, "{context}: done without a run");
            let first = done.get_or_insert_with(|| response.body.clone());
            assert_eq!(*first, response.body, "{context}: a different response");
        }
        "not-run" => assert_eq!(runs, 0, "{context}: not-run after a run: {response:?}"),
        _ => {}
    }
}

async fn run(seed: u64) {
    let mut rng = Rng::with_seed(seed);
    let plan = FleetSettings {
        services: 2,
        node_flags: ["--silence-ms", "1000", "--platform-limit-ms", "400"]
            .map(str::to_owned)
            .to_vec(),
        ..FleetSettings::default()
    };
    let mut fleet = Fleet::start(BINARY, plan).await.expect("the fleet starts");
    for round in 0..ROUNDS {
        wait_settled(&fleet).await;
        let keys = keys(&fleet, round).await;
        let (service, table) = (
            SERVICE_FAULTS[rng.usize(..SERVICE_FAULTS.len())],
            TABLE_FAULTS[rng.usize(..TABLE_FAULTS.len())],
        );
        set_faults(&fleet, service, table).await;
        let pairs = keys.iter().flat_map(|key| [key, key]);
        let mut sends = send(pairs.map(|key| {
            let addr = fleet.nodes[rng.usize(..3)].addr("callers");
            (addr, key.clone())
        }));
        sends.extend(disturb(&mut fleet, &mut rng, &keys).await);
        let first = join_all(sends.into_iter().map(async |(key, send)| (key, send.await))).await;
        set_faults(&fleet, NO_FAULTS, NO_FAULTS).await;
        wait_settled(&fleet).await;
        for key in &keys {
            let context = format!("seed {seed}, round {round}, {service}, {table}, {key}");
            let mut done = None;
            // Concurrent sends may differ in getting `not-run`, but not in the response of a run.
            let received = first.iter().filter(|(k, _)| k == key);
            for response in received.filter_map(|(_, a)| a.as_ref().ok()) {
                if response.outcome == "done" {
                    check(&fleet, &context, key, &mut done, response).await;
                }
            }
            for n in [0, 1, 2, 0] {
                let response = post(fleet.nodes[n].addr("callers"), key.clone()).await;
                let response = response.expect("a response");
                check(&fleet, &context, key, &mut done, &response).await;
            }
        }
    }
}

#[test]
fn two_failures_at_once_run_nothing_twice() {
    smol::block_on(run(1));
}

#[test]
fn two_failures_at_once_run_nothing_twice_again() {
    smol::block_on(run(2));
}
