//! Client accounts: which calls are admitted, as whose, and when a node can't know.

mod support;

use rw_gate::{
    Account, CallRequest, Credential, DelegatedCall, Delivered, Digest, DispatchMode,
    DispatchOutcome, Event, GateSettings, KvHandle, RefusalKind, Routing,
};
use rw_types::{KeyHash, Millis};
use std::sync::Arc;
use support::*;

const PUBLIC: &str = "/safe/";
const REVOKE_MS: u64 = 5_000;
/// Age from which keys are refused where removed keys must not be accepted.
const MAX_AGE_MS: u64 = 4_750;

fn key(text: &str) -> Credential {
    Credential::Key(hash(text))
}

fn hash(text: &str) -> KeyHash {
    KeyHash::new(&[7; 32], text)
}

fn account(name: &str, keys: &[&str], priority: Option<u8>) -> Account {
    Account {
        name: name.to_owned(),
        keys: keys.iter().map(|k| hash(k)).collect(),
        priority,
    }
}

/// The usual routes, of which one is public, and two accounts.
fn with_accounts(version: u64, accounts: Vec<Account>) -> Routing {
    let mut routing = routing(version);
    let public = routing.routes.iter_mut().find(|r| r.prefix == PUBLIC);
    public.expect("a public route").public = true;
    Routing {
        has_accounts: true,
        accounts,
        ..routing
    }
}

fn two_accounts(version: u64) -> Routing {
    let accounts = vec![
        account("shop", &["a1", "a2"], Some(4)),
        account("staff", &["b1"], None),
    ];
    with_accounts(version, accounts)
}

/// The copy of a configuration that another node gives.
fn snapshot_of(routing: &Routing) -> Routing {
    Routing {
        accounts: Vec::new(),
        ..routing.clone()
    }
}

fn world(fail_closed: bool) -> World {
    let mut world = World::with(GateSettings {
        fail_closed,
        revoke_ms: REVOKE_MS,
        ..GateSettings::default()
    });
    world.step(Event::Routing(Arc::new(two_accounts(2))));
    confirm(&mut world, 0);
    world
}

/// The store confirms the configuration, which it was asked for `ago_ms` before now.
fn confirm(world: &mut World, ago_ms: u64) {
    let asked_at = Millis(world.now - ago_ms);
    world.step(Event::ConfigConfirmed { asked_at });
}

fn call(path: &str, credential: Credential) -> CallRequest {
    CallRequest {
        credential,
        ..request(path)
    }
}

/// What becomes of a call: the account and priority that it is sent with, or its refusal.
fn outcome(world: &mut World, request: CallRequest) -> Result<(Option<String>, u8), RefusalKind> {
    let (_, effects) = world.arrive(request);
    match (dispatch(&effects), refused(&effects)) {
        (Some(d), _) => {
            assert!(d.hides_credential, "a key would reach a target");
            Ok((d.account.clone(), d.priority))
        }
        (None, Some(kind)) => Err(kind),
        (None, None) => panic!("neither sent nor refused: {effects:?}"),
    }
}

