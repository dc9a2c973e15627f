//! Every way in which a call can end, and what its caller is told.

mod support;

use rw_gate::{DispatchOutcome, Event, GateSettings, RefusalKind, Role};
use support::*;

struct EndCase {
    name: &'static str,
    path: &'static str,
    ends: &'static [DispatchOutcome],
    /// Whether the call goes to another target after all of them.
    again: bool,
    refused: Option<RefusalKind>,
}

const DECLINED: DispatchOutcome = DispatchOutcome::Rejected { status: 503 };

#[test]
fn a_call_goes_on_only_where_it_may() {
    let cases = [
        EndCase {
            name: "a once call that broke may have run",
            path: "/once/1",
            ends: &[BROKEN],
            again: false,
            refused: Some(RefusalKind::ResponseLost),
        },
        EndCase {
            name: "a once call that was declined did not run",
            path: "/once/1",
            ends: &[DECLINED],
            again: true,
            refused: None,
        },
        EndCase {
            name: "a once call that was not sent did not run",
            path: "/once/1",
            ends: &[DispatchOutcome::NotSent],
            again: true,
            refused: None,
        },
        EndCase {
            name: "declined, then broken: it may have run",
            path: "/once/1",
            ends: &[DECLINED, BROKEN],
            again: false,
            refused: Some(RefusalKind::ResponseLost),
        },
        EndCase {
            name: "an idempotent call that broke is repeated",
            path: "/safe/1",
            ends: &[BROKEN],
            again: true,
            refused: None,
        },
        EndCase {
            name: "but on no more targets than its route allows",
            path: "/safe/1",
            ends: &[BROKEN, BROKEN],
            again: false,
            refused: Some(RefusalKind::ResponseLost),
        },
        EndCase {
            name: "a call whose time ran out may have run",
            path: "/safe/1",
            ends: &[DispatchOutcome::TimedOut { delivered: false }],
            again: false,
            refused: Some(RefusalKind::TimedOut),
        },
    ];
    for case in cases {
        let mut world = World::new();
        let (id, mut effects) = world.arrive(ask(case.path));
        for end in case.ends {
            assert!(dispatch(&effects).is_some(), "{}", case.name);
            effects = world.end(id, end.clone());
        }
        assert_eq!(dispatch(&effects).is_some(), case.again, "{}", case.name);
        assert_eq!(refused(&effects), case.refused, "{}", case.name);
    }
}

#[test]
fn a_repeat_avoids_the_target_that_failed() {
    let mut world = World::new();
    let (id, first) = world.arrive(ask("/safe/1"));
    let first = sent_to(&first).to_owned();
    let second = world.end(id, BROKEN);
    assert_ne!(first, sent_to(&second));
}

#[test]
fn a_failure_of_a_target_is_the_answer_if_nothing_else_is_left() {
    let mut world = World::new();
    let (id, _) = world.arrive(ask("/safe/1"));
    let again = world.end(id, DispatchOutcome::Complete { status: 500 });
    assert!(dispatch(&again).is_some());
    let last = world.end(id, DispatchOutcome::Complete { status: 500 });
    assert!(matches!(last[..], [rw_gate::Effect::Deliver { .. }]));
}

#[test]
fn a_kept_failure_is_the_answer_whatever_became_of_the_repeat() {
    let ends = [
        DispatchOutcome::NotSent,
        DECLINED,
        BROKEN,
        DispatchOutcome::TimedOut { delivered: false },
    ];
    for end in ends {
        let mut world = World::new();
        let (id, _) = world.arrive(ask("/safe/1"));
        let again = world.end(id, DispatchOutcome::Complete { status: 500 });
        assert!(dispatch(&again).is_some());
        // No third target: whatever the second does is the last.
        for name in ["p1", "p2", "p3"] {
            world.step(Event::TargetRemoved {
                name: name.to_owned(),
            });
        }
        let last = world.end(id, end.clone());
        // A refusal would say that it has not run.
        assert_eq!(refused(&last), None, "{end:?}");
        let delivered = last
            .iter()
            .any(|e| matches!(e, rw_gate::Effect::Deliver { .. }));
        assert!(delivered, "{end:?}");
    }
}

