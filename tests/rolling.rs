//! Role changes that operators declare are carried out, one engine at a time.

use rw_test::{Fleet, FleetPlan, get};
use rw_types::{LoadReport, Role, TargetKind};
use std::time::{Duration, Instant};

const BINARY: &str = env!("CARGO_BIN_EXE_redwingweir");
const PAUSE: Duration = Duration::from_millis(20);
/// Longest wait for what must come true.
const LIMIT: Duration = Duration::from_secs(60);

#[test]
fn a_declared_role_is_taken_by_one_engine_at_a_time_through_a_kill() {
    smol::block_on(async {
        let plan = FleetPlan {
            nodes: 4,
            engines: vec![vec!["--change-ms".to_owned(), "500".to_owned()]; 3],
            ..FleetPlan::default()
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
            let mut away = 0;
            for engine in &fleet.engines {
                let report = get(&engine.addr(""), "/load").await.expect("a report");
                let report: LoadReport = serde_json::from_str(&report.body).expect("JSON");
                changed += usize::from(report.role == Role::Decode);
                away += usize::from(report.draining);
            }
            assert!(away <= 1, "{away} engines away at once");
            if changed == fleet.engines.len() {
                break;
            }
            // Whoever leads, a node that dies in between does not stop the change.
            if changed == 1 && !killed {
                fleet.nodes[0].kill();
                fleet.nodes[1].kill();
                killed = true;
            }
            assert!(start.elapsed() < LIMIT, "{changed} of 3 changed");
            smol::Timer::after(PAUSE).await;
        }
        assert!(killed);
    });
}
