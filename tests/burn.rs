//! Burn rates and the burn report of nodes in separate processes.

use rw_http::Method;
use rw_test::{ACCOUNT_KEY, Fleet, FleetSettings, TextRequest, get, send_request};
use rw_types::TargetKind;
use std::time::{Duration, Instant};

const BINARY: &str = env!("CARGO_BIN_EXE_redwingweir");
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Longest wait for a condition.
const TIMEOUT: Duration = Duration::from_secs(30);

struct Case {
    name: &'static str,
    /// Faults set at the engine and at the service.
    faults: &'static str,
    path: &'static str,
    body: &'static str,
    service: &'static str,
    cause: &'static str,
}

const GENERATE: &str = r#"{"model":"small","max_tokens":8,"prompt":"hello"}"#;
const STREAM: &str = r#"{"model":"small","max_tokens":8,"prompt":"hello","stream":true}"#;

const CASES: &[Case] = &[
    Case {
        name: "complete and on time",
        faults: "[]",
        path: "/v1/completions",
        body: GENERATE,
        service: "chat",
        cause: "good",
    },
    Case {
        name: "after its deadline",
        faults: r#"[{"fault":"latency","ms":3500}]"#,
        path: "/services/reservations/lookup/1",
        body: "",
        service: "reservations",
        cause: "late",
    },
    Case {
        name: "no engine accepts it",
        faults: r#"[{"fault":"refuse","path":"/generate"}]"#,
        path: "/v1/completions",
        body: GENERATE,
        service: "chat",
        cause: "refused",
    },
    Case {
        name: "a response with a wrong content length",
        faults: r#"[{"fault":"wrong-length"}]"#,
        path: "/services/reservations/reserve",
        body: "{}",
        service: "reservations",
        cause: "unknown",
    },
    Case {
        name: "a stream cut on every engine",
        faults: r#"[{"fault":"cut-answer","path":"/generate"}]"#,
        path: "/v1/completions",
        body: STREAM,
        service: "chat",
        cause: "cut",
    },
];

#[test]
fn each_cause_is_counted_once_and_merged_over_the_nodes() {
    smol::block_on(async {
        let plan = FleetSettings {
            engines: vec![Vec::new()],
            ..FleetSettings::default()
        };
        let fleet = Fleet::start(BINARY, plan).await.expect("the fleet starts");
        let bearer = format!("Bearer {ACCOUNT_KEY}");
        let headers = [
            ("authorization", bearer.as_str()),
            ("x-work-kind", "quick"),
            ("x-deadline-ms", "3000"),
        ];
        for (i, case) in CASES.iter().enumerate() {
            let targets = [&fleet.engines[0], &fleet.services[0]];
            for target in targets {
                fleet
                    .set_faults(target, case.faults)
                    .await
                    .expect("the fault is set");
            }
            let node = &fleet.nodes[i % 3];
            let call = TextRequest {
                method: Method::Post,
                path: case.path,
                body: case.body,
                headers: &headers,
            };
            // The result is ignored because a cut stream has no complete response.
            let _ = send_request(&node.addr("callers"), call).await;
            let text = get(&node.addr("callers"), "/metrics")
                .await
                .expect("metrics")
                .body;
            let line = format!(
                r#"rw_burn_answers_total{{cause="{}",kind="quick",service="{}"}} 1"#,
                case.cause, case.service
            );
            assert!(text.contains(&line), "{}: {text}", case.name);
            for target in targets {
                fleet
                    .set_faults(target, "[]")
                    .await
                    .expect("the fault is cleared");
            }
        }
        let burn = fleet.command(1, &["burn", "--json"]).expect("burn runs");
        assert_eq!(burn.code, 0, "{}", burn.stderr);
        let report: serde_json::Value = serde_json::from_str(&burn.stdout).expect("JSON");
        let lines = report["lines"].as_array().expect("lines");
        for (service, cause, answers, rate) in [
            ("chat", "refused", 3, 66.67),
            ("reservations", "late", 2, 100.0),
        ] {
            let line = lines
                .iter()
                .find(|l| l["service"] == service)
                .expect(service);
            assert_eq!(line["objective"], 0.99);
            let window = &line["windows"][1];
            assert_eq!(window["answers"], answers, "{line}");
            assert_eq!(window[cause], 1, "{line}");
            let shown = window["rate"].as_f64().expect("a rate");
            assert!((shown - rate).abs() < 0.01, "{line}");
        }
        let states = report["states"].as_array().expect("states");
        let in_force = states
            .iter()
            .filter(|s| s["what"] == "configuration 1 in force");
        assert_eq!(in_force.count(), 3, "{states:?}");
        let table = fleet.command(0, &["burn"]).expect("burn runs");
        assert!(table.stdout.contains("burns most"), "{}", table.stdout);
    });
}

