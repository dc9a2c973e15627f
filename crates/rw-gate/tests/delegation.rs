//! Calls that a node passes to another one because its links to targets are cut.

mod support;

use rw_gate::{
    CallRequest, DelegatedCall, Delegation, DelegationOutcome, Delivered, Digest, DispatchOutcome,
    Effect, Event, GateSettings, Refusal, RefusalKind, SoftwareId, TargetIncarnation,
};
use rw_types::RequestId;
use support::*;

const OWN: &str = "vm-000";

fn node(n: usize) -> String {
    format!("vm-{n:03}")
}

fn delegation(effects: &[Effect]) -> Option<&Delegation> {
    effects.iter().find_map(|e| match e {
        Effect::Delegate { delegation, .. } => Some(delegation),
        _ => None,
    })
}

fn probes(effects: &[Effect]) -> Vec<&str> {
    let probed = effects.iter().filter_map(|e| match e {
        Effect::ProbeTarget(target) => Some(target.name.as_str()),
        _ => None,
    });
    probed.collect()
}

fn refusal_of(kind: RefusalKind) -> DelegationOutcome {
    DelegationOutcome::Refused(Refusal {
        kind,
        retry_ms: 700,
        estimate_ms: 0,
    })
}

trait CutWorld {
    fn with_nodes(count: usize) -> Self;
    fn hear(&mut self, n: usize, unreachable: &[&str]);
    fn cut(&mut self, service: &str);
    fn probed(&mut self, target: &str, is_reached: bool) -> Vec<Effect>;
    fn end_delegation(&mut self, id: RequestId, outcome: DelegationOutcome) -> Vec<Effect>;
}

impl CutWorld for World {
    /// A node among `count`, of which it hears all others.
    fn with_nodes(count: usize) -> Self {
        let mut world = Self::with(GateSettings {
            vm: OWN.to_owned(),
            centre: "x".to_owned(),
            ..GateSettings::default()
        });
        world.step(nodes_listed(count));
        (1..count).for_each(|n| world.hear(n, &[]));
        world
    }

    fn hear(&mut self, n: usize, unreachable: &[&str]) {
        self.step(Event::DigestReceived(Digest {
            vm: node(n),
            connected_ms: 5_000,
            unreachable: unreachable.iter().map(|s| (*s).to_owned()).collect(),
            ..Digest::default()
        }));
    }

    /// Lets the attempts to connect to all targets of `service` fail.
    fn cut(&mut self, service: &str) {
        let targets = fleet().into_iter().filter(|t| t.service == service);
        targets.for_each(|t| drop(self.probed(&t.name, false)));
    }

    fn probed(&mut self, target: &str, is_reached: bool) -> Vec<Effect> {
        let target = TargetIncarnation {
            name: target.to_owned(),
            incarnation: 1,
        };
        self.step(Event::TargetProbed { target, is_reached })
    }

    fn end_delegation(&mut self, id: RequestId, outcome: DelegationOutcome) -> Vec<Effect> {
        self.step(Event::DelegationEnded { id, outcome })
    }
}

#[test]
fn only_the_loss_of_all_links_to_a_service_counts_as_a_cut() {
    struct Case {
        name: &'static str,
        failed: &'static [&'static str],
        is_cut: bool,
    }
    let cases = [
        Case {
            name: "one target crashed",
            failed: &["p1"],
            is_cut: false,
        },
        Case {
            name: "most targets crashed",
            failed: &["p1", "p2"],
            is_cut: false,
        },
        Case {
            name: "one link fails again and again",
            failed: &["p1", "p1", "p1", "p1"],
            is_cut: false,
        },
        Case {
            name: "all links are cut",
            failed: &["p1", "p2", "p3"],
            is_cut: true,
        },
        Case {
            name: "links of another service are cut",
            failed: &["d1", "d2", "f1", "f2"],
            is_cut: false,
        },
    ];
    for case in cases {
        let mut world = World::with_nodes(3);
        for target in case.failed {
            world.probed(target, false);
        }
        let (_, effects) = world.arrive(request("/once/1"));
        let is_delegated = delegation(&effects).is_some();
        assert_eq!(is_delegated, case.is_cut, "{}", case.name);
        assert_eq!(dispatch(&effects).is_some(), !case.is_cut, "{}", case.name);
    }
}

#[test]
fn a_response_between_failures_shows_that_links_are_not_cut() {
    let mut world = World::with_nodes(3);
    world.probed("p1", false);
    world.probed("p2", false);
    world.now += 10;
    let (id, _) = world.arrive(request("/once/1"));
    world.step(Event::ResponseStarted { id, load: None });
    world.probed("p3", false);
    let (_, effects) = world.arrive(request("/once/2"));
    assert!(delegation(&effects).is_none());
}

