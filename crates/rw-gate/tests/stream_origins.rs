//! Streams that callers take up again: at which version of the targets' software they may go on.

mod support;

use rw_gate::{
    CallRequest, Delivered, Digest, DispatchOutcome, Effect, Event, GateSettings, RecordChange,
    RecordRequest, RefusalKind, Role, TargetSpec, VersionRecord,
};
use rw_types::{Millis, RequestId};
use std::sync::Arc;
use support::*;

/// Time after which a node knows all versions that streams of its routes can have.
const WINDOW_MS: u64 = 7_000;

fn spec(name: &str, software: &str) -> TargetSpec {
    TargetSpec {
        software: software.to_owned(),
        ..target(name, ENGINES, Role::Decode)
    }
}

fn engines(versions: &[(&str, &str)]) -> Event {
    let specs = versions.iter().map(|(name, software)| spec(name, software));
    Event::TargetsListed(specs.collect())
}

fn world(vm: &str, versions: &[(&str, &str)]) -> World {
    let mut world = World::with(GateSettings {
        vm: vm.to_owned(),
        ..GateSettings::default()
    });
    list(&mut world, versions);
    world
}

/// Lets a node read all engines from the store.
fn list(world: &mut World, versions: &[(&str, &str)]) {
    world.step(engines(versions));
    confirm(world);
}

/// Lets the store confirm that a node knows all targets.
fn confirm(world: &mut World) {
    let at = Millis(world.now);
    world.step(Event::TargetsConfirmed { at });
}

fn stream(call_id: &str) -> CallRequest {
    CallRequest {
        call_id: call_id.to_owned(),
        ..generation("/brief/1", (1, 100), (2, 10))
    }
}

fn resumed(began: Option<&str>) -> CallRequest {
    CallRequest {
        last_event: Some(3),
        resumes: began.map(str::to_owned),
        ..stream("r")
    }
}

/// Begins a stream, and returns its call and target.
fn begin(world: &mut World, call_id: &str) -> (RequestId, String) {
    let (id, effects) = world.arrive(stream(call_id));
    let target = sent_to(&effects).to_owned();
    assert!(!target.is_empty(), "{call_id} was not sent");
    world.step(Event::FirstEvent { id });
    world.step(Event::StreamBegun { id });
    (id, target)
}

fn broken(delivered: Delivered) -> DispatchOutcome {
    DispatchOutcome::Broken {
        crashed: false,
        delivered,
    }
}

/// Passes what `from` publishes to `to`.
fn tell(from: &mut World, to: &mut World) {
    let now = Millis(from.now);
    if let Some(digest) = from.gate.publish(now) {
        to.step(Event::DigestReceived(digest));
    }
}

/// Lets `to` ask `from` where the stream of `request` began, as after a restart of `to`.
fn ask(to: &mut World, from: &World, request: &CallRequest) -> bool {
    let Some(stream) = to.gate.missing_origin(Millis(to.now), request) else {
        return false;
    };
    let question = to.gate.ask_origins(Millis(to.now), vec![stream]);
    let answer = from.gate.answer_origins(Millis(from.now), &question);
    to.step(Event::DigestReceived(answer));
    true
}

#[test]
fn a_stream_goes_on_at_its_version_within_one_response() {
    struct Case {
        name: &'static str,
        /// What the caller had got before the stream broke.
        delivered: Delivered,
        /// Engines beside the one that begins.
        others: &'static [(&'static str, &'static str)],
        /// Engine that gets the stream next.
        next: &'static str,
    }
    let cases = [
        Case {
            name: "one of its version serves",
            delivered: Delivered::Events(2),
            others: &[("a", "v2"), ("b", "v1"), ("c", "v2")],
            next: "b",
        },
        Case {
            name: "none of its version serves",
            delivered: Delivered::Events(2),
            others: &[("a", "v2")],
            next: "",
        },
        Case {
            name: "nothing was delivered",
            delivered: Delivered::Nothing,
            others: &[("a", "v2")],
            next: "a",
        },
    ];
    for case in cases {
        let mut world = world("x", &[("0", "v1")]);
        let (id, effects) = world.arrive(stream("c"));
        assert_eq!(sent_to(&effects), "0", "{}", case.name);
        if case.delivered != Delivered::Nothing {
            world.step(Event::FirstEvent { id });
            world.step(Event::StreamBegun { id });
        }
        for (name, software) in case.others {
            world.step(Event::TargetUpdated(spec(name, software)));
        }
        let effects = world.end(id, broken(case.delivered));
        assert_eq!(sent_to(&effects), case.next, "{}", case.name);
        if case.next.is_empty() {
            assert_eq!(refused(&effects), Some(RefusalKind::Truncated));
        }
    }
}