#[test]
fn loads_of_another_version_pause_while_objectives_burn() {
    smol::block_on(async {
        let plan = FleetSettings {
            engines: vec![vec!["--change-ms".to_owned(), "50".to_owned()]; 2],
            ..FleetSettings::default()
        };
        let mut fleet = Fleet::start(BINARY, plan).await.expect("the fleet starts");
        // An engine reports the version of models that it was ordered to load.
        let mut config = fleet.config.clone();
        let mut other = config.models[0].clone();
        other.name = "other".to_owned();
        config.models.insert(0, other);
        let engines = config.targets.iter_mut();
        for target in engines.filter(|t| t.kind == TargetKind::Engine) {
            target.models.insert(0, "other".to_owned());
        }
        fleet.accept(config.clone()).await.expect("accepted");
        wait_loaded(&fleet, "1").await;
        send_calls(&fleet, r#"[{"fault":"refuse"}]"#, 25).await;
        let states = wait_reported(&fleet, "loads of other versions pause").await;
        assert!(states >= 1);
        config.models[0].version = "2".to_owned();
        fleet.accept(config).await.expect("accepted");
        wait_reported(&fleet, "configuration 3 in force").await;
        for _ in 0..60 {
            assert_eq!(
                loaded(&fleet, "2").await,
                0,
                "a load while the objective burns"
            );
            smol::Timer::after(POLL_INTERVAL).await;
        }
        // Good responses bring the rate down, and the change then continues.
        send_calls(&fleet, "[]", 200).await;
        wait_loaded(&fleet, "2").await;
    });
}

/// Sends `n` idempotent calls of a plain service to every node.
async fn send_calls(fleet: &Fleet, faults: &str, n: usize) {
    let service = &fleet.services[0];
    fleet
        .set_faults(service, faults)
        .await
        .expect("the fault is set");
    let bearer = format!("Bearer {ACCOUNT_KEY}");
    let headers = [("authorization", bearer.as_str()), ("x-work-kind", "quick")];
    for node in &fleet.nodes {
        let calls = (0..n).map(|_| {
            let call = TextRequest {
                method: Method::Get,
                path: "/services/reservations/lookup/1",
                body: "",
                headers: &headers,
            };
            let addr = node.addr("callers");
            async move { send_request(&addr, call).await.expect("a response") }
        });
        for call in calls {
            call.await;
        }
    }
}

/// Waits until the report contains a state change and returns how many nodes reported it.
async fn wait_reported(fleet: &Fleet, what: &str) -> usize {
    let start = Instant::now();
    loop {
        let burn = fleet.command(0, &["burn", "--json"]).expect("burn runs");
        let count = burn.stdout.matches(what).count();
        if count > 0 {
            return count;
        }
        assert!(start.elapsed() < TIMEOUT, "no {what}: {}", burn.stdout);
        smol::Timer::after(POLL_INTERVAL).await;
    }
}

/// The number of engines that accepted an order to load `version` of the other model.
async fn loaded(fleet: &Fleet, version: &str) -> usize {
    let wanted = format!(r#""model":"other","version":"{version}""#);
    let mut count = 0;
    for engine in &fleet.engines {
        let held = get(&engine.addr(""), "/held").await.expect("held").body;
        count += usize::from(held.contains(&wanted));
    }
    count
}

async fn wait_loaded(fleet: &Fleet, version: &str) {
    let start = Instant::now();
    while loaded(fleet, version).await < fleet.engines.len() {
        assert!(start.elapsed() < TIMEOUT, "version {version} is not loaded");
        smol::Timer::after(POLL_INTERVAL).await;
    }
}
