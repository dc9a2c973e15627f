//! What digests contain, how much of it at once, and when it is repeated.

mod support;

use rw_gate::{Digest, Event, GateSettings, RefusalKind, Role, WorkReport};
use rw_types::{Millis, RequestId, Suspect};
use support::{CRASHED, ENGINES, PLAIN, World, generation, refused, request, sent_to, target};

/// Milliseconds after which an unchanged report has certainly been repeated.
const REPEATED_MS: u64 = 1_600;
/// Milliseconds after which a report that was not repeated is no longer valid.
const EXPIRED_MS: u64 = 4_000;

fn publish(world: &mut World) -> Digest {
    let digest = world.gate.publish(Millis(world.now));
    digest.unwrap_or_default()
}

/// Reports of a digest: target, number of prefills, and generations.
fn reported(digest: &Digest) -> Vec<(String, usize, u32)> {
    let reports = digest.reports.iter();
    reports
        .map(|r| (r.target.clone(), r.prefills.len(), r.calls))
        .collect()
}

/// A world with decode engines only, so that a call stays where it was sent.
fn engines(count: usize) -> World {
    let mut world = World::new();
    let engines = (0..count).map(|n| target(&format!("d{n:03}"), ENGINES, Role::Decode));
    world.step(Event::TargetsListed(engines.collect()));
    publish(&mut world);
    world
}

fn open_call(world: &mut World, n: u64) -> (RequestId, String) {
    let (id, effects) = world.arrive(generation("/chat/1", (1, 400), (n, 200)));
    (id, sent_to(&effects).to_owned())
}

#[test]
fn a_digest_contains_changes_and_repeats_the_rest_later() {
    let mut world = engines(3);
    let (id, first) = open_call(&mut world, 10);
    assert_eq!(
        reported(&publish(&mut world)),
        [(first.clone(), 1, 1)],
        "sent"
    );
    world.now += 100;
    assert_eq!(world.gate.publish(Millis(world.now)), None, "no change");
    world.step(Event::FirstEvent { id });
    assert_eq!(
        reported(&publish(&mut world)),
        [(first.clone(), 0, 1)],
        "prefilled"
    );
    world.now += REPEATED_MS;
    assert_eq!(
        reported(&publish(&mut world)),
        [(first.clone(), 0, 1)],
        "repeated"
    );
    world.step(Event::CallerDisconnected { id });
    assert_eq!(reported(&publish(&mut world)), [(first, 0, 0)], "withdrawn");
    world.now += REPEATED_MS;
    assert_eq!(reported(&publish(&mut world)), [], "nothing left to repeat");
}

#[test]
fn all_open_work_is_published_in_digests_of_bounded_size() {
    const TARGETS: usize = 100;
    /// An IP packet of a common link.
    const MAX_BYTES: usize = 1_500;
    let mut world = engines(TARGETS);
    let mut open: Vec<String> = (0..TARGETS as u64)
        .map(|n| open_call(&mut world, n + 10).1)
        .collect();
    open.sort_unstable();
    open.dedup();
    let mut known: Vec<String> = Vec::new();
    for _ in 0..30 {
        world.now += 50;
        let digest = publish(&mut world);
        let bytes = serde_json::to_vec(&digest).expect("a digest").len();
        assert!(bytes <= MAX_BYTES, "{bytes} bytes");
        known.extend(digest.reports.into_iter().map(|r| r.target));
    }
    known.sort_unstable();
    known.dedup();
    assert_eq!(known, open);
}

#[test]
fn reports_of_a_node_that_fell_silent_expire() {
    struct Case {
        name: &'static str,
        /// Whether the node repeats its report half way.
        repeats: bool,
        running: u32,
    }
    for case in [
        Case {
            name: "repeated",
            repeats: true,
            running: 9,
        },
        Case {
            name: "not repeated",
            repeats: false,
            running: 0,
        },
    ] {
        let mut world = engines(1);
        let digest = Digest {
            vm: "z".to_owned(),
            reports: vec![WorkReport {
                target: "d000".to_owned(),
                calls: 9,
                tokens: 900,
                ..WorkReport::default()
            }],
            ..Digest::default()
        };
        world.step(Event::DigestReceived(digest.clone()));
        // A digest without the report leaves it valid.
        let empty = Digest {
            reports: Vec::new(),
            ..digest.clone()
        };
        world.step(Event::DigestReceived(empty));
        let running = |w: &World| w.gate.targets().find("d000").map(|t| t.running_calls());
        assert_eq!(running(&world), Some(9), "{}", case.name);
        world.now += EXPIRED_MS / 2;
        if case.repeats {
            world.step(Event::DigestReceived(digest));
        }
        world.now += EXPIRED_MS / 2;
        world.step(Event::Tick);
        assert_eq!(running(&world), Some(case.running), "{}", case.name);
    }
}

