//! Plans: steps and their order, estimated cost, and infeasible requirements.

use rw_intent::{Plan, PlanInput, StepKind, make_plan, parse_intent};
use rw_types::{Config, Role, Version};

/// Rate limit of the weight store in these tests.
const BYTES_PER_S: u64 = 1_000_000_000;

fn base() -> Config {
    let text = include_str!("../../../examples/nilebell.toml");
    let mut config = parse_intent(text).expect("the example");
    config.version = Version(4);
    config
}

fn plan(change: impl Fn(&mut Config)) -> Plan {
    let old = base();
    let mut new = old.clone();
    change(&mut new);
    new.sort();
    make_plan(PlanInput {
        old: &old,
        new: &new,
        weight_rate: BYTES_PER_S,
    })
}

fn step_texts(plan: &Plan) -> Vec<String> {
    let steps = plan.steps.iter();
    steps
        .map(|s| {
            let what = match &s.kind {
                StepKind::Add => "add".to_owned(),
                StepKind::Load { model, version, .. } => format!("load {model} {version}"),
                StepKind::Role { to, .. } => format!("role {to:?}"),
                StepKind::Unload { model } => format!("unload {model}"),
                StepKind::Drain => "drain".to_owned(),
                StepKind::Remove => "remove".to_owned(),
            };
            format!("{} {what}", s.target)
        })
        .collect()
}

#[test]
fn steps_add_capacity_before_they_remove_it() {
    struct Case {
        name: &'static str,
        change: fn(&mut Config),
        steps: &'static [&'static str],
        weight_seconds: f64,
        lost_seconds: f64,
        engines: (usize, usize, usize),
        infeasible: usize,
    }
    let cases = [
        Case {
            name: "no change",
            change: |_| {},
            steps: &[],
            weight_seconds: 0.0,
            lost_seconds: 0.0,
            engines: (12, 12, 12),
            infeasible: 0,
        },
        Case {
            name: "one engine removed",
            change: |c| c.targets.retain(|t| t.name != "assistant-07"),
            steps: &["assistant-07 drain", "assistant-07 remove"],
            weight_seconds: 0.0,
            lost_seconds: 0.0,
            engines: (12, 11, 11),
            infeasible: 0,
        },
        Case {
            name: "another model on one engine",
            change: |c| {
                let mut tiny = c.models[0].clone();
                tiny.name = "tiny".to_owned();
                tiny.bytes = 6_000_000_000;
                tiny.replicas = 1;
                c.models.push(tiny);
                c.targets[3].models.push("tiny".to_owned());
            },
            steps: &["assistant-01 load tiny 2026-11"],
            weight_seconds: 6.0,
            lost_seconds: 0.0,
            engines: (12, 12, 12),
            infeasible: 0,
        },
        Case {
            name: "role, model and leaving",
            change: |c| {
                c.targets[3].role = Role::Decode;
                c.targets[4].models = vec!["assistant".to_owned()];
                c.targets[5].leaving = true;
            },
            steps: &[
                "assistant-01 role Decode",
                "assistant-02 unload swap",
                "assistant-03 drain",
            ],
            weight_seconds: 0.0,
            lost_seconds: 2.0,
            engines: (12, 10, 11),
            infeasible: 0,
        },
        Case {
            name: "more replicas than engines",
            change: |c| c.models[0].replicas = 13,
            steps: &[],
            weight_seconds: 0.0,
            lost_seconds: 0.0,
            engines: (12, 12, 12),
            infeasible: 1,
        },
        Case {
            name: "a service loses its last target",
            change: |c| {
                c.targets
                    .iter_mut()
                    .for_each(|t| t.leaving = t.service == "app")
            },
            steps: &["app-1 drain", "app-2 drain", "app-3 drain"],
            weight_seconds: 0.0,
            lost_seconds: 0.0,
            engines: (12, 12, 12),
            infeasible: 1,
        },
    ];
    for case in cases {
        let plan = plan(case.change);
        let texts = step_texts(&plan);
        assert_eq!(texts, case.steps, "{}", case.name);
        let e = &plan.estimate;
        assert_eq!(e.weight_seconds, case.weight_seconds, "{}", case.name);
        assert_eq!(e.lost_seconds, case.lost_seconds, "{}", case.name);
        let engines = (e.engines_before, e.engines_during, e.engines_after);
        assert_eq!(engines, case.engines, "{}", case.name);
        assert_eq!(
            plan.infeasible.len(),
            case.infeasible,
            "{}: {:?}",
            case.name,
            plan.infeasible
        );
        assert_eq!(plan.base, Version(4));
        assert_eq!(plan.change.version, Version(5));
    }
}

#[test]
fn a_new_version_is_loaded_on_every_engine_with_the_model() {
    let plan = plan(|c| c.models[1].version = "4".to_owned());
    let expected: Vec<_> = (1..=12)
        .map(|n| format!("assistant-{n:02} load swap 4"))
        .collect();
    assert_eq!(step_texts(&plan), expected);
    assert_eq!(plan.estimate.weight_seconds, 36.0);
}
