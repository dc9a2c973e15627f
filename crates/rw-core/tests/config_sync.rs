//! Decisions that keep the configuration in force.

use rw_core::{
    CONVERGENCE_LIMIT_MS, CoreSettings, Effect, Event, FANOUT, HEAD_READERS, Node, SyncEffect,
    SyncEvent, head_rank,
};
use rw_types::{BootId, Config, Digest, Millis, Suspect, Version, Vm};
use std::sync::Arc;

/// Most reads of the head a second for all nodes together, out of the table's two thousand.
const MAX_READS: usize = 24;

fn vms(n: usize) -> Vec<Vm> {
    let vm = |i| Vm {
        name: format!("vm-{i}"),
        centre: "centre-a".to_owned(),
        peer: format!("{i}"),
        leaving: false,
    };
    (0..n).map(vm).collect()
}

fn node(i: usize, list: &[Vm], version: u64) -> Node {
    let mut node = Node::new(CoreSettings {
        vm: format!("vm-{i}"),
        boot: BootId(i as u64),
        seed: i as u64,
        ..CoreSettings::default()
    });
    node.step(Millis(0), Event::VmsRead(list.to_vec()));
    node.step(Millis(0), read(version));
    node
}

fn read(version: u64) -> Event {
    Event::ConfigRead(Arc::new(Config {
        version: Version(version),
        ..Config::default()
    }))
}

fn digest(node: &Node, now: Millis) -> Digest {
    Digest {
        version: node.config().version,
        age_ms: node.sync().head_age(now),
        ..Digest::default()
    }
}

fn answered(asked: u64, version: Option<u64>, age: Option<u64>) -> Event {
    let digest = version.map(|v| Digest {
        version: Version(v),
        age_ms: age,
        ..Digest::default()
    });
    Event::Sync(SyncEvent::ExchangeEnded {
        sent: Millis(asked),
        addr: "peer".to_owned(),
        digest,
    })
}

fn head(asked: u64, version: Option<u64>) -> Event {
    Event::Sync(SyncEvent::HeadRead {
        sent: Millis(asked),
        head: version.map(Version),
    })
}

struct Spread {
    ticks: u64,
    /// Calls of peers a node and tick.
    calls: f64,
    /// Most reads of the head in one tick, by all nodes.
    reads: usize,
}

/// Ticks of one second until all live nodes have version 2.
fn spread(nodes: usize, dead: usize) -> Spread {
    let list = vms(nodes);
    let mut all: Vec<_> = (0..nodes).map(|i| node(i, &list, 1)).collect();
    let is_dead = |i: usize| i % 10 < dead;
    let (mut calls, mut most) = (0, 0);
    for tick in 1..=60 {
        let now = Millis(tick * 1_000);
        let mut reads = 0;
        for i in (0..nodes).filter(|i| !is_dead(*i)) {
            for effect in all[i].step(now, Event::Sync(SyncEvent::Tick)) {
                match effect {
                    Effect::Sync(SyncEffect::ReadHead) => {
                        reads += 1;
                        let seen = head(now.0, Some(2));
                        all[i].step(now, seen);
                        all[i].step(now, read(2));
                    }
                    Effect::Sync(SyncEffect::Exchange { addr }) => {
                        calls += 1;
                        let peer: usize = addr.parse().expect("the list's address");
                        let (mine, theirs) = (digest(&all[i], now), digest(&all[peer], now));
                        let higher = mine.version.max(theirs.version).0;
                        let alive = !is_dead(peer);
                        let event = Event::Sync(SyncEvent::ExchangeEnded {
                            sent: now,
                            addr,
                            digest: alive.then_some(theirs),
                        });
                        all[i].step(now, event);
                        if alive {
                            all[peer].step(now, Event::Sync(SyncEvent::DigestReceived(mine)));
                            all[peer].step(now, read(higher));
                            all[i].step(now, read(higher));
                        }
                    }
                    _ => {}
                }
            }
        }
        most = most.max(reads);
        let mut live = (0..nodes).filter(|i| !is_dead(*i));
        if live.all(|i| all[i].config().version == Version(2)) {
            return Spread {
                ticks: tick,
                calls: calls as f64 / (nodes as u64 * tick) as f64,
                reads: most,
            };
        }
    }
    panic!("{nodes} nodes: the version is not everywhere after a minute")
}

