//! Non-idempotent requests while two things fail at once: a node is killed or paused while
//! targets, the table or both fail. Seeded; runs are counted by the targets.

use fastrand::Rng;
use futures_util::future::join_all;
use rw_http::{Method, SendError};
use rw_test::{ACCOUNT_KEY, Fleet, FleetSettings, TextRequest, TextResponse, send_request};
use smol::Timer;
use std::time::Duration;

const BINARY: &str = env!("CARGO_BIN_EXE_redwingweir");
const PATH: &str = "/services/reservations/reserve";
const NONE: &str = "[]";
const ROUNDS: usize = 10;
const KEYS: usize = 6;
const LIMIT: Duration = Duration::from_secs(20);
const PAUSE: Duration = Duration::from_millis(20);
/// From the sends to the kill or pause.
const EARLY: Duration = Duration::from_millis(120);
/// How long a node is paused: until its peers no longer wait for its answer.
const FROZEN: Duration = Duration::from_millis(2_500);

const SERVICE: &[&str] = &[
    NONE,
    r#"[{"fault":"lose-answer"}]"#,
    r#"[{"fault":"cut-answer"}]"#,
    r#"[{"fault":"cross-answer"}]"#,
    r#"[{"fault":"refuse","count":2}]"#,
    r#"[{"fault":"latency","ms":250}]"#,
];

const TABLE: &[&str] = &[
    NONE,
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

async fn fail(fleet: &Fleet, service: &str, table: &str) {
    for process in &fleet.services {
        fleet
            .set_faults(process, service)
            .await
            .expect("a fault is set");
    }
    let set = fleet.set_faults(&fleet.platform, table).await;
    set.expect("a fault is set");
}

async fn until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    for _ in 0..LIMIT.as_millis() / PAUSE.as_millis() {
        if holds().await {
            return;
        }
        Timer::after(PAUSE).await;
    }
    panic!("{what}: not within {LIMIT:?}");
}

/// Waits until every node has read the VM list as it is and every target is open.
async fn settle(fleet: &Fleet) {
    fleet.wait_vm_list().await.expect("the list is read");
    until("all targets are open", async || {
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

/// Kills or pauses a node for a while, or lets it be; the keys go to the next node meanwhile.
async fn disturb(fleet: &mut Fleet, rng: &mut Rng, keys: &[String]) -> Vec<Sent> {
    Timer::after(EARLY).await;
    let n = rng.usize(..fleet.nodes.len());
    let what = rng.u8(..3);
    let paused = what == 1;
    match what {
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
        Timer::after(FROZEN).await;
        fleet.nodes[n].signal("CONT");
    }
    sends
}

/// A key and its answer to come.
type Sent = (String, smol::Task<Result<TextResponse, SendError>>);

fn send(sends: impl Iterator<Item = (String, String)>) -> Vec<Sent> {
    sends
        .map(|(addr, key)| (key.clone(), smol::spawn(post(addr, key))))
        .collect()
}

async fn check(
    fleet: &Fleet,
    what: &str,
    key: &str,
    done: &mut Option<String>,
    answer: &TextResponse,
) {
    let runs = fleet.key_runs(key).await;
    assert!(runs <= 1, "{what}: {runs} runs");
    match answer.outcome.as_str() {
        "done" => {
            assert_eq!(runs, 1, "{what}: done without a run");
            let first = done.get_or_insert_with(|| answer.body.clone());
            assert_eq!(*first, answer.body, "{what}: another answer");
        }
        "not-run" => assert_eq!(runs, 0, "{what}: not-run after a run: {answer:?}"),
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
        settle(&fleet).await;
        let keys = keys(&fleet, round).await;
        let (service, table) = (
            SERVICE[rng.usize(..SERVICE.len())],
            TABLE[rng.usize(..TABLE.len())],
        );
        fail(&fleet, service, table).await;
        let pairs = keys.iter().flat_map(|key| [key, key]);
        let mut sends = send(pairs.map(|key| {
            let addr = fleet.nodes[rng.usize(..3)].addr("callers");
            (addr, key.clone())
        }));
        sends.extend(disturb(&mut fleet, &mut rng, &keys).await);
        let first = join_all(sends.into_iter().map(async |(key, send)| (key, send.await))).await;
        fail(&fleet, NONE, NONE).await;
        settle(&fleet).await;
        for key in &keys {
            let what = format!("seed {seed}, round {round}, {service}, {table}, {key}");
            let mut done = None;
            // Sends at the same moment may differ in `not-run`, but not in their answer.
            let told = first.iter().filter(|(k, _)| k == key);
            for answer in told.filter_map(|(_, a)| a.as_ref().ok()) {
                if answer.outcome == "done" {
                    check(&fleet, &what, key, &mut done, answer).await;
                }
            }
            for n in [0, 1, 2, 0] {
                let answer = post(fleet.nodes[n].addr("callers"), key.clone()).await;
                let answer = answer.expect("an answer");
                check(&fleet, &what, key, &mut done, &answer).await;
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
