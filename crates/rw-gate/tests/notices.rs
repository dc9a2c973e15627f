//! What targets say about themselves: which state follows, and what other nodes learn of it.

mod support;

use rw_gate::{
    Availability, Digest, DispatchOutcome, Effect, Event, GateSettings, LeavingSource, RateNotice,
    RefusalKind, Role, TargetIncarnation, TargetNotice,
};
use rw_types::Millis;
use support::*;

const LEAVING: TargetNotice = TargetNotice {
    is_leaving: true,
    pause_ms: None,
    rate: RateNotice::Silent,
};

fn notice(name: &str, incarnation: u64, notice: TargetNotice) -> Event {
    let target = TargetIncarnation {
        name: name.to_owned(),
        incarnation,
    };
    Event::TargetNotice { target, notice }
}

fn pause(name: &str, pause_ms: u64) -> Event {
    let asked = TargetNotice {
        is_leaving: false,
        pause_ms: Some(pause_ms),
        ..TargetNotice::default()
    };
    notice(name, 1, asked)
}

fn entry(incarnation: u64, leaving: bool) -> Event {
    let mut spec = target("p1", PLAIN, Role::Mixed);
    spec.incarnation = incarnation;
    spec.leaving = leaving;
    Event::TargetUpdated(spec)
}

fn removed() -> Event {
    Event::TargetRemoved {
        name: "p1".to_owned(),
    }
}

fn digest(vm: &str, incarnation: u64) -> Event {
    Event::DigestReceived(Digest {
        vm: vm.to_owned(),
        leaving: vec![TargetIncarnation {
            name: "p1".to_owned(),
            incarnation,
        }],
        ..Digest::default()
    })
}

fn state(world: &World, name: &str) -> Option<Availability> {
    let target = world.gate.targets().find(name)?;
    Some(target.availability(Millis(world.now)))
}

#[test]
fn the_first_source_that_applies_decides() {
    struct Case {
        name: &'static str,
        events: Vec<Event>,
        state: &'static str,
    }
    let cases = [
        Case {
            name: "nothing said",
            events: vec![entry(1, false)],
            state: "open",
        },
        Case {
            name: "said itself, listed as ready before and after",
            events: vec![notice("p1", 1, LEAVING), entry(1, false)],
            state: "leaving-response",
        },
        Case {
            name: "listed as leaving, then said so",
            events: vec![entry(1, true), notice("p1", 1, LEAVING)],
            state: "leaving-entry",
        },
        Case {
            name: "another node has heard it",
            events: vec![digest("z", 1), entry(1, false)],
            state: "leaving-peer",
        },
        Case {
            name: "removed, and listed again by a replica that lags",
            events: vec![notice("p1", 1, LEAVING), removed(), entry(1, false)],
            state: "leaving-response",
        },
        Case {
            name: "a new incarnation",
            events: vec![notice("p1", 1, LEAVING), entry(2, false)],
            state: "open",
        },
        Case {
            name: "a late response of the incarnation before",
            events: vec![entry(2, false), notice("p1", 1, LEAVING), digest("z", 1)],
            state: "open",
        },
        Case {
            name: "heard before its entry was read",
            events: vec![removed(), digest("z", 2), entry(2, false)],
            state: "leaving-peer",
        },
        Case {
            name: "a pause, and then leaving",
            events: vec![pause("p1", 2_000), notice("p1", 1, LEAVING)],
            state: "leaving-response",
        },
        Case {
            name: "a pause, read again as ready",
            events: vec![pause("p1", 2_000), entry(1, false)],
            state: "paused",
        },
        Case {
            name: "a pause, removed and listed again",
            events: vec![pause("p1", 2_000), removed(), entry(1, false)],
            state: "paused",
        },
        Case {
            name: "a pause of the incarnation before",
            events: vec![pause("p1", 2_000), entry(2, false)],
            state: "open",
        },
    ];
    for case in cases {
        let mut world = World::new();
        for event in case.events {
            world.step(event);
        }
        let state = state(&world, "p1").map(Availability::as_str);
        assert_eq!(state, Some(case.state), "{}", case.name);
    }
}