#[test]
fn a_cut_is_found_and_its_end_noticed_with_one_probe_a_tick() {
    let mut world = World::with_nodes(3);
    // A call that hangs is the first sign, without any attempt to connect.
    world.arrive(request("/once/1"));
    world.now += 250;
    assert!(probes(&world.step(Event::Tick)).is_empty(), "too early");
    let mut ticks = 0;
    while world.gate.unreachable_services().is_empty() {
        world.now += 250;
        let effects = world.step(Event::Tick);
        let probed = probes(&effects);
        assert!(probed.len() <= 1, "{probed:?}");
        let names: Vec<String> = probed.iter().map(|n| (*n).to_owned()).collect();
        names.iter().for_each(|n| drop(world.probed(n, false)));
        ticks += 1;
        // The rule's time for noticing a cut is 3 s at least.
        assert!(ticks < 10, "the cut is not noticed");
    }
    world.now += 250;
    let probed = world.step(Event::Tick);
    let [target] = probes(&probed)[..] else {
        panic!("one probe while the service is unreachable");
    };
    let effects = world.probed(target, true);
    assert!(effects.contains(&Effect::PublishDigest));
    assert!(world.gate.unreachable_services().is_empty());
    let (_, effects) = world.arrive(request("/once/2"));
    assert!(dispatch(&effects).is_some());
}

#[test]
fn a_call_without_any_way_to_targets_is_refused_at_once() {
    struct Case {
        name: &'static str,
        nodes: usize,
        unreachable: &'static [&'static str],
        wait_ms: u64,
        delegated: bool,
    }
    let cases = [
        Case {
            name: "no other node",
            nodes: 1,
            unreachable: &[],
            wait_ms: 0,
            delegated: false,
        },
        Case {
            name: "all nodes are cut",
            nodes: 4,
            unreachable: &[PLAIN],
            wait_ms: 0,
            delegated: false,
        },
        Case {
            name: "the others have stopped",
            nodes: 4,
            unreachable: &[],
            wait_ms: 3_000,
            delegated: false,
        },
        Case {
            name: "the call has crossed nodes already",
            nodes: 4,
            unreachable: &[],
            wait_ms: 0,
            delegated: true,
        },
    ];
    for case in cases {
        let mut world = World::with_nodes(case.nodes);
        (1..case.nodes).for_each(|n| world.hear(n, case.unreachable));
        world.cut(PLAIN);
        world.now += case.wait_ms;
        let delegated = case.delegated.then(|| delegated_call(PLAIN));
        let (_, effects) = world.arrive(CallRequest {
            delegated,
            ..request("/once/1")
        });
        assert_eq!(
            refused(&effects),
            Some(RefusalKind::Unreachable),
            "{}",
            case.name
        );
        assert!(refusal(&effects).is_some_and(|r| r.retry_ms > 0));
    }
}

fn delegated_call(service: &str) -> DelegatedCall {
    DelegatedCall {
        service: service.to_owned(),
        left_ms: 2_000,
        version: 1,
        is_counted: false,
        runs: 0,
        software: None,
        resume_after: None,
    }
}

/// What must follow the end of a delegation.
#[derive(Debug, PartialEq, Eq)]
enum Next {
    OtherNode,
    Refused(RefusalKind),
    Delivered,
}

#[test]
fn the_end_of_a_delegation_decides_whether_the_call_may_run_elsewhere() {
    struct Case {
        path: &'static str,
        outcome: DelegationOutcome,
        next: Next,
    }
    let broken = |delivered| DelegationOutcome::Broken { delivered };
    let cases = [
        Case {
            path: "/once/1",
            outcome: DelegationOutcome::Complete,
            next: Next::Delivered,
        },
        Case {
            path: "/once/1",
            outcome: DelegationOutcome::NotSent,
            next: Next::OtherNode,
        },
        Case {
            path: "/once/1",
            outcome: refusal_of(RefusalKind::Unreachable),
            next: Next::OtherNode,
        },
        Case {
            path: "/once/1",
            outcome: refusal_of(RefusalKind::ShuttingDown),
            next: Next::OtherNode,
        },
        Case {
            path: "/once/1",
            outcome: refusal_of(RefusalKind::TooLate),
            next: Next::Refused(RefusalKind::TooLate),
        },
        Case {
            path: "/safe/1",
            outcome: DelegationOutcome::Broken {
                delivered: Delivered::Part,
            },
            next: Next::Refused(RefusalKind::Truncated),
        },
        // It may have run.
        Case {
            path: "/once/1",
            outcome: broken(Delivered::Nothing),
            next: Next::Refused(RefusalKind::ResponseLost),
        },
        Case {
            path: "/once/1",
            outcome: refusal_of(RefusalKind::ResponseLost),
            next: Next::Refused(RefusalKind::ResponseLost),
        },
        Case {
            path: "/chat/1",
            outcome: broken(Delivered::Nothing),
            next: Next::Refused(RefusalKind::ResponseLost),
        },
        Case {
            path: "/chat/1",
            outcome: broken(Delivered::Events(2)),
            next: Next::Refused(RefusalKind::Truncated),
        },
        Case {
            path: "/safe/1",
            outcome: broken(Delivered::Nothing),
            next: Next::OtherNode,
        },
        Case {
            path: "/brief/1",
            outcome: broken(Delivered::Events(2)),
            next: Next::OtherNode,
        },
    ];
    for case in cases {
        let mut world = World::with_nodes(4);
        [PLAIN, ENGINES].iter().for_each(|s| world.cut(s));
        let (id, effects) = world.arrive(request(case.path));
        let first = delegation(&effects).map(|d| d.vm.clone());
        assert!(first.is_some());
        let effects = world.end_delegation(id, case.outcome.clone());
        let next = match (delegation(&effects), refused(&effects)) {
            (Some(second), _) => {
                assert_ne!(Some(&second.vm), first.as_ref());
                Next::OtherNode
            }
            (None, Some(kind)) => Next::Refused(kind),
            (None, None) => Next::Delivered,
        };
        assert_eq!(next, case.next, "{} after {:?}", case.path, case.outcome);
    }
}