#[test]
fn repeats_stay_within_the_nodes_part_of_the_budget() {
    struct Case {
        nodes: usize,
        slack: f64,
        most: usize,
    }
    // 200 calls at a ratio of 0.2 allow 40, and the slack is divided.
    for case in [
        Case {
            nodes: 1,
            slack: 50.0,
            most: 90,
        },
        Case {
            nodes: 5,
            slack: 50.0,
            most: 50,
        },
        Case {
            nodes: 50,
            slack: 50.0,
            most: 41,
        },
    ] {
        let mut world = World::with(GateSettings {
            retry_slack: case.slack,
            ..GateSettings::default()
        });
        world.step(Event::NodeCount(case.nodes));
        let mut repeats = 0;
        for _ in 0..200 {
            world.now += 10;
            let (id, _) = world.arrive(ask("/safe/1"));
            let effects = world.end(id, DECLINED);
            repeats += usize::from(dispatch(&effects).is_some());
            world.end(id, DispatchOutcome::Complete { status: 200 });
        }
        assert!(repeats <= case.most, "{} nodes: {repeats}", case.nodes);
        assert!(repeats > 10, "{} nodes: {repeats}", case.nodes);
    }
}

#[test]
fn a_body_that_crashed_two_targets_is_refused_here_and_elsewhere() {
    let mut world = World::new();
    for _ in 0..2 {
        let (id, sent) = world.arrive(ask("/once/1"));
        assert!(dispatch(&sent).is_some());
        world.end(id, CRASHED);
    }
    let (_, third) = world.arrive(ask("/once/1"));
    assert_eq!(refused(&third), Some(RefusalKind::Poison));
    let digest = world.gate.digest(rw_types::Millis(world.now));
    let mut other = World::new();
    other.step(Event::DigestReceived(digest));
    let (_, there) = other.arrive(ask("/once/1"));
    assert_eq!(refused(&there), Some(RefusalKind::Poison));
}

#[test]
fn without_a_configuration_a_call_is_told_to_come_back() {
    let mut gate = rw_gate::Gate::new(GateSettings::default());
    let id = rw_types::RequestId(1);
    let request = ask("/safe/1");
    let effects = gate.step(rw_types::Millis(1), Event::CallArrived { id, request });
    let refusal = refusal(&effects).expect("a refusal");
    assert_eq!(refusal.kind.status(), Some(503));
    assert!(refusal.retry_ms > 0);
}

#[test]
fn a_node_that_stops_takes_only_what_it_can_finish() {
    struct Case {
        path: &'static str,
        left: u64,
        taken: bool,
    }
    let cases = [
        Case {
            path: "/safe/1",
            left: 4_000,
            taken: true,
        },
        Case {
            path: "/safe/1",
            left: 500,
            taken: false,
        },
        Case {
            path: "/brief/1",
            left: 4_000,
            taken: false,
        },
        Case {
            path: "/chat/1",
            left: 4_000,
            taken: false,
        },
    ];
    for case in cases {
        let mut world = World::new();
        let end = rw_types::Millis(world.now + case.left);
        world.step(Event::ShuttingDown { end });
        let (_, effects) = world.arrive(prompt(case.path, (1, 100), (2, 100)));
        assert_eq!(dispatch(&effects).is_some(), case.taken, "{}", case.path);
        let wanted = (!case.taken).then_some(RefusalKind::ShuttingDown);
        assert_eq!(refused(&effects), wanted, "{}", case.path);
    }
}

#[test]
fn a_stream_that_may_be_resumed_goes_on_after_its_last_event() {
    let mut world = World::new();
    let (id, sent) = world.arrive(prompt("/brief/1", (1, 100), (2, 100)));
    let first = sent_to(&sent).to_owned();
    let broken = DispatchOutcome::Broken {
        crashed: false,
        delivered: Some(4),
    };
    let again = world.end(id, broken.clone());
    let resumed = dispatch(&again).expect("a second target");
    assert_eq!(resumed.resume_after, Some(4));
    assert_ne!(resumed.target, first);
    let cut = world.end(id, broken);
    assert_eq!(refused(&cut), Some(RefusalKind::Truncated));
}