#[test]
fn a_version_reaches_all_nodes_in_time_with_flat_calls() {
    struct Case {
        nodes: usize,
        dead_in_ten: usize,
    }
    let cases = [
        Case {
            nodes: 1,
            dead_in_ten: 0,
        },
        Case {
            nodes: 8,
            dead_in_ten: 0,
        },
        Case {
            nodes: 8,
            dead_in_ten: 3,
        },
        Case {
            nodes: 100,
            dead_in_ten: 0,
        },
        Case {
            nodes: 100,
            dead_in_ten: 3,
        },
        Case {
            nodes: 1_300,
            dead_in_ten: 0,
        },
        Case {
            nodes: 1_300,
            dead_in_ten: 3,
        },
    ];
    for case in cases {
        let Spread {
            ticks,
            calls,
            reads,
        } = spread(case.nodes, case.dead_in_ten);
        println!(
            "nodes {} dead in ten {} ticks {ticks} calls a node and tick {calls:.2} reads {reads}",
            case.nodes, case.dead_in_ten
        );
        assert!(
            ticks * 1_000 <= CONVERGENCE_LIMIT_MS,
            "{} nodes",
            case.nodes
        );
        assert!(calls <= FANOUT as f64, "{} nodes", case.nodes);
        assert!(reads <= MAX_READS, "{} nodes", case.nodes);
    }
}

#[test]
fn readers_are_few_and_others_take_over() {
    struct Case {
        name: &'static str,
        nodes: usize,
        /// Whether peers answer.
        peers: bool,
        /// Milliseconds since the head was known.
        age: u64,
        readers: usize,
    }
    let cases = [
        Case {
            name: "few nodes",
            nodes: 2,
            peers: true,
            age: 1_000,
            readers: 2,
        },
        Case {
            name: "fresh",
            nodes: 1_300,
            peers: true,
            age: 1_000,
            readers: HEAD_READERS,
        },
        Case {
            name: "readers gone",
            nodes: 1_300,
            peers: true,
            age: 6_500,
            readers: 2 * HEAD_READERS,
        },
        Case {
            name: "outage",
            nodes: 1_300,
            peers: true,
            age: 600_000,
            readers: 24,
        },
        Case {
            name: "no peer answers yet",
            nodes: 1_300,
            peers: false,
            age: 1_000,
            readers: HEAD_READERS,
        },
    ];
    for case in cases {
        let list = vms(case.nodes);
        let now = 1_000_000;
        let reads = |i: &usize| {
            let mut node = node(*i, &list, 1);
            node.step(Millis(now - case.age), head(now - case.age, Some(1)));
            if case.peers {
                node.step(Millis(now - 1), answered(now - 1, Some(1), None));
            }
            let effects = node.step(Millis(now), Event::Sync(SyncEvent::Tick));
            effects.contains(&Effect::Sync(SyncEffect::ReadHead))
        };
        let readers = (0..case.nodes).filter(reads).count();
        assert_eq!(readers, case.readers, "{}", case.name);
    }
    assert_eq!(head_rank(&vms(8), "vm-unlisted"), 0);
}

#[test]
fn a_node_that_reaches_no_peer_reads_the_head_itself() {
    let list = vms(1_300);
    let last = (0..1_300).max_by_key(|i| head_rank(&list, &format!("vm-{i}")));
    let mut node = node(last.expect("a node"), &list, 1);
    let mut reads = 0;
    for tick in 0..20 {
        let effects = node.step(Millis(tick * 1_000), Event::Sync(SyncEvent::Tick));
        reads += usize::from(effects.contains(&Effect::Sync(SyncEffect::ReadHead)));
    }
    assert_eq!(reads, 3, "once in five seconds");
}