#[test]
fn a_pause_is_extended_and_never_shortened() {
    struct Case {
        /// Pauses asked for, one after the other, at the same time.
        asked_ms: &'static [u64],
        /// Bounds of the pause: minimum and maximum.
        bounds_ms: (u64, u64),
    }
    let cases = [
        Case {
            asked_ms: &[1_000],
            bounds_ms: (1_000, 1_100),
        },
        Case {
            asked_ms: &[1_000, 3_000],
            bounds_ms: (3_000, 3_300),
        },
        Case {
            asked_ms: &[3_000, 1_000],
            bounds_ms: (3_000, 3_300),
        },
        Case {
            asked_ms: &[u64::MAX],
            bounds_ms: (300_000, 301_000),
        },
    ];
    for case in cases {
        let mut world = World::new();
        for ms in case.asked_ms {
            world.step(pause("p1", *ms));
        }
        let Some(Availability::Paused { until }) = state(&world, "p1") else {
            panic!("{:?}: not paused", case.asked_ms);
        };
        let left = until.since(Millis(world.now));
        let (min, max) = case.bounds_ms;
        assert!((min..=max).contains(&left), "{:?}: {left}", case.asked_ms);
    }
    let mut world = World::new();
    world.step(pause("p1", 0));
    assert_eq!(state(&world, "p1"), Some(Availability::Open));
}

#[test]
fn nodes_return_from_the_same_pause_at_different_times() {
    let ends = (0..20).map(|seed| {
        let settings = GateSettings {
            seed,
            ..GateSettings::default()
        };
        let mut world = World::with(settings);
        world.step(pause("p1", 2_000));
        match state(&world, "p1") {
            Some(Availability::Paused { until }) => until.0,
            other => panic!("{other:?}"),
        }
    });
    let mut ends: Vec<u64> = ends.collect();
    ends.sort_unstable();
    ends.dedup();
    assert!(ends.len() > 10, "{ends:?}");
}

#[test]
fn a_call_is_withheld_from_a_target_that_wants_none_by_the_time_it_would_be_sent() {
    struct Case {
        name: &'static str,
        event: Option<Event>,
        may_send: bool,
    }
    let cases = [
        Case {
            name: "nothing happened",
            event: None,
            may_send: true,
        },
        Case {
            name: "it asked for a pause",
            event: Some(pause("p1", 2_000)),
            may_send: false,
        },
        Case {
            name: "it said that it is leaving",
            event: Some(notice("p1", 1, LEAVING)),
            may_send: false,
        },
        Case {
            name: "another target asked for a pause",
            event: Some(pause("p2", 2_000)),
            may_send: true,
        },
    ];
    for case in cases {
        let mut world = World::new();
        let (id, effects) = loop {
            let (id, effects) = world.arrive(request("/once/1"));
            if sent_to(&effects) == "p1" {
                break (id, effects);
            }
            world.now += 1;
        };
        if let Some(event) = case.event {
            world.step(event);
        }
        let sent = dispatch(&effects).expect("a dispatch");
        let may_send = world
            .gate
            .may_send(Millis(world.now), &sent.target, sent.incarnation);
        assert_eq!(may_send, case.may_send, "{}", case.name);
        let effects = world.end(id, DispatchOutcome::Withheld);
        assert!(!["", "p1"].contains(&sent_to(&effects)), "{}", case.name);
    }
}

#[test]
fn leaving_is_published_twice_and_a_pause_never() {
    let mut world = World::new();
    world.step(pause("p2", 2_000));
    let effects = world.step(notice("p1", 1, LEAVING));
    assert!(effects.contains(&Effect::PublishDigest));
    // Said again: no news.
    let effects = world.step(notice("p1", 1, LEAVING));
    assert!(effects.is_empty());
    let mut published = Vec::new();
    for _ in 0..10 {
        world.now += 50;
        let digest = world.gate.publish(Millis(world.now));
        published.extend(digest.into_iter().flat_map(|d| d.leaving));
    }
    let names: Vec<&str> = published.iter().map(|t| t.name.as_str()).collect();
    assert_eq!(names, ["p1", "p1"]);
}

#[test]
fn a_digest_without_the_new_fields_is_understood() {
    let text = r#"{"vm":"z","version":1,"reach_ms":5}"#;
    let digest: Digest = serde_json::from_str(text).expect("a digest of an older build");
    assert!(digest.leaving.is_empty() && digest.parts.is_empty());
}

