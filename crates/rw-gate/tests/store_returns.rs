//! Nodes that start after the store has come back from a copy: what they rely on.

mod support;

use rw_gate::{
    Account, CallRequest, Credential, Digest, Effect, Event, GateSettings, RecordChange,
    RefusalKind, Role, Routing, TargetIncarnation, TargetSpec, VersionRecord,
};
use rw_types::{KeyHash, Millis, RequestId};
use std::sync::Arc;
use support::*;

/// Time by which rows that the copy lacks are written again.
const RETURN_MS: u64 = 2_200;
/// Timeout of the route, and the time after it for which callers take up streams.
const WINDOW_MS: u64 = 7_000;
const SECRET: [u8; 32] = [7; 32];

fn spec(name: &str, software: &str, incarnation: u64) -> TargetSpec {
    TargetSpec {
        software: software.to_owned(),
        incarnation,
        ..target(name, ENGINES, Role::Decode)
    }
}

fn named_settings(vm: &str) -> GateSettings {
    GateSettings {
        vm: vm.to_owned(),
        ..GateSettings::default()
    }
}

/// A node that has just read targets "0" and "1" of version v1, and `records`.
fn started(confirmed_ms: Option<u64>, records: &[&str]) -> World {
    let mut world = World::starting(named_settings("a"));
    world.step(Event::TargetsListed(vec![
        spec("0", "v1", 1),
        spec("1", "v1", 1),
    ]));
    world.step(Event::RowsRead { confirmed_ms });
    world.step(versions(records));
    confirm(&mut world);
    world
}

fn versions(records: &[&str]) -> Event {
    let record = |versions: &[&str]| VersionRecord {
        service: ENGINES.to_owned(),
        versions: versions.iter().map(|v| (*v).to_owned()).collect(),
    };
    let has_record = !records.is_empty();
    Event::VersionsRead(has_record.then(|| record(records)).into_iter().collect())
}

fn confirm(world: &mut World) {
    let at = Millis(world.now);
    world.step(Event::TargetsConfirmed { at });
}

/// Lets time pass, in which the store confirms the targets.
fn pass(world: &mut World, ms: u64) {
    let end = world.now + ms;
    while world.now < end {
        world.now = (world.now + 500).min(end);
        world.step(Event::Tick);
        confirm(world);
    }
}

fn stream(call_id: &str) -> CallRequest {
    CallRequest {
        call_id: call_id.to_owned(),
        ..generation("/brief/1", (1, 100), (2, 10))
    }
}

fn resumed(began: &str) -> CallRequest {
    CallRequest {
        last_event: Some(3),
        resumes: Some(began.to_owned()),
        ..stream("r")
    }
}

/// The target at which a stream goes on; `None` if it is refused.
fn goes_on(world: &mut World, began: &str) -> Option<String> {
    let (id, effects) = world.arrive(resumed(began));
    let target = dispatch(&effects).map(|d| d.target.clone());
    world.step(Event::CallerDisconnected { id });
    target
}

/// Begins a stream; returns its call and target.
fn begin(world: &mut World, call_id: &str) -> (RequestId, String) {
    let (id, effects) = world.arrive(stream(call_id));
    let target = sent_to(&effects).to_owned();
    world.step(Event::FirstEvent { id });
    world.step(Event::StreamBegun { id });
    (id, target)
}

/// A node that was there before the return, and where stream "c" began at v1.
fn witness() -> World {
    let mut world = World::with(named_settings("b"));
    world.step(Event::TargetsListed(vec![
        spec("0", "v1", 1),
        spec("1", "v1", 1),
    ]));
    world.step(versions(&["v1"]));
    confirm(&mut world);
    begin(&mut world, "c");
    world.step(Event::StoreRestored);
    confirm(&mut world);
    world
}

