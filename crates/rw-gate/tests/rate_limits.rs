//! Rate limits that targets name: all nodes together keep to them.

mod support;

use rw_gate::{
    Availability, Digest, DispatchOutcome, Event, GateSettings, LimitReport, RateNotice,
    RefusalKind, RequestRate, Role, TargetIncarnation, TargetNotice,
};
use rw_types::{Millis, RequestId};
use support::*;

/// Time after which a limit must hold, in milliseconds.
const SETTLE_MS: u64 = 3_000;
/// Length of the window in which requests are counted, in milliseconds.
const WINDOW_MS: u64 = 4_000;
const TICK_MS: u64 = 10;
/// Time from a request to the head of its response, in milliseconds.
const RESPONSE_MS: u64 = 60;
const DIGEST_MS: u64 = 50;
const FANOUT: usize = 16;
const LIMITED: &str = "p1";

fn rate(per_s: &str) -> RequestRate {
    RequestRate::parse(per_s).expect("a rate")
}

fn target_of(incarnation: u64) -> TargetIncarnation {
    TargetIncarnation {
        name: LIMITED.to_owned(),
        incarnation,
    }
}

fn notice(incarnation: u64, rate: RateNotice) -> Event {
    Event::TargetNotice {
        target: target_of(incarnation),
        notice: TargetNotice {
            rate,
            ..TargetNotice::default()
        },
    }
}

/// A request on its way.
struct OpenCall {
    node: usize,
    id: RequestId,
    is_limited: bool,
    sent_at: u64,
}

/// Nodes under more load than their targets' limit allows.
struct Fleet {
    nodes: Vec<World>,
    rng: fastrand::Rng,
    now: u64,
    open: Vec<OpenCall>,
    /// Limit that the target names now.
    limit: Option<&'static str>,
    /// Fraction of digests that are lost.
    loss: f64,
    /// Whether each node has heard of the limit from the target itself.
    told: Vec<bool>,
    /// Times of the requests that the target got from nodes that it had told.
    arrivals: Vec<u64>,
    served_elsewhere: usize,
}

impl Fleet {
    fn new(count: usize, limit: &'static str, loss: f64) -> Self {
        let mut fleet = Self {
            nodes: Vec::new(),
            rng: fastrand::Rng::with_seed(count as u64),
            now: 1_000,
            open: Vec::new(),
            limit: Some(limit),
            loss,
            told: vec![false; count],
            arrivals: Vec::new(),
            served_elsewhere: 0,
        };
        fleet.nodes = (0..count).map(|n| Self::node(n, count)).collect();
        fleet
    }

    fn node(n: usize, count: usize) -> World {
        let mut world = World::with(GateSettings {
            vm: format!("vm-{n:03}"),
            seed: n as u64,
            ..GateSettings::default()
        });
        world.step(nodes_listed(count));
        world
    }

    fn restart(&mut self, n: usize) {
        let count = self.nodes.len();
        self.nodes[n] = Self::node(n, count);
        self.nodes[n].now = self.now;
        self.told[n] = false;
        self.open.retain(|c| c.node != n);
    }

    fn arrive(&mut self, node: usize) {
        let (id, effects) = self.nodes[node].arrive(request("/safe/1"));
        let to = sent_to(&effects);
        if to.is_empty() {
            return;
        }
        let is_limited = to == LIMITED;
        if is_limited && self.told[node] {
            self.arrivals.push(self.now);
        }
        self.served_elsewhere += usize::from(!is_limited);
        let sent_at = self.now;
        self.open.push(OpenCall {
            node,
            id,
            is_limited,
            sent_at,
        });
    }

    fn respond(&mut self) {
        let due = self.now - RESPONSE_MS;
        let (ended, open) = self.open.drain(..).partition(|c| c.sent_at <= due);
        self.open = open;
        let ended: Vec<OpenCall> = ended;
        for call in ended {
            let node = &mut self.nodes[call.node];
            if call.is_limited {
                let asked_at = Millis(call.sent_at);
                let said = self.limit.map_or(RateNotice::Unlimited { asked_at }, |l| {
                    RateNotice::Limited(rate(l))
                });
                node.step(notice(1, said));
                self.told[call.node] |= self.limit.is_some();
            }
            node.end(call.id, DispatchOutcome::Complete { status: 200 });
        }
    }

