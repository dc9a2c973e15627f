//! Operator commands on separate processes: intent, plan, confirmation, history and secrets.

use rw_http::{Client, Method};
use rw_intent::Plan;
use rw_node::{PlanRequest, call_rpc};
use rw_test::{
    ACCOUNT_KEY, Fleet, FleetSettings, Output, Process, TextRequest, TextResponse, intent_text,
    run, send_request,
};
use rw_types::{Config, Version, WorkKind, hash_key};
use std::{
    fs::{self, File},
    path::PathBuf,
    process::Stdio,
    thread,
    time::Duration,
};

const BINARY: &str = env!("CARGO_BIN_EXE_redwingweir");
/// Number of plans that the documentation promises to keep.
const KEPT_PLANS: usize = 256;
/// Secret of the test fleet.
const SECRET: [u8; 32] = [7; 32];

fn start(nodes: usize) -> Fleet {
    let plan = FleetSettings {
        nodes,
        ..FleetSettings::default()
    };
    smol::block_on(Fleet::start(BINARY, plan)).expect("the fleet starts")
}

fn file(name: &str, text: &str) -> String {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).expect("the file is written");
    path.to_string_lossy().into_owned()
}

fn with_kind(config: &Config, name: &str) -> Config {
    let mut config = config.clone();
    config.kinds.push(WorkKind {
        name: name.to_owned(),
        priority: 1,
        deadline_ms: 1_000,
        objective: 0.9,
    });
    config.sort();
    config
}

fn ok(output: &Output) -> &str {
    assert_eq!(output.code, 0, "{}{}", output.stdout, output.stderr);
    &output.stdout
}

/// The ID in the output of `plan`.
fn plan_id(output: &Output) -> String {
    let words = ok(output).split(' ').nth(1);
    words.expect("plan ID").to_owned()
}

fn set_faults(fleet: &Fleet, text: &str) {
    smol::block_on(fleet.set_faults(&fleet.platform, text)).expect("the fault is set");
}

fn version(fleet: &Fleet, node: usize) -> String {
    let status = fleet.command(node, &["status"]).expect("status runs");
    let words = ok(&status).split(' ').nth(2);
    words.expect("vm configuration N").to_owned()
}

#[test]
fn a_plan_changes_nothing_until_it_is_confirmed() {
    let fleet = start(3);
    let path = file("one.toml", &intent_text(&with_kind(&fleet.config, "slow")));
    let planned = fleet
        .command(0, &["plan", &path, "--by", "amina"])
        .expect("plan runs");
    let id = plan_id(&planned);
    assert!(planned.stdout.contains("+ kind slow"), "{}", planned.stdout);
    assert!(
        planned.stdout.contains("nothing has happened"),
        "{}",
        planned.stdout
    );
    assert_eq!(version(&fleet, 0), "1");

    let confirmed = fleet
        .command(1, &["confirm", &id, "--by", "omar"])
        .expect("confirm runs");
    assert!(
        ok(&confirmed).contains("configuration 2 accepted"),
        "{}",
        confirmed.stdout
    );
    assert!(
        confirmed.stdout.contains("in force on 3 of 3 VMs"),
        "{}",
        confirmed.stdout
    );
    for node in 0..3 {
        assert_eq!(version(&fleet, node), "2");
    }
    let again = fleet
        .command(2, &["confirm", &id, "--by", "amina"])
        .expect("confirm runs");
    assert_eq!(
        ok(&again),
        confirmed.stdout,
        "a repeated confirmation prints the same result"
    );
    let same = fleet.command(0, &["plan", &path]).expect("plan runs");
    assert_eq!(
        (same.code, same.stderr.contains("nothing to confirm")),
        (1, true)
    );
    let none = fleet
        .command(0, &["confirm", "0000"])
        .expect("confirm runs");
    assert_eq!((none.code, none.stderr.contains("is not kept")), (1, true));
}

#[test]
fn an_invalid_file_is_rejected_with_every_error() {
    let fleet = start(1);
    let text = intent_text(&with_kind(&fleet.config, "slow"));
    let text = text
        .replace("deadline_ms", "deadlines")
        .replace("share = 1", "share = -1");
    let output = fleet
        .command(0, &["plan", &file("faulty.toml", &text)])
        .expect("plan runs");
    assert_eq!(output.code, 2, "{}", output.stderr);
    assert_eq!(
        output.stderr.matches("  line ").count(),
        5,
        "{}",
        output.stderr
    );
    assert_eq!(output.stdout, "");
    assert_eq!(version(&fleet, 0), "1");
}

