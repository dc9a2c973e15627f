//! Authority over targets during failures, on separate processes. The targets record the orders.

use rw_core::{Heartbeat, Holder};
use rw_fakes::AcceptedOrder;
use rw_test::{Fleet, FleetSettings, Process, eventually, get};
use rw_types::{Config, FencingToken, LoadReport, Model, Order, OrderKind, OrderState};
use std::time::Duration;

const BINARY: &str = env!("CARGO_BIN_EXE_redwingweir");
/// Lease duration of the nodes, as in the flags of [`start`].
const LEASE_TIME: Duration = Duration::from_millis(600);

/// Starts two engines with these flags and nodes with short leases.
async fn start(engine: &[&str]) -> Fleet {
    start_with(engine, &["--lease-ms", "600", "--drift-ms", "60"]).await
}

async fn start_with(engine: &[&str], node: &[&str]) -> Fleet {
    let owned = |flags: &[&str]| flags.iter().map(|f| (*f).to_owned()).collect::<Vec<_>>();
    let mut node_flags = owned(node);
    node_flags.extend(owned(&["--order-ms", "200", "--platform-limit-ms", "1000"]));
    let plan = FleetSettings {
        engines: vec![owned(engine), owned(engine)],
        node_flags,
        ..FleetSettings::default()
    };
    Fleet::start(BINARY, plan).await.expect("the fleet starts")
}

/// Waits for a holder of the engines' lease with a fencing token above `previous`.
async fn holder(fleet: &Fleet, previous: FencingToken) -> (usize, FencingToken) {
    eventually("a holder", || async {
        let rows = fleet.rows(&["lease/chat"]).await.ok()?;
        let row = rows.first().filter(|r| r.version.0 > previous.0)?;
        let holder: Holder = serde_json::from_str(&row.value).ok()?;
        let n: usize = holder.vm.strip_prefix("vm-")?.parse().ok()?;
        Some((n - 1, FencingToken(row.version.0)))
    })
    .await
}

async fn order_row(fleet: &Fleet, engine: usize) -> Option<Order> {
    let key = format!("order/engine-{}", engine + 1);
    let rows = fleet.rows(&[&key]).await.ok()?;
    serde_json::from_str(&rows.first()?.value).ok()
}

async fn held_orders(engine: &Process) -> Vec<AcceptedOrder> {
    let response = get(&engine.addr(""), "/held").await.expect("the engine");
    serde_json::from_str(&response.body).expect("its orders")
}

async fn holds_model(engine: &Process, model: &str) -> bool {
    let Ok(response) = get(&engine.addr(""), "/load").await else {
        return false;
    };
    let report: LoadReport = serde_json::from_str(&response.body).expect("a report");
    report.models.iter().any(|m| m == model)
}

/// The fleet's configuration with one more model, with a replica on each engine.
fn with_model(fleet: &Fleet, name: &str) -> Config {
    let mut config = fleet.config.clone();
    config.models.push(Model {
        name: name.to_owned(),
        version: "1".to_owned(),
        adapters: Vec::new(),
        bytes: 1,
        replicas: 2,
    });
    config.sort();
    config
}

async fn add_model(fleet: &mut Fleet, name: &str) {
    let config = with_model(fleet, name);
    fleet.accept(config).await.expect("accepted");
}

async fn wait_model(fleet: &Fleet, name: &str) {
    eventually(&format!("{name} on every engine"), || async {
        for engine in &fleet.engines {
            if !holds_model(engine, name).await {
                return None;
            }
        }
        Some(())
    })
    .await;
}

async fn wait_state(fleet: &Fleet, engine: usize, state: OrderState) -> Order {
    eventually(&format!("an order that is {state:?}"), || async {
        order_row(fleet, engine).await.filter(|o| o.state == state)
    })
    .await
}

/// Checks that every engine had one order at a time, none with a lower fence and none twice.
async fn check_held(fleet: &Fleet, name: &str) {
    for engine in &fleet.engines {
        let held = held_orders(engine).await;
        for (i, one) in held.iter().enumerate() {
            assert!(!one.overlapped, "{name}: two orders at once: {held:?}");
            assert!(
                one.order.fence >= one.highest_fence,
                "{name}: lower fence: {held:?}"
            );
            let again = held[..i].iter().any(|h| h.order.seq >= one.order.seq);
            assert!(!again, "{name}: an order was repeated: {held:?}");
        }
    }
}

