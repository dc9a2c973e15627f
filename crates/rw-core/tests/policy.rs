//! Unit tests of routing, admission, concurrency limits, shares and role plans.

use rw_core::{
    AttemptOutcome, CacheView, Call, ConcurrencyLimit, CoreSettings, Effect, Event, KindDemand,
    Node, Operation, Policy, ShareUsage, Split, served_ratio, sort_by_prompt_ratio,
};
use rw_types::{
    AttemptId, Backlog, CacheEvent, Config, IterationCosts, LoadReport, Millis, Model, OrderKind,
    RefusalKind, RequestId, Role, RoleLimit, Service, ServiceKind, Target, TargetKind, Version,
    WorkKind,
};
use std::sync::Arc;

fn target(name: &str, role: Role) -> Target {
    Target {
        name: name.to_owned(),
        addr: "127.0.0.1:1".to_owned(),
        centre: "a".to_owned(),
        kind: TargetKind::Engine,
        service: "chat".to_owned(),
        group: String::new(),
        models: vec!["small".to_owned()],
        role,
        checks_fence: name != "e3",
        leaving: false,
    }
}

fn kind(name: &str, priority: u8, deadline_ms: u64) -> WorkKind {
    WorkKind {
        name: name.to_owned(),
        priority,
        deadline_ms,
        objective: 0.99,
    }
}

fn node(policy: Policy) -> Node {
    let mut config = Config {
        version: Version(1),
        models: vec![Model {
            name: "small".to_owned(),
            version: "1".to_owned(),
            adapters: Vec::new(),
            bytes: 1,
            replicas: 1,
        }],
        services: vec![Service {
            name: "chat".to_owned(),
            kind: ServiceKind::Engine,
            idempotent: Vec::new(),
        }],
        targets: ["e1", "e2", "e3"].map(|n| target(n, Role::Mixed)).to_vec(),
        kinds: vec![kind("long", 2, 60_000), kind("quick", 7, 2_000)],
        ..Config::default()
    };
    config.sort();
    let settings = CoreSettings {
        centre: "a".to_owned(),
        policy,
        ..CoreSettings::default()
    };
    let mut node = Node::new(settings);
    node.step(Millis(0), Event::ConfigRead(Arc::new(config)));
    for name in ["e1", "e2", "e3"] {
        send_report(&mut node, 10, name, report(0, 0));
    }
    node
}

fn report(queued: u64, running: u32) -> LoadReport {
    let limit = |role, slots, chunk| RoleLimit { role, slots, chunk };
    LoadReport {
        queued,
        running,
        slots: 16,
        models: vec!["small".to_owned()],
        prefill_rate: 10_000,
        decode_rate: 25,
        slot_ms: 1_000,
        costs: IterationCosts {
            base_us: 40_000.0,
            token_us: 50.0,
            stream_us: 250.0,
        },
        limits: vec![
            limit(Role::Mixed, 16, 1_024),
            limit(Role::Prefill, 8, 4_096),
            limit(Role::Decode, 32, 256),
        ],
        backlog: vec![Backlog {
            priority: 2,
            tokens: queued,
            ..Backlog::default()
        }],
        ..LoadReport::default()
    }
}

fn send_report(node: &mut Node, now: u64, name: &str, report: LoadReport) {
    let target = name.to_owned();
    node.step(Millis(now), Event::Reported { target, report });
}

fn arrive(node: &mut Node, now: u64, id: u64, kind: &str, prompt: u64, output: u64) -> Effect {
    arrive_as(node, now, id, "shop", kind, prompt, output)
}

fn arrive_as(
    node: &mut Node,
    now: u64,
    id: u64,
    caller: &str,
    kind: &str,
    prompt: u64,
    output: u64,
) -> Effect {
    let call = call(node, now, id, caller, kind, prompt, output);
    let id = RequestId(id);
    let effects = node.step(Millis(now), Event::Arrived { id, call });
    effects.into_iter().next().expect("an effect")
}

