//! Target entries, configuration and role changes.

mod support;

use rw_gate::{Digest, Effect, Event, GateSettings, OrderOutcome, Role, Routing, TargetSpec};
use std::sync::Arc;
use support::*;

/// Plain targets that get at least one of 30 calls.
fn used_targets(world: &mut World) -> Vec<String> {
    let mut used_targets: Vec<String> = Vec::new();
    for _ in 0..30 {
        let (_, effects) = world.arrive(request("/safe/1"));
        let name = sent_to(&effects).to_owned();
        if !used_targets.contains(&name) {
            used_targets.push(name);
        }
    }
    used_targets.sort();
    used_targets
}

fn entry() -> TargetSpec {
    target("p1", PLAIN, rw_gate::Role::Mixed)
}

#[test]
fn entries_decide_which_targets_get_work() {
    struct Case {
        name: &'static str,
        events: Vec<(u64, Event)>,
        used_targets: &'static [&'static str],
    }
    let removed = || Event::TargetRemoved {
        name: "p1".to_owned(),
    };
    let leaving = TargetSpec {
        leaving: true,
        ..entry()
    };
    let digest = |connected_ms| {
        Event::DigestReceived(Digest {
            vm: "z".to_owned(),
            connected_ms,
            ..Digest::default()
        })
    };
    let leaving_entry = leaving.clone();
    let cases = [
        Case {
            name: "all targets are listed",
            events: vec![],
            used_targets: &["p1", "p2", "p3"],
        },
        Case {
            name: "a leaving target gets no more work",
            events: vec![(0, Event::TargetUpdated(leaving.clone()))],
            used_targets: &["p2", "p3"],
        },
        Case {
            name: "a removed target gets no more work",
            events: vec![(0, removed())],
            used_targets: &["p2", "p3"],
        },
        Case {
            name: "an entry that lapsed during a store outage may be renewed",
            events: vec![(0, Event::StoreConnected), (100, removed())],
            used_targets: &["p1", "p2", "p3"],
        },
        Case {
            name: "an entry that was not renewed in time is removed",
            events: vec![
                (0, Event::StoreConnected),
                (100, removed()),
                (2_200, nodes_listed(1)),
            ],
            used_targets: &["p2", "p3"],
        },
        Case {
            name: "a node that stayed connected shows that the target was removed",
            events: vec![
                (0, Event::StoreConnected),
                (0, digest(9_000)),
                (100, removed()),
            ],
            used_targets: &["p2", "p3"],
        },
        Case {
            name: "also if its digest arrives after the removal",
            events: vec![
                (0, Event::StoreConnected),
                (100, removed()),
                (20, digest(9_000)),
            ],
            used_targets: &["p2", "p3"],
        },
        Case {
            name: "a node that reconnected a moment ago does not show that",
            events: vec![
                (0, Event::StoreConnected),
                (0, digest(300)),
                (100, removed()),
            ],
            used_targets: &["p1", "p2", "p3"],
        },
        Case {
            name: "a leaving target is removed without waiting",
            events: vec![
                (0, Event::TargetUpdated(leaving)),
                (0, Event::StoreConnected),
                (100, removed()),
            ],
            used_targets: &["p2", "p3"],
        },
        Case {
            name: "a renewed entry stays",
            events: vec![
                (0, Event::StoreConnected),
                (100, removed()),
                (500, Event::TargetUpdated(entry())),
                (3_000, nodes_listed(1)),
            ],
            used_targets: &["p1", "p2", "p3"],
        },
        Case {
            name: "an entry that the store's copy lacks may be written again",
            events: vec![(0, Event::StoreRestored), (0, removed())],
            used_targets: &["p1", "p2", "p3"],
        },
        Case {
            name: "also if another node reached the store without interruption",
            events: vec![
                (0, digest(60_000)),
                (0, Event::StoreRestored),
                (0, removed()),
                (0, digest(60_000)),
            ],
            used_targets: &["p1", "p2", "p3"],
        },
        Case {
            name: "an entry that is not written again in time is gone",
            events: vec![
                (0, Event::StoreRestored),
                (0, removed()),
                (2_500, Event::Tick),
            ],
            used_targets: &["p2", "p3"],
        },
        Case {
            name: "a target that has left gets no work if the store's copy is from before that",
            events: vec![
                (0, removed()),
                (500, Event::StoreRestored),
                (0, Event::TargetUpdated(entry())),
            ],
            used_targets: &["p2", "p3"],
        },
        Case {
            name: "until its entry would have lapsed without heartbeats",
            events: vec![
                (0, removed()),
                (500, Event::StoreRestored),
                (0, Event::TargetUpdated(entry())),
                (5_000, Event::Tick),
            ],
            used_targets: &["p1", "p2", "p3"],
        },
        Case {
            name: "a leaving target stays so if the store's copy is from before that",
            events: vec![
                (0, Event::TargetUpdated(leaving_entry)),
                (0, Event::StoreRestored),
                (0, Event::TargetUpdated(entry())),
            ],
            used_targets: &["p2", "p3"],
        },
    ];
    for case in cases {
        let mut world = World::new();
        for (after, event) in case.events {
            world.now += after;
            world.step(event);
        }
        assert_eq!(used_targets(&mut world), case.used_targets, "{}", case.name);
    }
}

