//! Role changes declared by operators are applied to one engine at a time.

use futures_util::future;
use rw_fakes::AcceptedOrder;
use rw_test::{Fleet, FleetSettings, get};
use rw_types::{LoadReport, OrderKind, Role, TargetKind};
use std::{
    cell::Cell,
    time::{Duration, Instant},
};

const BINARY: &str = env!("CARGO_BIN_EXE_redwingweir");
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Longest wait for a condition.
const TIMEOUT: Duration = Duration::from_secs(60);

#[test]
fn a_declared_role_is_taken_by_one_engine_at_a_time_despite_killed_nodes() {
    smol::block_on(async {
        let plan = FleetSettings {
            nodes: 4,
            engines: vec![vec!["--change-ms".to_owned(), "500".to_owned()]; 3],
            ..FleetSettings::default()
        };
        let mut fleet = Fleet::start(BINARY, plan).await.expect("the fleet starts");
        let mut config = fleet.config.clone();
        let engines = config.targets.iter_mut();
        for target in engines.filter(|t| t.kind == TargetKind::Engine) {
            target.role = Role::Decode;
        }
        fleet.accept(config).await.expect("accepted");
        let start = Instant::now();
        let mut killed = false;
        loop {
            let mut changed = 0;
            let mut draining = 0;
            for engine in &fleet.engines {
                let report = get(&engine.addr(""), "/load").await.expect("a report");
                let report: LoadReport = serde_json::from_str(&report.body).expect("JSON");
                changed += usize::from(report.role == Role::Decode);
                draining += usize::from(report.draining);
            }
            assert!(draining <= 1, "{draining} engines draining at once");
            if changed == fleet.engines.len() {
                break;
            }
            // The change continues whichever node holds the lease, even if nodes die in between.
            if changed == 1 && !killed {
                fleet.nodes[0].kill();
                fleet.nodes[1].kill();
                killed = true;
            }
            assert!(start.elapsed() < TIMEOUT, "{changed} of 3 changed");
            smol::Timer::after(POLL_INTERVAL).await;
        }
        assert!(killed);
    });
}

/// Callers with streams during the role changes.
const CALLERS: usize = 9;
/// Tokens of each stream; at 100 tokens a second it runs for one second.
const TOKENS: usize = 100;

async fn declare_role(fleet: &mut Fleet, role: Role) {
    let mut config = fleet.config.clone();
    let engines = config.targets.iter_mut();
    engines
        .filter(|t| t.kind == TargetKind::Engine)
        .for_each(|t| t.role = role);
    fleet.accept(config).await.expect("accepted");
}

async fn all_have_role(fleet: &Fleet, role: Role) -> bool {
    for engine in &fleet.engines {
        let report = get(&engine.addr(""), "/load").await.expect("a report");
        let report: LoadReport = serde_json::from_str(&report.body).expect("JSON");
        if report.role != role || report.draining {
            return false;
        }
    }
    true
}

/// Role orders that the engines accepted, each with the number of streams that ran at that time.
async fn role_orders(fleet: &Fleet) -> Vec<AcceptedOrder> {
    let mut orders = Vec::new();
    for engine in &fleet.engines {
        let held = get(&engine.addr(""), "/held").await.expect("its orders");
        let held: Vec<AcceptedOrder> = serde_json::from_str(&held.body).expect("JSON");
        let roles = held
            .into_iter()
            .filter(|h| matches!(h.order.kind, OrderKind::Role { .. }));
        orders.extend(roles);
    }
    orders
}

/// Sends one request after the other until `done` and returns the number of complete streams.
async fn send_streams(fleet: &Fleet, caller: usize, done: &Cell<bool>) -> usize {
    let mut complete = 0;
    while !done.get() {
        let body = format!(
            r#"{{"model":"small","max_tokens":{TOKENS},"prompt":"caller {caller}","stream":true}}"#
        );
        let node = caller % fleet.nodes.len();
        let response = fleet.post(node, "/v1/completions", "", &body).await;
        let response = response.expect("a complete response");
        assert_eq!(response.outcome, "done", "{response:?}");
        assert!(response.body.contains("[DONE]"), "{response:?}");
        let tokens = response.body.matches("\"text\":").count();
        assert_eq!(tokens, TOKENS, "{response:?}");
        complete += 1;
    }
    complete
}

#[test]
fn role_changes_cut_no_stream() {
    smol::block_on(async {
        let flags = ["--change-ms", "300", "--decode-rate", "100"].map(str::to_owned);
        let plan = FleetSettings {
            engines: vec![flags.to_vec(); 3],
            ..FleetSettings::default()
        };
        let mut fleet = Fleet::start(BINARY, plan).await.expect("the fleet starts");
        for role in [Role::Decode, Role::Mixed] {
            declare_role(&mut fleet, role).await;
            let done = Cell::new(false);
            let callers = (0..CALLERS).map(|n| send_streams(&fleet, n, &done));
            let watch = async {
                let start = Instant::now();
                while !all_have_role(&fleet, role).await {
                    assert!(start.elapsed() < TIMEOUT, "the engines did not change");
                    smol::Timer::after(POLL_INTERVAL).await;
                }
                done.set(true);
            };
            let (complete, ()) = future::join(future::join_all(callers), watch).await;
            assert!(complete.iter().all(|n| *n > 0), "{complete:?}");
        }
        let orders = role_orders(&fleet).await;
        assert!(orders.len() >= 2 * fleet.engines.len(), "{orders:?}");
        for held in &orders {
            assert_eq!(held.streams, 0, "{held:?}");
        }
    });
}