#[test]
fn a_node_is_offered_only_while_it_can_know_its_version_is_current() {
    struct Case {
        name: &'static str,
        peers: usize,
        events: Vec<(u64, Event)>,
        now: u64,
        offered: bool,
    }
    let s = 1_000;
    let ok = |at: u64| (at, answered(at, Some(1), None));
    let lost = |at: u64| (at, answered(at, None, None));
    let cases = [
        Case {
            name: "no configuration",
            peers: 7,
            events: vec![(s, head(s, Some(0)))],
            now: s,
            offered: false,
        },
        Case {
            name: "fresh head",
            peers: 7,
            events: vec![(0, read(1)), (s, head(s, Some(1)))],
            now: 19 * s,
            offered: true,
        },
        Case {
            name: "head long ago, no peer answers",
            peers: 7,
            events: vec![
                (0, read(1)),
                (s, head(s, Some(1))),
                lost(2 * s),
                lost(18 * s),
            ],
            now: 20 * s,
            offered: false,
        },
        Case {
            name: "head long ago, most peers answer",
            peers: 7,
            events: vec![
                (0, read(1)),
                ok(15 * s),
                ok(16 * s),
                ok(17 * s),
                lost(18 * s),
            ],
            now: 20 * s,
            offered: true,
        },
        Case {
            name: "head long ago, half of the peers answer",
            peers: 7,
            events: vec![
                (0, read(1)),
                ok(15 * s),
                ok(16 * s),
                ok(17 * s),
                lost(15 * s),
                lost(16 * s),
                lost(17 * s),
            ],
            now: 20 * s,
            offered: false,
        },
        Case {
            name: "booted in an outage, one peer answered",
            peers: 7,
            events: vec![(s, read(1)), ok(s)],
            now: 2 * s,
            offered: false,
        },
        Case {
            name: "woken after a long pause",
            peers: 7,
            events: vec![(0, read(1)), (s, head(s, Some(1))), ok(s), ok(s), ok(s)],
            now: 600 * s,
            offered: false,
        },
        Case {
            name: "alone on the list in an outage",
            peers: 0,
            events: vec![(0, read(1))],
            now: 600 * s,
            offered: true,
        },
        Case {
            name: "a higher version known and not had for long",
            peers: 7,
            events: vec![
                (0, read(1)),
                (s, head(s, Some(2))),
                (19 * s, head(19 * s, Some(2))),
            ],
            now: 20 * s,
            offered: false,
        },
        Case {
            name: "a higher version known just now",
            peers: 7,
            events: vec![
                (0, read(1)),
                (s, head(s, Some(1))),
                (2 * s, head(2 * s, Some(2))),
            ],
            now: 3 * s,
            offered: true,
        },
        Case {
            name: "a received digest that waited does not count as fresh",
            peers: 7,
            events: vec![
                (0, read(1)),
                (
                    60 * s,
                    Event::Sync(SyncEvent::DigestReceived(Digest {
                        version: Version(1),
                        age_ms: Some(0),
                        ..Digest::default()
                    })),
                ),
            ],
            now: 60 * s,
            offered: false,
        },
        Case {
            name: "a peer's fresh head counts from when it was asked",
            peers: 7,
            events: vec![
                (0, read(1)),
                (60 * s, answered(59 * s, Some(1), Some(10 * s))),
            ],
            now: 66 * s,
            offered: true,
        },
    ];
    for case in cases {
        let mut node = Node::new(CoreSettings {
            vm: "vm-0".to_owned(),
            ..CoreSettings::default()
        });
        node.step(Millis(0), Event::VmsRead(vms(case.peers + 1)));
        for (at, event) in case.events {
            node.step(Millis(at), event);
        }
        assert_eq!(
            node.is_available(Millis(case.now)),
            case.offered,
            "{}",
            case.name
        );
    }
}

#[test]
fn a_lower_version_is_never_applied() {
    let mut node = node(0, &vms(3), 5);
    for (version, kept) in [(4, 5), (5, 5), (6, 6), (1, 6)] {
        node.step(Millis(0), read(version));
        assert_eq!(node.config().version, Version(kept));
    }
}

