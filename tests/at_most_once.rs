//! Non-idempotent requests on separate processes: at most one run per key, no false `not-run`, and
//! the same response to every resend, under any of these faults. The targets count the runs.

use futures_util::future::join_all;
use rw_http::SendError;
use rw_test::{Fleet, FleetSettings, TextResponse};
use smol::Timer;
use std::time::Duration;

const BINARY: &str = env!("CARGO_BIN_EXE_redwingweir");
const PATH: &str = "/services/reservations/reserve";
const ECHO: &str = "/services/reservations/echo";
const BODY: &str = r#"{"score":7}"#;
const NO_FAULTS: &str = "[]";
/// Longest wait for a condition.
const TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Faults set while all nodes get the key at the same time; they are cleared before the resends.
struct Case {
    name: &'static str,
    service: &'static str,
    table: &'static str,
}

const CASES: &[Case] = &[
    Case {
        name: "nothing fails",
        service: NO_FAULTS,
        table: NO_FAULTS,
    },
    Case {
        name: "response lost",
        service: r#"[{"fault":"lose-answer"}]"#,
        table: NO_FAULTS,
    },
    Case {
        name: "response cut",
        service: r#"[{"fault":"cut-answer"}]"#,
        table: NO_FAULTS,
    },
    Case {
        name: "no content length",
        service: r#"[{"fault":"no-length"}]"#,
        table: NO_FAULTS,
    },
    Case {
        name: "wrong content length",
        service: r#"[{"fault":"wrong-length"}]"#,
        table: NO_FAULTS,
    },
    Case {
        name: "mismatched response",
        service: r#"[{"fault":"cross-answer"}]"#,
        table: NO_FAULTS,
    },
    Case {
        name: "service silent",
        service: r#"[{"fault":"silence"}]"#,
        table: NO_FAULTS,
    },
    Case {
        name: "refused once",
        service: r#"[{"fault":"refuse","count":1}]"#,
        table: NO_FAULTS,
    },
    Case {
        name: "refused",
        service: r#"[{"fault":"refuse"}]"#,
        table: NO_FAULTS,
    },
    Case {
        name: "slow",
        service: r#"[{"fault":"latency","ms":300}]"#,
        table: NO_FAULTS,
    },
    Case {
        name: "table down",
        service: NO_FAULTS,
        table: r#"[{"fault":"outage","path":"/table"}]"#,
    },
    Case {
        name: "table slow",
        service: NO_FAULTS,
        table: r#"[{"fault":"latency","ms":200,"path":"/table"}]"#,
    },
    Case {
        name: "table slower than its timeout",
        service: NO_FAULTS,
        table: r#"[{"fault":"latency","ms":700,"path":"/table"}]"#,
    },
    Case {
        name: "table response lost once",
        service: NO_FAULTS,
        table: r#"[{"fault":"lose-answer","path":"/table/txn","count":1}]"#,
    },
    Case {
        name: "table responses lost",
        service: NO_FAULTS,
        table: r#"[{"fault":"lose-answer","path":"/table/txn"}]"#,
    },
    Case {
        name: "table responses lost, reads down",
        service: NO_FAULTS,
        table: r#"[{"fault":"lose-answer","path":"/table/txn"},{"fault":"outage","path":"/table/get"}]"#,
    },
    Case {
        name: "table silent once",
        service: NO_FAULTS,
        table: r#"[{"fault":"silence","path":"/table/txn","count":1}]"#,
    },
    Case {
        name: "table responses lost, response cut",
        service: r#"[{"fault":"cut-answer"}]"#,
        table: r#"[{"fault":"lose-answer","path":"/table/txn"}]"#,
    },
    Case {
        name: "table slow, service silent",
        service: r#"[{"fault":"silence"}]"#,
        table: r#"[{"fault":"latency","ms":200,"path":"/table"}]"#,
    },
    Case {
        name: "table slow, refused once",
        service: r#"[{"fault":"refuse","count":1}]"#,
        table: r#"[{"fault":"latency","ms":200,"path":"/table"}]"#,
    },
];