    fn exchange(&mut self) {
        let count = self.nodes.len();
        for n in 0..count {
            let Some(digest) = self.nodes[n].gate.publish(Millis(self.now)) else {
                continue;
            };
            for offset in 1..=FANOUT.min(count - 1) {
                if self.rng.f64() >= self.loss {
                    let receiver = (n + offset) % count;
                    self.nodes[receiver].step(Event::DigestReceived(digest.clone()));
                }
            }
        }
    }

    /// Plays `per_tick` calls each tick, at random nodes, until `until`.
    fn play(&mut self, until: u64, per_tick: usize) {
        while self.now < until {
            self.now += TICK_MS;
            for node in &mut self.nodes {
                node.now = self.now;
            }
            self.respond();
            if self.now.is_multiple_of(DIGEST_MS) {
                self.exchange();
            }
            for _ in 0..per_tick {
                let node = self.rng.usize(..self.nodes.len());
                self.arrive(node);
            }
        }
    }

    /// Most requests in any window that begins at `from` or later.
    fn worst_window(&self, from: u64) -> usize {
        let starts = self.arrivals.iter().filter(|at| **at >= from);
        let counts = starts.map(|start| {
            let window = *start..*start + WINDOW_MS;
            self.arrivals
                .iter()
                .filter(|at| window.contains(at))
                .count()
        });
        counts.max().unwrap_or_default()
    }
}

fn allowed(limit: &str) -> usize {
    (rate(limit).per_s() * 1.5 * WINDOW_MS as f64 / 1e3) as usize + 5
}

#[test]
fn all_nodes_together_keep_to_the_limit_that_a_target_named() {
    struct Case {
        nodes: usize,
        limit: &'static str,
        loss: f64,
        /// Fraction of the limit that is used at least, if the service has no other target.
        used: f64,
        is_alone: bool,
    }
    const LOSSES: [f64; 3] = [0.0, 0.2, 1.0];
    let sizes = [
        (1, "5.8", 0.9),
        (6, "5.8", 0.9),
        (6, "1", 0.9),
        (71, "5.8", 0.8),
        (71, "1", 0.8),
        (195, "5.8", 0.8),
        (195, "0.2", 0.8),
        (195, "60", 0.8),
    ];
    let cases = sizes.into_iter().flat_map(|(nodes, limit, used)| {
        let case = move |loss, is_alone| Case {
            nodes,
            limit,
            loss,
            used,
            is_alone,
        };
        let alone = LOSSES.map(|loss| case(loss, true));
        alone
            .into_iter()
            .chain(LOSSES.map(|loss| case(loss, false)))
    });
    for case in cases {
        let mut fleet = Fleet::new(case.nodes, case.limit, case.loss);
        if case.is_alone {
            let only = target(LIMITED, PLAIN, Role::Mixed);
            let nodes = fleet.nodes.iter_mut();
            nodes.for_each(|n| drop(n.step(Event::TargetsListed(vec![only.clone()]))));
        }
        let end = fleet.now + 60_000;
        // Some calls a second at each node, so that demand exceeds the limit.
        fleet.play(end, (case.nodes / 20).max(2));
        let name = format!(
            "{} nodes, limit {}, loss {}, alone {}",
            case.nodes, case.limit, case.loss, case.is_alone
        );
        let worst = fleet.worst_window(1_000 + SETTLE_MS);
        let allowed = allowed(case.limit);
        assert!(
            worst <= allowed,
            "{name}: {worst} in 4 s, {allowed} allowed"
        );
        let settled = fleet.arrivals.iter().filter(|at| **at >= 1_000 + SETTLE_MS);
        let per_s = settled.count() as f64 / 57.0;
        let used = per_s / rate(case.limit).per_s();
        println!("{name}: worst {worst} of {allowed}, used {used:.2}");
        if case.is_alone {
            assert!(used >= case.used, "{name}: {used:.2} of the limit used");
        } else {
            assert!(fleet.served_elsewhere > 9_000, "{name}");
        }
    }
}

