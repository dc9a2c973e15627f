//! Which targets get work as their entries come and go.

mod support;

use rw_gate::{Digest, Effect, Event, GateSettings, OrderOutcome, Role, Routing, TargetSpec};
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
    let gone = || Event::TargetRemoved {
        name: "p1".to_owned(),
    };
    let leaving = TargetSpec {
        leaving: true,
        ..p1()
    };
    let heard = |connected_ms| {
        Event::DigestReceived(Digest {
            vm: "z".to_owned(),
            connected_ms,
            ..Digest::default()
        })
    };
    let cases = [
        Case {
            name: "all",
            events: vec![],
            used: &["p1", "p2", "p3"],
        },
        Case {
            name: "one that leaves gets none at once",
            events: vec![(0, Event::TargetUpdated(leaving.clone()))],
            used: &["p2", "p3"],
        },
        Case {
            name: "one that is gone gets none at once",
            events: vec![(0, gone())],
            used: &["p2", "p3"],
        },
        Case {
            name: "one whose entry lapsed while the store was away may return",
            events: vec![(0, Event::StoreConnected), (100, gone())],
            used: &["p1", "p2", "p3"],
        },
        Case {
            name: "but is gone if it did not",
            events: vec![
                (0, Event::StoreConnected),
                (100, gone()),
                (2_200, Event::NodeCount(1)),
            ],
            used: &["p2", "p3"],
        },
        Case {
            name: "where others reached the store all along, it is gone",
            events: vec![(0, Event::StoreConnected), (0, heard(9_000)), (100, gone())],
            used: &["p2", "p3"],
        },
        Case {
            name: "also if they are heard only then",
            events: vec![
                (0, Event::StoreConnected),
                (100, gone()),
                (20, heard(9_000)),
            ],
            used: &["p2", "p3"],
        },
        Case {
            name: "where they regained it a moment ago, it may return",
            events: vec![(0, Event::StoreConnected), (0, heard(300)), (100, gone())],
            used: &["p1", "p2", "p3"],
        },
        Case {
            name: "and one that had said it leaves does not wait",
            events: vec![
                (0, Event::TargetUpdated(leaving)),
                (0, Event::StoreConnected),
                (100, gone()),
            ],
            used: &["p2", "p3"],
        },
        Case {
            name: "one that returned stays",
            events: vec![
                (0, Event::StoreConnected),
                (100, gone()),
                (500, Event::TargetUpdated(p1())),
                (3_000, Event::NodeCount(1)),
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
    let reborn = TargetSpec {
        incarnation: 2,
        ..p1()
    };
    world.step(Event::TargetUpdated(reborn));
    let known = world.gate.targets().find("p1").expect("p1");
    assert_eq!(known.open_calls, 0);
    assert_eq!(known.spec.incarnation, 2);
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
    assert!(world.gate.routing().find_route(HOST, "/safe/1").is_none());
}

#[test]
fn the_longest_prefix_decides() {
    struct Case {
        path: &'static str,
        found: Option<&'static str>,
    }
    let mut routing = routing(1);
    let deep = route("/safe/deep/", rw_gate::RetryPolicy::Idempotent, PLAIN, 1);
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
        let found = routing
            .find_route(HOST, case.path)
            .map(|r| r.prefix.as_str());
        assert_eq!(found, case.found, "{}", case.path);
    }
}

/// A fleet of `decode` and `prefill` engines that hears no other node.
fn engines(decode: usize, prefill: usize) -> World {
    let mut world = World::new();
    let engine = |role, n: usize| move |i| target(&format!("{role:?}{i:02}{n}"), ENGINES, role);
    let mut specs: Vec<TargetSpec> = (0..decode).map(engine(Role::Decode, 1)).collect();
    specs.extend((0..prefill).map(engine(Role::Prefill, 2)));
    world.step(Event::TargetsListed(specs));
    world
}

/// Orders of the next ten seconds, each accepted and shown in its target's entry.
fn orders(world: &mut World) -> Vec<(Role, u64)> {
    let mut orders = Vec::new();
    for _ in 0..40 {
        world.now += 250;
        for effect in world.step(Event::Tick) {
            match effect {
                Effect::AcquireLease => {
                    world.step(Event::LeaseResult(Some(world.now)));
                }
                Effect::Order {
                    target,
                    role,
                    token,
                    until,
                    ..
                } => {
                    assert!(world.now < until.0);
                    orders.push((role, token));
                    let known = world.gate.targets().find(&target).expect("a target");
                    let spec = TargetSpec {
                        role,
                        ..known.spec.clone()
                    };
                    world.step(Event::OrderEnded {
                        target,
                        outcome: OrderOutcome::Accepted,
                    });
                    world.step(Event::TargetUpdated(spec));
                }
                _ => {}
            }
        }
    }
    orders
}

#[test]
fn roles_are_brought_to_their_split_while_the_engines_are_idle() {
    struct Case {
        decode: usize,
        prefill: usize,
        /// Calls that run meanwhile.
        calls: usize,
        orders: usize,
        to: Role,
    }
    let cases = [
        Case {
            decode: 8,
            prefill: 2,
            calls: 0,
            orders: 4,
            to: Role::Prefill,
        },
        Case {
            decode: 2,
            prefill: 8,
            calls: 0,
            orders: 2,
            to: Role::Decode,
        },
        Case {
            decode: 4,
            prefill: 6,
            calls: 0,
            orders: 0,
            to: Role::Prefill,
        },
        // Under calls only a split far off is mended, and no further than that.
        Case {
            decode: 6,
            prefill: 4,
            calls: 3,
            orders: 0,
            to: Role::Prefill,
        },
        Case {
            decode: 10,
            prefill: 0,
            calls: 3,
            orders: 3,
            to: Role::Prefill,
        },
    ];
    for case in cases {
        let mut world = engines(case.decode, case.prefill);
        for _ in 0..case.calls {
            world.arrive(prompt("/chat/1", (1, 100), (2, 100)));
        }
        let orders = orders(&mut world);
        let what = format!("{} decode, {} calls", case.decode, case.calls);
        assert_eq!(orders.len(), case.orders, "{what}");
        assert!(orders.iter().all(|(to, _)| *to == case.to), "{what}");
    }
}

#[test]
fn only_the_first_node_that_reaches_the_store_orders() {
    struct Case {
        name: &'static str,
        heard: &'static [(&'static str, bool)],
        lost: bool,
        orders: bool,
    }
    let cases = [
        Case {
            name: "alone",
            heard: &[],
            lost: false,
            orders: true,
        },
        Case {
            name: "first",
            heard: &[("z", true)],
            lost: false,
            orders: true,
        },
        Case {
            name: "second",
            heard: &[("a", true)],
            lost: false,
            orders: false,
        },
        Case {
            name: "the first is unfit",
            heard: &[("a", false)],
            lost: false,
            orders: true,
        },
        Case {
            name: "unfit itself",
            heard: &[],
            lost: true,
            orders: false,
        },
    ];
    for case in cases {
        let mut world = World::with(GateSettings {
            vm: "m".to_owned(),
            ..GateSettings::default()
        });
        world.step(Event::TargetsListed(
            engines(8, 2)
                .gate
                .targets()
                .all()
                .iter()
                .map(|t| t.spec.clone())
                .collect(),
        ));
        if case.lost {
            world.step(Event::StoreDisconnected);
        }
        for (vm, fit) in case.heard {
            let vm = (*vm).to_owned();
            world.step(Event::DigestReceived(Digest {
                vm,
                connected_ms: u64::from(*fit),
                ..Digest::default()
            }));
        }
        world.now += 600;
        let asks = world.step(Event::Tick).contains(&Effect::AcquireLease);
        assert_eq!(asks, case.orders, "{}", case.name);
    }
}