/// Lets `to` ask `from` where stream "c" began.
fn ask(to: &mut World, from: &World) {
    if let Some(stream) = to.gate.missing_origin(Millis(to.now), &resumed("c")) {
        let question = to.gate.ask_origins(Millis(to.now), vec![stream]);
        let answer = from.gate.answer_origins(Millis(from.now), &question);
        to.step(Event::DigestReceived(answer));
    }
}

/// Guards against streams of a version that the store has lost, which go on at the only one it has.
#[test]
fn a_node_started_after_a_restore_does_not_take_the_copy_for_all_versions() {
    struct Case {
        name: &'static str,
        confirmed_ms: Option<u64>,
        records: &'static [&'static str],
        /// Milliseconds after which the stream is taken up.
        after_ms: u64,
        goes_on: bool,
    }
    let cases = [
        Case {
            name: "rows that are confirmed",
            confirmed_ms: Some(WINDOW_MS),
            records: &["v1"],
            after_ms: 0,
            goes_on: true,
        },
        Case {
            name: "rows that are confirmed, of two versions",
            confirmed_ms: Some(WINDOW_MS),
            records: &["v1", "v2"],
            after_ms: 0,
            goes_on: false,
        },
        Case {
            name: "rows that are confirmed for too short a time",
            confirmed_ms: Some(WINDOW_MS - 1_000),
            records: &["v1"],
            after_ms: 900,
            goes_on: false,
        },
        Case {
            name: "rows that are confirmed for long enough by now",
            confirmed_ms: Some(WINDOW_MS - 1_000),
            records: &["v1"],
            after_ms: 1_000,
            goes_on: true,
        },
        Case {
            name: "a copy",
            confirmed_ms: None,
            records: &["v1"],
            after_ms: 0,
            goes_on: false,
        },
        Case {
            name: "a copy of before the first record",
            confirmed_ms: None,
            records: &[],
            after_ms: 0,
            goes_on: false,
        },
        Case {
            name: "a copy, and the target of another version doesn't come back",
            confirmed_ms: None,
            records: &["v1"],
            after_ms: WINDOW_MS - 500,
            goes_on: false,
        },
        Case {
            name: "a copy, and the stream began after it",
            confirmed_ms: None,
            records: &["v1"],
            after_ms: WINDOW_MS,
            goes_on: true,
        },
    ];
    for case in cases {
        let mut world = started(case.confirmed_ms, case.records);
        pass(&mut world, case.after_ms);
        let target = goes_on(&mut world, "c");
        assert_eq!(target.is_some(), case.goes_on, "{}", case.name);
    }
}

/// Guards against a fix that refuses what other nodes know.
#[test]
fn a_node_started_after_a_restore_learns_from_one_that_was_there() {
    struct Case {
        name: &'static str,
        /// What happens before the stream is taken up, each after some milliseconds.
        events: Vec<(u64, Event)>,
        goes_on: bool,
    }
    let updated = |software, incarnation| {
        ["0", "1"].map(|name| (0, Event::TargetUpdated(spec(name, software, incarnation))))
    };
    let cases = [
        Case {
            name: "its version is known, but the entries may be old",
            events: vec![],
            goes_on: false,
        },
        Case {
            name: "entries that were lost are back by now",
            events: vec![(RETURN_MS, Event::Tick)],
            goes_on: true,
        },
        Case {
            name: "a little earlier",
            events: vec![(RETURN_MS - 1, Event::Tick)],
            goes_on: false,
        },
        Case {
            name: "the entries were written again",
            events: updated("v1", 1).to_vec(),
            goes_on: true,
        },
        Case {
            name: "other processes have written the entries",
            events: updated("v2", 2).to_vec(),
            goes_on: false,
        },
        Case {
            name: "the store comes back once more",
            events: vec![(RETURN_MS - 1, Event::StoreRestored), (1_000, Event::Tick)],
            goes_on: false,
        },
    ];
    for case in cases {
        let witness = witness();
        let mut world = started(None, &["v1"]);
        for (after_ms, event) in case.events {
            world.now += after_ms;
            world.step(event);
        }
        ask(&mut world, &witness);
        let target = goes_on(&mut world, "c");
        assert_eq!(target.is_some(), case.goes_on, "{}", case.name);
    }
}