#[test]
fn a_stream_that_is_taken_up_elsewhere_goes_on_at_its_version_or_not_at_all() {
    struct Case {
        name: &'static str,
        /// Whether the node has heard of the stream from the one that began it.
        is_told: bool,
        /// Whether another node that was told is asked.
        is_asked: bool,
        began: Option<&'static str>,
        /// Engines at the time of the return.
        engines: &'static [(&'static str, &'static str)],
        /// Version at which it goes on, or why it doesn't.
        outcome: Result<&'static str, RefusalKind>,
    }
    const BOTH: &[(&str, &str)] = &[("0", "v1"), ("1", "v2"), ("2", "v1"), ("3", "v2")];
    let cases = [
        Case {
            name: "told",
            is_told: true,
            is_asked: false,
            began: Some("c"),
            engines: BOTH,
            outcome: Ok("v1"),
        },
        Case {
            name: "told, and its version is gone",
            is_told: true,
            is_asked: false,
            began: Some("c"),
            engines: &[("1", "v2"), ("3", "v2")],
            outcome: Err(RefusalKind::NoTarget),
        },
        Case {
            name: "not told, and another node knows",
            is_told: false,
            is_asked: true,
            began: Some("c"),
            engines: BOTH,
            outcome: Ok("v1"),
        },
        Case {
            name: "nobody knows",
            is_told: false,
            is_asked: true,
            began: Some("z"),
            engines: BOTH,
            outcome: Err(RefusalKind::UnknownOrigin),
        },
        Case {
            name: "nobody is told which stream it is",
            is_told: true,
            is_asked: false,
            began: None,
            engines: BOTH,
            outcome: Err(RefusalKind::UnknownOrigin),
        },
        Case {
            name: "nobody knows, and one of the versions left just now",
            is_told: false,
            is_asked: true,
            began: Some("z"),
            engines: &[("1", "v2"), ("3", "v2")],
            outcome: Err(RefusalKind::UnknownOrigin),
        },
    ];
    for case in cases {
        let mut first = world("a", BOTH);
        let mut witness = world("b", BOTH);
        let mut second = world("c", BOTH);
        // A stream that begins at v1, in a fleet that has had both versions for long.
        for world in [&mut first, &mut witness, &mut second] {
            world.now += 60_000;
            confirm(world);
        }
        list(&mut first, &[("0", "v1"), ("2", "v1")]);
        begin(&mut first, "c");
        list(&mut first, BOTH);
        let digest = first.gate.publish(Millis(first.now)).expect("a digest");
        witness.step(Event::DigestReceived(digest.clone()));
        if case.is_told {
            second.step(Event::DigestReceived(digest));
        }
        list(&mut second, case.engines);
        let request = resumed(case.began);
        if case.is_asked {
            assert!(ask(&mut second, &witness, &request), "{}", case.name);
        }
        let (_, effects) = second.arrive(request);
        let outcome = match refused(&effects) {
            Some(kind) => Err(kind),
            None => Ok(dispatch(&effects).map_or("", |d| d.software.as_str())),
        };
        assert_eq!(outcome, case.outcome, "{}", case.name);
    }
}