#[test]
fn a_stream_that_may_not_is_cut() {
    let mut world = World::new();
    let (id, _) = world.arrive(prompt("/chat/1", (1, 100), (2, 100)));
    let broken = DispatchOutcome::Broken {
        crashed: false,
        delivered: Some(4),
    };
    let cut = world.end(id, broken);
    assert_eq!(refused(&cut), Some(RefusalKind::Truncated));
}

#[test]
fn a_long_prompt_is_filled_apart_and_its_handle_taken_once() {
    let mut world = World::new();
    let (id, sent) = world.arrive(prompt("/chat/1", (1, 5_000), (2, 8_000)));
    assert_eq!(mode(&sent), Some(&rw_gate::DispatchMode::Prefill));
    let handle = rw_gate::KvHandle {
        addr: "127.0.0.1:1".to_owned(),
        name: "h".to_owned(),
    };
    let taken = world.end(id, DispatchOutcome::Prefilled(handle.clone()));
    assert_eq!(mode(&taken), Some(&rw_gate::DispatchMode::Decode(handle)));
    let role = world
        .gate
        .targets()
        .find(sent_to(&taken))
        .map(|t| t.spec.role);
    assert_eq!(role, Some(Role::Decode));
}

#[test]
fn prompts_keep_away_from_engines_with_many_streams() {
    let mut world = World::new();
    let engines = ["d1", "d2"].map(|name| target(name, ENGINES, Role::Decode));
    world.step(Event::TargetsListed(engines.to_vec()));
    // Another node tells of twelve streams on one of two equal engines.
    let open = rw_gate::TargetUsage {
        target: "d1".to_owned(),
        calls: 12,
        tokens: 50_000,
    };
    let digest = rw_gate::Digest {
        vm: "z".to_owned(),
        usage: vec![open],
        ..rw_gate::Digest::default()
    };
    world.step(Event::DigestReceived(digest));
    for n in 0..4 {
        // Each prompt is filled before the next comes, so that only the streams differ.
        let (id, sent) = world.arrive(prompt("/chat/1", (1, 4_000), (n, 2_000)));
        assert_eq!(sent_to(&sent), "d2");
        world.step(Event::FirstEvent { id });
        world.end(id, DispatchOutcome::Delivered);
        world.now += 100;
    }
}

#[test]
fn urgent_prompts_wait_for_the_one_begun_and_pass_the_others() {
    struct Case {
        rank: u8,
        /// Milliseconds until it is begun, at 10 tokens a millisecond.
        wait: f64,
    }
    let mut work = rw_gate::PrefillQueue::default();
    let sent = |id, priority, tokens| rw_gate::SentPrefill {
        id: rw_types::RequestId(id),
        sent_at: rw_types::Millis(1_000),
        priority,
        size: rw_gate::PrefillSize { tokens, cached: 0 },
    };
    work.add(sent(1, 2, 4_000));
    work.add(sent(2, 2, 3_000));
    work.add(sent(3, 0, 500));
    let now = rw_types::Millis(1_100);
    let busy = |fill: rw_gate::PrefillSize| fill.tokens as f64 / 10.0;
    // 300 ms are left of the first; each prompt takes 3 ms beside its tokens.
    for case in [
        Case {
            rank: 0,
            wait: 303.0 + 53.0,
        },
        Case {
            rank: 1,
            wait: 303.0 + 53.0,
        },
        Case {
            rank: 2,
            wait: 303.0 + 53.0 + 303.0,
        },
    ] {
        let wait = work.wait_ms(now, case.rank, busy);
        assert!((wait - case.wait).abs() < 1.0, "{}: {wait}", case.rank);
    }
    // Once the first is filled, the urgent one is begun.
    work.finish(now, rw_types::RequestId(1));
    assert!((work.wait_ms(now, 0, busy) - 53.0).abs() < 1.0);
}
