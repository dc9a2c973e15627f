//! Which targets get work as their entries come and go.

mod support;

use rw_gate::{Event, Routing, TargetSpec};
use std::sync::Arc;
use support::*;

/// Plain targets that get work from 30 calls.
fn used(world: &mut World) -> Vec<String> {
    let mut used: Vec<String> = Vec::new();
    for _ in 0..30 {
        let (_, effects) = world.arrive(ask("/safe/1"));
        let name = sent_to(&effects).to_owned();
        if !used.contains(&name) {
            used.push(name);
        }
    }
    used.sort();
    used
}

fn p1() -> TargetSpec {
    target("p1", PLAIN, rw_gate::Role::Mixed)
}

#[test]
fn entries_decide_who_gets_work() {
    struct Case {
        name: &'static str,
        events: Vec<(u64, Event)>,
        used: &'static [&'static str],
    }
    let gone = || Event::TargetGone {
        name: "p1".to_owned(),
    };
    let leaving = TargetSpec {
        leaving: true,
        ..p1()
    };
    let cases = [
        Case {
            name: "all",
            events: vec![],
            used: &["p1", "p2", "p3"],
        },
        Case {
            name: "one that leaves gets none at once",
            events: vec![(0, Event::Target(leaving.clone()))],
            used: &["p2", "p3"],
        },
        Case {
            name: "one that is gone gets none at once",
            events: vec![(0, gone())],
            used: &["p2", "p3"],
        },
        Case {
            name: "one whose entry lapsed while the store was away may return",
            events: vec![(0, Event::StoreBack), (100, gone())],
            used: &["p1", "p2", "p3"],
        },
        Case {
            name: "but is gone if it did not",
            events: vec![
                (0, Event::StoreBack),
                (100, gone()),
                (2_200, Event::Nodes(1)),
            ],
            used: &["p2", "p3"],
        },
        Case {
            name: "and one that had said it leaves does not wait",
            events: vec![
                (0, Event::Target(leaving)),
                (0, Event::StoreBack),
                (100, gone()),
            ],
            used: &["p2", "p3"],
        },
        Case {
            name: "one that returned stays",
            events: vec![
                (0, Event::StoreBack),
                (100, gone()),
                (500, Event::Target(p1())),
                (3_000, Event::Nodes(1)),
            ],
            used: &["p1", "p2", "p3"],
        },
    ];
    for case in cases {
        let mut world = World::new();
        for (after, event) in case.events {
            world.now += after;
            world.step(event);
        }
        assert_eq!(used(&mut world), case.used, "{}", case.name);
    }
}

#[test]
fn another_life_of_a_target_knows_nothing_of_before() {
    let mut world = World::new();
    for _ in 0..4 {
        world.arrive(ask("/safe/1"));
    }
    let reborn = TargetSpec { life: 2, ..p1() };
    world.step(Event::Target(reborn));
    let known = world.gate.targets().find("p1").expect("p1");
    assert_eq!(known.open, 0);
    assert_eq!(known.spec.life, 2);
}

#[test]
fn a_version_in_force_never_gives_way_to_a_lower_one() {
    let mut world = World::new();
    let newer = Routing {
        routes: Vec::new(),
        ..routing(5)
    };
    world.step(Event::Routing(Arc::new(newer)));
    world.step(Event::Routing(Arc::new(routing(4))));
    assert_eq!(world.gate.routing().version, 5);
    assert!(world.gate.routing().find(HOST, "/safe/1").is_none());
}

#[test]
fn the_longest_prefix_decides() {
    struct Case {
        path: &'static str,
        found: Option<&'static str>,
    }
    let mut routing = routing(1);
    let deep = route("/safe/deep/", rw_gate::Repeat::Idempotent, PLAIN, 1);
    routing.routes.push(deep);
    let routing = routing.sorted();
    let cases = [
        Case {
            path: "/safe/1",
            found: Some("/safe/"),
        },
        Case {
            path: "/safe/deep/1",
            found: Some("/safe/deep/"),
        },
        Case {
            path: "/safe/deep",
            found: Some("/safe/"),
        },
        Case {
            path: "/safe",
            found: None,
        },
        Case {
            path: "/safer/1",
            found: None,
        },
    ];
    for case in cases {
        let found = routing.find(HOST, case.path).map(|r| r.prefix.as_str());
        assert_eq!(found, case.found, "{}", case.path);
    }
}
