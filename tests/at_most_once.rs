//! Non-idempotent requests on separate processes: at most one run a key, no false `not-run`, and
//! the same answer for every resend, whatever fails. Runs are counted by the targets.

use futures_util::future::join_all;
use rw_http::SendError;
use rw_test::{Fleet, FleetSettings, TextResponse};
use smol::Timer;
use std::time::Duration;

const BINARY: &str = env!("CARGO_BIN_EXE_redwingweir");
const PATH: &str = "/services/reservations/reserve";
const ECHO: &str = "/services/reservations/echo";
const BODY: &str = r#"{"score":7}"#;
const NONE: &str = "[]";
/// Longest wait for what must come to pass.
const LIMIT: Duration = Duration::from_secs(20);
const PAUSE: Duration = Duration::from_millis(20);

/// Faults while all nodes get the key at once; they end before the resends.
struct Case {
    name: &'static str,
    service: &'static str,
    table: &'static str,
}

const CASES: &[Case] = &[
    Case {
        name: "nothing fails",
        service: NONE,
        table: NONE,
    },
    Case {
        name: "answer lost",
        service: r#"[{"fault":"lose-answer"}]"#,
        table: NONE,
    },
    Case {
        name: "answer cut",
        service: r#"[{"fault":"cut-answer"}]"#,
        table: NONE,
    },
    Case {
        name: "no length",
        service: r#"[{"fault":"no-length"}]"#,
        table: NONE,
    },
    Case {
        name: "wrong length",
        service: r#"[{"fault":"wrong-length"}]"#,
        table: NONE,
    },
    Case {
        name: "crossed",
        service: r#"[{"fault":"cross-answer"}]"#,
        table: NONE,
    },
    Case {
        name: "silent",
        service: r#"[{"fault":"silence"}]"#,
        table: NONE,
    },
    Case {
        name: "refused once",
        service: r#"[{"fault":"refuse","count":1}]"#,
        table: NONE,
    },
    Case {
        name: "refused",
        service: r#"[{"fault":"refuse"}]"#,
        table: NONE,
    },
    Case {
        name: "slow",
        service: r#"[{"fault":"latency","ms":300}]"#,
        table: NONE,
    },
    Case {
        name: "table down",
        service: NONE,
        table: r#"[{"fault":"outage","path":"/table"}]"#,
    },
    Case {
        name: "table slow",
        service: NONE,
        table: r#"[{"fault":"latency","ms":200,"path":"/table"}]"#,
    },
    Case {
        name: "table slower than its limit",
        service: NONE,
        table: r#"[{"fault":"latency","ms":700,"path":"/table"}]"#,
    },
    Case {
        name: "table answer lost once",
        service: NONE,
        table: r#"[{"fault":"lose-answer","path":"/table/txn","count":1}]"#,
    },
    Case {
        name: "table answers lost",
        service: NONE,
        table: r#"[{"fault":"lose-answer","path":"/table/txn"}]"#,
    },
    Case {
        name: "table answers lost, reads down",
        service: NONE,
        table: r#"[{"fault":"lose-answer","path":"/table/txn"},{"fault":"outage","path":"/table/get"}]"#,
    },
    Case {
        name: "table silent once",
        service: NONE,
        table: r#"[{"fault":"silence","path":"/table/txn","count":1}]"#,
    },
    Case {
        name: "table answers lost, answer cut",
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

/// Checks what callers were told of a key against what targets ran.
async fn check(fleet: &Fleet, name: &str, key: &str, answers: &[Result<TextResponse, SendError>]) {
    let runs = fleet.key_runs(key).await;
    assert!(runs <= 1, "{name}: {runs} runs");
    let told = answers.iter().flatten();
    let done: Vec<_> = told.clone().filter(|a| a.outcome == "done").collect();
    for answer in told {
        if answer.status == 409 {
            assert!(
                !answer.retry_after.is_empty(),
                "{name}: no time to come back"
            );
        }
    }
    for answer in &done {
        assert_eq!(runs, 1, "{name}: done without a run");
        assert_eq!(answer.status, done[0].status, "{name}");
        assert_eq!(answer.content_type, done[0].content_type, "{name}");
        assert_eq!(answer.body, done[0].body, "{name}: another body");
        assert!(answer.body.contains("\"run\":"), "{name}: {}", answer.body);
    }
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

#[test]
fn a_claimed_key_runs_at_most_once_whatever_fails() {
    smol::block_on(async {
        let fleet = start().await;
        for (i, case) in CASES.iter().enumerate() {
            try_key(&fleet, case, &format!("key-{i}")).await;
        }
    });
}

#[test]
fn a_ticket_runs_at_most_once_whatever_fails() {
    smol::block_on(async {
        let fleet = start().await;
        for (i, case) in CASES.iter().enumerate() {
            let key = minted(&fleet, i % 3).await;
            try_key(&fleet, case, &key).await;
        }
    });
}

/// Sends a key to all nodes at once under the case's faults, then twice to each without them.
async fn try_key(fleet: &Fleet, case: &Case, key: &str) {
    until("all targets are open", async || {
        fleet.all_targets_open().await
    })
    .await;
    fail(fleet, case.service, case.table).await;
    let nodes = 0..fleet.nodes.len();
    let sends = nodes.clone().map(|n| fleet.post(n, PATH, key, BODY));
    let mut answers = join_all(sends).await;
    check(fleet, case.name, key, &answers).await;
    fail(fleet, NONE, NONE).await;
    for n in nodes.clone().chain(nodes) {
        let again = fleet.post(n, PATH, key, BODY).await;
        check(fleet, case.name, key, std::slice::from_ref(&again)).await;
        answers.retain(|a| a.as_ref().is_ok_and(|a| a.outcome == "done"));
        answers.push(again);
        check(fleet, case.name, key, &answers).await;
    }
}

#[test]
fn a_recorded_answer_comes_back_byte_for_byte() {
    smol::block_on(async {
        let fleet = start().await;
        let ticket = minted(&fleet, 2).await;
        for key in ["plain-key", ticket.as_str()] {
            let mut bodies = Vec::new();
            for n in [0, 1, 2, 0] {
                let answer = echo(&fleet, n, key).await;
                assert_eq!(answer.0, 201, "{key}");
                assert_eq!(answer.1, "audio/x-bell", "{key}");
                bodies.push(answer.2);
            }
            assert!(bodies.iter().all(|b| b == BYTES), "{key}: {bodies:?}");
            assert_eq!(fleet.key_runs(key).await, 1, "{key}");
        }
    });
}

/// Not UTF-8.
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
    let sent = client.send(&addr, request, Pooling::Fresh, LIMIT).await;
    let reply = sent.expect("an answer");
    let kind = reply.header("content-type").unwrap_or_default().to_owned();
    let status = reply.status();
    (status, kind, reply.bytes(LIMIT).await.expect("a body"))
}

async fn minted(fleet: &Fleet, n: usize) -> String {
    let answer = fleet.post(n, "/tickets", "", "").await.expect("a ticket");
    assert_eq!(answer.status, 201, "{}", answer.body);
    let body: serde_json::Value = serde_json::from_str(&answer.body).expect("JSON");
    body["key"].as_str().expect("a key").to_owned()
}

const SLOW: &str = r#"[{"fault":"latency","ms":800}]"#;

#[test]
fn a_key_stays_unknown_when_its_node_is_killed() {
    smol::block_on(async {
        let mut fleet = start().await;
        let keys = ["claimed".to_owned(), minted(&fleet, 0).await];
        fail(&fleet, SLOW, NONE).await;
        let mut first = fleet.nodes.remove(0);
        let addr = first.addr("callers");
        let sends = keys.clone().map(|key| {
            let addr = addr.clone();
            smol::spawn(async move { post(&addr, &key).await })
        });
        until("both run", async || {
            fleet.key_runs(&keys[0]).await == 1 && fleet.key_runs(&keys[1]).await == 1
        })
        .await;
        first.kill();
        for send in sends {
            assert!(send.await.is_err(), "a killed node answered");
        }
        fail(&fleet, NONE, NONE).await;
        for key in &keys {
            for n in [0, 1, 0] {
                let answer = fleet.post(n, PATH, key, BODY).await.expect("an answer");
                assert_eq!(answer.outcome, "unknown", "{key}: {answer:?}");
                assert_eq!(fleet.key_runs(key).await, 1, "{key}");
            }
        }
        // The same VM in its next life knows nothing of the keys of the last one.
        let next = fleet.start_node(1).expect("a node starts");
        fleet.nodes.insert(0, next);
        fleet.publish_vms().await.expect("the list is written");
        fleet.wait_vm_list().await.expect("the list is read");
        for key in &keys {
            for n in 0..3 {
                let answer = fleet.post(n, PATH, key, BODY).await.expect("an answer");
                assert_eq!(answer.outcome, "unknown", "{key}: {answer:?}");
                assert_eq!(fleet.key_runs(key).await, 1, "{key}");
            }
        }
    });
}

#[test]
fn a_paused_node_keeps_its_keys() {
    smol::block_on(async {
        let fleet = start().await;
        let keys = ["claimed".to_owned(), minted(&fleet, 0).await];
        fail(&fleet, SLOW, NONE).await;
        let addr = fleet.nodes[0].addr("callers");
        let sends = keys.clone().map(|key| {
            let addr = addr.clone();
            smol::spawn(async move { post(&addr, &key).await })
        });
        until("both run", async || {
            fleet.key_runs(&keys[0]).await == 1 && fleet.key_runs(&keys[1]).await == 1
        })
        .await;
        fleet.nodes[0].signal("STOP");
        fail(&fleet, NONE, NONE).await;
        for key in &keys {
            let answer = fleet.post(1, PATH, key, BODY).await.expect("an answer");
            assert_eq!(answer.outcome, "unknown", "{key}: {answer:?}");
            assert!(
                !answer.retry_after.is_empty(),
                "{key}: no time to come back"
            );
        }
        fleet.nodes[0].signal("CONT");
        for (send, key) in sends.into_iter().zip(&keys) {
            let first = send.await;
            let answers = [first, fleet.post(2, PATH, key, BODY).await];
            check(&fleet, "after the pause", key, &answers).await;
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
            fail(
                &fleet,
                NONE,
                r#"[{"fault":"latency","ms":150,"path":"/table/txn"}]"#,
            )
            .await;
            let send = smol::spawn({
                let (addr, key) = (addr.clone(), key.clone());
                async move { post(&addr, &key).await }
            });
            Timer::after(Duration::from_millis(40 * round)).await;
            fleet.nodes[0].signal("STOP");
            let mut answers = Vec::new();
            for n in [1, 2] {
                answers.push(fleet.post(n, PATH, &key, BODY).await);
            }
            fleet.nodes[0].signal("CONT");
            fail(&fleet, NONE, NONE).await;
            answers.push(send.await);
            answers.push(fleet.post(1, PATH, &key, BODY).await);
            check(&fleet, &key, &key, &answers).await;
        }
    });
}

#[test]
fn a_claim_given_up_before_its_dispatch_is_taken_over() {
    smol::block_on(async {
        let fleet = start().await;
        let lost = r#"[{"fault":"lose-answer","path":"/table/txn","count":1},
                       {"fault":"outage","path":"/table/get"}]"#;
        fail(&fleet, NONE, lost).await;
        let first = fleet.post(0, PATH, "k", BODY).await.expect("an answer");
        assert_eq!(first.outcome, "unknown", "{first:?}");
        // The row can't be released, because reads are still down; its writer says so itself.
        let second = fleet.post(1, PATH, "k", BODY).await.expect("an answer");
        assert_eq!(second.outcome, "done", "{second:?}");
        fail(&fleet, NONE, NONE).await;
        let third = fleet.post(0, PATH, "k", BODY).await;
        check(&fleet, "taken over", "k", &[Ok(second), third]).await;
    });
}

#[test]
fn without_a_key_a_call_is_dispatched_once() {
    smol::block_on(async {
        let fleet = start().await;
        for fault in ["lose-answer", "cut-answer", "no-length", "cross-answer"] {
            fail(&fleet, &format!(r#"[{{"fault":"{fault}"}}]"#), NONE).await;
            until("a service is open again", async || {
                let before = fleet.body_runs(fault).await;
                assert_eq!(before, 0, "{fault}: a run behind a not-run");
                let answer = fleet.post(0, PATH, "", fault).await.expect("an answer");
                assert_ne!(answer.outcome, "done", "{fault}: {answer:?}");
                answer.outcome == "unknown"
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
        fail(&fleet, NONE, down).await;
        let before = fleet.table_stats().await.0;
        for n in 0..3 {
            let key = minted(&fleet, 0).await;
            let first = fleet.post(n, PATH, &key, BODY).await;
            let answers = [first, fleet.post((n + 1) % 3, PATH, &key, BODY).await];
            check(&fleet, "outage", &key, &answers).await;
            assert!(answers.iter().flatten().all(|a| a.outcome == "done"));
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