/// Nodes in a ring, each of which sends its digests to the sixteen that follow it.
struct Ring {
    nodes: Vec<World>,
}

impl Ring {
    const RECEIVERS: usize = 16;

    fn new(count: usize) -> Self {
        let node = |n| {
            World::with(GateSettings {
                vm: format!("vm-{n:03}"),
                ..GateSettings::default()
            })
        };
        Self {
            nodes: (0..count).map(node).collect(),
        }
    }

    /// Node `n` runs a request on `target`, which crashes.
    fn crash(&mut self, n: usize, target_name: &str, fingerprint: u64) {
        let node = &mut self.nodes[n];
        node.step(Event::TargetsListed(vec![target(
            target_name,
            PLAIN,
            Role::Mixed,
        )]));
        let mut call = request("/once/1");
        call.fingerprint = fingerprint;
        let (id, effects) = node.arrive(call);
        assert_eq!(sent_to(&effects), target_name);
        node.end(id, CRASHED);
    }

    /// Each node sends one digest.
    fn exchange(&mut self) {
        for n in 0..self.nodes.len() {
            let digest = publish(&mut self.nodes[n]);
            for offset in 1..=Self::RECEIVERS {
                let receiver = (n + offset) % self.nodes.len();
                self.nodes[receiver].step(Event::DigestReceived(digest.clone()));
            }
        }
    }

    fn refuses(&mut self, n: usize, fingerprint: u64) -> bool {
        let mut call = request("/once/1");
        call.fingerprint = fingerprint;
        let (_, effects) = self.nodes[n].arrive(call);
        refused(&effects) == Some(RefusalKind::Poison)
    }
}

#[test]
fn a_request_that_crashes_targets_is_known_everywhere_in_spite_of_many_other_crashes() {
    const NODES: usize = 71;
    const POISON: u64 = 1;
    /// Time between two digests of a node whose budget is used up.
    const ROUND_MS: u64 = 500;
    /// Time after the third crash from which the request may no longer run.
    const KNOWN_WITHIN_MS: u64 = 4_000;
    let mut ring = Ring::new(NODES);
    for n in 0..NODES {
        for call in 0..5 {
            ring.crash(n, "p9", 100 + (n * 5 + call) as u64);
        }
    }
    for (n, name) in [(0, "p1"), (30, "p2"), (60, "p3")] {
        ring.crash(n, name, POISON);
    }
    for _ in 0..KNOWN_WITHIN_MS / ROUND_MS {
        ring.exchange();
        ring.nodes.iter_mut().for_each(|w| w.now += ROUND_MS);
    }
    let ignorant: Vec<usize> = (0..NODES).filter(|n| !ring.refuses(*n, POISON)).collect();
    assert_eq!(ignorant, [0_usize; 0]);
}

#[test]
fn a_suspect_request_is_published_twice_and_again_after_another_crash() {
    let mut world = World::new();
    publish(&mut world);
    let suspects = |targets: &[&str]| {
        Event::DigestReceived(Digest {
            vm: "z".to_owned(),
            suspects: vec![Suspect {
                fingerprint: 5,
                targets: targets.iter().map(|t| (*t).to_owned()).collect(),
                age_ms: 0,
            }],
            ..Digest::default()
        })
    };
    for (targets, sends) in [(&["a"][..], 2), (&["a"][..], 0), (&["a", "b"][..], 2)] {
        world.step(suspects(targets));
        let published = (0..10).filter(|_| {
            world.now += 50;
            !publish(&mut world).suspects.is_empty()
        });
        assert_eq!(published.count(), sends, "{targets:?}");
    }
}
