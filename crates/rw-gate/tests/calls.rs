//! Outcomes of dispatches: which calls are retried, and what the caller gets.

mod support;

use rw_gate::{Delivered, DispatchOutcome, Effect, Event, GateSettings, RefusalKind, Role};
use support::*;

struct OutcomeCase {
    name: &'static str,
    path: &'static str,
    outcomes: &'static [DispatchOutcome],
    /// Whether the call is sent to another target after all outcomes.
    is_dispatched: bool,
    refused: Option<RefusalKind>,
}

const REJECTED: DispatchOutcome = DispatchOutcome::Rejected { status: 503 };

#[test]
fn a_call_is_retried_only_if_its_policy_allows() {
    let cases = [
        OutcomeCase {
            name: "at most once, broken: may have run",
            path: "/once/1",
            outcomes: &[BROKEN],
            is_dispatched: false,
            refused: Some(RefusalKind::ResponseLost),
        },
        OutcomeCase {
            name: "at most once, rejected: did not run",
            path: "/once/1",
            outcomes: &[REJECTED],
            is_dispatched: true,
            refused: None,
        },
        OutcomeCase {
            name: "at most once, not sent: did not run",
            path: "/once/1",
            outcomes: &[DispatchOutcome::NotSent],
            is_dispatched: true,
            refused: None,
        },
        OutcomeCase {
            name: "at most once, rejected, then broken: may have run",
            path: "/once/1",
            outcomes: &[REJECTED, BROKEN],
            is_dispatched: false,
            refused: Some(RefusalKind::ResponseLost),
        },
        OutcomeCase {
            name: "idempotent, broken: retried",
            path: "/safe/1",
            outcomes: &[BROKEN],
            is_dispatched: true,
            refused: None,
        },
        OutcomeCase {
            name: "idempotent, broken twice: attempts of the route exhausted",
            path: "/safe/1",
            outcomes: &[BROKEN, BROKEN],
            is_dispatched: false,
            refused: Some(RefusalKind::ResponseLost),
        },
        OutcomeCase {
            name: "idempotent, timed out: may have run",
            path: "/safe/1",
            outcomes: &[DispatchOutcome::TimedOut {
                delivered: Delivered::Nothing,
            }],
            is_dispatched: false,
            refused: Some(RefusalKind::TimedOut),
        },
        OutcomeCase {
            name: "idempotent, cut off after a part that no other target can continue",
            path: "/safe/1",
            outcomes: &[DispatchOutcome::Broken {
                crashed: false,
                delivered: Delivered::Part,
            }],
            is_dispatched: false,
            refused: Some(RefusalKind::Truncated),
        },
        OutcomeCase {
            name: "idempotent, answered with an error, then cut off",
            path: "/safe/1",
            outcomes: &[
                DispatchOutcome::Complete { status: 500 },
                DispatchOutcome::Broken {
                    crashed: true,
                    delivered: Delivered::Part,
                },
            ],
            is_dispatched: false,
            refused: Some(RefusalKind::Truncated),
        },
    ];
    for case in cases {
        let mut world = World::new();
        let (id, mut effects) = world.arrive(request(case.path));
        for outcome in case.outcomes {
            assert!(dispatch(&effects).is_some(), "{}", case.name);
            effects = world.end(id, outcome.clone());
        }
        assert_eq!(
            dispatch(&effects).is_some(),
            case.is_dispatched,
            "{}",
            case.name
        );
        assert_eq!(refused(&effects), case.refused, "{}", case.name);
    }
}

#[test]
fn a_retry_avoids_the_target_that_failed() {
    let mut world = World::new();
    let (id, first) = world.arrive(request("/safe/1"));
    let first = sent_to(&first).to_owned();
    let second = world.end(id, BROKEN);
    assert_ne!(first, sent_to(&second));
}

#[test]
fn an_error_response_is_delivered_if_no_attempt_is_left() {
    let mut world = World::new();
    let (id, _) = world.arrive(request("/safe/1"));
    let retried = world.end(id, DispatchOutcome::Complete { status: 500 });
    assert!(dispatch(&retried).is_some());
    let last = world.end(id, DispatchOutcome::Complete { status: 500 });
    assert!(matches!(last[..], [rw_gate::Effect::Deliver { .. }]));
}

#[test]
fn a_kept_error_response_is_delivered_however_the_retry_ends() {
    let outcomes = [
        DispatchOutcome::NotSent,
        REJECTED,
        BROKEN,
        DispatchOutcome::TimedOut {
            delivered: Delivered::Nothing,
        },
    ];
    for outcome in outcomes {
        let mut world = World::new();
        let (id, _) = world.arrive(request("/safe/1"));
        let retried = world.end(id, DispatchOutcome::Complete { status: 500 });
        assert!(dispatch(&retried).is_some());
        // No third target is left, so the outcome of the second one is final.
        for name in ["p1", "p2", "p3"] {
            world.step(Event::TargetRemoved {
                name: name.to_owned(),
            });
        }
        let last = world.end(id, outcome.clone());
        // A refusal would claim that the call has not run.
        assert_eq!(refused(&last), None, "{outcome:?}");
        let delivered = last
            .iter()
            .any(|e| matches!(e, rw_gate::Effect::Deliver { .. }));
        assert!(delivered, "{outcome:?}");
    }
}

