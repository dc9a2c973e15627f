//! Measures the cost of one routing decision by number of targets.

use crate::{
    Profile,
    fleet_config::{MODEL, config},
};
use rw_core::{Call, CoreSettings, Effect, Event, Node, Operation};
use rw_fakes::Batch;
use rw_types::{Config, LoadReport, Millis, RequestId, Role, Version};
use std::{fmt::Write as _, sync::Arc, time::Instant};

/// Fleet sizes measured.
const TARGET_COUNTS: [usize; 3] = [100, 1_000, 10_000];
/// Decisions measured per fleet size.
const DECISIONS: u64 = 20_000;
/// Maximum number of open requests.
const MAX_OPEN: u64 = 200;
/// Number of distinct prompts.
const PROMPT_COUNT: u64 = 500;

/// Times the reducer's handling of a request's arrival and of its caller's disconnect. Returns a
/// table with the cost per number of targets and the exponent of its growth.
#[must_use]
pub fn decision_cost_table() -> String {
    let mut text = format!("{:>8} {:>14}\n", "targets", "us a decision");
    let costs: Vec<f64> = TARGET_COUNTS.iter().map(|n| decision_cost_us(*n)).collect();
    for (targets, us) in TARGET_COUNTS.iter().zip(&costs) {
        let _ = writeln!(text, "{targets:>8} {us:>14.2}");
    }
    let growth = costs[2] / costs[0].max(1e-9);
    let _ = writeln!(
        text,
        "100 times the targets cost {growth:.2} times as much, exponent {:.2}",
        growth.log10() / 2.0,
    );
    text
}

fn decision_cost_us(targets: usize) -> f64 {
    let mut node = node(targets);
    let mut running = Vec::new();
    let start = Instant::now();
    for n in 0..DECISIONS {
        let now = Millis(1_000 + n / 10);
        let id = RequestId(n);
        for effect in node.step(
            now,
            Event::Arrived {
                id,
                call: call(n, now),
            },
        ) {
            if let Effect::Dispatch { id, .. } = effect {
                running.push(id);
            }
        }
        if n >= MAX_OPEN && !running.is_empty() {
            let id = running.swap_remove((n * 7 % running.len() as u64) as usize);
            node.step(now, Event::CallerDisconnected { id });
        }
    }
    start.elapsed().as_secs_f64() * 1e6 / DECISIONS as f64
}

fn node(targets: usize) -> Node {
    let Some(profile) = Profile::named("nilebell") else {
        unreachable!("the profile is built in");
    };
    let roles = vec![Role::Mixed; targets];
    let config = Config {
        version: Version(1),
        ..config(&profile, &roles)
    };
    let mut node = Node::new(CoreSettings::default());
    node.step(Millis(0), Event::ConfigRead(Arc::new(config)));
    let report = LoadReport {
        models: vec![MODEL.to_owned()],
        ..Batch::new(profile.engine()).report()
    };
    for i in 0..targets {
        let (target, report) = (format!("engine-{i}"), report.clone());
        node.step(Millis(500), Event::Reported { target, report });
    }
    node
}

fn call(n: u64, now: Millis) -> Call {
    let seed = n % PROMPT_COUNT;
    Call {
        caller: format!("caller-{}", n % 8),
        kind: "listing".to_owned(),
        operation: Operation::Generate {
            model: MODEL.to_owned(),
            prompt: 8_000,
            output: 200,
            blocks: (0..8).map(|p| seed << 8 | p).collect(),
        },
        key: None,
        fingerprint: n,
        deadline: now.plus(30_000),
        explicit_deadline: true,
    }
}