async fn start() -> Fleet {
    let plan = FleetSettings {
        services: 2,
        node_flags: ["--silence-ms", "1000", "--platform-limit-ms", "400"]
            .map(str::to_owned)
            .to_vec(),
        ..FleetSettings::default()
    };
    Fleet::start(BINARY, plan).await.expect("the fleet starts")
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

/// Checks the responses for a key against the runs that targets counted.
async fn check(
    fleet: &Fleet,
    name: &str,
    key: &str,
    responses: &[Result<TextResponse, SendError>],
) {
    let runs = fleet.key_runs(key).await;
    assert!(runs <= 1, "{name}: {runs} runs");
    let received = responses.iter().flatten();
    let done: Vec<_> = received.clone().filter(|a| a.outcome == "done").collect();
    for response in received {
        if response.status == 409 {
            assert!(!response.retry_after.is_empty(), "{name}: no retry-after");
        }
    }
    for response in &done {
        assert_eq!(runs, 1, "{name}: done without a run");
        assert_eq!(response.status, done[0].status, "{name}");
        assert_eq!(response.content_type, done[0].content_type, "{name}");
        assert_eq!(response.body, done[0].body, "{name}: different bodies");
        assert!(
            response.body.contains("\"run\":"),
            "{name}: {}",
            response.body
        );
    }
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

#[test]
fn a_claimed_key_runs_at_most_once_whatever_fails() {
    smol::block_on(async {
        let fleet = start().await;
        for (i, case) in CASES.iter().enumerate() {
            check_key(&fleet, case, &format!("key-{i}")).await;
        }
    });
}

#[test]
fn a_ticket_runs_at_most_once_whatever_fails() {
    smol::block_on(async {
        let fleet = start().await;
        for (i, case) in CASES.iter().enumerate() {
            let key = mint_ticket(&fleet, i % 3).await;
            check_key(&fleet, case, &key).await;
        }
    });
}

/// Sends a key to all nodes at the same time with the case's faults, then twice to each without.
async fn check_key(fleet: &Fleet, case: &Case, key: &str) {
    wait_until("all targets are open", async || {
        fleet.all_targets_open().await
    })
    .await;
    set_faults(fleet, case.service, case.table).await;
    let nodes = 0..fleet.nodes.len();
    let sends = nodes.clone().map(|n| fleet.post(n, PATH, key, BODY));
    let mut responses = join_all(sends).await;
    check(fleet, case.name, key, &responses).await;
    set_faults(fleet, NO_FAULTS, NO_FAULTS).await;
    for n in nodes.clone().chain(nodes) {
        let again = fleet.post(n, PATH, key, BODY).await;
        check(fleet, case.name, key, std::slice::from_ref(&again)).await;
        responses.retain(|a| a.as_ref().is_ok_and(|a| a.outcome == "done"));
        responses.push(again);
        check(fleet, case.name, key, &responses).await;
    }
}

#[test]
fn a_recorded_response_is_returned_byte_for_byte() {
    smol::block_on(async {
        let fleet = start().await;
        let ticket = mint_ticket(&fleet, 2).await;
        for key in ["plain-key", ticket.as_str()] {
            let mut bodies = Vec::new();
            for n in [0, 1, 2, 0] {
                let response = echo(&fleet, n, key).await;
                assert_eq!(response.0, 201, "{key}");
                assert_eq!(response.1, "audio/x-bell", "{key}");
                bodies.push(response.2);
            }
            assert!(bodies.iter().all(|b| b == BYTES), "{key}: {bodies:?}");
            assert_eq!(fleet.key_runs(key).await, 1, "{key}");
        }
    });
}

/// A body that is not UTF-8.
const BYTES: &[u8] = &[0xff, 0xfe, 0x00, b'b', b'e', b'l', b'l'];

async fn echo(fleet: &Fleet, n: usize, key: &str) -> (u16, String, Vec<u8>) {
    use rw_http::{Client, Method, Pooling, Request, Url};
    let addr = fleet.nodes[n].addr("callers");
    let url = Url::parse(&format!("http://{addr}{ECHO}")).expect("a URL");
    let mut request = Request::new(Method::Post, url);
    request.set_body(BYTES);
    request.insert_header("content-type", "audio/x-bell");
    request.insert_header("authorization", format!("Bearer {}", rw_test::ACCOUNT_KEY));
    request.insert_header("idempotency-key", key);
    let client = Client::default();
    let sent = client.send(&addr, request, Pooling::Fresh, TIMEOUT).await;
    let response = sent.expect("a response");
    let kind = response
        .header("content-type")
        .unwrap_or_default()
        .to_owned();
    let status = response.status();
    (status, kind, response.bytes(TIMEOUT).await.expect("a body"))
}

async fn mint_ticket(fleet: &Fleet, n: usize) -> String {
    let response = fleet.post(n, "/tickets", "", "").await.expect("a ticket");
    assert_eq!(response.status, 201, "{}", response.body);
    let body: serde_json::Value = serde_json::from_str(&response.body).expect("JSON");
    body["key"].as_str().expect("a key").to_owned()
}

const SLOW_SERVICE: &str = r#"[{"fault":"latency","ms":800}]"#;

#[test]
fn a_key_stays_unknown_when_its_node_is_killed() {
    smol::block_on(async {
        let mut fleet = start().await;
        let keys = ["claimed".to_owned(), mint_ticket(&fleet, 0).await];
        set_faults(&fleet, SLOW_SERVICE, NO_FAULTS).await;
        let mut first = fleet.nodes.remove(0);
        let addr = first.addr("callers");
        let sends = keys.clone().map(|key| {
            let addr = addr.clone();
            smol::spawn(async move { post(&addr, &key).await })
        });
        wait_until("both run", async || {
            fleet.key_runs(&keys[0]).await == 1 && fleet.key_runs(&keys[1]).await == 1
        })
        .await;
        first.kill();
        for send in sends {
            assert!(send.await.is_err(), "a killed node answered");
        }
        set_faults(&fleet, NO_FAULTS, NO_FAULTS).await;
        for key in &keys {
            for n in [0, 1, 0] {
                let response = fleet.post(n, PATH, key, BODY).await.expect("a response");
                assert_eq!(response.outcome, "unknown", "{key}: {response:?}");
                assert_eq!(fleet.key_runs(key).await, 1, "{key}");
            }
        }
        // After a restart the VM has no memory of the keys of its previous boot.
        let next = fleet.start_node(1).expect("a node starts");
        fleet.nodes.insert(0, next);
        fleet.publish_vms().await.expect("the list is written");
        fleet.wait_vm_list().await.expect("the list is read");
        for key in &keys {
            for n in 0..3 {
                let response = fleet.post(n, PATH, key, BODY).await.expect("a response");
                assert_eq!(response.outcome, "unknown", "{key}: {response:?}");
                assert_eq!(fleet.key_runs(key).await, 1, "{key}");
            }
        }
    });
}

#[test]
fn a_paused_node_keeps_its_keys() {
    smol::block_on(async {
        let fleet = start().await;
        let keys = ["claimed".to_owned(), mint_ticket(&fleet, 0).await];
        set_faults(&fleet, SLOW_SERVICE, NO_FAULTS).await;
        let addr = fleet.nodes[0].addr("callers");
        let sends = keys.clone().map(|key| {
            let addr = addr.clone();
            smol::spawn(async move { post(&addr, &key).await })
        });
        wait_until("both run", async || {
            fleet.key_runs(&keys[0]).await == 1 && fleet.key_runs(&keys[1]).await == 1
        })
        .await;
        fleet.nodes[0].signal("STOP");
        set_faults(&fleet, NO_FAULTS, NO_FAULTS).await;
        for key in &keys {
            let response = fleet.post(1, PATH, key, BODY).await.expect("a response");
            assert_eq!(response.outcome, "unknown", "{key}: {response:?}");
            assert!(!response.retry_after.is_empty(), "{key}: no retry-after");
        }
        fleet.nodes[0].signal("CONT");
        for (send, key) in sends.into_iter().zip(&keys) {
            let first = send.await;
            let responses = [first, fleet.post(2, PATH, key, BODY).await];
            check(&fleet, "after the pause", key, &responses).await;
            assert_eq!(fleet.key_runs(key).await, 1, "{key}");
        }
    });
}

#[test]
fn a_node_paused_before_its_dispatch_runs_nothing_twice() {
    smol::block_on(async {
        let fleet = start().await;
        let addr = fleet.nodes[0].addr("callers");
        for round in 0..4 {
            let key = format!("paused-{round}");
            set_faults(
                &fleet,
                NO_FAULTS,
                r#"[{"fault":"latency","ms":150,"path":"/table/txn"}]"#,
            )
            .await;
            let send = smol::spawn({
                let (addr, key) = (addr.clone(), key.clone());
                async move { post(&addr, &key).await }
            });
            Timer::after(Duration::from_millis(40 * round)).await;
            fleet.nodes[0].signal("STOP");
            let mut responses = Vec::new();
            for n in [1, 2] {
                responses.push(fleet.post(n, PATH, &key, BODY).await);
            }
            fleet.nodes[0].signal("CONT");
            set_faults(&fleet, NO_FAULTS, NO_FAULTS).await;
            responses.push(send.await);
            responses.push(fleet.post(1, PATH, &key, BODY).await);
            check(&fleet, &key, &key, &responses).await;
        }
    });
}

#[test]
fn a_claim_given_up_before_its_dispatch_is_taken_over() {
    smol::block_on(async {
        let fleet = start().await;
        let lost = r#"[{"fault":"lose-answer","path":"/table/txn","count":1},
                       {"fault":"outage","path":"/table/get"}]"#;
        set_faults(&fleet, NO_FAULTS, lost).await;
        let first = fleet.post(0, PATH, "k", BODY).await.expect("a response");
        assert_eq!(first.outcome, "unknown", "{first:?}");
        // The row can't be released while reads are down, so the second node learns from the row's
        // writer that the claim was given up.
        let second = fleet.post(1, PATH, "k", BODY).await.expect("a response");
        assert_eq!(second.outcome, "done", "{second:?}");
        set_faults(&fleet, NO_FAULTS, NO_FAULTS).await;
        let third = fleet.post(0, PATH, "k", BODY).await;
        check(&fleet, "taken over", "k", &[Ok(second), third]).await;
    });
}

#[test]
fn a_request_without_a_key_is_dispatched_once() {
    smol::block_on(async {
        let fleet = start().await;
        for fault in ["lose-answer", "cut-answer", "no-length", "cross-answer"] {
            set_faults(&fleet, &format!(r#"[{{"fault":"{fault}"}}]"#), NO_FAULTS).await;
            wait_until("a service is open again", async || {
                let before = fleet.body_runs(fault).await;
                assert_eq!(before, 0, "{fault}: it ran in spite of not-run");
                let response = fleet.post(0, PATH, "", fault).await.expect("a response");
                assert_ne!(response.outcome, "done", "{fault}: {response:?}");
                response.outcome == "unknown"
            })
            .await;
            assert_eq!(fleet.body_runs(fault).await, 1, "{fault}");
        }
    });
}

#[test]
fn tickets_need_no_table() {
    smol::block_on(async {
        let fleet = start().await;
        let down =
            r#"[{"fault":"outage","path":"/table/txn"},{"fault":"outage","path":"/table/get"}]"#;
        set_faults(&fleet, NO_FAULTS, down).await;
        let before = fleet.table_stats().await.0;
        for n in 0..3 {
            let key = mint_ticket(&fleet, 0).await;
            let first = fleet.post(n, PATH, &key, BODY).await;
            let responses = [first, fleet.post((n + 1) % 3, PATH, &key, BODY).await];
            check(&fleet, "outage", &key, &responses).await;
            assert!(responses.iter().flatten().all(|a| a.outcome == "done"));
        }
        assert_eq!(fleet.table_stats().await.0, before, "table writes");
    });
}

async fn post(addr: &str, key: &str) -> Result<TextResponse, SendError> {
    let bearer = format!("Bearer {}", rw_test::ACCOUNT_KEY);
    let headers = [("authorization", bearer.as_str()), ("idempotency-key", key)];
    let sent = rw_test::TextRequest {
        method: rw_http::Method::Post,
        path: PATH,
        body: BODY,
        headers: &headers,
    };
    rw_test::send_request(addr, sent).await
}