/// Guards against streams that begin while entries may be old and could never go on.
#[test]
fn a_stream_that_began_at_an_entry_in_doubt_goes_on_once_the_entry_is_proved() {
    let mut world = started(None, &["v1"]);
    let (_, first) = begin(&mut world, "new");
    assert_eq!(goes_on(&mut world, "new").as_deref(), Some(first.as_str()));
    pass(&mut world, RETURN_MS);
    world.step(Event::TargetRemoved {
        name: first.clone(),
    });
    let next = goes_on(&mut world, "new");
    assert!(next.is_some_and(|next| next != first), "at no other target");
    world.step(Event::TargetUpdated(spec("0", "v2", 2)));
    world.step(Event::TargetUpdated(spec("1", "v2", 2)));
    assert_eq!(goes_on(&mut world, "new"), None, "at another version");
}

/// Guards against rows that are confirmed by a node that doesn't know them, or before they are back.
#[test]
fn a_leader_confirms_the_rows_once_what_was_lost_is_back() {
    struct Case {
        name: &'static str,
        world: World,
        /// Milliseconds for which the leader knows all versions by then.
        known_ms: u64,
    }
    let restored = |mut world: World, drills: u64| {
        for _ in 0..drills {
            pass(&mut world, 1_000);
            world.step(Event::StoreRestored);
            world.step(Event::RowsRead { confirmed_ms: None });
            world.step(versions(&["v1"]));
            confirm(&mut world);
        }
        world
    };
    let cases = [
        Case {
            name: "a node that has started since",
            world: started(None, &["v1"]),
            known_ms: RETURN_MS,
        },
        Case {
            name: "a node that was there",
            world: restored(started(Some(20_000), &["v1"]), 1),
            known_ms: 20_000 + RETURN_MS + 1_000,
        },
        Case {
            name: "a node that was there, and two returns",
            world: restored(started(Some(20_000), &["v1"]), 2),
            known_ms: 20_000 + RETURN_MS + 2_000,
        },
        Case {
            name: "a node that has started between two returns",
            world: restored(started(None, &["v1"]), 1),
            known_ms: RETURN_MS + 1_000,
        },
    ];
    for mut case in cases {
        let confirmed = |world: &mut World, ms| {
            world.now += ms;
            let effects = world.step(Event::Tick);
            let mut requests = effects.into_iter().filter_map(|e| match e {
                Effect::RecordVersions(request) => Some(request.change),
                _ => None,
            });
            requests.find_map(|change| match change {
                RecordChange::Confirm { known_ms } => Some(known_ms),
                RecordChange::Replace(_) => None,
            })
        };
        let early = confirmed(&mut case.world, RETURN_MS - 1);
        assert_eq!(early, None, "{}: too early", case.name);
        let known_ms = confirmed(&mut case.world, 1);
        assert_eq!(known_ms, Some(case.known_ms), "{}", case.name);
        let again = confirmed(&mut case.world, 1_000);
        assert_eq!(again, None, "{}: again", case.name);
    }
}

