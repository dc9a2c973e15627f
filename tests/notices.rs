//! Targets that say in their responses that they are leaving, or that they want a pause, on separate
//! processes.

use rw_test::{Fleet, FleetSettings, Process};
use smol::Timer;
use std::time::{Duration, Instant};

const BINARY: &str = env!("CARGO_BIN_EXE_redwingweir");
const GENERATE: &str = "/v1/completions";
const LOOKUP: &str = "/services/reservations/lookup";
const CALLS: usize = 20;

async fn start(engines: usize, services: usize) -> Fleet {
    let settings = FleetSettings {
        engines: vec![Vec::new(); engines],
        services,
        ..FleetSettings::default()
    };
    Fleet::start(BINARY, settings)
        .await
        .expect("the fleet starts")
}

fn body(n: usize) -> String {
    format!(r#"{{"model":"small","max_tokens":4,"prompt":"bells {n}","stream":false}}"#)
}

async fn set_faults(fleet: &Fleet, process: &Process, faults: &str) {
    fleet
        .set_faults(process, faults)
        .await
        .expect("faults are set");
}

#[test]
fn a_target_that_says_it_is_leaving_gets_nothing_more() {
    struct Case {
        name: &'static str,
        fault: &'static str,
    }
    let cases = [
        Case {
            name: "with a success",
            fault: r#"[{"fault":"leaving"}]"#,
        },
        Case {
            name: "with a rejection",
            fault: r#"[{"fault":"leaving"},{"fault":"refuse"}]"#,
        },
        Case {
            name: "with a broken response",
            fault: r#"[{"fault":"leaving"},{"fault":"cut-answer"}]"#,
        },
    ];
    for case in cases {
        smol::block_on(async {
            let fleet = start(3, 3).await;
            let kinds = [
                (GENERATE, "/generate", &fleet.engines),
                (LOOKUP, "/lookup", &fleet.services),
            ];
            for (path, path_at_target, targets) in kinds {
                set_faults(&fleet, &targets[0], case.fault).await;
                for n in 0..2 * CALLS {
                    let sent = fleet.post(0, path, "", &body(n)).await;
                    let response = sent.expect("a response");
                    let is_done = response.outcome == "done";
                    assert!(is_done || n < CALLS, "{}: {response:?}", case.name);
                }
                // The first call tells the node, or none if a load report told it before. Services
                // have no load reports.
                let received = fleet.calls(&targets[0], path_at_target).await;
                assert!(received <= 1, "{}: {path}: {received}", case.name);
                assert!(received == 1 || path == GENERATE, "{}", case.name);
            }
        });
    }
}

#[test]
fn an_engine_that_no_longer_says_it_is_leaving_gets_calls_again() {
    smol::block_on(async {
        let fleet = start(1, 1).await;
        let engine = &fleet.engines[0];
        set_faults(&fleet, engine, r#"[{"fault":"leaving"}]"#).await;
        fleet.post(0, GENERATE, "", &body(1)).await.expect("told");
        let refused = fleet.post(0, GENERATE, "", &body(2)).await;
        let refused = refused.expect("a response");
        assert_eq!(refused.outcome, "not-run", "{refused:?}");
        // As after a restart: its load reports don't say so any more.
        set_faults(&fleet, engine, "[]").await;
        let deadline = Instant::now() + Duration::from_secs(5);
        loop {
            let response = fleet.post(0, GENERATE, "", &body(3)).await;
            if response.expect("a response").outcome == "done" {
                break;
            }
            assert!(Instant::now() < deadline, "the engine stays closed");
            Timer::after(Duration::from_millis(50)).await;
        }
    });
}

#[test]
fn targets_that_ask_for_a_pause_get_it_and_callers_hear_when_it_ends() {
    const PAUSE_MS: u64 = 1_500;
    struct Case {
        path: &'static str,
        path_at_target: &'static str,
    }
    let cases = [
        Case {
            path: GENERATE,
            path_at_target: "/generate",
        },
        Case {
            path: LOOKUP,
            path_at_target: "/lookup",
        },
    ];
    for case in cases {
        smol::block_on(async {
            let fleet = start(1, 1).await;
            let target = match case.path {
                GENERATE => &fleet.engines[0],
                _ => &fleet.services[0],
            };
            let path = case.path_at_target;
            let pause =
                format!(r#"[{{"fault":"pause","ms":{PAUSE_MS},"count":1,"path":"{path}"}}]"#);
            set_faults(&fleet, target, &pause).await;
            let asked = Instant::now();
            let first = fleet.post(0, case.path, "", &body(1)).await;
            assert_eq!(first.expect("a response").outcome, "not-run", "{path}");
            let before = fleet.calls(target, path).await;
            while asked.elapsed() < Duration::from_millis(PAUSE_MS - 300) {
                let refused = fleet.post(0, case.path, "", &body(2)).await;
                let refused = refused.expect("a response");
                assert_eq!(refused.outcome, "not-run", "{path}: {refused:?}");
                let retry_s: f64 = refused.retry_after.parse().expect("a retry time");
                let left_s = PAUSE_MS as f64 / 1e3 - asked.elapsed().as_secs_f64();
                assert!(retry_s >= left_s, "{path}: {retry_s} of {left_s}");
                Timer::after(Duration::from_millis(50)).await;
            }
            assert_eq!(fleet.calls(target, path).await, before, "{path}");
            let back = Duration::from_millis(PAUSE_MS * 3 / 2);
            while asked.elapsed() < back {
                Timer::after(Duration::from_millis(50)).await;
            }
            let last = fleet.post(0, case.path, "", &body(3)).await;
            assert_eq!(last.expect("a response").outcome, "done", "{path}");
        });
    }
}