#[test]
fn a_fetch_goes_to_the_peer_that_told_and_then_to_the_table() {
    let mut node = node(0, &vms(3), 1);
    let fetch = |effects: &[Effect]| {
        effects.iter().find_map(|e| match e {
            Effect::Sync(SyncEffect::Fetch { peer }) => Some(peer.clone()),
            _ => None,
        })
    };
    let peer = Some("peer".to_owned());
    let first = node.step(Millis(0), answered(0, Some(2), None));
    assert_eq!(fetch(&first), Some(peer.clone()));
    let again = node.step(Millis(100), answered(100, Some(2), None));
    assert_eq!(fetch(&again), None, "one fetch at a time");
    let failed = node.step(Millis(200), Event::Sync(SyncEvent::FetchEnded));
    assert_eq!(fetch(&failed), Some(None), "the table next");
    let silent = node.step(Millis(4_000), Event::Sync(SyncEvent::Tick));
    assert_eq!(
        fetch(&silent),
        Some(peer),
        "a fetch without an end is given up"
    );
    node.step(Millis(4_100), read(2));
    let had = node.step(Millis(9_000), Event::Sync(SyncEvent::FetchEnded));
    assert_eq!(fetch(&had), None);
}

#[test]
fn one_in_four_peers_that_burn_is_enough() {
    struct Case {
        name: &'static str,
        own: bool,
        quiet: usize,
        burning: usize,
        lost: usize,
        expected: bool,
    }
    let cases = [
        Case {
            name: "nobody asked",
            own: false,
            quiet: 0,
            burning: 0,
            lost: 0,
            expected: false,
        },
        Case {
            name: "own",
            own: true,
            quiet: 9,
            burning: 0,
            lost: 0,
            expected: true,
        },
        Case {
            name: "none",
            own: false,
            quiet: 9,
            burning: 0,
            lost: 3,
            expected: false,
        },
        Case {
            name: "one in three",
            own: false,
            quiet: 2,
            burning: 1,
            lost: 0,
            expected: true,
        },
        Case {
            name: "one in four",
            own: false,
            quiet: 3,
            burning: 1,
            lost: 9,
            expected: true,
        },
        Case {
            name: "one in five",
            own: false,
            quiet: 4,
            burning: 1,
            lost: 0,
            expected: false,
        },
    ];
    for case in cases {
        let mut node = node(0, &vms(9), 1);
        node.step(Millis(0), Event::Sync(SyncEvent::Burning(case.own)));
        let digest = |burning| Digest {
            burning,
            ..Digest::default()
        };
        let told = std::iter::repeat_n(Some(digest(false)), case.quiet)
            .chain(std::iter::repeat_n(Some(digest(true)), case.burning))
            .chain(std::iter::repeat_n(None, case.lost));
        for digest in told {
            let event = SyncEvent::ExchangeEnded {
                sent: Millis(0),
                addr: String::new(),
                digest,
            };
            node.step(Millis(1), Event::Sync(event));
        }
        let now = Millis(2);
        assert_eq!(node.sync().is_burning(now), case.expected, "{}", case.name);
        let later = Millis(2 + CONVERGENCE_LIMIT_MS);
        assert_eq!(
            node.sync().is_burning(later),
            case.own,
            "{}, later",
            case.name
        );
    }
}

#[test]
fn a_digest_brings_the_latest_suspects() {
    let mut node = node(0, &vms(3), 1);
    let suspects = (0..40).map(|n| Suspect {
        fingerprint: n,
        targets: vec!["engine-1".to_owned(), "engine-2".to_owned()],
        age_ms: n,
    });
    let digest = Digest {
        suspects: suspects.collect(),
        ..Digest::default()
    };
    let now = Millis(100_000);
    node.step(now, Event::Sync(SyncEvent::DigestReceived(digest)));
    assert_eq!(node.suspects(now).len(), 40);
    let told: Vec<_> = node
        .digest_suspects(now)
        .iter()
        .map(|s| s.fingerprint)
        .collect();
    assert_eq!(told, (0..16).collect::<Vec<_>>(), "the youngest, and few");
}