#[test]
fn a_new_incarnation_starts_without_state() {
    let mut world = World::new();
    for _ in 0..4 {
        world.arrive(request("/safe/1"));
    }
    let restarted = TargetSpec {
        incarnation: 2,
        ..entry()
    };
    world.step(Event::TargetUpdated(restarted));
    let known = world.gate.targets().find("p1").expect("p1");
    assert_eq!(known.open_calls, 0);
    assert_eq!(known.spec.incarnation, 2);
}

#[test]
fn an_older_configuration_is_ignored() {
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
fn the_longest_matching_prefix_wins() {
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

/// A fleet of `decode` and `prefill` engines with a node that gets no digests.
fn engines(decode: usize, prefill: usize) -> World {
    let mut world = World::new();
    let engine = |role, n: usize| move |i| target(&format!("{role:?}{i:02}{n}"), ENGINES, role);
    let mut specs: Vec<TargetSpec> = (0..decode).map(engine(Role::Decode, 1)).collect();
    specs.extend((0..prefill).map(engine(Role::Prefill, 2)));
    world.step(Event::TargetsListed(specs));
    world
}

/// Orders within ten seconds. Each one is accepted and applied to the target's entry.
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
fn roles_reach_their_split_while_the_engines_are_idle() {
    struct Case {
        decode: usize,
        prefill: usize,
        /// Number of running calls.
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
        // While calls are running, only a large imbalance is corrected, and only until it is no
        // longer large.
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
            world.arrive(generation("/chat/1", (1, 100), (2, 100)));
        }
        let orders = orders(&mut world);
        let what = format!("{} decode, {} calls", case.decode, case.calls);
        assert_eq!(orders.len(), case.orders, "{what}");
        assert!(orders.iter().all(|(to, _)| *to == case.to), "{what}");
    }
}

#[test]
fn only_the_first_node_that_reaches_the_store_sends_orders() {
    struct Case {
        name: &'static str,
        peers: &'static [(&'static str, bool)],
        disconnected: bool,
        orders: bool,
    }
    let cases = [
        Case {
            name: "alone",
            peers: &[],
            disconnected: false,
            orders: true,
        },
        Case {
            name: "first",
            peers: &[("z", true)],
            disconnected: false,
            orders: true,
        },
        Case {
            name: "second",
            peers: &[("a", true)],
            disconnected: false,
            orders: false,
        },
        Case {
            name: "the first does not reach the store",
            peers: &[("a", false)],
            disconnected: false,
            orders: true,
        },
        Case {
            name: "does not reach the store itself",
            peers: &[],
            disconnected: true,
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
        if case.disconnected {
            world.step(Event::StoreDisconnected);
        }
        for (vm, connected) in case.peers {
            let vm = (*vm).to_owned();
            world.step(Event::DigestReceived(Digest {
                vm,
                connected_ms: u64::from(*connected),
                ..Digest::default()
            }));
        }
        world.now += 600;
        let requests_lease = world.step(Event::Tick).contains(&Effect::AcquireLease);
        assert_eq!(requests_lease, case.orders, "{}", case.name);
    }
}

#[test]
fn a_fenced_or_expired_lease_is_never_used_again() {
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
    // The process was suspended for longer than the lease is valid.
    world.now += 10_000;
    assert_eq!(world.step(Event::Tick), [Effect::AcquireLease]);
}