/// Guards against a removed key that the store's copy has, and a new key or route that it lacks.
#[test]
fn a_node_started_after_a_restore_does_not_take_an_old_configuration_for_the_latest() {
    struct Case {
        name: &'static str,
        path: &'static str,
        key: &'static str,
        /// Why it is refused while the configuration may be an old one, and once it isn't.
        early: Option<RefusalKind>,
        late: Option<RefusalKind>,
    }
    let cases = [
        Case {
            name: "a key that may have been removed",
            path: "/once/1",
            key: "k",
            early: Some(RefusalKind::StaleConfig),
            late: None,
        },
        Case {
            name: "a key that may be new",
            path: "/once/1",
            key: "new",
            early: Some(RefusalKind::StaleConfig),
            late: Some(RefusalKind::UnknownKey),
        },
        Case {
            name: "a route that may be new",
            path: "/new/1",
            key: "k",
            early: Some(RefusalKind::NotReady),
            late: Some(RefusalKind::NoRoute),
        },
    ];
    let settings = GateSettings {
        fail_closed: true,
        revoke_ms: 5_000,
        ..named_settings("a")
    };
    let config = Routing {
        accounts: vec![Account {
            name: "shop".to_owned(),
            keys: vec![KeyHash::new(&SECRET, "k")],
            priority: None,
        }],
        has_accounts: true,
        ..routing(2)
    };
    for case in cases {
        let mut world = World::starting(settings.clone());
        world.step(Event::Routing(Arc::new(config.clone())));
        world.step(Event::TargetsListed(fleet()));
        let read = |world: &mut World| {
            let asked_at = Millis(world.now);
            world.step(Event::ConfigConfirmed { asked_at });
        };
        let refusal = |world: &mut World| {
            let (id, effects) = world.arrive(CallRequest {
                credential: Credential::Key(KeyHash::new(&SECRET, case.key)),
                ..request(case.path)
            });
            world.step(Event::CallerDisconnected { id });
            refused(&effects)
        };
        read(&mut world);
        assert_eq!(refusal(&mut world), case.early, "{}: unread", case.name);
        world.step(Event::RowsRead { confirmed_ms: None });
        read(&mut world);
        world.now += RETURN_MS - 1;
        read(&mut world);
        assert_eq!(refusal(&mut world), case.early, "{}: early", case.name);
        world.now += 1;
        read(&mut world);
        assert_eq!(refusal(&mut world), case.late, "{}: late", case.name);
    }
}

/// Guards against what only a digest tells being taken for old as well.
#[test]
fn a_target_that_ended_stays_in_doubt_once_its_entry_is_proved() {
    let mut world = started(None, &["v1"]);
    world.step(Event::DigestReceived(Digest {
        vm: "b".to_owned(),
        ended: vec![TargetIncarnation {
            name: "0".to_owned(),
            incarnation: 1,
        }],
        ..Digest::default()
    }));
    ask(&mut world, &witness());
    pass(&mut world, RETURN_MS);
    assert_eq!(goes_on(&mut world, "c").as_deref(), Some("1"));
}

/// Guards against a node that starts in an outage and doesn't know which processes its peers hold in doubt.
#[test]
fn a_node_started_in_an_outage_relies_on_the_entries_that_its_peers_have_proved() {
    struct Case {
        name: &'static str,
        proved: &'static [(&'static str, u64)],
        ended: &'static [&'static str],
        next: Option<&'static str>,
    }
    let cases = [
        Case {
            name: "none, as an older build says",
            proved: &[],
            ended: &[],
            next: None,
        },
        Case {
            name: "one",
            proved: &[("1", 1)],
            ended: &[],
            next: Some("1"),
        },
        Case {
            name: "one of another incarnation",
            proved: &[("1", 2)],
            ended: &[],
            next: None,
        },
        Case {
            name: "one whose process has ended since",
            proved: &[("1", 1)],
            ended: &["1"],
            next: None,
        },
    ];
    let named = |name: &str, incarnation| TargetIncarnation {
        name: name.to_owned(),
        incarnation,
    };
    for case in cases {
        let mut world = World::starting(named_settings("a"));
        let targets = vec![spec("0", "v1", 1), spec("1", "v1", 1)];
        world.step(Event::TargetsReported(targets));
        let proved = case.proved.iter().map(|(name, n)| named(name, *n));
        world.step(Event::TargetsProved(proved.collect()));
        let ended = case.ended.iter().map(|name| named(name, 1));
        world.step(Event::DigestReceived(Digest {
            vm: "b".to_owned(),
            ended: ended.collect(),
            ..Digest::default()
        }));
        ask(&mut world, &witness());
        let next = goes_on(&mut world, "c");
        assert_eq!(next.as_deref(), case.next, "{}", case.name);
    }
}
