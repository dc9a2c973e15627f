//! Configuration synchronization: spread of a new version, head readers, fetches, and when a node
//! may receive requests.

use rw_core::{
    CONVERGENCE_LIMIT_MS, CoreSettings, Effect, Event, FANOUT, HEAD_READERS, Node, SyncEffect,
    SyncEvent, head_rank,
};
use rw_types::{BootId, Config, Digest, Millis, Suspect, Version, Vm};
use std::sync::Arc;

/// Maximum head reads per second of all nodes together, of the two thousand that the table serves.
const MAX_HEAD_READS: usize = 24;

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
    node.step(Millis(0), config_read(version));
    node
}

fn config_read(version: u64) -> Event {
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

fn exchanged(sent: u64, version: Option<u64>, age: Option<u64>) -> Event {
    let digest = version.map(|v| Digest {
        version: Version(v),
        age_ms: age,
        ..Digest::default()
    });
    Event::Sync(SyncEvent::ExchangeEnded {
        sent: Millis(sent),
        addr: "peer".to_owned(),
        digest,
    })
}

fn head_read(sent: u64, version: Option<u64>) -> Event {
    Event::Sync(SyncEvent::HeadRead {
        sent: Millis(sent),
        head: version.map(Version),
    })
}

struct Propagation {
    ticks: u64,
    /// Exchanges per node and tick.
    calls: f64,
    /// Maximum number of head reads in one tick, over all nodes.
    reads: usize,
}

/// Ticks of one second until all live nodes have version 2. Of each ten nodes, `dead` never
/// respond.
fn propagate(nodes: usize, dead: usize) -> Propagation {
    let list = vms(nodes);
    let mut all: Vec<_> = (0..nodes).map(|i| node(i, &list, 1)).collect();
    let is_dead = |i: usize| i % 10 < dead;
    let (mut calls, mut max_reads) = (0, 0);
    for tick in 1..=60 {
        let now = Millis(tick * 1_000);
        let mut reads = 0;
        for i in (0..nodes).filter(|i| !is_dead(*i)) {
            for effect in all[i].step(now, Event::Sync(SyncEvent::Tick)) {
                match effect {
                    Effect::Sync(SyncEffect::ReadHead) => {
                        reads += 1;
                        let result = head_read(now.0, Some(2));
                        all[i].step(now, result);
                        all[i].step(now, config_read(2));
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
                            all[peer].step(now, config_read(higher));
                            all[i].step(now, config_read(higher));
                        }
                    }
                    _ => {}
                }
            }
        }
        max_reads = max_reads.max(reads);
        let mut live = (0..nodes).filter(|i| !is_dead(*i));
        if live.all(|i| all[i].config().version == Version(2)) {
            return Propagation {
                ticks: tick,
                calls: calls as f64 / (nodes as u64 * tick) as f64,
                reads: max_reads,
            };
        }
    }
    panic!("{nodes} nodes: version 2 has not reached every live node after 60 ticks")
}

#[test]
fn a_version_reaches_all_nodes_in_time_with_constant_calls_per_node() {
    struct Case {
        nodes: usize,
        dead_per_ten: usize,
    }
    let cases = [
        Case {
            nodes: 1,
            dead_per_ten: 0,
        },
        Case {
            nodes: 8,
            dead_per_ten: 0,
        },
        Case {
            nodes: 8,
            dead_per_ten: 3,
        },
        Case {
            nodes: 100,
            dead_per_ten: 0,
        },
        Case {
            nodes: 100,
            dead_per_ten: 3,
        },
        Case {
            nodes: 1_300,
            dead_per_ten: 0,
        },
        Case {
            nodes: 1_300,
            dead_per_ten: 3,
        },
    ];
    for case in cases {
        let Propagation {
            ticks,
            calls,
            reads,
        } = propagate(case.nodes, case.dead_per_ten);
        println!(
            "nodes {} dead in ten {} ticks {ticks} calls a node and tick {calls:.2} reads {reads}",
            case.nodes, case.dead_per_ten
        );
        assert!(
            ticks * 1_000 <= CONVERGENCE_LIMIT_MS,
            "{} nodes",
            case.nodes
        );
        assert!(calls <= FANOUT as f64, "{} nodes", case.nodes);
        assert!(reads <= MAX_HEAD_READS, "{} nodes", case.nodes);
    }
}