#[test]
fn a_call_that_no_target_got_is_sent_again_whatever_the_budget_has_left() {
    for (outcome, are_all_sent) in [(DispatchOutcome::NotSent, true), (REJECTED, false)] {
        let mut world = World::with(GateSettings {
            retry_slack: 0.0,
            ..GateSettings::default()
        });
        world.step(nodes_listed(1));
        let mut again = 0;
        for _ in 0..20 {
            world.now += 10;
            let (id, _) = world.arrive(request("/safe/1"));
            let effects = world.end(id, outcome.clone());
            again += usize::from(dispatch(&effects).is_some());
            world.step(Event::ResponseStarted { id, load: None });
            world.end(id, DispatchOutcome::Complete { status: 200 });
        }
        assert_eq!(again == 20, are_all_sent, "{outcome:?}: {again}");
    }
}

#[test]
fn retries_stay_within_the_nodes_share_of_the_budget() {
    struct Case {
        nodes: usize,
        slack: f64,
        max_retries: usize,
    }
    // 200 calls at a ratio of 0.2 allow 40 retries; the slack is divided among the nodes.
    for case in [
        Case {
            nodes: 1,
            slack: 50.0,
            max_retries: 90,
        },
        Case {
            nodes: 5,
            slack: 50.0,
            max_retries: 50,
        },
        Case {
            nodes: 50,
            slack: 50.0,
            max_retries: 41,
        },
    ] {
        let mut world = World::with(GateSettings {
            retry_slack: case.slack,
            ..GateSettings::default()
        });
        world.step(nodes_listed(case.nodes));
        let mut retries = 0;
        for _ in 0..200 {
            world.now += 10;
            let (id, _) = world.arrive(request("/safe/1"));
            let effects = world.end(id, REJECTED);
            retries += usize::from(dispatch(&effects).is_some());
            world.end(id, DispatchOutcome::Complete { status: 200 });
        }
        assert!(
            retries <= case.max_retries,
            "{} nodes: {retries}",
            case.nodes
        );
        assert!(retries > 10, "{} nodes: {retries}", case.nodes);
    }
}

#[test]
fn a_request_that_crashed_two_targets_is_refused_on_all_nodes() {
    let mut world = World::new();
    for _ in 0..2 {
        let (id, sent) = world.arrive(request("/once/1"));
        assert!(dispatch(&sent).is_some());
        world.end(id, CRASHED);
    }
    let (_, third) = world.arrive(request("/once/1"));
    assert_eq!(refused(&third), Some(RefusalKind::Poison));
    let digest = world.gate.publish(rw_types::Millis(world.now));
    let digest = digest.expect("a crash to report");
    let mut other = World::new();
    other.step(Event::DigestReceived(digest));
    let (_, on_other) = other.arrive(request("/once/1"));
    assert_eq!(refused(&on_other), Some(RefusalKind::Poison));
}

#[test]
fn without_a_configuration_a_refusal_names_a_retry_time() {
    let mut gate = rw_gate::Gate::new(GateSettings::default());
    let id = rw_types::RequestId(1);
    let request = request("/safe/1");
    let effects = gate.step(rw_types::Millis(1), Event::CallArrived { id, request });
    let refusal = refusal(&effects).expect("a refusal");
    assert_eq!(refusal.kind.status(), Some(503));
    assert!(refusal.retry_ms > 0);
}

#[test]
fn a_resumable_stream_resumes_after_its_last_event() {
    let mut world = World::new();
    let (id, sent) = world.arrive(generation("/brief/1", (1, 100), (2, 100)));
    let first = sent_to(&sent).to_owned();
    let broken = DispatchOutcome::Broken {
        crashed: false,
        delivered: Delivered::Events(4),
    };
    let retried = world.end(id, broken.clone());
    let resumed = dispatch(&retried).expect("a second target");
    assert_eq!(resumed.resume_after, Some(4));
    assert_ne!(resumed.target, first);
    let truncated = world.end(id, broken);
    assert_eq!(refused(&truncated), Some(RefusalKind::Truncated));
}

#[test]
fn a_stream_that_is_not_resumable_is_truncated() {
    let mut world = World::new();
    let (id, _) = world.arrive(generation("/chat/1", (1, 100), (2, 100)));
    let broken = DispatchOutcome::Broken {
        crashed: false,
        delivered: Delivered::Events(4),
    };
    let truncated = world.end(id, broken);
    assert_eq!(refused(&truncated), Some(RefusalKind::Truncated));
}

