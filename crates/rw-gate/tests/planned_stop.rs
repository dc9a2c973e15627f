//! Calls at a node that was told to stop.

mod support;

use rw_gate::{
    CallRequest, Delegation, Delivered, Digest, DispatchOutcome, Effect, Event, GateSettings,
    RefusalKind, SchedulerNode,
};
use rw_types::{Millis, RequestId};
use support::*;

/// Number of nodes from which on digests do not reach all of them.
const LARGE_FLEET: usize = 18;

#[test]
fn a_node_that_shuts_down_admits_only_calls_it_can_finish() {
    struct Case {
        path: &'static str,
        /// The caller's, in milliseconds; the route's is 5,000.
        deadline_ms: Option<u64>,
        left_ms: u64,
        is_admitted: bool,
    }
    let cases = [
        Case {
            path: "/safe/1",
            deadline_ms: Some(3_000),
            left_ms: 4_000,
            is_admitted: true,
        },
        Case {
            path: "/safe/1",
            deadline_ms: Some(400),
            left_ms: 600,
            is_admitted: true,
        },
        Case {
            path: "/once/1",
            deadline_ms: Some(3_000),
            left_ms: 3_000,
            is_admitted: false,
        },
        Case {
            path: "/once/1",
            deadline_ms: Some(3_000),
            left_ms: 1_600,
            is_admitted: false,
        },
        Case {
            path: "/safe/1",
            deadline_ms: Some(3_000),
            left_ms: 500,
            is_admitted: false,
        },
        Case {
            path: "/safe/1",
            deadline_ms: Some(60_000),
            left_ms: 5_200,
            is_admitted: true,
        },
        Case {
            path: "/safe/1",
            deadline_ms: None,
            left_ms: 4_000,
            is_admitted: false,
        },
        Case {
            path: "/safe/1",
            deadline_ms: Some(u64::MAX),
            left_ms: 4_000,
            is_admitted: false,
        },
        Case {
            path: "/brief/1",
            deadline_ms: Some(400),
            left_ms: 4_000,
            is_admitted: false,
        },
        Case {
            path: "/chat/1",
            deadline_ms: Some(400),
            left_ms: 4_000,
            is_admitted: false,
        },
    ];
    for case in cases {
        let mut world = World::new();
        let end = Millis(world.now + case.left_ms);
        let drained = Millis(world.now);
        world.step(Event::ShuttingDown { drained, end });
        let (_, effects) = world.arrive(CallRequest {
            deadline_ms: case.deadline_ms,
            ..generation(case.path, (1, 100), (2, 100))
        });
        let (path, left_ms) = (case.path, case.left_ms);
        let is_admitted = dispatch(&effects).is_some();
        assert_eq!(is_admitted, case.is_admitted, "{path}, {left_ms} ms left");
        let wanted = (!case.is_admitted).then_some(RefusalKind::ShuttingDown);
        assert_eq!(refused(&effects), wanted, "{path}, {left_ms} ms left");
    }
}

/// Guards against streams that begin when little of the grace is left, however short it is.
#[test]
fn a_stream_begins_only_while_most_of_the_grace_is_left() {
    struct Case {
        drained_ms: u64,
        end_ms: u64,
        at_ms: u64,
        is_admitted: bool,
    }
    let case = |(drained_ms, end_ms), at_ms, is_admitted| Case {
        drained_ms,
        end_ms,
        at_ms,
        is_admitted,
    };
    let (long, short) = ((2_800, 7_600), (1_600, 1_600));
    let cases = [
        case(long, 0, true),
        case(long, 2_799, true),
        case(long, 2_800, false),
        case(short, 700, true),
        case(short, 800, false),
        case(short, 1_500, false),
    ];
    for case in cases {
        let mut world = World::new();
        world.step(Event::ShuttingDown {
            drained: Millis(world.now + case.drained_ms),
            end: Millis(world.now + case.end_ms),
        });
        world.now += case.at_ms;
        for path in ["/chat/1", "/brief/1"] {
            let (_, effects) = world.arrive(generation(path, (1, 100), (2, 100)));
            let (at, end) = (case.at_ms, case.end_ms);
            let is_admitted = dispatch(&effects).is_some();
            assert_eq!(is_admitted, case.is_admitted, "{path} at {at} of {end} ms");
        }
    }
}

/// What a call has come to when the process exits.
struct Interrupted {
    name: &'static str,
    begin: fn(&mut World) -> RequestId,
    delivered: Delivered,
    /// The response; `None` for that of a target.
    expected: Option<RefusalKind>,
}