struct Identification {
    name: &'static str,
    path: &'static str,
    credential: Credential,
    expected: Result<(Option<&'static str>, u8), RefusalKind>,
}

/// Guards against calls that run without a key, as another account, or with the wrong priority.
#[test]
fn a_call_is_identified_by_its_key() {
    let unknown = Err(RefusalKind::UnknownKey);
    let case = |name, path, credential, expected| Identification {
        name,
        path,
        credential,
        expected,
    };
    let cases = [
        case("first key", "/once/1", key("a1"), Ok((Some("shop"), 4))),
        case("second key", "/once/1", key("a2"), Ok((Some("shop"), 4))),
        case("no priority", "/once/1", key("b1"), Ok((Some("staff"), 1))),
        case("unknown key", "/once/1", key("c1"), unknown),
        case("no key", "/once/1", Credential::Missing, unknown),
        case("malformed", "/once/1", Credential::Malformed, unknown),
        case("public", "/safe/1", Credential::Missing, Ok((None, 1))),
        case("public, known", "/safe/1", key("a1"), Ok((Some("shop"), 4))),
        case("public, unknown", "/safe/1", key("c1"), Ok((None, 1))),
        case(
            "public, malformed",
            "/safe/1",
            Credential::Malformed,
            Ok((None, 1)),
        ),
        case("no route", "/none/1", key("a1"), Err(RefusalKind::NoRoute)),
    ];
    for case in cases {
        let outcome = outcome(&mut world(true), call(case.path, case.credential));
        let expected = case.expected.map(|(n, p)| (n.map(str::to_owned), p));
        assert_eq!(outcome, expected, "{}", case.name);
    }
}

/// Guards against changes for deployments without accounts.
#[test]
fn without_accounts_a_credential_is_the_targets_own() {
    let mut world = World::with(GateSettings {
        fail_closed: true,
        ..GateSettings::default()
    });
    let (_, effects) = world.arrive(call("/once/1", key("a1")));
    let sent = dispatch(&effects).expect("a dispatch");
    assert_eq!(
        (sent.account.as_deref(), sent.hides_credential),
        (None, false)
    );
    assert!(world.gate.can_verify_keys(Millis(world.now)));
}

struct Age {
    name: &'static str,
    fail_closed: bool,
    /// How long before the confirmation's arrival the store was asked, and time since its arrival, in
    /// milliseconds.
    times_ms: (u64, u64),
    credential: Credential,
    expected: Result<(), RefusalKind>,
}

/// Guards against a revoked key that a node without news still accepts, and against refusals of valid
/// keys where the deployment wants them served.
#[test]
fn keys_are_refused_once_the_configuration_may_be_outdated() {
    let stale = Err(RefusalKind::StaleConfig);
    let unknown = Err(RefusalKind::UnknownKey);
    let case = |name, fail_closed, times_ms, credential, expected| Age {
        name,
        fail_closed,
        times_ms,
        credential,
        expected,
    };
    let cases = [
        case("just confirmed", true, (0, 0), key("a1"), Ok(())),
        case("last moment", true, (0, MAX_AGE_MS - 1), key("a1"), Ok(())),
        case("too old", true, (0, MAX_AGE_MS), key("a1"), stale),
        case("unknown, too old", true, (0, MAX_AGE_MS), key("c1"), stale),
        case(
            "none, too old",
            true,
            (0, MAX_AGE_MS),
            Credential::Missing,
            unknown,
        ),
        // The age counts from the question: the answer may have been under way while suspended.
        case("late answer", true, (MAX_AGE_MS - 10, 10), key("a1"), stale),
        case("not late", true, (MAX_AGE_MS - 10, 9), key("a1"), Ok(())),
        case("fail open", false, (0, 600_000), key("a1"), Ok(())),
        case(
            "fail open, unknown",
            false,
            (0, 600_000),
            key("c1"),
            unknown,
        ),
    ];
    for case in cases {
        let mut world = world(case.fail_closed);
        world.now += 20_000;
        confirm(&mut world, case.times_ms.0);
        world.now += case.times_ms.1;
        let outcome = outcome(&mut world, call("/once/1", case.credential));
        assert_eq!(outcome.map(drop), case.expected, "{}", case.name);
    }
}

/// Guards against a node that stays closed after the store is back, and against confirmations that
/// arrive out of order.
#[test]
fn a_newer_answer_admits_calls_again() {
    let mut world = world(true);
    world.now += MAX_AGE_MS;
    let (_, effects) = world.arrive(call("/once/1", key("a1")));
    let refusal = refusal(&effects).expect("a refusal");
    assert_eq!(refusal.kind, RefusalKind::StaleConfig);
    assert!(refusal.retry_ms > 0, "no time after which to retry");
    assert!(!world.gate.can_verify_keys(Millis(world.now)));
    confirm(&mut world, 100);
    confirm(&mut world, MAX_AGE_MS);
    let outcome = outcome(&mut world, call("/once/2", key("a1")));
    assert_eq!(outcome.map(|o| o.0), Ok(Some("shop".to_owned())));
}

/// Guards against a revocation that is undone, or not undone, by the order of versions.
#[test]
fn a_key_is_valid_by_the_configuration_in_force() {
    let with_keys =
        |version, keys: &[&str]| with_accounts(version, vec![account("shop", keys, None)]);
    let mut world = world(true);
    let steps = [
        (with_keys(3, &["a2"]), Err(RefusalKind::UnknownKey)),
        (with_keys(2, &["a1"]), Err(RefusalKind::UnknownKey)),
        (with_keys(4, &["a1", "a2"]), Ok(())),
    ];
    for (routing, expected) in steps {
        let version = routing.version;
        world.step(Event::Routing(Arc::new(routing)));
        let outcome = outcome(&mut world, call("/once/1", key("a1")));
        assert_eq!(outcome.map(drop), expected, "after version {version}");
    }
}

/// Guards against a node that boots in an outage and takes a configuration without accounts for one
/// whose keys are all unknown, or keeps it after the store gives the whole of it.
#[test]
fn a_configuration_from_another_node_is_completed_by_the_store() {
    for fail_closed in [false, true] {
        let mut world = World::with(GateSettings {
            fail_closed,
            ..GateSettings::default()
        });
        world.step(Event::Routing(Arc::new(snapshot_of(&two_accounts(2)))));
        let stale = outcome(&mut world, call("/once/1", key("a1")));
        assert_eq!(stale, Err(RefusalKind::StaleConfig), "{fail_closed}");
        let missing = outcome(&mut world, call("/once/1", Credential::Missing));
        assert_eq!(missing, Err(RefusalKind::UnknownKey), "{fail_closed}");
        let public = outcome(&mut world, call("/safe/1", key("a1")));
        assert_eq!(public, Ok((None, 1)), "{fail_closed}");
        world.step(Event::Routing(Arc::new(two_accounts(2))));
        confirm(&mut world, 50);
        // A late snapshot of the same version takes nothing away.
        world.step(Event::Routing(Arc::new(snapshot_of(&two_accounts(2)))));
        let served = outcome(&mut world, call("/once/1", key("a1")));
        assert_eq!(served.map(|o| o.0), Ok(Some("shop".to_owned())));
    }
}

fn digest(version: u64, lacks_keys: bool) -> Event {
    Event::DigestReceived(Digest {
        vm: "vm-001".to_owned(),
        version,
        lacks_keys,
        ..Digest::default()
    })
}

/// Guards against 401 for a new key at a node that hears from others that it missed a version.
#[test]
fn an_unknown_key_may_be_one_of_a_newer_configuration() {
    let mut world = world(false);
    world.step(digest(3, false));
    let new = outcome(&mut world, call("/once/1", key("c1")));
    assert_eq!(new, Err(RefusalKind::StaleConfig));
    let known = outcome(&mut world, call("/once/1", key("b1")));
    assert_eq!(known, Ok((Some("staff".to_owned()), 1)));
    world.step(Event::Routing(Arc::new(two_accounts(3))));
    let unknown = outcome(&mut world, call("/once/1", key("c1")));
    assert_eq!(unknown, Err(RefusalKind::UnknownKey));
}

/// Guards against a removed key that stays valid at a node which missed the configuration that removed
/// it, if the store has lost that one and confirms the one before.
#[test]
fn a_configuration_is_not_confirmed_while_another_node_has_a_newer_one() {
    for (fail_closed, expected) in [
        (true, Err(RefusalKind::StaleConfig)),
        (false, Ok((Some("staff".to_owned()), 1))),
    ] {
        let mut world = world(fail_closed);
        world.step(digest(3, false));
        for _ in 0..10 {
            world.now += MAX_AGE_MS / 10;
            confirm(&mut world, 0);
        }
        let removed = outcome(&mut world, call("/once/1", key("b1")));
        assert_eq!(removed, expected, "fail-closed: {fail_closed}");
        world.step(Event::Routing(Arc::new(two_accounts(3))));
        confirm(&mut world, 0);
        let kept = outcome(&mut world, call("/once/1", key("b1")));
        assert_eq!(kept, Ok((Some("staff".to_owned()), 1)), "{fail_closed}");
    }
}

/// Guards against callers that a load balancer sends to the one node which can't check their keys.
#[test]
fn a_node_defers_to_others_that_can_check_keys() {
    for (lacks_keys, expected) in [(false, true), (true, false)] {
        let mut world = world(true);
        world.now += MAX_AGE_MS;
        assert!(!world.gate.defers_to_peers(Millis(world.now)), "no peer");
        world.step(digest(2, lacks_keys));
        let defers = world.gate.defers_to_peers(Millis(world.now));
        assert_eq!(defers, expected, "peer lacks keys: {lacks_keys}");
        let published = world.gate.publish(Millis(world.now)).expect("a digest");
        assert!(published.lacks_keys);
        confirm(&mut world, 0);
        assert!(!world.gate.defers_to_peers(Millis(world.now)), "confirmed");
    }
}

/// Guards against dispatches after the first one that lack the account or show the key, also when the
/// accounts are removed in the meantime.
#[test]
fn every_dispatch_names_the_account_and_hides_the_key() {
    let mut world = world(true);
    let long = CallRequest {
        credential: key("a1"),
        ..generation("/brief/1", (1, 6_000), (2, 4_000))
    };
    let (id, effects) = world.arrive(long);
    assert_eq!(mode(&effects), Some(&DispatchMode::Prefill));
    world.step(Event::Routing(Arc::new(routing(3))));
    let handle = KvHandle {
        addr: "127.0.0.1:1".to_owned(),
        name: "h".to_owned(),
    };
    let decode = world.end(id, DispatchOutcome::Prefilled(handle));
    world.step(Event::StreamBegun { id });
    let broken = DispatchOutcome::Broken {
        crashed: false,
        delivered: Delivered::Events(3),
    };
    let resumed = world.end(id, broken);
    for (name, effects) in [("decode", decode), ("resumed", resumed)] {
        let sent = dispatch(&effects).expect(name);
        assert_eq!(sent.account.as_deref(), Some("shop"), "{name}");
        assert!(sent.hides_credential, "{name}");
        assert_eq!(sent.priority, 4, "{name}");
    }
}

/// Guards against a call that the passing node admitted and whose key the delegate doesn't know.
#[test]
fn a_delegated_call_is_judged_by_the_delegate() {
    let delegated = |version| {
        Some(DelegatedCall {
            service: PLAIN.to_owned(),
            left_ms: 4_000,
            version,
            is_counted: false,
            runs: 0,
            software: None,
            resume_after: None,
        })
    };
    let cases = [
        ("known", 2, key("a1"), Ok(())),
        ("revoked", 2, key("c1"), Err(RefusalKind::UnknownKey)),
        (
            "missing",
            1,
            Credential::Missing,
            Err(RefusalKind::UnknownKey),
        ),
        ("newer", 3, key("a1"), Err(RefusalKind::NotReady)),
    ];
    for (name, version, credential, expected) in cases {
        let request = CallRequest {
            delegated: delegated(version),
            ..call("/once/1", credential)
        };
        let outcome = outcome(&mut world(true), request);
        assert_eq!(outcome.map(drop), expected, "{name}");
    }
}

/// Guards against queries to other nodes on behalf of callers without a valid key.
#[test]
fn only_an_admitted_call_asks_where_its_stream_began() {
    for (credential, asks) in [(key("a1"), true), (key("c1"), false)] {
        let request = CallRequest {
            resumes: Some("old".to_owned()),
            ..call("/brief/1", credential)
        };
        let world = world(true);
        let missing = world.gate.missing_origin(Millis(world.now), &request);
        assert_eq!(missing.is_some(), asks, "{credential:?}");
    }
}

/// Guards against keys, or their hashes, in logs and in messages between nodes.
#[test]
fn no_hash_is_shown() {
    let routing = two_accounts(2);
    assert!(format!("{routing:?}").contains("KeyHash(..)"));
    let text = serde_json::to_string(&routing).expect("a snapshot");
    assert!(!text.contains("accounts\":["), "{text}");
    let copy: Routing = serde_json::from_str(&text).expect("a snapshot");
    assert!(copy.lacks_accounts());
}