#[test]
fn of_two_concurrent_confirmations_one_succeeds_and_the_other_names_it() {
    let fleet = start(3);
    let mut config = fleet.config.clone();
    for round in 0..8 {
        let proposals = ["amina", "omar"].map(|by| {
            let config = with_kind(&config, &format!("{by}-{round}"));
            let path = file(&format!("race-{by}.toml"), &intent_text(&config));
            let node = usize::from(by == "omar");
            let planned = fleet.command(node, &["plan", &path, "--by", by]);
            (by, node, plan_id(&planned.expect("plan runs")), config)
        });
        let fleet = &fleet;
        let outputs = thread::scope(|scope| {
            let confirm = |by, node, id: String| {
                scope.spawn(move || fleet.command(node, &["confirm", &id, "--by", by]))
            };
            let threads = proposals
                .clone()
                .map(|(by, node, id, _)| confirm(by, node, id));
            threads.map(|t| t.join().expect("no panic").expect("confirm runs"))
        });
        let succeeded: Vec<_> = (0..2).filter(|i| outputs[*i].code == 0).collect();
        assert_eq!(succeeded.len(), 1, "round {round}: {outputs:?}");
        let (winner, loser) = (succeeded[0], 1 - succeeded[0]);
        let message = format!(
            "{} confirmed configuration {}",
            proposals[winner].0,
            round + 2
        );
        assert!(
            outputs[loser].stderr.contains(&message),
            "{}",
            outputs[loser].stderr
        );
        assert!(
            outputs[loser].stderr.contains("redwingweir plan FILE"),
            "{}",
            outputs[loser].stderr
        );
        config = proposals[winner].3.clone();
        // The next plan starts from the configuration in force.
        config.version = Version(round + 2);
    }
}

