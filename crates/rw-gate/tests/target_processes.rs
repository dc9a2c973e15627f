//! Targets whose processes end and start again under their names, with other software.

mod support;

use rw_gate::{
    CallRequest, Delivered, Digest, DispatchOutcome, Effect, Event, GateSettings, Role,
    TargetIncarnation, TargetSpec,
};
use rw_types::{Millis, RequestId};
use support::*;

fn spec(name: &str, software: &str, incarnation: u64) -> TargetSpec {
    TargetSpec {
        software: software.to_owned(),
        incarnation,
        ..target(name, ENGINES, Role::Decode)
    }
}

fn incarnation(name: &str, incarnation: u64) -> TargetIncarnation {
    TargetIncarnation {
        name: name.to_owned(),
        incarnation,
    }
}

fn found_ended(name: &str, is_witnessed: bool) -> Event {
    Event::TargetEnded {
        target: incarnation(name, 1),
        is_witnessed,
    }
}

fn ended(name: &str) -> Event {
    found_ended(name, true)
}

/// A node that knows targets "0" and "1" of version v1 in their first incarnations.
fn world() -> World {
    let mut world = World::with(GateSettings {
        vm: "a".to_owned(),
        ..GateSettings::default()
    });
    world.step(Event::TargetsListed(vec![
        spec("0", "v1", 1),
        spec("1", "v1", 1),
    ]));
    confirm(&mut world);
    world
}

fn confirm(world: &mut World) {
    let at = Millis(world.now);
    world.step(Event::TargetsConfirmed { at });
}

fn stream(call_id: &str) -> CallRequest {
    CallRequest {
        call_id: call_id.to_owned(),
        ..generation("/brief/1", (1, 100), (2, 10))
    }
}

/// Begins a stream that may be resumed; returns its call and target.
fn begin(world: &mut World, call_id: &str) -> (RequestId, String) {
    let (id, effects) = world.arrive(stream(call_id));
    let target = sent_to(&effects).to_owned();
    world.step(Event::FirstEvent { id });
    world.step(Event::StreamBegun { id });
    (id, target)
}

fn broken() -> DispatchOutcome {
    DispatchOutcome::Broken {
        crashed: true,
        delivered: Delivered::Part,
    }
}

fn sent(effects: &[Effect]) -> Option<&str> {
    let mut dispatches = effects.iter().filter_map(|e| match e {
        Effect::Dispatch { dispatch, .. } => Some(dispatch.target.as_str()),
        _ => None,
    });
    dispatches.next()
}

/// Guards against a stream that goes on at a process which runs in place of the one of the entry.
#[test]
fn a_stream_goes_on_only_where_the_process_of_the_entry_runs() {
    struct Case {
        name: &'static str,
        /// What happens to the other target before the stream breaks, each after some milliseconds.
        events: Vec<(u64, Event)>,
        goes_on: bool,
    }
    let digest = |name, number| {
        Event::DigestReceived(Digest {
            vm: "b".to_owned(),
            ended: vec![incarnation(name, number)],
            ..Digest::default()
        })
    };
    let listed = || Event::TargetsListed(vec![spec("0", "v1", 1), spec("1", "v1", 1)]);
    let cases = [
        Case {
            name: "nothing",
            events: vec![],
            goes_on: true,
        },
        Case {
            name: "its process has ended",
            events: vec![(0, ended("other"))],
            goes_on: false,
        },
        Case {
            name: "it refuses connections, and no other target is reached",
            events: vec![(0, found_ended("other", false))],
            goes_on: false,
        },
        Case {
            name: "another node has told so",
            events: vec![(0, digest("other", 1))],
            goes_on: false,
        },
        Case {
            name: "another node has told so of an incarnation before",
            events: vec![(0, digest("other", 0))],
            goes_on: true,
        },
        Case {
            name: "it has ended while the store is away",
            events: vec![
                (0, Event::StoreDisconnected),
                (200, ended("other")),
                (7_000, Event::Tick),
            ],
            goes_on: false,
        },
        Case {
            name: "the store is just back",
            events: vec![
                (0, Event::StoreDisconnected),
                (200, ended("other")),
                (7_000, Event::StoreConnected),
                (0, listed()),
                (300, Event::Tick),
            ],
            goes_on: false,
        },
        Case {
            name: "its entry has outlived its process, so that it is the same",
            events: vec![(0, ended("other")), (5_000, listed()), (0, Event::Tick)],
            goes_on: true,
        },
        Case {
            name: "it is back with its version",
            events: vec![
                (0, ended("other")),
                (1_000, Event::TargetUpdated(spec("other", "v1", 2))),
            ],
            goes_on: true,
        },
        Case {
            name: "it is back with another version",
            events: vec![
                (0, ended("other")),
                (1_000, Event::TargetUpdated(spec("other", "v2", 2))),
            ],
            goes_on: false,
        },
        Case {
            name: "the store's copy has its earlier entry",
            events: vec![
                (0, Event::TargetUpdated(spec("other", "v2", 2))),
                (0, Event::StoreRestored),
                (0, Event::TargetUpdated(spec("other", "v1", 1))),
            ],
            goes_on: false,
        },
        Case {
            name: "it is back with its version after the store's copy",
            events: vec![
                (0, Event::TargetUpdated(spec("other", "v2", 2))),
                (0, Event::StoreRestored),
                (0, Event::TargetUpdated(spec("other", "v1", 1))),
                (100, Event::TargetUpdated(spec("other", "v1", 3))),
            ],
            goes_on: true,
        },
    ];
    for case in cases {
        let mut world = world();
        let (id, first) = begin(&mut world, "c");
        world.end(id, broken());
        let other = if first == "0" { "1" } else { "0" };
        for (after, event) in case.events {
            world.now += after;
            world.step(rename(event, other));
            confirm(&mut world);
        }
        world.step(Event::TargetUpdated(TargetSpec {
            leaving: true,
            ..spec(&first, "v1", 1)
        }));
        let (_, effects) = world.arrive(CallRequest {
            last_event: Some(2),
            resumes: Some("c".to_owned()),
            ..stream("r")
        });
        let next = sent(&effects);
        let expected = case.goes_on.then_some(other);
        assert_eq!(next, expected, "{}", case.name);
    }
}