fn call(
    node: &Node,
    now: u64,
    id: u64,
    caller: &str,
    kind: &str,
    prompt: u64,
    output: u64,
) -> Call {
    let left = node.config().kind(kind).map_or(60_000, |k| k.deadline_ms);
    Call {
        caller: caller.to_owned(),
        kind: kind.to_owned(),
        operation: Operation::Generate {
            model: "small".to_owned(),
            prompt,
            output,
            blocks: (0..prompt / 1_000).collect(),
        },
        key: None,
        fingerprint: id,
        deadline: Millis(now + left),
        explicit_deadline: !kind.is_empty(),
    }
}

fn sent_to(effect: &Effect) -> &str {
    match effect {
        Effect::Dispatch { target, .. } => target,
        _ => "",
    }
}

struct AdmissionCase {
    name: &'static str,
    kind: &'static str,
    prompt: u64,
    output: u64,
    queued: u64,
    refused: Option<RefusalKind>,
}

const ADMISSION_CASES: &[AdmissionCase] = &[
    AdmissionCase {
        name: "idle fleet",
        kind: "quick",
        prompt: 500,
        output: 4,
        queued: 0,
        refused: None,
    },
    AdmissionCase {
        name: "output too long for its deadline",
        kind: "quick",
        prompt: 500,
        output: 100,
        queued: 0,
        refused: Some(RefusalKind::TooLate),
    },
    AdmissionCase {
        name: "behind work of lower priority",
        kind: "quick",
        prompt: 500,
        output: 4,
        queued: 900_000,
        refused: None,
    },
    AdmissionCase {
        name: "behind work of its own priority",
        kind: "long",
        prompt: 500,
        output: 4,
        queued: 900_000,
        refused: Some(RefusalKind::TooLate),
    },
    AdmissionCase {
        name: "no kind and no explicit deadline",
        kind: "",
        prompt: 500,
        output: 1_000_000,
        queued: 0,
        refused: None,
    },
];

#[test]
fn requests_that_would_miss_their_deadline_are_refused_with_a_retry_delay() {
    for case in ADMISSION_CASES {
        let mut node = node(Policy::default());
        for name in ["e1", "e2", "e3"] {
            send_report(&mut node, 20, name, report(case.queued, 0));
        }
        match (
            arrive(&mut node, 21, 1, case.kind, case.prompt, case.output),
            case.refused,
        ) {
            (Effect::Refuse { refusal, .. }, Some(kind)) => {
                assert_eq!(refusal.kind, kind, "{}", case.name);
                assert_eq!(refusal.outcome, rw_types::Outcome::NotRun, "{}", case.name);
                assert!(refusal.retry_ms > 0, "{}", case.name);
            }
            (Effect::Dispatch { .. }, None) => {}
            (effect, _) => panic!("{}: {effect:?}", case.name),
        }
    }
}

#[test]
fn an_explicit_deadline_is_enforced_without_a_kind_of_work() {
    let mut node = node(Policy::default());
    let mut stated = call(&node, 21, 1, "shop", "", 500, 1_000_000);
    stated.explicit_deadline = true;
    let id = RequestId(1);
    let event = Event::Arrived { id, call: stated };
    let effects = node.step(Millis(21), event);
    let [Effect::Refuse { refusal, .. }] = effects.as_slice() else {
        panic!("{effects:?}")
    };
    assert_eq!(refusal.kind, RefusalKind::TooLate);
    assert_eq!(refusal.outcome, rw_types::Outcome::NotRun);
}

#[test]
fn a_refusal_for_a_model_that_no_engine_has_loaded_has_a_retry_delay() {
    let mut node = node(Policy::default());
    for name in ["e1", "e2", "e3"] {
        let mut report = report(0, 0);
        report.models.clear();
        send_report(&mut node, 20, name, report);
    }
    match arrive(&mut node, 21, 1, "quick", 500, 4) {
        Effect::Refuse { refusal, .. } => {
            assert_eq!(refusal.kind, RefusalKind::NoTarget);
            assert!(refusal.retry_ms > 0, "no retry delay");
        }
        effect => panic!("{effect:?}"),
    }
}