/// Guards against role orders with a lower token than one that was used, which targets may not check.
#[test]
fn a_lease_is_not_used_below_a_token_that_any_node_knows() {
    struct Case {
        name: &'static str,
        /// What happens before and after the lease is granted with token 9.
        before: Vec<Event>,
        after: Vec<Event>,
        is_ordered: bool,
        is_refused: bool,
        highest: u64,
    }
    let told = |token| {
        Event::DigestReceived(Digest {
            vm: "z".to_owned(),
            token,
            ..Digest::default()
        })
    };
    let cases = [
        Case {
            name: "no other token is known",
            before: vec![told(0), told(8)],
            after: vec![],
            is_ordered: true,
            is_refused: false,
            highest: 9,
        },
        Case {
            name: "another node had a higher one",
            before: vec![told(20)],
            after: vec![],
            is_ordered: false,
            is_refused: true,
            highest: 20,
        },
        Case {
            name: "another node had the same one",
            before: vec![told(9)],
            after: vec![],
            is_ordered: false,
            is_refused: false,
            highest: 9,
        },
        Case {
            name: "another node has got a higher one since",
            before: vec![],
            after: vec![told(20), told(3)],
            is_ordered: false,
            is_refused: true,
            highest: 20,
        },
        Case {
            name: "the store may have lost the lease",
            before: vec![],
            after: vec![Event::StoreRestored],
            is_ordered: false,
            is_refused: false,
            highest: 9,
        },
    ];
    for case in cases {
        let mut world = engines(8, 2);
        world.now += 600;
        for event in case.before {
            world.step(event);
        }
        assert!(world.step(Event::Tick).contains(&Effect::AcquireLease));
        world.step(Event::LeaseResult(Some(9)));
        for event in case.after {
            world.step(event);
        }
        world.now += 600;
        let effects = world.step(Event::Tick);
        let is_order = |e: &Effect| matches!(e, Effect::Order { token: 9, .. });
        assert_eq!(
            effects.iter().any(is_order),
            case.is_ordered,
            "{}",
            case.name
        );
        // Checked again before an order is sent.
        assert_eq!(
            world.gate.is_token_refused(9),
            case.is_refused,
            "{}",
            case.name
        );
        assert_eq!(world.gate.highest_token(), case.highest, "{}", case.name);
    }
}

#[test]
fn a_stale_report_does_not_restart_a_role_change() {
    struct Case {
        name: &'static str,
        /// New role reported by the other node.
        reported: Role,
        is_changing: bool,
    }
    for case in [
        Case {
            name: "already completed",
            reported: Role::Prefill,
            is_changing: false,
        },
        Case {
            name: "in progress",
            reported: Role::Decode,
            is_changing: true,
        },
    ] {
        let mut world = World::new();
        world.step(Event::DigestReceived(rw_gate::Digest {
            vm: "other".to_owned(),
            reports: vec![rw_gate::WorkReport {
                target: "f1".to_owned(),
                role_change: Some(rw_gate::RoleChange {
                    role: case.reported,
                    left_ms: 4_000,
                }),
                ..rw_gate::WorkReport::default()
            }],
            ..rw_gate::Digest::default()
        }));
        let target = world.gate.targets().find("f1").expect("an engine");
        let now = rw_types::Millis(world.now);
        assert_eq!(
            target.is_changing_role(now),
            case.is_changing,
            "{}",
            case.name
        );
        assert_eq!(target.next_role(now), case.reported, "{}", case.name);
    }
}

#[test]
fn missing_decode_engines_are_added_under_load_once_slots_run_short() {
    struct Case {
        name: &'static str,
        decode: usize,
        prefill: usize,
        /// Streams on each decode engine, which has 48 slots.
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
        case("slots short after engines left", 2, 10, 45, true),
        case("slots left", 2, 10, 20, false),
        case(
            "slots short, but as many engines as planned",
            5,
            7,
            48,
            false,
        ),
    ] {
        let mut world = engines(case.decode, case.prefill);
        let reports = (0..case.decode).map(|i| rw_gate::WorkReport {
            target: format!("Decode{i:02}1"),
            calls: case.streams,
            tokens: 1_000,
            ..rw_gate::WorkReport::default()
        });
        let digest = rw_gate::Digest {
            vm: "z".to_owned(),
            reports: reports.collect(),
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