#[test]
fn configuration_changes_become_orders() {
    smol::block_on(async {
        let mut fleet = start(&["--change-ms", "50"]).await;
        let before = fleet.config.clone();
        add_model(&mut fleet, "large").await;
        wait_model(&fleet, "large").await;
        let mut newer = fleet.config.clone();
        let large = newer.models.iter_mut().find(|m| m.name == "large");
        large.expect("declared").version = "2".to_owned();
        fleet.accept(newer).await.expect("accepted");
        eventually("version 2 on every engine", || async {
            for engine in &fleet.engines {
                let held = held_orders(engine).await;
                let last = held.last()?;
                let wanted =
                    matches!(&last.order.kind, OrderKind::Load { version, .. } if version == "2");
                if !wanted {
                    return None;
                }
            }
            Some(())
        })
        .await;
        fleet.accept(before).await.expect("accepted");
        eventually("large unloaded", || async {
            for engine in &fleet.engines {
                if holds_model(engine, "large").await {
                    return None;
                }
            }
            Some(())
        })
        .await;
        for engine in &fleet.engines {
            let held = held_orders(engine).await;
            assert_eq!(held.len(), 3, "load, load, unload: {held:?}");
            assert!(held.iter().all(|h| !h.order.reason.is_empty()));
        }
        check_held(&fleet, "orders").await;
    });
}

struct Failover {
    name: &'static str,
    signal: &'static str,
    engine: &'static [&'static str],
}

const FAILOVERS: &[Failover] = &[
    Failover {
        name: "killed, engines check fences",
        signal: "KILL",
        engine: &["--change-ms", "300"],
    },
    Failover {
        name: "killed, engines ignore fences",
        signal: "KILL",
        engine: &["--change-ms", "300", "--ignores-fence"],
    },
    Failover {
        name: "paused, engines check fences",
        signal: "STOP",
        engine: &["--change-ms", "300"],
    },
    Failover {
        name: "paused, engines ignore fences",
        signal: "STOP",
        engine: &["--change-ms", "300", "--ignores-fence"],
    },
];

/// The holder fails after writing an order and before sending it.
#[test]
fn a_successor_resolves_open_orders() {
    smol::block_on(async {
        for case in FAILOVERS {
            let mut fleet = start(case.engine).await;
            let (old, fence) = holder(&fleet, FencingToken(0)).await;
            let late = r#"[{"fault":"late-answer","ms":300,"path":"/table/txn"}]"#;
            fleet
                .set_faults(&fleet.platform, late)
                .await
                .expect("armed");
            add_model(&mut fleet, "large").await;
            let open = wait_state(&fleet, 0, OrderState::Open).await;
            assert_eq!(open.fence, fence, "{}", case.name);
            fleet.nodes[old].signal(case.signal);
            fleet
                .set_faults(&fleet.platform, "[]")
                .await
                .expect("cleared");
            let (new, later) = holder(&fleet, fence).await;
            assert_ne!(new, old, "{}", case.name);
            wait_model(&fleet, "large").await;
            // The successor gives another order before the old holder resumes.
            add_model(&mut fleet, "huge").await;
            wait_model(&fleet, "huge").await;
            if case.signal == "STOP" {
                fleet.nodes[old].signal("CONT");
                smol::Timer::after(2 * LEASE_TIME).await;
            }
            check_held(&fleet, case.name).await;
            for engine in &fleet.engines {
                let held = held_orders(engine).await;
                assert_eq!(held.len(), 2, "{}: {held:?}", case.name);
                let last = held.last().expect("an order");
                assert!(last.order.fence >= later, "{}: {held:?}", case.name);
            }
        }
    });
}

/// The holder dies while the engine runs its order, and the engine completes the order.
#[test]
fn a_change_completes_after_its_holder_dies() {
    smol::block_on(async {
        for engine in [
            &["--change-ms", "2500"][..],
            &["--change-ms", "2500", "--ignores-fence"],
        ] {
            let mut fleet = start(engine).await;
            let (old, fence) = holder(&fleet, FencingToken(0)).await;
            add_model(&mut fleet, "large").await;
            eventually("the order at both engines", || async {
                let both = (
                    held_orders(&fleet.engines[0]).await,
                    held_orders(&fleet.engines[1]).await,
                );
                (!both.0.is_empty() && !both.1.is_empty()).then_some(())
            })
            .await;
            fleet.nodes[old].kill();
            holder(&fleet, fence).await;
            wait_model(&fleet, "large").await;
            wait_state(&fleet, 0, OrderState::Done).await;
            wait_state(&fleet, 1, OrderState::Done).await;
            check_held(&fleet, "holder killed").await;
            for engine in &fleet.engines {
                assert_eq!(held_orders(engine).await.len(), 1);
            }
        }
    });
}