#[test]
fn a_long_prompt_is_prefilled_and_decoded_on_separate_engines() {
    let mut world = World::new();
    let (id, sent) = world.arrive(generation("/chat/1", (1, 5_000), (2, 8_000)));
    assert_eq!(mode(&sent), Some(&rw_gate::DispatchMode::Prefill));
    let handle = rw_gate::KvHandle {
        addr: "127.0.0.1:1".to_owned(),
        name: "h".to_owned(),
    };
    let decoded = world.end(id, DispatchOutcome::Prefilled(handle.clone()));
    assert_eq!(mode(&decoded), Some(&rw_gate::DispatchMode::Decode(handle)));
    let role = world
        .gate
        .targets()
        .find(sent_to(&decoded))
        .map(|t| t.spec.role);
    assert_eq!(role, Some(Role::Decode));
}

#[test]
fn a_prefilled_prompt_is_released_if_its_call_ends_before_an_engine_takes_it() {
    struct Case {
        name: &'static str,
        started: bool,
        /// How the decode ends; `None` if the caller disconnects.
        outcome: Option<DispatchOutcome>,
        released: bool,
    }
    let case = |name, started, outcome, released| Case {
        name,
        started,
        outcome,
        released,
    };
    let timed_out = |delivered| Some(DispatchOutcome::TimedOut { delivered });
    let cases = [
        case("the caller leaves first", false, None, true),
        case("the caller leaves during the stream", true, None, false),
        case(
            "no event in time",
            false,
            timed_out(Delivered::Nothing),
            true,
        ),
        case(
            "a late stream",
            true,
            timed_out(Delivered::Events(1)),
            false,
        ),
        case("not sent", false, Some(DispatchOutcome::NotSent), true),
        case(
            "rejected",
            false,
            Some(DispatchOutcome::Rejected { status: 503 }),
            true,
        ),
        case("broken", false, Some(BROKEN), true),
        case("delivered", true, Some(DispatchOutcome::Delivered), false),
        case(
            "answered with an error",
            false,
            Some(DispatchOutcome::Complete { status: 500 }),
            false,
        ),
    ];
    for case in cases {
        let mut world = World::new();
        let (id, _) = world.arrive(generation("/chat/1", (1, 5_000), (2, 8_000)));
        let handle = rw_gate::KvHandle {
            addr: "127.0.0.1:1".to_owned(),
            name: "h".to_owned(),
        };
        world.end(id, DispatchOutcome::Prefilled(handle.clone()));
        if case.started {
            world.step(Event::FirstEvent { id });
        }
        let effects = match case.outcome {
            Some(outcome) => world.end(id, outcome),
            None => world.step(Event::CallerDisconnected { id }),
        };
        let released = effects.contains(&Effect::ReleaseHandle(handle));
        assert_eq!(released, case.released, "{}", case.name);
    }
}

#[test]
fn prompts_avoid_engines_with_many_streams() {
    let mut world = World::new();
    let engines = ["d1", "d2"].map(|name| target(name, ENGINES, Role::Decode));
    world.step(Event::TargetsListed(engines.to_vec()));
    // Another node reports twelve streams on one of two equal engines.
    let report = rw_gate::WorkReport {
        target: "d1".to_owned(),
        calls: 12,
        tokens: 50_000,
        ..rw_gate::WorkReport::default()
    };
    let digest = rw_gate::Digest {
        vm: "z".to_owned(),
        reports: vec![report],
        ..rw_gate::Digest::default()
    };
    world.step(Event::DigestReceived(digest));
    for n in 0..4 {
        // Each prompt is prefilled before the next one arrives, so that only the streams make a
        // difference.
        let (id, sent) = world.arrive(generation("/chat/1", (1, 4_000), (n, 2_000)));
        assert_eq!(sent_to(&sent), "d2");
        world.step(Event::FirstEvent { id });
        world.end(id, DispatchOutcome::Delivered);
        world.now += 100;
    }
}

#[test]
fn urgent_prefills_wait_only_for_the_running_one() {
    struct Case {
        priority: u8,
        /// Milliseconds until it is started, at 10 tokens per millisecond.
        wait: f64,
    }
    let mut queue = rw_gate::PrefillQueue::default();
    let sent = |id, priority, tokens| rw_gate::SentPrefill {
        id: rw_types::RequestId(id),
        sent_at: rw_types::Millis(1_000),
        priority,
        size: rw_gate::PrefillSize { tokens, cached: 0 },
    };
    queue.add(sent(1, 2, 4_000));
    queue.add(sent(2, 2, 3_000));
    queue.add(sent(3, 0, 500));
    let now = rw_types::Millis(1_100);
    let busy = |size: rw_gate::PrefillSize| size.tokens as f64 / 10.0;
    // The first prefill needs another 300 ms; each one takes 3 ms in addition to its tokens.
    for case in [
        Case {
            priority: 0,
            wait: 303.0 + 53.0,
        },
        Case {
            priority: 1,
            wait: 303.0 + 53.0,
        },
        Case {
            priority: 2,
            wait: 303.0 + 53.0 + 303.0,
        },
    ] {
        let wait = queue.wait_ms(now, case.priority, busy);
        assert!((wait - case.wait).abs() < 1.0, "{}: {wait}", case.priority);
    }
    // Once the first prefill has finished, the urgent one is running.
    queue.finish(now, rw_types::RequestId(1));
    assert!((queue.wait_ms(now, 0, busy) - 53.0).abs() < 1.0);
}