#[test]
fn a_broken_stream_goes_on_at_its_version_by_another_node() {
    let mut world = World::with_nodes(4);
    world.cut(ENGINES);
    let (id, _) = world.arrive(request("/brief/1"));
    let software = SoftwareId::of(ENGINES, "v7");
    world.step(Event::DelegatedStreamBegun { id, software });
    let effects = world.end_delegation(
        id,
        DelegationOutcome::Broken {
            delivered: Delivered::Events(3),
        },
    );
    let second = delegation(&effects).map(|d| &d.call);
    assert_eq!(second.and_then(|c| c.software), Some(software));
    assert_eq!(second.and_then(|c| c.resume_after), Some(3));
    assert_eq!(second.map(|c| c.runs), Some(1));
    // The caller takes it up here once the links are back, where no target has the version.
    world.probed("d1", true);
    let taken_up = CallRequest {
        resumes: Some("c".to_owned()),
        last_event: Some(3),
        ..request("/brief/1")
    };
    let (_, effects) = world.arrive(taken_up);
    assert!(dispatch(&effects).is_none(), "another version");
}

#[test]
fn a_delegate_runs_a_call_only_at_the_version_that_the_other_node_names() {
    for (version, is_run) in [("v1", true), ("v2", false)] {
        let mut world = World::with_nodes(2);
        let delegated = DelegatedCall {
            software: Some(SoftwareId::of(ENGINES, version)),
            resume_after: Some(2),
            ..delegated_call(ENGINES)
        };
        let (_, effects) = world.arrive(CallRequest {
            last_event: Some(2),
            delegated: Some(delegated),
            ..generation("/brief/1", (1, 100), (2, 100))
        });
        assert_eq!(dispatch(&effects).is_some(), is_run, "{version}");
    }
}

#[test]
fn a_delegate_with_an_older_configuration_refuses_the_call() {
    for (version, is_run) in [(0, true), (1, true), (2, false)] {
        let mut world = World::with_nodes(2);
        let (_, effects) = world.arrive(CallRequest {
            delegated: Some(DelegatedCall {
                version,
                ..delegated_call(PLAIN)
            }),
            ..request("/once/1")
        });
        assert_eq!(dispatch(&effects).is_some(), is_run, "version {version}");
        let expected = (!is_run).then_some(RefusalKind::NotReady);
        assert_eq!(refused(&effects), expected, "version {version}");
    }
}

#[test]
fn a_call_that_hangs_on_its_way_to_targets_ends_at_another_node() {
    let mut world = World::with_nodes(3);
    let (id, mut effects) = world.arrive(request("/once/1"));
    let mut attempts = 0;
    while dispatch(&effects).is_some() {
        attempts += 1;
        effects = world.end(id, DispatchOutcome::NotSent);
    }
    assert!(delegation(&effects).is_some());
    assert!(attempts <= 2, "{attempts} attempts to connect");
}

#[test]
fn a_delegated_call_counts_once_for_the_retry_budget() {
    // Without slack, the 20 calls of one node allow 3 retries within the margin that is kept.
    let budget = |is_counted| {
        let mut world = World::with(GateSettings {
            retry_slack: 0.0,
            ..GateSettings::default()
        });
        let mut retries = 0;
        for n in 0..20 {
            let delegated = DelegatedCall {
                is_counted,
                ..delegated_call(PLAIN)
            };
            let (id, _) = world.arrive(CallRequest {
                delegated: Some(delegated),
                ..request(&format!("/safe/{n}"))
            });
            world.now += 1;
            let rejected = DispatchOutcome::Rejected { status: 503 };
            retries += usize::from(dispatch(&world.end(id, rejected)).is_some());
        }
        retries
    };
    assert!(budget(false) > 0, "counted by the delegate");
    assert_eq!(budget(true), 0, "counted by the other node");
    // The node that passes calls on leaves them to the delegates.
    let mut world = World::with(GateSettings {
        vm: OWN.to_owned(),
        retry_slack: 0.0,
        ..GateSettings::default()
    });
    world.step(nodes_listed(2));
    world.hear(1, &[]);
    world.cut(PLAIN);
    for n in 0..20 {
        let (id, _) = world.arrive(request(&format!("/safe/{n}")));
        world.end_delegation(id, DelegationOutcome::Complete);
    }
    world.probed("p1", true);
    let (id, _) = world.arrive(request("/safe/x"));
    let effects = world.end(id, DispatchOutcome::Rejected { status: 503 });
    assert!(dispatch(&effects).is_none(), "no retry left here");
}