#[test]
fn a_fenced_or_lapsed_lease_is_never_used_again() {
    let mut world = engines(8, 2);
    world.now += 600;
    assert!(world.step(Event::Tick).contains(&Effect::AcquireLease));
    world.step(Event::LeaseResult(Some(9)));
    world.now += 600;
    let first = world.step(Event::Tick);
    let Some(Effect::Order { target, .. }) = first.first() else {
        panic!("no order: {first:?}");
    };
    world.step(Event::OrderEnded {
        target: target.clone(),
        outcome: OrderOutcome::Fenced,
    });
    world.now += 600;
    assert_eq!(world.step(Event::Tick), [Effect::AcquireLease]);
    world.step(Event::LeaseResult(Some(12)));
    // The process stood still for longer than the lease lasts.
    world.now += 10_000;
    assert_eq!(world.step(Event::Tick), [Effect::AcquireLease]);
}

#[test]
fn a_change_that_another_node_still_believes_is_not_begun_anew() {
    struct Case {
        name: &'static str,
        /// Role that the other node believes it is changing to.
        told: Role,
        changing: bool,
    }
    for case in [
        Case {
            name: "done as this node knows",
            told: Role::Prefill,
            changing: false,
        },
        Case {
            name: "under way",
            told: Role::Decode,
            changing: true,
        },
    ] {
        let mut world = World::new();
        world.step(Event::DigestReceived(rw_gate::Digest {
            vm: "other".to_owned(),
            changes: vec![rw_gate::RoleChange {
                target: "f1".to_owned(),
                role: case.told,
                left_ms: 4_000,
            }],
            ..rw_gate::Digest::default()
        }));
        let target = world.gate.targets().find("f1").expect("an engine");
        let now = rw_types::Millis(world.now);
        assert_eq!(target.is_changing_role(now), case.changing, "{}", case.name);
        assert_eq!(target.next_role(now), case.told, "{}", case.name);
    }
}

#[test]
fn too_few_engines_that_decode_are_mended_under_calls_once_they_are_crowded() {
    struct Case {
        name: &'static str,
        decode: usize,
        prefill: usize,
        /// Streams on each engine that decodes, of 48 slots.
        streams: u32,
        orders: bool,
    }
    let case = |name, decode, prefill, streams, orders| Case {
        name,
        decode,
        prefill,
        streams,
        orders,
    };
    for case in [
        case("crowded after others left", 2, 10, 45, true),
        case("room left", 2, 10, 20, false),
        case("crowded, and as many as planned", 5, 7, 48, false),
    ] {
        let mut world = engines(case.decode, case.prefill);
        let open = (0..case.decode).map(|i| rw_gate::TargetUsage {
            target: format!("Decode{i:02}1"),
            calls: case.streams,
            tokens: 1_000,
        });
        let digest = rw_gate::Digest {
            vm: "z".to_owned(),
            usage: open.collect(),
            ..rw_gate::Digest::default()
        };
        world.step(Event::StoreConnected);
        let mut orders = Vec::new();
        for _ in 0..12 {
            world.now += 250;
            world.step(Event::DigestReceived(digest.clone()));
            for effect in world.step(Event::Tick) {
                match effect {
                    Effect::AcquireLease => {
                        world.step(Event::LeaseResult(Some(world.now)));
                    }
                    Effect::Order { role, .. } => orders.push(role),
                    _ => {}
                }
            }
        }
        assert_eq!(!orders.is_empty(), case.orders, "{}", case.name);
        assert!(orders.iter().all(|r| *r == Role::Decode), "{}", case.name);
    }
}