#[test]
fn an_outage_longer_than_a_lease_stops_orders_and_loses_none() {
    smol::block_on(async {
        let mut fleet = start(&["--change-ms", "300"]).await;
        holder(&fleet, FencingToken(0)).await;
        add_model(&mut fleet, "large").await;
        wait_state(&fleet, 0, OrderState::Open).await;
        let outage = r#"[{"fault":"outage","path":"/table"}]"#;
        fleet
            .set_faults(&fleet.platform, outage)
            .await
            .expect("armed");
        // The engine completes the first order while nothing can be written to the table.
        smol::Timer::after(3 * LEASE_TIME).await;
        let during = held_orders(&fleet.engines[0]).await.len();
        assert!(during <= 1, "no second order without the table");
        fleet
            .set_faults(&fleet.platform, "[]")
            .await
            .expect("cleared");
        wait_model(&fleet, "large").await;
        wait_state(&fleet, 0, OrderState::Done).await;
        add_model(&mut fleet, "huge").await;
        wait_model(&fleet, "huge").await;
        check_held(&fleet, "outage").await;
        for engine in &fleet.engines {
            assert_eq!(held_orders(engine).await.len(), 2);
        }
    });
}

#[test]
fn lost_table_responses_duplicate_no_order() {
    smol::block_on(async {
        for lost in [1, 4, 12] {
            let mut fleet = start(&["--change-ms", "50", "--ignores-fence"]).await;
            holder(&fleet, FencingToken(0)).await;
            let fault =
                format!(r#"[{{"fault":"lose-answer","count":{lost},"path":"/table/txn"}}]"#);
            let config = with_model(&fleet, "large");
            fleet.accept(config).await.expect("accepted");
            fleet
                .set_faults(&fleet.platform, &fault)
                .await
                .expect("armed");
            wait_model(&fleet, "large").await;
            wait_state(&fleet, 0, OrderState::Done).await;
            wait_state(&fleet, 1, OrderState::Done).await;
            check_held(&fleet, "lost responses").await;
            for engine in &fleet.engines {
                assert_eq!(held_orders(engine).await.len(), 1, "{lost} lost");
            }
        }
    });
}

#[test]
fn an_engine_that_crashes_in_a_change_fails_its_order_first() {
    smol::block_on(async {
        for engine in [
            &["--change-ms", "700"][..],
            &["--change-ms", "700", "--ignores-fence"],
        ] {
            let mut fleet = start(engine).await;
            holder(&fleet, FencingToken(0)).await;
            add_model(&mut fleet, "large").await;
            eventually("the order at the engine", || async {
                let taken = held_orders(&fleet.engines[0]).await;
                (!taken.is_empty()).then_some(())
            })
            .await;
            // The holder has read the engine's report before the crash.
            smol::Timer::after(Duration::from_millis(200)).await;
            fleet.restart_engine(0).expect("restarted");
            let failed = wait_state(&fleet, 0, OrderState::Failed).await;
            wait_model(&fleet, "large").await;
            let again = wait_state(&fleet, 0, OrderState::Done).await;
            assert!(again.seq > failed.seq);
            check_held(&fleet, "crash").await;
            assert_eq!(
                held_orders(&fleet.engines[0]).await.len(),
                1,
                "one order since the restart"
            );
        }
    });
}

/// The lease is longer than any wait of these tests, so only a release can end it.
#[test]
fn a_leaving_holder_hands_its_leases_over() {
    smol::block_on(async {
        let node = ["--lease-ms", "120000", "--drift-ms", "60"];
        let mut fleet = start_with(&["--change-ms", "50"], &node).await;
        let (old, fence) = holder(&fleet, FencingToken(0)).await;
        fleet.nodes[old].signal("TERM");
        let (new, _) = holder(&fleet, fence).await;
        assert_ne!(new, old);
        let ended = fleet.nodes[old].wait(Duration::from_secs(30));
        assert_eq!(ended, Some(0));
        let rows = fleet.rows(&["heartbeat/chat"]).await.expect("read");
        let heartbeat: Heartbeat = serde_json::from_str(&rows[0].value).expect("a heartbeat");
        assert!(!heartbeat.released, "the successor renews");
        add_model(&mut fleet, "large").await;
        wait_model(&fleet, "large").await;
        check_held(&fleet, "leave").await;
    });
}