#[test]
fn few_nodes_read_the_head_and_others_take_over() {
    struct Case {
        name: &'static str,
        nodes: usize,
        /// Whether peers respond.
        peers: bool,
        /// Milliseconds since the head was last read.
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
            name: "readers down",
            nodes: 1_300,
            peers: true,
            age: 6_500,
            readers: 2 * HEAD_READERS,
        },
        Case {
            name: "table outage",
            nodes: 1_300,
            peers: true,
            age: 600_000,
            readers: 24,
        },
        Case {
            name: "no peer has responded yet",
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
            node.step(Millis(now - case.age), head_read(now - case.age, Some(1)));
            if case.peers {
                node.step(Millis(now - 1), exchanged(now - 1, Some(1), None));
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
fn a_node_is_available_only_while_its_version_is_known_to_be_current() {
    struct Case {
        name: &'static str,
        peers: usize,
        events: Vec<(u64, Event)>,
        now: u64,
        available: bool,
    }
    let s = 1_000;
    let ok = |at: u64| (at, exchanged(at, Some(1), None));
    let lost = |at: u64| (at, exchanged(at, None, None));
    let cases = [
        Case {
            name: "no configuration",
            peers: 7,
            events: vec![(s, head_read(s, Some(0)))],
            now: s,
            available: false,
        },
        Case {
            name: "fresh head",
            peers: 7,
            events: vec![(0, config_read(1)), (s, head_read(s, Some(1)))],
            now: 19 * s,
            available: true,
        },
        Case {
            name: "head stale, no peer responds",
            peers: 7,
            events: vec![
                (0, config_read(1)),
                (s, head_read(s, Some(1))),
                lost(2 * s),
                lost(18 * s),
            ],
            now: 20 * s,
            available: false,
        },
        Case {
            name: "head stale, most peers respond",
            peers: 7,
            events: vec![
                (0, config_read(1)),
                ok(15 * s),
                ok(16 * s),
                ok(17 * s),
                lost(18 * s),
            ],
            now: 20 * s,
            available: true,
        },
        Case {
            name: "head stale, half of the exchanges succeed",
            peers: 7,
            events: vec![
                (0, config_read(1)),
                ok(15 * s),
                ok(16 * s),
                ok(17 * s),
                lost(15 * s),
                lost(16 * s),
                lost(17 * s),
            ],
            now: 20 * s,
            available: false,
        },
        Case {
            name: "booted during a table outage, one peer responded",
            peers: 7,
            events: vec![(s, config_read(1)), ok(s)],
            now: 2 * s,
            available: false,
        },
        Case {
            name: "resumed after a long pause",
            peers: 7,
            events: vec![
                (0, config_read(1)),
                (s, head_read(s, Some(1))),
                ok(s),
                ok(s),
                ok(s),
            ],
            now: 600 * s,
            available: false,
        },
        Case {
            name: "only VM on the list, table outage",
            peers: 0,
            events: vec![(0, config_read(1))],
            now: 600 * s,
            available: true,
        },
        Case {
            name: "a higher version known for long but not applied",
            peers: 7,
            events: vec![
                (0, config_read(1)),
                (s, head_read(s, Some(2))),
                (19 * s, head_read(19 * s, Some(2))),
            ],
            now: 20 * s,
            available: false,
        },
        Case {
            name: "a higher version known for a second",
            peers: 7,
            events: vec![
                (0, config_read(1)),
                (s, head_read(s, Some(1))),
                (2 * s, head_read(2 * s, Some(2))),
            ],
            now: 3 * s,
            available: true,
        },
        Case {
            name: "a received digest does not confirm the head",
            peers: 7,
            events: vec![
                (0, config_read(1)),
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
            available: false,
        },
        Case {
            name: "a peer's head age counts from when the exchange was sent",
            peers: 7,
            events: vec![
                (0, config_read(1)),
                (60 * s, exchanged(59 * s, Some(1), Some(10 * s))),
            ],
            now: 66 * s,
            available: true,
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
            case.available,
            "{}",
            case.name
        );
    }
}

#[test]
fn a_lower_version_is_never_applied() {
    let mut node = node(0, &vms(3), 5);
    for (version, kept) in [(4, 5), (5, 5), (6, 6), (1, 6)] {
        node.step(Millis(0), config_read(version));
        assert_eq!(node.config().version, Version(kept));
    }
}

#[test]
fn a_fetch_goes_to_the_peer_that_reported_and_then_to_the_table() {
    let mut node = node(0, &vms(3), 1);
    let fetch = |effects: &[Effect]| {
        effects.iter().find_map(|e| match e {
            Effect::Sync(SyncEffect::Fetch { peer }) => Some(peer.clone()),
            _ => None,
        })
    };
    let peer = Some("peer".to_owned());
    let first = node.step(Millis(0), exchanged(0, Some(2), None));
    assert_eq!(fetch(&first), Some(peer.clone()));
    let again = node.step(Millis(100), exchanged(100, Some(2), None));
    assert_eq!(fetch(&again), None, "one fetch at a time");
    let failed = node.step(Millis(200), Event::Sync(SyncEvent::FetchEnded));
    assert_eq!(fetch(&failed), Some(None), "the table next");
    let silent = node.step(Millis(4_000), Event::Sync(SyncEvent::Tick));
    assert_eq!(
        fetch(&silent),
        Some(peer),
        "a fetch that does not end is repeated"
    );
    node.step(Millis(4_100), config_read(2));
    let after_apply = node.step(Millis(9_000), Event::Sync(SyncEvent::FetchEnded));
    assert_eq!(fetch(&after_apply), None);
}

#[test]
fn one_in_four_burning_peers_is_enough() {
    struct Case {
        name: &'static str,
        own: bool,
        not_burning: usize,
        burning: usize,
        lost: usize,
        expected: bool,
    }
    let cases = [
        Case {
            name: "no exchanges",
            own: false,
            not_burning: 0,
            burning: 0,
            lost: 0,
            expected: false,
        },
        Case {
            name: "own objectives",
            own: true,
            not_burning: 9,
            burning: 0,
            lost: 0,
            expected: true,
        },
        Case {
            name: "none",
            own: false,
            not_burning: 9,
            burning: 0,
            lost: 3,
            expected: false,
        },
        Case {
            name: "one in three",
            own: false,
            not_burning: 2,
            burning: 1,
            lost: 0,
            expected: true,
        },
        Case {
            name: "one in four",
            own: false,
            not_burning: 3,
            burning: 1,
            lost: 9,
            expected: true,
        },
        Case {
            name: "one in five",
            own: false,
            not_burning: 4,
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
        let digests = std::iter::repeat_n(Some(digest(false)), case.not_burning)
            .chain(std::iter::repeat_n(Some(digest(true)), case.burning))
            .chain(std::iter::repeat_n(None, case.lost));
        for digest in digests {
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
fn a_digest_carries_the_most_recent_suspects() {
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
    let fingerprints: Vec<_> = node
        .digest_suspects(now)
        .iter()
        .map(|s| s.fingerprint)
        .collect();
    assert_eq!(
        fingerprints,
        (0..16).collect::<Vec<_>>(),
        "the 16 most recent suspects"
    );
}