#[test]
fn a_limit_holds_while_nodes_restart_and_ends_when_the_target_names_none() {
    for count in [6, 71] {
        let mut fleet = Fleet::new(count, "5.8", 0.1);
        let start = fleet.now;
        for n in 0..5 {
            fleet.play(start + 4_000 * (n + 1), 2);
            fleet.restart(n as usize);
        }
        let worst = fleet.worst_window(start + SETTLE_MS);
        assert!(worst <= allowed("5.8"), "{count} nodes: {worst} in 4 s");
        fleet.limit = None;
        let ended = fleet.now;
        fleet.play(ended + 4_000, 2);
        let open = fleet.nodes.iter().filter(|w| {
            let target = w.gate.targets().find(LIMITED);
            target.is_some_and(|t| t.send_window.is_none())
        });
        assert_eq!(open.count(), count, "nodes that know that the limit ended");
    }
}

#[test]
fn a_limit_that_changes_each_second_holds_over_every_window() {
    const LIMITS: [&str; 3] = ["8", "2", "5"];
    for count in [1, 6, 71] {
        let mut fleet = Fleet::new(count, LIMITS[0], 0.1);
        let start = fleet.now;
        let mut allowed_by = vec![0.0];
        for second in 1..=30 {
            let limit = LIMITS[second % LIMITS.len()];
            fleet.limit = Some(limit);
            fleet.play(start + 1_000 * second as u64, 2);
            let sum = allowed_by[second - 1] + 1.5 * rate(limit).per_s();
            allowed_by.push(sum);
        }
        let settled = fleet.arrivals.iter().filter(|at| **at >= start + SETTLE_MS);
        for first in settled {
            let window = *first..*first + WINDOW_MS;
            let count_in = fleet
                .arrivals
                .iter()
                .filter(|at| window.contains(at))
                .count();
            // Whole seconds that the window covers; what it covers of others is not counted.
            let from = (first - start).div_ceil(1_000) as usize;
            let to = ((first - start + WINDOW_MS) / 1_000).min(30) as usize;
            let allowed = allowed_by[to] - allowed_by[from] + 5.0;
            // The limits are in force in turn, so that the rest of the window allows at least this.
            let rest = 1.5 * 2.0 * (4 - (to - from)) as f64;
            assert!(
                count_in as f64 <= allowed + rest,
                "{count} nodes at {first}: {count_in} in 4 s, {allowed} allowed"
            );
        }
    }
}

#[test]
fn a_limit_holds_with_random_fleets_losses_and_restarts() {
    for seed in 0..16 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let count = rng.usize(1..=60);
        let limit = ["0", "0.4", "1", "3.3", "7", "19"][rng.usize(..6)];
        let loss = rng.f64();
        let mut fleet = Fleet::new(count, limit, loss);
        let start = fleet.now;
        for _ in 0..8 {
            let until = fleet.now + rng.u64(500..5_000);
            fleet.play(until, rng.usize(1..=4));
            let restarted = rng.usize(..count);
            fleet.restart(restarted);
        }
        let worst = fleet.worst_window(start + SETTLE_MS);
        let allowed = allowed(limit);
        assert!(
            worst <= allowed,
            "seed {seed}: {count} nodes, limit {limit}, loss {loss:.2}: {worst} in 4 s, {allowed} allowed"
        );
    }
}

#[test]
fn the_latest_statement_of_the_incarnation_holds() {
    const NOW: u64 = 10_000;
    struct Case {
        name: &'static str,
        events: Vec<Event>,
        limit: Option<&'static str>,
    }
    let limited = |incarnation, limit| notice(incarnation, RateNotice::Limited(rate(limit)));
    let unlimited = |asked_at| {
        let asked_at = Millis(asked_at);
        notice(1, RateNotice::Unlimited { asked_at })
    };
    let peer = |incarnation, limit: Option<&str>, age_ms| {
        Event::DigestReceived(Digest {
            vm: "z".to_owned(),
            limits: vec![LimitReport {
                target: target_of(incarnation),
                rate: limit.map(rate),
                age_ms,
            }],
            ..Digest::default()
        })
    };
    let cases = [
        Case {
            name: "nothing said",
            events: vec![unlimited(NOW)],
            limit: None,
        },
        Case {
            name: "changed",
            events: vec![limited(1, "3"), limited(1, "4.5")],
            limit: Some("4.5"),
        },
        Case {
            name: "not named with a response to an earlier request",
            events: vec![limited(1, "3"), unlimited(NOW - 1)],
            limit: Some("3"),
        },
        Case {
            name: "not named with a response to a later request",
            events: vec![limited(1, "3"), unlimited(NOW + 1)],
            limit: None,
        },
        Case {
            name: "heard by another node",
            events: vec![peer(1, Some("3"), 100)],
            limit: Some("3"),
        },
        Case {
            name: "withdrawn earlier, by another node",
            events: vec![limited(1, "3"), peer(1, None, 100)],
            limit: Some("3"),
        },
        Case {
            name: "withdrawn later, by another node",
            events: vec![peer(1, Some("3"), 500), peer(1, None, 100)],
            limit: None,
        },
        Case {
            name: "a late response of the incarnation before",
            events: vec![peer(2, Some("3"), 100), limited(1, "4")],
            limit: None,
        },
    ];
    for case in cases {
        let mut world = World::new();
        world.now = NOW;
        for event in case.events {
            world.step(event);
        }
        let limit = world.gate.targets().rate_limit(LIMITED, 1);
        assert_eq!(limit, case.limit.map(rate), "{}", case.name);
    }
}