#[test]
fn calls_are_refused_at_once_when_nowhere_is_left_to_go() {
    struct Case {
        name: &'static str,
        events: Vec<Event>,
        /// Bounds of the retry time in milliseconds.
        retry_ms: (u64, u64),
    }
    let all = ["p1", "p2", "p3"];
    let pauses = |times: [u64; 3]| all.iter().zip(times).map(|(n, ms)| pause(n, ms)).collect();
    let cases = [
        Case {
            name: "all leave",
            events: all.iter().map(|n| notice(n, 1, LEAVING)).collect(),
            retry_ms: (250, 500),
        },
        Case {
            name: "all pause: the first to return counts",
            events: pauses([2_500, 1_000, 2_000]),
            retry_ms: (1_000, 1_400),
        },
        Case {
            name: "all pause for long: the cap",
            events: pauses([60_000; 3]),
            retry_ms: (3_000, 3_000),
        },
    ];
    for case in cases {
        let mut world = World::new();
        for event in case.events {
            world.step(event);
        }
        let (_, effects) = world.arrive(request("/safe/1"));
        let refusal = refusal(&effects).expect(case.name);
        assert_eq!(refusal.kind, RefusalKind::NoTarget, "{}", case.name);
        let (min, max) = case.retry_ms;
        let retry_ms = refusal.retry_ms;
        assert!((min..=max).contains(&retry_ms), "{}: {retry_ms}", case.name);
    }
}

#[test]
fn the_retry_budget_is_not_spent_on_paused_targets() {
    let mut world = World::new();
    world.step(pause("p1", 2_000));
    world.step(pause("p2", 2_000));
    let (id, effects) = world.arrive(request("/safe/1"));
    assert_eq!(sent_to(&effects), "p3");
    let effects = world.end(id, BROKEN);
    assert_eq!(dispatch(&effects), None);
    assert_eq!(refused(&effects), Some(RefusalKind::ResponseLost));
}

#[test]
fn no_order_goes_to_an_engine_that_pauses_or_leaves() {
    struct Case {
        name: &'static str,
        notice: TargetNotice,
    }
    let cases = [
        Case {
            name: "leaving",
            notice: LEAVING,
        },
        Case {
            name: "paused",
            notice: TargetNotice {
                is_leaving: false,
                pause_ms: Some(60_000),
                rate: RateNotice::Silent,
            },
        },
    ];
    for case in cases {
        let mut world = World::new();
        let engines = (1..=8).map(|n| target(&format!("d{n}"), ENGINES, Role::Decode));
        world.step(Event::TargetsListed(engines.collect()));
        world.step(Event::StoreConnected);
        for n in 1..=4 {
            world.step(notice(&format!("d{n}"), 1, case.notice));
        }
        let mut ordered = Vec::new();
        for _ in 0..20 {
            world.now += 500;
            let mut effects = world.step(Event::Tick);
            if effects.contains(&Effect::AcquireLease) {
                world.step(Event::LeaseResult(Some(1)));
                effects.extend(world.step(Event::Tick));
            }
            ordered.extend(effects.into_iter().filter_map(|e| match e {
                Effect::Order { target, .. } => Some(target),
                _ => None,
            }));
        }
        assert!(!ordered.is_empty(), "{}", case.name);
        let silent = ["d1", "d2", "d3", "d4"];
        let wrong = ordered.iter().filter(|t| silent.contains(&t.as_str()));
        assert_eq!(wrong.count(), 0, "{}: {ordered:?}", case.name);
    }
}

#[test]
fn leaving_reaches_all_nodes_of_a_large_fleet() {
    const NODES: usize = 60;
    const FANOUT: usize = 16;
    let mut nodes: Vec<World> = (0..NODES).map(|_| World::new()).collect();
    nodes[0].step(notice("p1", 1, LEAVING));
    for _ in 0..NODES / FANOUT + 1 {
        for n in 0..NODES {
            nodes[n].now += 50;
            let now = Millis(nodes[n].now);
            let Some(digest) = nodes[n].gate.publish(now) else {
                continue;
            };
            for offset in 1..=FANOUT {
                let receiver = &mut nodes[(n + offset) % NODES];
                receiver.step(Event::DigestReceived(digest.clone()));
            }
        }
    }
    let open = nodes
        .iter()
        .filter(|w| state(w, "p1") == Some(Availability::Open));
    assert_eq!(open.count(), 0);
    let expected = Some(Availability::Leaving(LeavingSource::Peer));
    assert_eq!(state(&nodes[NODES - 1], "p1"), expected);
}