#[test]
fn a_confirmation_whose_response_was_lost_can_be_retried() {
    let fleet = start(3);
    let path = file("lost.toml", &intent_text(&with_kind(&fleet.config, "slow")));
    let id = plan_id(&fleet.command(0, &["plan", &path]).expect("plan runs"));
    // Every response is lost, but the row can be read back.
    let lose = r#"{"fault":"lose-answer","path":"/table/txn"}"#;
    set_faults(&fleet, &format!("[{lose}]"));
    let confirmed = fleet.command(0, &["confirm", &id]).expect("confirm runs");
    set_faults(&fleet, "[]");
    assert!(ok(&confirmed).contains("configuration 2 accepted"));

    // The response is lost and the table is down when the row should be read back.
    let mut config = with_kind(&fleet.config, "slow");
    config = with_kind(&config, "slower");
    let path = file("lost-2.toml", &intent_text(&config));
    let id = plan_id(&fleet.command(0, &["plan", &path]).expect("plan runs"));
    let slow = r#"{"fault":"latency","ms":900,"path":"/table/txn"}"#;
    set_faults(&fleet, &format!("[{slow},{lose}]"));
    let lost = thread::scope(|scope| {
        let confirm = scope.spawn(|| fleet.command(0, &["confirm", &id]));
        thread::sleep(Duration::from_millis(500));
        set_faults(&fleet, r#"[{"fault":"outage","path":"/table"}]"#);
        confirm.join().expect("no panic").expect("confirm runs")
    });
    assert_eq!(lost.code, 1, "{}", lost.stdout);
    assert!(
        lost.stderr.contains(&format!("redwingweir confirm {id}")),
        "{}",
        lost.stderr
    );
    set_faults(&fleet, "[]");
    for node in 0..3 {
        let again = fleet
            .command(node, &["confirm", &id])
            .expect("confirm runs");
        assert!(
            ok(&again).contains("configuration 3 accepted"),
            "{}",
            again.stdout
        );
    }
    assert_eq!(version(&fleet, 0), "3", "accepted once");
}

#[test]
fn without_the_table_nothing_is_planned_or_confirmed() {
    let fleet = start(1);
    let path = file(
        "outage.toml",
        &intent_text(&with_kind(&fleet.config, "slow")),
    );
    let id = plan_id(&fleet.command(0, &["plan", &path]).expect("plan runs"));
    set_faults(&fleet, r#"[{"fault":"outage","path":"/table"}]"#);
    for args in [["plan", path.as_str()], ["confirm", id.as_str()]] {
        let output = fleet.command(0, &args).expect("the command runs");
        assert_eq!(output.code, 1, "{args:?}");
        let message = "the table does not answer, so nothing was changed";
        assert!(output.stderr.contains(message), "{}", output.stderr);
    }
    assert_eq!(version(&fleet, 0), "1", "status works without the table");
    set_faults(&fleet, "[]");
    let confirmed = fleet.command(0, &["confirm", &id]).expect("confirm runs");
    assert!(ok(&confirmed).contains("configuration 2 accepted"));
}

#[test]
fn explain_lists_the_changes_to_a_target() {
    let fleet = start(1);
    let mut config = fleet.config.clone();
    for leaving in [true, false] {
        config.targets[0].leaving = leaving;
        let path = file("explain.toml", &intent_text(&config));
        let id = plan_id(&fleet.command(0, &["plan", &path]).expect("plan runs"));
        ok(&fleet
            .command(0, &["confirm", &id, "--by", "amina"])
            .expect("confirm runs"));
    }
    let explained = fleet
        .command(0, &["status", "--explain", "engine-1"])
        .expect("status runs");
    let lines: Vec<_> = ok(&explained).lines().collect();
    assert!(
        lines[1].contains("configuration 2")
            && lines[1].contains("confirmed by amina: drain (marked as leaving)"),
        "{}",
        explained.stdout
    );
    assert!(lines[2].contains("configuration 3"), "{}", explained.stdout);
    let other = fleet
        .command(0, &["status", "--explain", "engine-2"])
        .expect("status runs");
    assert!(
        ok(&other).contains("no confirmed plan has touched it"),
        "{}",
        other.stdout
    );
    let none = fleet
        .command(0, &["status", "--explain", "engine-9"])
        .expect("status runs");
    assert_eq!(none.code, 1);
}

fn models(addr: &str, key: &str) -> TextResponse {
    let bearer = format!("Bearer {key}");
    let call = TextRequest {
        method: Method::Get,
        path: "/v1/models",
        body: "",
        headers: &[("authorization", bearer.as_str())],
    };
    smol::block_on(send_request(addr, call)).expect("a response")
}

#[test]
fn a_key_is_replaced_without_a_refusal() {
    let mut fleet = start(3);
    let minted = fleet
        .command(0, &["key", "mint", "tester"])
        .expect("key runs");
    let key = ok(&minted)
        .split_whitespace()
        .find(|w| w.starts_with("rw-"));
    let key = key.expect("a key").to_owned();
    let hash = hash_key(&SECRET, &key);
    assert!(minted.stdout.contains(&hash), "{}", minted.stdout);
    assert!(key.len() >= 64, "a long random key");
    let twice = fleet
        .command(0, &["key", "mint", "tester"])
        .expect("key runs");
    assert_ne!(twice.stdout, minted.stdout);

    let addrs: Vec<_> = fleet.nodes.iter().map(|n| n.addr("callers")).collect();
    let mut config = fleet.config.clone();
    config.accounts[0].keys.push(hash.clone());
    smol::block_on(fleet.accept(config.clone())).expect("both keys accepted");
    // The old key works throughout, the new one once it is in force.
    let works = |key: &str| addrs.iter().all(|addr| models(addr, key).status == 200);
    let mut both = false;
    for _ in 0..180 {
        assert!(works(ACCOUNT_KEY), "the old key is refused");
        both = works(&key);
        if both {
            break;
        }
        thread::sleep(Duration::from_millis(100));
    }
    assert!(both, "the new key is not in force");
    config.accounts[0].keys = vec![hash];
    smol::block_on(fleet.accept(config)).expect("the new key accepted");
    for _ in 0..180 {
        assert!(works(&key), "the new key is refused");
        if addrs
            .iter()
            .all(|addr| models(addr, ACCOUNT_KEY).status == 401)
        {
            return;
        }
        thread::sleep(Duration::from_millis(100));
    }
    panic!("the old key still works");
}

#[test]
fn two_tokens_are_valid_during_a_rotation() {
    struct Case {
        name: &'static str,
        node: &'static str,
        operator: &'static str,
        code: i32,
    }
    const OLD: &str = "old-token-for-loopback";
    const NEW: &str = "new-token-for-loopback";
    const BOTH: &str = "new-token-for-loopback,old-token-for-loopback";
    let cases = [
        Case {
            name: "both on the node, old at the operator",
            node: BOTH,
            operator: OLD,
            code: 0,
        },
        Case {
            name: "both on the node, new at the operator",
            node: BOTH,
            operator: NEW,
            code: 0,
        },
        Case {
            name: "both on the node and at the operator",
            node: BOTH,
            operator: BOTH,
            code: 0,
        },
        Case {
            name: "new on the node, old at the operator",
            node: NEW,
            operator: OLD,
            code: 1,
        },
        Case {
            name: "prefix of a token",
            node: BOTH,
            operator: "new-token-for-loop",
            code: 1,
        },
        Case {
            name: "list that starts with an unknown token",
            node: NEW,
            operator: "x,new-token-for-loopback",
            code: 1,
        },
        Case {
            name: "list with a token that is too short",
            node: "new-token-for-loopback,short",
            operator: NEW,
            code: 2,
        },
    ];
    let fleet = start(0);
    for case in cases {
        let env = [
            ("REDWINGWEIR_TOKEN", case.node),
            ("REDWINGWEIR_SECRET", rw_test::SECRET_HEX),
        ];
        let node = Process::start_with(BINARY, &fleet.node_args(1), &env, Stdio::null());
        let node = node.expect("the node starts");
        if case.code == 2 {
            assert_eq!(node.first_line, "", "{}", case.name);
            continue;
        }
        let operator = node.addr("operators");
        let env = [
            ("REDWINGWEIR_TOKEN", case.operator),
            ("REDWINGWEIR_OPERATOR", operator.as_str()),
        ];
        let status = run(BINARY, &["status"], &env).expect("status runs");
        assert_eq!(status.code, case.code, "{}: {}", case.name, status.stderr);
    }
}

#[test]
fn logs_hold_no_secret() {
    let mut fleet = start(1);
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("secrets.log");
    let logs = File::create(&path).expect("the log is created");
    let mut args = fleet.node_args(2);
    let level = args.iter().position(|a| a == "warn").expect("a level");
    args[level] = "debug".to_owned();
    let env = [
        ("REDWINGWEIR_TOKEN", rw_test::TOKEN),
        ("REDWINGWEIR_SECRET", rw_test::SECRET_HEX),
    ];
    let node = Process::start_with(BINARY, &args, &env, logs.into()).expect("the node starts");
    fleet.nodes.push(node);
    smol::block_on(fleet.wait_ready(1)).expect("the node is ready");
    let addr = fleet.nodes[1].addr("callers");
    models(&addr, ACCOUNT_KEY);
    models(&addr, "a-key-that-nobody-has");
    let intent_path = file(
        "secrets.toml",
        &intent_text(&with_kind(&fleet.config, "slow")),
    );
    let id = plan_id(
        &fleet
            .command(1, &["plan", &intent_path])
            .expect("plan runs"),
    );
    ok(&fleet.command(1, &["confirm", &id]).expect("confirm runs"));
    fleet.nodes[1].signal("TERM");
    assert_eq!(fleet.nodes[1].wait(Duration::from_secs(20)), Some(0));
    let log = fs::read_to_string(&path).expect("the log is read");
    assert!(
        log.contains("configuration 2 in force"),
        "the log was written: {log}"
    );
    let secrets = [
        ACCOUNT_KEY,
        "a-key-that-nobody-has",
        rw_test::TOKEN,
        rw_test::SECRET_HEX,
        &hash_key(&SECRET, ACCOUNT_KEY),
    ];
    for secret in secrets {
        assert!(!log.contains(secret), "{secret} is in the log");
    }
}

#[test]
fn the_latest_plans_are_kept_and_older_ones_dropped() {
    let fleet = start(1);
    let request = PlanRequest {
        by: "amina".to_owned(),
        config: with_kind(&fleet.config, "slow"),
    };
    let operator = fleet.nodes[0].addr("operators");
    let client = Client::default();
    let limit = Duration::from_secs(5);
    let plans: Vec<Plan> = smol::block_on(async {
        let mut plans = Vec::new();
        for _ in 0..=KEPT_PLANS {
            let plan = call_rpc(&client, &operator, rw_test::TOKEN, "plan", &request, limit);
            plans.push(plan.await.expect("a plan"));
        }
        plans
    });
    let dropped = fleet
        .command(0, &["confirm", &plans[0].id])
        .expect("confirm runs");
    assert!(dropped.stderr.contains("is not kept"), "{}", dropped.stderr);
    let kept = fleet
        .command(0, &["confirm", &plans[1].id])
        .expect("confirm runs");
    assert!(ok(&kept).contains("configuration 2 accepted"));
}