#[test]
fn callers_are_told_when_the_next_request_may_go() {
    let mut world = World::new();
    for name in ["p1", "p2", "p3"] {
        let target = TargetIncarnation {
            name: name.to_owned(),
            incarnation: 1,
        };
        let limited = TargetNotice {
            rate: RateNotice::Limited(rate("0.5")),
            ..TargetNotice::default()
        };
        world.step(Event::TargetNotice {
            target,
            notice: limited,
        });
    }
    let mut sent = 0;
    let refused = loop {
        let (_, effects) = world.arrive(request("/safe/1"));
        match refusal(&effects) {
            Some(refusal) => break refusal,
            None => sent += 1,
        }
    };
    // Each of the three takes a burst of two and a half.
    assert_eq!(sent, 6);
    assert_eq!(refused.kind, RefusalKind::NoTarget);
    assert!((1_000..=1_250).contains(&refused.retry_ms), "{refused:?}");
    let state = world
        .gate
        .targets()
        .find("p1")
        .map(|t| t.availability(Millis(world.now)));
    assert!(
        matches!(state, Some(Availability::RateLimited { .. })),
        "{state:?}"
    );
    world.now += refused.retry_ms;
    let (_, effects) = world.arrive(request("/safe/1"));
    assert!(!sent_to(&effects).is_empty());
}

#[test]
fn a_limited_engine_gets_no_order() {
    let mut world = World::new();
    let engines = (1..=8).map(|n| target(&format!("d{n}"), ENGINES, Role::Decode));
    world.step(Event::TargetsListed(engines.collect()));
    world.step(Event::StoreConnected);
    let limited = TargetIncarnation {
        name: "d1".to_owned(),
        incarnation: 1,
    };
    world.step(Event::TargetNotice {
        target: limited,
        notice: TargetNotice {
            rate: RateNotice::Limited(rate("50")),
            ..TargetNotice::default()
        },
    });
    let mut ordered = Vec::new();
    for _ in 0..20 {
        world.now += 500;
        let mut effects = world.step(Event::Tick);
        if effects.contains(&rw_gate::Effect::AcquireLease) {
            world.step(Event::LeaseResult(Some(1)));
            effects.extend(world.step(Event::Tick));
        }
        ordered.extend(effects.into_iter().filter_map(|e| match e {
            rw_gate::Effect::Order { target, .. } => Some(target),
            _ => None,
        }));
    }
    assert!(!ordered.is_empty());
    assert!(!ordered.contains(&"d1".to_owned()), "{ordered:?}");
}

#[test]
fn malformed_and_extreme_rates_have_a_defined_meaning() {
    struct Case {
        text: &'static str,
        per_s: Option<f64>,
    }
    let cases = [
        Case {
            text: "5.8",
            per_s: Some(5.8),
        },
        Case {
            text: " 12 ",
            per_s: Some(12.0),
        },
        Case {
            text: "0",
            per_s: Some(0.0),
        },
        Case {
            text: "1e300",
            per_s: Some(1e6),
        },
        Case {
            text: "-1",
            per_s: None,
        },
        Case {
            text: "NaN",
            per_s: None,
        },
        Case {
            text: "inf",
            per_s: None,
        },
        Case {
            text: "many",
            per_s: None,
        },
        Case {
            text: "",
            per_s: None,
        },
    ];
    for case in cases {
        let parsed = RequestRate::parse(case.text).map(RequestRate::per_s);
        assert_eq!(parsed, case.per_s, "{:?}", case.text);
    }
}