fn running(world: &mut World, path: &str) -> RequestId {
    let (id, effects) = world.arrive(request(path));
    assert!(dispatch(&effects).is_some(), "{path}");
    id
}

fn prefilling(world: &mut World) -> RequestId {
    let (id, effects) = world.arrive(generation("/chat/1", (1, 3_000), (2, 9_000)));
    assert_eq!(sent_to(&effects).get(..1), Some("f"), "a prefill engine");
    id
}

fn delegated(world: &mut World) -> RequestId {
    let vm = "vm-001".to_owned();
    world.step(nodes_listed(2));
    world.step(Event::DigestReceived(Digest {
        vm,
        connected_ms: 5_000,
        ..Digest::default()
    }));
    let (id, mut effects) = world.arrive(request("/once/1"));
    while dispatch(&effects).is_some() {
        effects = world.end(id, DispatchOutcome::NotSent);
    }
    let passed_on = effects.iter().any(|e| {
        matches!(
            e,
            Effect::Delegate {
                delegation: Delegation { .. },
                ..
            }
        )
    });
    assert!(passed_on, "{effects:?}");
    id
}

fn awaiting_placement(world: &mut World) -> RequestId {
    world.step(nodes_listed(LARGE_FLEET));
    world.step(Event::SchedulersListed(vec![SchedulerNode {
        vm: "vm-001".to_owned(),
        weight: 1,
    }]));
    let (id, effects) = world.arrive(generation("/chat/1", (1, 500), (2, 2_000)));
    let is_asked = effects
        .iter()
        .any(|e| matches!(e, Effect::RequestPlacement { .. }));
    assert!(is_asked, "{effects:?}");
    id
}

/// Guards against calls that the exit of a process leaves without an answer, or refuses though they may
/// have run.
#[test]
fn an_interrupted_call_is_told_what_is_known_of_it() {
    let cases = [
        Interrupted {
            name: "it runs",
            begin: |world| running(world, "/once/1"),
            delivered: Delivered::Nothing,
            expected: Some(RefusalKind::ResponseLost),
        },
        Interrupted {
            name: "it runs and may be repeated",
            begin: |world| running(world, "/safe/1"),
            delivered: Delivered::Nothing,
            expected: Some(RefusalKind::ResponseLost),
        },
        Interrupted {
            name: "its failure is kept while it runs again",
            begin: |world| {
                let id = running(world, "/safe/1");
                let effects = world.end(id, DispatchOutcome::Complete { status: 500 });
                assert!(dispatch(&effects).is_some(), "a second run");
                id
            },
            delivered: Delivered::Nothing,
            expected: None,
        },
        Interrupted {
            name: "its prompt is prefilled",
            begin: prefilling,
            delivered: Delivered::Nothing,
            expected: Some(RefusalKind::ShuttingDown),
        },
        Interrupted {
            name: "it waits for a scheduler",
            begin: awaiting_placement,
            delivered: Delivered::Nothing,
            expected: Some(RefusalKind::ShuttingDown),
        },
        Interrupted {
            name: "another node has it",
            begin: delegated,
            delivered: Delivered::Nothing,
            expected: Some(RefusalKind::ResponseLost),
        },
        Interrupted {
            name: "its stream has begun",
            begin: |world| running(world, "/brief/1"),
            delivered: Delivered::Events(3),
            expected: Some(RefusalKind::Truncated),
        },
    ];
    for case in cases {
        let mut world = World::with(GateSettings {
            vm: "vm-000".to_owned(),
            centre: "x".to_owned(),
            ..GateSettings::default()
        });
        let id = (case.begin)(&mut world);
        let event = Event::CallInterrupted {
            id,
            delivered: case.delivered,
        };
        let effects = world.step(event.clone());
        let name = case.name;
        assert_eq!(refused(&effects), case.expected, "{name}");
        let delivers = effects.iter().any(|e| matches!(e, Effect::Deliver { .. }));
        assert_eq!(delivers, case.expected.is_none(), "{name}");
        assert!(dispatch(&effects).is_none(), "{name}");
        assert!(!world.gate.is_open(id), "{name}");
        assert_eq!(world.step(event), Vec::new(), "{name}: a second time");
        let running = world.gate.targets().all().iter();
        let running: u32 = running.map(rw_gate::Target::running_calls).sum();
        assert_eq!(running, 0, "{name}");
    }
}