#[test]
fn routing_uses_reports_own_requests_and_cached_prefixes() {
    let mut node = node(Policy::default());
    send_report(&mut node, 20, "e1", report(50_000, 0));
    send_report(&mut node, 20, "e2", report(50_000, 0));
    assert_eq!(
        sent_to(&arrive(&mut node, 21, 1, "long", 8_000, 4)),
        "e3",
        "least queued"
    );
    let again = arrive(&mut node, 22, 2, "long", 8_000, 4);
    assert_eq!(sent_to(&again), "e3", "the prefix is expected in its cache");
    let mut plain = self::node(Policy {
        cache: false,
        ..Policy::default()
    });
    let first = sent_to(&arrive(&mut plain, 21, 1, "long", 8_000, 4)).to_owned();
    let other = arrive(&mut plain, 22, 2, "long", 8_000, 4);
    assert_ne!(
        sent_to(&other),
        first,
        "own requests count before a report includes them"
    );
}

#[test]
fn a_failed_target_backs_off_and_returns_with_one_request() {
    let mut node = node(Policy::default());
    let first = arrive(&mut node, 21, 1, "long", 500, 4);
    let Effect::Dispatch {
        target, attempt, ..
    } = first
    else {
        panic!("{first:?}")
    };
    let outcome = AttemptOutcome::Broken {
        tokens: 0,
        crashed: false,
    };
    node.step(
        Millis(30),
        Event::AttemptEnded {
            id: RequestId(1),
            attempt,
            outcome,
        },
    );
    let failed = node.targets().find(&target).expect("known");
    assert!(!failed.is_open(Millis(31)), "unavailable at once");
    assert!(
        failed.is_open(Millis(2_000)),
        "available after the back-off"
    );
    assert!(
        failed.limit.allows(0) && !failed.limit.allows(1),
        "limited to one request"
    );
}

struct LimitCase {
    name: &'static str,
    took_ms: f64,
    estimate_ms: f64,
    times: u32,
    cap: u32,
}

#[test]
fn limits_grow_with_responses_in_time_and_shrink_with_slow_ones() {
    const TABLE: &[LimitCase] = &[
        LimitCase {
            name: "in time",
            took_ms: 100.0,
            estimate_ms: 100.0,
            times: 5,
            cap: 6,
        },
        LimitCase {
            name: "slow",
            took_ms: 1_000.0,
            estimate_ms: 100.0,
            times: 5,
            cap: 1,
        },
        LimitCase {
            name: "slower than a very low estimate, but within the network allowance",
            took_ms: 20.0,
            estimate_ms: 0.5,
            times: 5,
            cap: 6,
        },
    ];
    for case in TABLE {
        let mut limit = ConcurrencyLimit::default();
        assert_eq!(limit.on_failure(), 1);
        assert_eq!(limit.on_failure(), 2, "the back-off grows");
        (0..case.times).for_each(|_| limit.on_response(case.took_ms, case.estimate_ms, 1));
        assert_eq!(limit.cap(), case.cap, "{}", case.name);
    }
}

#[test]
fn shares_are_enforced_only_while_others_are_active() {
    let mut shares = ShareUsage::default();
    shares.charge(Millis(0), "greedy", 1, 1_000.0);
    assert!(
        !shares.is_over(Millis(0), "greedy"),
        "the only active caller may use everything"
    );
    shares.charge(Millis(0), "modest", 1, 100.0);
    assert!(shares.is_over(Millis(0), "greedy") && !shares.is_over(Millis(0), "modest"));
    shares.charge(Millis(0), "greedy", 30, 0.0);
    assert!(
        !shares.is_over(Millis(0), "greedy"),
        "within a larger share"
    );
}

#[test]
fn cached_blocks_expire_and_expire_sooner_after_a_gap() {
    let event = |seq, block, stored| CacheEvent { seq, block, stored };
    let mut view = CacheView::default();
    view.apply(Millis(0), &[event(1, 10, true), event(2, 11, true)]);
    assert_eq!(view.hits(Millis(1), &[10, 11, 12]), 2);
    view.apply(Millis(1), &[event(3, 11, false)]);
    assert_eq!(view.hits(Millis(2), &[10, 11, 12]), 1, "evicted");
    view.apply(Millis(2), &[event(9, 12, true)]);
    assert_eq!(
        view.hits(Millis(20_000), &[10]),
        0,
        "a gap shortens the expiry"
    );
    assert_eq!(view.hits(Millis(20_000), &[12]), 1);
    assert_eq!(view.hits(Millis(100_000), &[12]), 0, "expired");
}