#[test]
fn where_only_one_version_serves_a_stream_goes_on_without_a_question() {
    struct Case {
        name: &'static str,
        /// Time for which the node has known the targets, in milliseconds.
        known_ms: u64,
        /// Whether another node that has known them for longer answers a question.
        is_told: bool,
        /// Whether the node reaches the store.
        is_connected: bool,
        /// A version that was replaced this long ago, in milliseconds.
        replaced_ms: Option<u64>,
        goes_on: bool,
    }
    let long = Case {
        name: "known for long",
        known_ms: WINDOW_MS,
        is_told: false,
        is_connected: true,
        replaced_ms: None,
        goes_on: true,
    };
    let cases = [
        Case {
            name: "just started",
            known_ms: 500,
            goes_on: false,
            ..long
        },
        Case {
            name: "just started, another node tells",
            known_ms: 500,
            is_told: true,
            ..long
        },
        Case {
            name: "cut off from the store",
            is_connected: false,
            goes_on: false,
            ..long
        },
        Case {
            name: "cut off from the store, another node tells",
            is_connected: false,
            is_told: true,
            ..long
        },
        Case {
            name: "another version was replaced lately",
            known_ms: 20_000,
            replaced_ms: Some(3_000),
            goes_on: false,
            ..long
        },
        Case {
            name: "another version was replaced long ago",
            known_ms: 20_000,
            replaced_ms: Some(8_000),
            ..long
        },
        long,
    ];
    for case in cases {
        let mut world = world("x", &[]);
        let mut other = self::world("y", &[("0", "v1")]);
        other.now += 60_000;
        confirm(&mut other);
        world.now += case.known_ms;
        if let Some(ms) = case.replaced_ms {
            world.now -= ms;
            world.step(Event::TargetUpdated(spec("0", "v0")));
            world.step(Event::TargetUpdated(spec("0", "v1")));
            world.now += ms;
        }
        list(&mut world, &[("0", "v1")]);
        if !case.is_connected {
            world.step(Event::StoreDisconnected);
            world.now += 1_000;
        }
        let request = resumed(Some("z"));
        if case.is_told {
            assert!(ask(&mut world, &other, &request), "{}", case.name);
        }
        let asks = world.gate.missing_origin(Millis(world.now), &request);
        assert_eq!(asks.is_none(), case.goes_on, "{}", case.name);
        let (_, effects) = world.arrive(request);
        let expected = (!case.goes_on).then_some(RefusalKind::UnknownOrigin);
        assert_eq!(refused(&effects), expected, "{}", case.name);
    }
}

#[test]
fn a_node_without_the_store_trusts_only_those_who_can_know_better() {
    struct Case {
        name: &'static str,
        /// Whether the node that answers reaches the store.
        answer_connected: bool,
        /// Whether another node says in its digests that it reaches the store; `None` if none is
        /// heard.
        other_connected: Option<bool>,
        goes_on: bool,
    }
    let cases = [
        Case {
            name: "cut off together with the node that answers",
            answer_connected: false,
            other_connected: Some(true),
            goes_on: false,
        },
        Case {
            name: "the node that answers reaches the store",
            answer_connected: true,
            other_connected: Some(true),
            goes_on: true,
        },
        Case {
            name: "the store is away for all",
            answer_connected: false,
            other_connected: Some(false),
            goes_on: true,
        },
        Case {
            name: "no other node is heard",
            answer_connected: false,
            other_connected: None,
            goes_on: false,
        },
    ];
    for case in cases {
        let mut world = world("x", &[("0", "v1")]);
        let mut other = self::world("y", &[("0", "v1")]);
        for world in [&mut world, &mut other] {
            world.now += 60_000;
            world.step(Event::Tick);
            confirm(world);
        }
        world.step(Event::StoreDisconnected);
        if !case.answer_connected {
            other.step(Event::StoreDisconnected);
        }
        world.now += 1_000;
        other.now += 1_000;
        if case.answer_connected {
            confirm(&mut other);
        }
        if let Some(connected) = case.other_connected {
            world.step(Event::DigestReceived(Digest {
                vm: "z".to_owned(),
                connected_ms: u64::from(connected) * 5_000,
                ..Digest::default()
            }));
        }
        let request = resumed(Some("began"));
        if case.other_connected.is_some() {
            ask(&mut world, &other, &request);
        }
        let asks = world.gate.missing_origin(Millis(world.now), &request);
        assert_eq!(asks.is_none(), case.goes_on, "{}", case.name);
    }
}

