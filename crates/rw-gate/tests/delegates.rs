//! Which nodes the calls of a node are passed to while it reaches no target.

mod support;

use rw_gate::{Digest, Effect, Event, FleetNode, GateSettings, TargetIncarnation};
use support::*;

fn node(n: usize) -> String {
    format!("vm-{n:03}")
}

fn digest(n: usize) -> Event {
    Event::DigestReceived(Digest {
        vm: node(n),
        connected_ms: 5_000,
        ..Digest::default()
    })
}

/// The attempt to connect to a target failed.
fn unreached(target: &str) -> Event {
    Event::TargetProbed {
        target: TargetIncarnation {
            name: target.to_owned(),
            incarnation: 1,
        },
        is_reached: false,
    }
}

fn delegate(effects: &[Effect]) -> Option<&str> {
    effects.iter().find_map(|e| match e {
        Effect::Delegate { delegation, .. } => Some(delegation.vm.as_str()),
        _ => None,
    })
}

#[test]
fn delegates_are_chosen_evenly_and_near_ones_first() {
    struct Case {
        nodes: usize,
        /// Nodes whose digests arrive.
        heard: usize,
    }
    let cases = [
        Case { nodes: 6, heard: 5 },
        Case {
            nodes: 71,
            heard: 16,
        },
        Case {
            nodes: 195,
            heard: 2,
        },
        Case {
            nodes: 1_336,
            heard: 0,
        },
    ];
    for case in cases {
        let mut world = World::with(GateSettings {
            vm: node(0),
            centre: "x".to_owned(),
            ..GateSettings::default()
        });
        // A third of the nodes is in the same data centre.
        let nodes = (0..case.nodes).map(|n| FleetNode {
            vm: node(n),
            centre: if n % 3 == 0 { "x" } else { "y" }.to_owned(),
        });
        world.step(Event::NodesListed(nodes.collect()));
        (1..=case.heard).for_each(|n| drop(world.step(digest(n))));
        let plain = fleet().into_iter().filter(|t| t.service == PLAIN);
        plain.for_each(|t| drop(world.step(unreached(&t.name))));
        let mut open = vec![0; case.nodes];
        for n in 0..4 * case.nodes {
            let (_, effects) = world.arrive(request(&format!("/once/{n}")));
            let vm = delegate(&effects).expect("a delegate");
            let index: usize = vm["vm-".len()..].parse().expect("a number");
            open[index] += 1;
        }
        let candidates = match case.heard {
            0..4 => case.nodes - 1,
            heard => heard,
        };
        let mean = 4.0 * case.nodes as f64 / candidates as f64;
        let most = f64::from(open.iter().copied().max().unwrap_or_default());
        assert!(
            most <= mean + 3.0,
            "{} nodes: {most}, mean {mean}",
            case.nodes
        );
        let (near, far) = (open[3], open[1]);
        assert!(near >= far, "{} nodes: {near} near, {far} far", case.nodes);
    }
}
