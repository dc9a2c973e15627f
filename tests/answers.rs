//! Responses arrive complete or fail visibly, on separate processes: truncated, mismatched,
//! misnumbered and silent streams, requests that crash their targets, and retries in an outage.

use rw_http::Method;
use rw_test::{
    ACCOUNT_KEY, Fleet, FleetSettings, Process, TextRequest, TextResponse, send_request,
};
use smol::Timer;
use std::time::Duration;

const BINARY: &str = env!("CARGO_BIN_EXE_redwingweir");
const PATH: &str = "/v1/completions";
const TOKENS: u64 = 40;
const NO_FAULTS: &str = "[]";
/// Retries that the retry budget of a node allows without a success.
const RETRY_BUDGET: u64 = 100;
const TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

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

/// The generated text of a response, streamed or in one body.
fn text(response: &TextResponse) -> String {
    let event_text = |json: &str| {
        let value: serde_json::Value = serde_json::from_str(json).ok()?;
        Some(value["choices"][0]["text"].as_str()?.to_owned())
    };
    let lines = response.body.lines();
    let events: Vec<_> = lines.filter_map(|l| l.strip_prefix("data: ")).collect();
    if events.is_empty() {
        return event_text(&response.body).unwrap_or_default();
    }
    assert_eq!(
        events.last(),
        Some(&"[DONE]"),
        "no [DONE]: {}",
        response.body
    );
    events.into_iter().filter_map(event_text).collect()
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
fn a_broken_stream_is_resumed_on_another_target_and_arrives_complete() {
    smol::block_on(async {
        let fleet = start(2).await;
        let clean = fleet.post(0, PATH, "", &body("bells", false)).await;
        let expected = text(&clean.expect("a response"));
        assert_eq!(expected.split_whitespace().count() as u64, TOKENS);
        let faulty = &fleet.engines[0];
        for fault in FAULTS {
            for stream in [false, true] {
                wait_until("all targets are open", async || {
                    fleet.all_targets_open().await
                })
                .await;
                let armed = format!(r#"[{{"fault":"{fault}","path":"/generate"}}]"#);
                fleet
                    .set_faults(faulty, &armed)
                    .await
                    .expect("a fault is set");
                let before = fleet.calls(faulty, "/generate").await;
                for n in 0..fleet.nodes.len() {
                    let response = fleet.post(n, PATH, "", &body("bells", stream)).await;
                    let response = response.expect("a response");
                    assert_eq!(response.outcome, "done", "{fault}: {response:?}");
                    assert_eq!(text(&response), expected, "{fault}, streamed: {stream}");
                }
                let after = fleet.calls(faulty, "/generate").await;
                assert!(after > before, "{fault}: the faulty engine got no request");
                fleet
                    .set_faults(faulty, NO_FAULTS)
                    .await
                    .expect("faults end");
            }
        }
    });
}

#[test]
fn a_stream_that_cannot_be_resumed_is_cut_visibly() {
    smol::block_on(async {
        let fleet = start(2).await;
        for fault in ["cut-answer", "no-end", "stall", "skip-token"] {
            wait_until("all targets are open", async || {
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
                wait_until("all targets are open", async || {
                    fleet.all_targets_open().await
                })
                .await;
                match fleet.post(0, PATH, "", &body("bells", stream)).await {
                    Err(_) => assert!(stream, "{fault}: an unstreamed response was cut"),
                    Ok(response) => {
                        assert_eq!(response.outcome, "unknown", "{fault}: {response:?}");
                        assert!(!response.retry_after.is_empty(), "{fault}: no retry-after");
                        assert!(!response.body.contains("[DONE]"), "{fault}");
                    }
                }
            }
            for engine in &fleet.engines {
                fleet
                    .set_faults(engine, NO_FAULTS)
                    .await
                    .expect("faults end");
            }
        }
    });
}

/// The number of engines that have exited.
fn crashed(engines: &mut [Process]) -> usize {
    let exited = engines
        .iter_mut()
        .map(|e| e.wait(POLL_INTERVAL))
        .filter(Option::is_some);
    exited.count()
}

/// Engines that get a poisoned request exit `exit_ms` after it, and answer nothing until then.
async fn arm_crash(fleet: &Fleet, exit_ms: u64) {
    for engine in &fleet.engines {
        let armed = format!(r#"[{{"fault":"crash","text":"poison","exit_ms":{exit_ms}}}]"#);
        fleet
            .set_faults(engine, &armed)
            .await
            .expect("a fault is set");
    }
}

#[test]
fn a_crash_is_recognized_while_the_target_still_accepts_connections() {
    smol::block_on(async {
        let mut fleet = start(5).await;
        arm_crash(&fleet, 100).await;
        let response = fleet.post(0, PATH, "", &body("poison", false)).await;
        let response = response.expect("a response");
        assert_eq!(response.status, 422, "{response:?}");
        Timer::after(Duration::from_millis(300)).await;
        assert_eq!(crashed(&mut fleet.engines), 2);
    });
}

#[test]
fn a_request_that_crashes_targets_crashes_at_most_two() {
    smol::block_on(async {
        let mut fleet = start(5).await;
        arm_crash(&fleet, 0).await;
        for n in [0, 1, 2, 0, 1, 2] {
            let response = fleet.post(n, PATH, "", &body("poison", false)).await;
            let response = response.expect("a response");
            assert_eq!(response.status, 422, "{response:?}");
            assert!(
                !response.retry_after.is_empty(),
                "no retry-after: {response:?}"
            );
            let other = fleet.post(n, PATH, "", &body("bells", false)).await;
            let other = other.expect("a response");
            assert_eq!(other.outcome, "done", "{other:?}");
        }
        assert_eq!(crashed(&mut fleet.engines), 2);
    });
}

#[test]
fn concurrent_nodes_crash_at_most_one_more_target_each() {
    smol::block_on(async {
        let mut fleet = start(8).await;
        arm_crash(&fleet, 0).await;
        let poison = body("poison", false);
        for _ in 0..2 {
            let sends = (0..3).map(|n| fleet.post(n, PATH, "", &poison));
            for response in futures_util::future::join_all(sends).await {
                assert_eq!(response.expect("a response").status, 422);
            }
        }
        // Two, and one for each other node that dispatches it at the same time.
        let crashes = crashed(&mut fleet.engines);
        assert!((2..=4).contains(&crashes), "{crashes} targets crashed");
    });
}

#[test]
fn a_head_request_gets_its_response() {
    smol::block_on(async {
        let fleet = start(1).await;
        let bearer = format!("Bearer {ACCOUNT_KEY}");
        let sent = TextRequest {
            method: Method::Head,
            path: "/services/reservations/lookup",
            body: "",
            headers: &[("authorization", bearer.as_str())],
        };
        let response = send_request(&fleet.nodes[0].addr("callers"), sent).await;
        let response = response.expect("a response");
        assert_eq!((response.status, response.outcome.as_str()), (200, "done"));
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
            let response = fleet.post(0, path, "", "{}").await.expect("a response");
            assert_eq!(response.outcome, "not-run", "{response:?}");
            assert!(
                !response.retry_after.is_empty(),
                "no retry-after: {response:?}"
            );
        }
        let dispatches = fleet.calls(service, "/lookup").await;
        assert!(dispatches >= requests, "{dispatches} dispatches");
        assert!(
            dispatches <= requests + RETRY_BUDGET,
            "{dispatches} dispatches"
        );
    });
}