/// Guards against origins that are published only once a service has several versions.
#[test]
fn a_stream_whose_node_is_lost_goes_on_at_its_version() {
    struct Case {
        name: &'static str,
        /// Engines when the stream begins, as the node knows them that begins it.
        before: &'static [(&'static str, &'static str)],
        /// Engines that the other node learns of after that, one list a second.
        after: &'static [&'static [(&'static str, &'static str)]],
        /// Engine that gets the stream.
        next: &'static str,
    }
    let cases = [
        Case {
            name: "lost before the second version",
            before: &[("0", "v1")],
            after: &[&[("0", "v1")], &[("0", "v1"), ("1", "v2")]],
            next: "0",
        },
        Case {
            name: "lost as it comes",
            before: &[("0", "v1"), ("1", "v2")],
            after: &[&[("0", "v1"), ("1", "v2")]],
            next: "0",
        },
        Case {
            name: "lost after it has come",
            before: &[("1", "v2")],
            after: &[&[("0", "v1"), ("1", "v2")]],
            next: "1",
        },
        Case {
            name: "lost before a release and its way back",
            before: &[("0", "v1")],
            after: &[
                &[("0", "v1"), ("1", "v2")],
                &[("1", "v2")],
                &[("1", "v2"), ("2", "v1")],
            ],
            next: "2",
        },
    ];
    for case in cases {
        let [mut first, mut second] = ["a", "b"].map(|vm| world(vm, &[("0", "v1")]));
        for world in [&mut first, &mut second] {
            world.now += 60_000;
            world.step(Event::Tick);
            confirm(world);
        }
        list(&mut first, case.before);
        begin(&mut first, "c");
        tell(&mut first, &mut second);
        drop(first);
        for engines in case.after {
            second.now += 1_000;
            list(&mut second, engines);
            second.step(Event::Tick);
        }
        let request = resumed(Some("c"));
        let now = Millis(second.now);
        let is_known = second.gate.missing_origin(now, &request).is_none();
        assert!(is_known, "{}", case.name);
        let (_, effects) = second.arrive(request);
        assert_eq!(sent_to(&effects), case.next, "{}", case.name);
    }
}

#[test]
fn streams_that_began_before_a_second_version_came_are_published_when_it_comes() {
    let mut first = world("a", &[("0", "v1")]);
    let mut second = world("b", &[("0", "v1")]);
    for world in [&mut first, &mut second] {
        world.now += 60_000;
        world.step(Event::Tick);
        confirm(world);
    }
    begin(&mut first, "c");
    let request = resumed(Some("c"));
    let now = Millis(second.now);
    assert!(second.gate.missing_origin(now, &request).is_none());
    for world in [&mut first, &mut second] {
        world.now += 1_000;
        world.step(Event::TargetUpdated(spec("1", "v2")));
    }
    let now = Millis(second.now);
    assert!(second.gate.missing_origin(now, &request).is_some());
    tell(&mut first, &mut second);
    assert!(second.gate.missing_origin(now, &request).is_none());
    let (_, effects) = second.arrive(request);
    assert_eq!(sent_to(&effects), "0");
}

#[test]
fn a_digest_stays_small_however_many_streams_begin_at_once() {
    /// A digest fits into one datagram on any link.
    const MAX_BYTES: usize = 1_500;
    let mut world = world("a", &[("0", "v1"), ("1", "v2")]);
    for n in 0..300 {
        let (id, _) = begin(&mut world, &format!("c{n}"));
        world.end(id, DispatchOutcome::Delivered);
    }
    let mut told = 0;
    for _ in 0..20 {
        world.now += 50;
        let Some(digest) = world.gate.publish(Millis(world.now)) else {
            continue;
        };
        let origins: usize = digest.origins.iter().map(|r| r.streams.len()).sum();
        told += origins;
        let only = Digest {
            origins: digest.origins,
            ..Digest::default()
        };
        let bytes = serde_json::to_vec(&only).expect("a digest").len();
        assert!(bytes < MAX_BYTES / 3, "{bytes} bytes for {origins} streams");
    }
    assert_eq!(told, 300);
}

#[test]
fn a_stream_that_may_not_be_resumed_is_not_remembered() {
    let mut world = world("a", &[("0", "v1"), ("1", "v2")]);
    let (id, effects) = world.arrive(generation("/chat/1", (1, 100), (2, 10)));
    assert!(effects.iter().any(|e| matches!(e, Effect::Dispatch { .. })));
    world.step(Event::StreamBegun { id });
    let digest = world.gate.publish(Millis(world.now)).expect("a digest");
    assert!(digest.origins.is_empty());
}

/// Lets a node be the leader of its fleet, and returns the records that it requests.
fn recorded(world: &mut World) -> Vec<Vec<String>> {
    let effects = world.step(Event::Tick);
    let records = effects.into_iter().filter_map(|e| match e {
        Effect::RecordVersions(request) => replaced(request),
        _ => None,
    });
    records.collect()
}

/// The versions that a request records for the engines.
fn replaced(request: RecordRequest) -> Option<Vec<String>> {
    match request.change {
        RecordChange::Replace(record) if record.service == ENGINES => Some(record.versions),
        RecordChange::Replace(_) | RecordChange::Confirm { .. } => None,
    }
}