fn demand(kind: &str, rate: f64, prefill: f64, output: f64) -> KindDemand {
    KindDemand {
        kind: kind.to_owned(),
        rate,
        prefill: prefill * rate,
        output: output * rate,
    }
}

#[test]
fn capacity_is_higher_with_the_roles_that_the_demand_needs() {
    let sample = report(0, 0);
    let split = |prefill, mixed, decode| Split {
        prefill,
        mixed,
        decode,
    };
    let mut prompts = vec![demand("check", 10.0, 16_000.0, 20.0)];
    let mut outputs = vec![demand("summary", 20.0, 2_000.0, 300.0)];
    sort_by_prompt_ratio(&mut prompts);
    sort_by_prompt_ratio(&mut outputs);
    let at = |split, demand: &[KindDemand]| served_ratio(&split, demand, &sample);
    assert!(at(split(12, 0, 0), &prompts) > at(split(0, 0, 12), &prompts));
    assert!(at(split(0, 0, 12), &outputs) > at(split(12, 0, 0), &outputs));
}

struct PlanCase {
    name: &'static str,
    weight: f64,
    alone: bool,
    proposals: usize,
}

const PLAN_CASES: &[PlanCase] = &[
    PlanCase {
        name: "gain exceeds a low cost",
        weight: 1.0,
        alone: true,
        proposals: 1,
    },
    PlanCase {
        name: "cost exceeds the gain",
        weight: 10_000.0,
        alone: true,
        proposals: 0,
    },
    PlanCase {
        name: "another node holds the lease",
        weight: 1.0,
        alone: false,
        proposals: 0,
    },
];

#[test]
fn a_role_change_is_proposed_only_if_its_gain_exceeds_its_cost_and_one_at_a_time() {
    for case in PLAN_CASES {
        let policy = Policy {
            plan_without_lease: case.alone,
            ..Policy::default()
        };
        let mut node = node(policy);
        let mut config = (**node.config()).clone();
        config.version = Version(2);
        config.change_weight = case.weight;
        node.step(Millis(11), Event::ConfigRead(Arc::new(config)));
        for n in 0..400 {
            let now = 20 + n * 20;
            arrive(&mut node, now, n + 1, "long", 200, 400);
            for name in ["e1", "e2", "e3"] {
                send_report(&mut node, now, name, report(0, 0));
            }
        }
        let proposals = node.proposed_orders();
        assert_eq!(
            proposals.len(),
            case.proposals,
            "{}: {proposals:?}",
            case.name
        );
        for proposal in proposals {
            assert_eq!(
                proposal.kind,
                OrderKind::Role { role: Role::Decode },
                "{}",
                case.name
            );
            assert_ne!(
                proposal.target, "e3",
                "{}: engines that check fencing tokens are preferred",
                case.name
            );
        }
    }
}

#[test]
fn a_resumed_stream_is_never_refused_as_too_late() {
    let mut node = node(Policy::default());
    let first = arrive(&mut node, 21, 1, "quick", 500, 4);
    let Effect::Dispatch { attempt, .. } = first else {
        panic!("{first:?}")
    };
    for name in ["e1", "e2", "e3"] {
        send_report(
            &mut node,
            30,
            name,
            LoadReport {
                backlog: vec![Backlog {
                    priority: 7,
                    tokens: 900_000,
                    ..Backlog::default()
                }],
                ..report(900_000, 16)
            },
        );
    }
    let outcome = AttemptOutcome::Broken {
        tokens: 2,
        crashed: false,
    };
    let effects = node.step(
        Millis(31),
        Event::AttemptEnded {
            id: RequestId(1),
            attempt,
            outcome,
        },
    );
    assert!(
        matches!(
            effects[..],
            [Effect::Dispatch {
                resume: 2,
                attempt: AttemptId(_),
                ..
            }]
        ),
        "{effects:?}"
    );
}
