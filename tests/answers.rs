//! Answers arrive whole or visibly not at all, on separate processes: cut, crossed, misnumbered
//! and silent streams, bodies that crash their targets, and retries in an outage.

use rw_http::Method;
use rw_test::{
    ACCOUNT_KEY, Fleet, FleetSettings, Process, TextRequest, TextResponse, send_request,
};
use smol::Timer;
use std::time::Duration;

const BINARY: &str = env!("CARGO_BIN_EXE_redwingweir");
const PATH: &str = "/v1/completions";
const TOKENS: u64 = 40;
const NONE: &str = "[]";
/// Retries that a node may make without a success.
const RETRIES: u64 = 100;
const LIMIT: Duration = Duration::from_secs(20);
const PAUSE: Duration = Duration::from_millis(20);

async fn start(engines: usize) -> Fleet {
    let flags = [
        "--first-byte-ms",
        "300",
        "--token-gap-ms",
        "300",
        "--silence-ms",
        "1000",
    ];
    let plan = FleetSettings {
        engines: vec![Vec::new(); engines],
        node_flags: flags.map(str::to_owned).to_vec(),
        ..FleetSettings::default()
    };
    Fleet::start(BINARY, plan).await.expect("the fleet starts")
}

fn body(prompt: &str, stream: bool) -> String {
    format!(r#"{{"model":"small","max_tokens":{TOKENS},"prompt":"{prompt}","stream":{stream}}}"#)
}

/// The generated text of an answer, streamed or whole.
fn text(answer: &TextResponse) -> String {
    let piece = |json: &str| {
        let value: serde_json::Value = serde_json::from_str(json).ok()?;
        Some(value["choices"][0]["text"].as_str()?.to_owned())
    };
    let lines = answer.body.lines();
    let events: Vec<_> = lines.filter_map(|l| l.strip_prefix("data: ")).collect();
    if events.is_empty() {
        return piece(&answer.body).unwrap_or_default();
    }
    assert_eq!(events.last(), Some(&"[DONE]"), "no end: {}", answer.body);
    events.into_iter().filter_map(piece).collect()
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

const FAULTS: &[&str] = &[
    "cut-answer",
    "lose-answer",
    "cross-answer",
    "repeat-token",
    "skip-token",
    "no-end",
    "stall",
    "silence",
    "refuse",
];

#[test]
fn a_broken_stream_is_resumed_elsewhere_and_arrives_whole() {
    smol::block_on(async {
        let fleet = start(2).await;
        let clean = fleet.post(0, PATH, "", &body("bells", false)).await;
        let wanted = text(&clean.expect("an answer"));
        assert_eq!(wanted.split_whitespace().count() as u64, TOKENS);
        let spoilt = &fleet.engines[0];
        for fault in FAULTS {
            for stream in [false, true] {
                until("all targets are open", async || {
                    fleet.all_targets_open().await
                })
                .await;
                let armed = format!(r#"[{{"fault":"{fault}","path":"/generate"}}]"#);
                fleet
                    .set_faults(spoilt, &armed)
                    .await
                    .expect("a fault is set");
                let before = fleet.calls(spoilt, "/generate").await;
                for n in 0..fleet.nodes.len() {
                    let answer = fleet.post(n, PATH, "", &body("bells", stream)).await;
                    let answer = answer.expect("an answer");
                    assert_eq!(answer.outcome, "done", "{fault}: {answer:?}");
                    assert_eq!(text(&answer), wanted, "{fault}, streamed: {stream}");
                }
                let after = fleet.calls(spoilt, "/generate").await;
                assert!(
                    after > before,
                    "{fault}: the spoilt engine had no part in it"
                );
                fleet.set_faults(spoilt, NONE).await.expect("faults end");
            }
        }
    });
}

#[test]
fn a_stream_that_cannot_be_resumed_is_cut_visibly() {
    smol::block_on(async {
        let fleet = start(2).await;
        for fault in ["cut-answer", "no-end", "stall", "skip-token"] {
            until("all targets are open", async || {
                fleet.all_targets_open().await
            })
            .await;
            for engine in &fleet.engines {
                let armed = format!(r#"[{{"fault":"{fault}","path":"/generate"}}]"#);
                fleet
                    .set_faults(engine, &armed)
                    .await
                    .expect("a fault is set");
            }
            for stream in [false, true] {
                until("all targets are open", async || {
                    fleet.all_targets_open().await
                })
                .await;
                match fleet.post(0, PATH, "", &body("bells", stream)).await {
                    Err(_) => assert!(stream, "{fault}: a whole answer was cut"),
                    Ok(answer) => {
                        assert_eq!(answer.outcome, "unknown", "{fault}: {answer:?}");
                        assert!(
                            !answer.retry_after.is_empty(),
                            "{fault}: no time to come back"
                        );
                        assert!(!answer.body.contains("[DONE]"), "{fault}");
                    }
                }
            }
            for engine in &fleet.engines {
                fleet.set_faults(engine, NONE).await.expect("faults end");
            }
        }
    });
}

/// Engines that a request ended.
fn crashed(engines: &mut [Process]) -> usize {
    let ended = engines
        .iter_mut()
        .map(|e| e.wait(PAUSE))
        .filter(Option::is_some);
    ended.count()
}

async fn arm_crash(fleet: &Fleet) {
    for engine in &fleet.engines {
        let armed = r#"[{"fault":"crash","text":"poison"}]"#;
        fleet
            .set_faults(engine, armed)
            .await
            .expect("a fault is set");
    }
}

#[test]
fn a_body_that_crashes_targets_ends_two_at_most() {
    smol::block_on(async {
        let mut fleet = start(5).await;
        arm_crash(&fleet).await;
        for n in [0, 1, 2, 0, 1, 2] {
            let answer = fleet.post(n, PATH, "", &body("poison", false)).await;
            let answer = answer.expect("an answer");
            assert_eq!(answer.status, 422, "{answer:?}");
            assert!(
                !answer.retry_after.is_empty(),
                "no time to come back: {answer:?}"
            );
            let other = fleet.post(n, PATH, "", &body("bells", false)).await;
            let other = other.expect("an answer");
            assert_eq!(other.outcome, "done", "{other:?}");
        }
        assert_eq!(crashed(&mut fleet.engines), 2);
    });
}

#[test]
fn nodes_that_meet_such_a_body_at_once_add_one_target_each() {
    smol::block_on(async {
        let mut fleet = start(8).await;
        arm_crash(&fleet).await;
        let poison = body("poison", false);
        for _ in 0..2 {
            let sends = (0..3).map(|n| fleet.post(n, PATH, "", &poison));
            for answer in futures_util::future::join_all(sends).await {
                assert_eq!(answer.expect("an answer").status, 422);
            }
        }
        // Two, and one for each further node that runs it at the same moment.
        let ended = crashed(&mut fleet.engines);
        assert!((2..=4).contains(&ended), "{ended} targets ended");
    });
}

#[test]
fn a_head_call_has_its_answer() {
    smol::block_on(async {
        let fleet = start(1).await;
        let bearer = format!("Bearer {ACCOUNT_KEY}");
        let sent = TextRequest {
            method: Method::Head,
            path: "/services/reservations/lookup",
            body: "",
            headers: &[("authorization", bearer.as_str())],
        };
        let answer = send_request(&fleet.nodes[0].addr("callers"), sent).await;
        let answer = answer.expect("an answer");
        assert_eq!((answer.status, answer.outcome.as_str()), (200, "done"));
    });
}

#[test]
fn retries_stay_within_their_budget_in_an_outage() {
    smol::block_on(async {
        let fleet = start(2).await;
        let service = &fleet.services[0];
        let refuse = r#"[{"fault":"refuse"}]"#;
        fleet
            .set_faults(service, refuse)
            .await
            .expect("a fault is set");
        let (requests, path) = (1_000, "/services/reservations/lookup");
        for _ in 0..requests {
            let answer = fleet.post(0, path, "", "{}").await.expect("an answer");
            assert_eq!(answer.outcome, "not-run", "{answer:?}");
            assert!(
                !answer.retry_after.is_empty(),
                "no time to come back: {answer:?}"
            );
        }
        let dispatches = fleet.calls(service, "/lookup").await;
        assert!(dispatches >= requests, "{dispatches} dispatches");
        assert!(dispatches <= requests + RETRIES, "{dispatches} dispatches");
    });
}