fn record(versions: &[&str]) -> Event {
    Event::VersionsRead(vec![VersionRecord {
        service: ENGINES.to_owned(),
        versions: versions.iter().map(|v| (*v).to_owned()).collect(),
    }])
}

#[test]
fn the_leader_records_each_change_of_the_versions_that_streams_may_have_begun_at() {
    let mut world = world("a", &[("0", "v1")]);
    assert!(recorded(&mut world).is_empty(), "before it has read them");
    world.step(record(&[]));
    assert_eq!(recorded(&mut world), [["v1"]]);
    assert!(recorded(&mut world).is_empty(), "nothing has changed");
    world.step(Event::TargetUpdated(spec("1", "v2")));
    assert_eq!(recorded(&mut world), [["v1", "v2"]]);
    world.step(Event::TargetRemoved {
        name: "0".to_owned(),
    });
    world.now += 10_000;
    assert!(recorded(&mut world).is_empty(), "streams of v1 may go on");
    world.now += 25_000;
    assert_eq!(recorded(&mut world), [["v2"]]);
    // Another node leads for a while, and may have written something else.
    world.step(Event::DigestReceived(Digest {
        vm: "0".to_owned(),
        connected_ms: 5_000,
        ..Digest::default()
    }));
    assert!(recorded(&mut world).is_empty(), "another node leads");
    world.now += 5_000;
    assert_eq!(recorded(&mut world), [["v2"]]);
}

/// Guards against two nodes that take turns in recording a version which is gone.
#[test]
fn a_version_that_is_gone_leaves_the_record_though_two_nodes_lead() {
    struct Leader {
        world: World,
        reads: u64,
        known: u64,
    }
    let leader = |vm| Leader {
        world: world(vm, &[("0", "v1")]),
        reads: 0,
        known: 0,
    };
    let mut leaders = [leader("a"), leader("b")];
    let mut row = (0, Vec::new());
    for second in 0..70 {
        for (i, leader) in leaders.iter_mut().enumerate() {
            leader.world.now += 1_000;
            if leader.reads == 0 {
                leader.read(&row);
            }
            if second == 5 + i {
                list(&mut leader.world, &[("1", "v2")]);
            }
            leader.tick(&mut row);
        }
    }
    assert_eq!(row.1, ["v2"]);

    impl Leader {
        fn read(&mut self, row: &(u64, Vec<String>)) {
            let versions: Vec<&str> = row.1.iter().map(String::as_str).collect();
            self.world.step(record(&versions));
            self.reads += 1;
            self.known = row.0;
        }

        /// Writes the record that is requested if the row is as it was read, and reads it otherwise.
        fn tick(&mut self, row: &mut (u64, Vec<String>)) {
            for effect in self.world.step(Event::Tick) {
                let Effect::RecordVersions(request) = effect else {
                    continue;
                };
                let is_current = request.reads == self.reads;
                let Some(versions) = replaced(request).filter(|_| is_current) else {
                    continue;
                };
                if self.known == row.0 {
                    *row = (row.0 + 1, versions);
                    self.known = row.0;
                } else {
                    self.read(row);
                }
            }
        }
    }
}

#[test]
fn after_a_restart_of_all_nodes_the_records_tell_whether_there_is_one_version() {
    struct Case {
        name: &'static str,
        records: Option<Event>,
        goes_on: bool,
    }
    let cases = [
        Case {
            name: "not read",
            records: None,
            goes_on: false,
        },
        Case {
            name: "the version that serves",
            records: Some(record(&["v1"])),
            goes_on: true,
        },
        Case {
            name: "none, since the fleet is new",
            records: Some(record(&[])),
            goes_on: true,
        },
        Case {
            name: "another one too",
            records: Some(record(&["v0", "v1"])),
            goes_on: false,
        },
        Case {
            name: "another one",
            records: Some(record(&["v0"])),
            goes_on: false,
        },
    ];
    for case in cases {
        let mut world = world("a", &[("0", "v1")]);
        if let Some(event) = case.records {
            world.step(event);
        }
        let now = Millis(world.now);
        let asks = world.gate.missing_origin(now, &resumed(Some("c")));
        assert_eq!(asks.is_none(), case.goes_on, "{}", case.name);
    }
}