/// Replaces the name `other` in an event.
fn rename(event: Event, name: &str) -> Event {
    let renamed = |target: TargetIncarnation| incarnation(name, target.incarnation);
    match event {
        Event::TargetEnded {
            target,
            is_witnessed,
        } => Event::TargetEnded {
            target: renamed(target),
            is_witnessed,
        },
        Event::TargetUpdated(spec) => Event::TargetUpdated(TargetSpec {
            name: name.to_owned(),
            ..spec
        }),
        Event::DigestReceived(digest) => Event::DigestReceived(Digest {
            ended: digest.ended.into_iter().map(renamed).collect(),
            ..digest
        }),
        event => event,
    }
}

#[test]
fn other_nodes_are_told_that_a_process_has_ended() {
    let mut world = world();
    // The first digest tells who the node is.
    world.gate.publish(Millis(world.now));
    let effects = world.step(ended("0"));
    assert!(effects.iter().any(|e| matches!(e, Effect::PublishDigest)));
    let told = (0..4).filter_map(|_| {
        world.now += 50;
        let digest = world.gate.publish(Millis(world.now))?;
        (!digest.ended.is_empty()).then_some(digest.ended)
    });
    let told: Vec<_> = told.collect();
    assert_eq!(told, vec![vec![incarnation("0", 1)]; 2]);
}

/// Guards against a node that takes the refusals of its own links for the end of a process.
#[test]
fn other_nodes_are_told_of_an_end_only_if_other_targets_are_reached() {
    let mut world = world();
    world.gate.publish(Millis(world.now));
    let publishes = |effects: Vec<Effect>| effects.contains(&Effect::PublishDigest);
    assert!(!publishes(world.step(found_ended("0", false))));
    world.now += 50;
    let digest = world.gate.publish(Millis(world.now));
    assert!(
        digest.is_none_or(|d| d.ended.is_empty()),
        "links may refuse"
    );
    assert!(publishes(world.step(found_ended("0", true))));
    assert!(!publishes(world.step(found_ended("0", true))), "told again");
}

/// Guards against a doubt that nodes pass to each other without end.
#[test]
fn what_another_node_has_told_of_a_process_is_not_passed_on() {
    let mut world = world();
    world.step(Event::DigestReceived(Digest {
        vm: "b".to_owned(),
        ended: vec![incarnation("0", 1)],
        ..Digest::default()
    }));
    let target = world.gate.targets().find("0");
    assert!(target.is_some_and(|t| t.doubt.is_open()));
    let digest = world.gate.publish(Millis(world.now));
    assert!(digest.is_none_or(|d| d.ended.is_empty()));
}

#[test]
fn a_call_that_outlasts_the_doubt_shows_that_the_process_runs() {
    let mut world = world();
    let (id, target) = begin(&mut world, "c");
    world.now += 100;
    world.step(ended(&target));
    world.now += 100;
    world.end(id, DispatchOutcome::Delivered);
    let doubt = world.gate.targets().find(&target).map(|t| t.doubt);
    assert!(doubt.is_some_and(|d| !d.is_open()));
}