/// The usual routes, of which `/brief/` has another timeout.
#[test]
fn a_caller_is_asked_back_only_if_its_stream_can_go_on_later() {
    struct Case {
        name: &'static str,
        records: Option<Event>,
        is_asked_back: bool,
    }
    let cases = [
        Case {
            name: "this node doesn't know the versions yet",
            records: None,
            is_asked_back: true,
        },
        Case {
            name: "no node knows at which of two versions it began",
            records: Some(record(&["v0", "v1"])),
            is_asked_back: false,
        },
    ];
    for case in cases {
        let mut world = world("a", &[("0", "v1")]);
        if let Some(event) = case.records {
            world.step(event);
        }
        let (_, effects) = world.arrive(resumed(Some("c")));
        let refusal = refusal(&effects).expect("a refusal");
        assert_eq!(refusal.kind, RefusalKind::UnknownOrigin, "{}", case.name);
        assert_eq!(refusal.retry_ms > 0, case.is_asked_back, "{}", case.name);
    }
}

fn routing_with_timeout(timeout_ms: u64) -> Event {
    let mut routing = routing(2);
    let brief = routing.routes.iter_mut().find(|r| r.prefix == "/brief/");
    brief.expect("a route").timeout_ms = timeout_ms;
    Event::Routing(Arc::new(routing))
}

#[test]
fn origins_and_versions_are_remembered_as_long_as_callers_of_a_slow_route_return() {
    const TIMEOUT_MS: u64 = 90_000;
    let mut world = world("a", &[("0", "v1")]);
    world.step(routing_with_timeout(TIMEOUT_MS));
    world.step(record(&["v1"]));
    begin(&mut world, "c");
    world.step(Event::TargetUpdated(spec("1", "v2")));
    world.step(Event::TargetRemoved {
        name: "0".to_owned(),
    });
    for _ in 0..60 {
        world.now += 1_000;
        world.step(Event::Tick);
        confirm(&mut world);
    }
    let now = Millis(world.now);
    let is_unknown = |began| {
        let request = resumed(Some(began));
        world.gate.missing_origin(now, &request).is_some()
    };
    assert!(!is_unknown("c"), "the stream is forgotten");
    assert!(is_unknown("z"), "its version is forgotten");
}

#[test]
fn after_an_outage_of_the_store_a_node_does_not_know_which_versions_came_and_went() {
    let mut world = world("a", &[("0", "v1")]);
    world.step(record(&["v1"]));
    world.now += 60_000;
    world.step(Event::Tick);
    confirm(&mut world);
    let is_unknown = |world: &World| {
        let now = Millis(world.now);
        let request = resumed(Some("z"));
        world.gate.missing_origin(now, &request).is_some()
    };
    assert!(!is_unknown(&world));
    world.step(Event::StoreDisconnected);
    world.now += 5_000;
    world.step(Event::StoreConnected);
    list(&mut world, &[("0", "v1")]);
    assert!(is_unknown(&world), "before the records are read");
    world.step(record(&["v1", "v2"]));
    assert!(is_unknown(&world), "another version came and went");
    world.now += 1_000;
    world.step(Event::StoreDisconnected);
    world.now += 60_000;
    world.step(Event::StoreConnected);
    list(&mut world, &[("0", "v1")]);
    world.step(record(&["v1"]));
    assert!(!is_unknown(&world), "no other version came");
}

#[test]
fn after_missed_changes_a_node_does_not_know_which_versions_came_and_went() {
    let mut world = world("a", &[("0", "v1")]);
    world.step(record(&["v1"]));
    world.now += 60_000;
    world.step(Event::Tick);
    confirm(&mut world);
    let is_unknown = |world: &World| {
        let now = Millis(world.now);
        let request = resumed(Some("z"));
        world.gate.missing_origin(now, &request).is_some()
    };
    assert!(!is_unknown(&world));
    world.step(Event::ChangesMissed);
    list(&mut world, &[("0", "v1")]);
    assert!(is_unknown(&world), "before the records are read");
    world.step(record(&["v1", "v2"]));
    assert!(is_unknown(&world), "another version came and went");
    world.now += 60_000;
    world.step(Event::Tick);
    world.step(Event::ChangesMissed);
    list(&mut world, &[("0", "v1")]);
    world.step(record(&["v1"]));
    assert!(!is_unknown(&world), "no other version came");
}
