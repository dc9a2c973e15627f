//! Digests of another writer, with values that no node would send.

mod support;

use rw_gate::{Digest, Event, Prompt, PromptPart, SchedulerMessage, UsageQuery};
use rw_types::Millis;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use std::panic::{self, AssertUnwindSafe};
use support::{CRASHED, World, generation, nodes_listed, request};

/// Nodes that report the same odd value, so that it enters sums several times.
const NODES: usize = 3;

/// A digest that has all fields.
fn whole_digest(vm: &str) -> Value {
    json!({
        "vm": vm, "version": 1, "reach_ms": 60_000, "token": 7, "leaves_duties": false,
        "unreachable": ["plain"], "lacks_keys": false,
        "reports": [
            ["d1", [[9, 20, 1, 300, 100]], 2, 900, { "role": "decode", "left_ms": 50 }],
            ["d2", [[8, 20, 1, 300, 100]], 2, 900, null],
            ["f1", [[7, 20, 1, 300, 100]], 1, 900, null]
        ],
        "read": [["d1", [[11, 400], [12, 300]]], ["f1", [[11, 400]]]],
        "suspects": [{ "fingerprint": 5, "targets": ["p1", "p2"], "age_ms": 10 }],
        "parts": [[4, [1, 2, 3], 10]],
        "leaving": [["p3", 1]],
        "limits": [[["p1", 1], 4_000, 10], [["d1", 1], 4_000, 10]],
        "speeds": [[["d2", 1], 0, 77, 150, 9, 10]],
        "origins": [[3, [1, 2]]],
        "asks": [5, 6],
        "asked_ms": 900,
        "history": {
            "observed_ms": 4_000, "age_ms": 10,
            "seen": [{ "service": "plain", "version": "v1", "age_ms": 10 }]
        },
        "shares": [500, 2, [[1, 300], [2, 200]], 30],
        "demand": [["engines", 3, 200, 2, 800, 1, 2], ["plain", 3, 200, 2, 800, 1, 2]]
    })
}

/// A message to a scheduler that has all fields.
fn whole_message(vm: &str) -> Value {
    json!({
        "vm": vm,
        "ends": [{ "id": 3, "target": "d1", "prefill_ms": 40, "ended": true, "load": [1, 2, 6] }],
        "request": {
            "id": 4, "number": 1, "service": "engines", "group": 0, "model": "m", "tokens": 500,
            "max_output": 100, "parts": [[1, 300], [2, 200]], "priority": 1, "resumable": true,
            "wait_ms": 300, "left_ms": 4_000, "prefilled_in": "x", "bound": { "Wait": 200 }
        }
    })
}

/// JSON pointers of all values within `value`.
fn pointers(value: &Value, at: &str) -> Vec<String> {
    let below: Vec<(String, &Value)> = match value {
        Value::Array(items) => {
            let items = items.iter().enumerate();
            items.map(|(i, v)| (format!("{at}/{i}"), v)).collect()
        }
        Value::Object(fields) => {
            let fields = fields.iter();
            fields
                .map(|(name, v)| (format!("{at}/{name}"), v))
                .collect()
        }
        _ => Vec::new(),
    };
    let mut all = vec![at.to_owned()];
    all.extend(below.iter().flat_map(|(at, v)| pointers(v, at)));
    all
}

/// Values of other types than a field has, or at the limits of its type.
fn odd_values() -> Vec<String> {
    let limits = [
        u64::from(u16::MAX),
        u64::from(u32::MAX),
        u64::MAX >> 1,
        u64::MAX,
    ];
    let numbers = limits.iter().flat_map(|n| [n - 1, *n]);
    let mut odd: Vec<String> = numbers.map(|n| n.to_string()).collect();
    let others = [
        "0",
        "255",
        "-1",
        "0.5",
        "1e19",
        "1e400",
        "18446744073709551616",
        "null",
        "true",
        "\"\"",
        "\"x\"",
        "[]",
        "{}",
        "[[]]",
    ];
    odd.extend(others.iter().map(|text| (*text).to_owned()));
    odd.push(format!("{}{}", "[".repeat(10_000), "]".repeat(10_000)));
    odd
}

/// `whole` with `odd` in the place of one value.
fn with(whole: &Value, pointer: &str, odd: &str) -> String {
    const MARK: &str = "the odd value";
    let mut changed = whole.clone();
    *changed.pointer_mut(pointer).expect("a value") = json!(MARK);
    changed.to_string().replace(&format!("\"{MARK}\""), odd)
}

/// Lets `world` do all that depends on what other nodes report.
fn work(world: &mut World) {
    for n in 0..4_u64 {
        let (id, _) = world.arrive(generation("/brief/1", (1, 400), (n + 20, 200)));
        world.step(Event::FirstEvent { id });
        let (ended, _) = world.arrive(generation("/chat/1", (1, 400), (n + 30, 200)));
        world.end(ended, CRASHED);
        world.arrive(request("/safe/1"));
        world.now += 300;
        world.step(Event::Tick);
        let now = Millis(world.now);
        let _digest = world.gate.publish(now);
        let _digest = world.gate.leader_digest(now);
    }
    let _suspects = world.gate.suspects(Millis(world.now));
}

/// A value in a message that is replaced.
#[derive(Debug, Clone)]
struct Case {
    pointer: String,
    odd: String,
}

/// Each value of `whole`, with each odd one.
fn cases(whole: &Value) -> Vec<Case> {
    let places = pointers(whole, "").into_iter();
    let cases = places.flat_map(|pointer| {
        odd_values().into_iter().map(move |odd| Case {
            pointer: pointer.clone(),
            odd,
        })
    });
    cases.collect()
}

/// Asserts that a node which `receive`s the odd messages of several nodes goes on working. Returns the
/// number of messages that were decoded.
fn assert_works<M: DeserializeOwned>(
    whole: impl Fn(&str) -> Value,
    receive: impl Fn(&mut World, M),
) -> usize {
    let sound: Result<M, _> = serde_json::from_value(whole("vm-001"));
    assert!(sound.is_ok(), "{:?}", sound.err());
    let mut decoded = 0;
    let mut failed: Vec<Case> = Vec::new();
    for case in cases(&whole("vm-001")) {
        let vms = (1..=NODES).map(|n| format!("vm-{n:03}"));
        let texts = vms.map(|vm| with(&whole(&vm), &case.pointer, &case.odd));
        let messages: Vec<M> = texts
            .filter_map(|t| serde_json::from_str(&t).ok())
            .collect();
        decoded += messages.len();
        let working = panic::catch_unwind(AssertUnwindSafe(|| {
            let mut world = World::new();
            world.step(nodes_listed(NODES + 1));
            messages.into_iter().for_each(|m| receive(&mut world, m));
            work(&mut world);
        }));
        if working.is_err() {
            failed.push(case);
        }
    }
    assert!(failed.is_empty(), "{} cases: {failed:?}", failed.len());
    decoded
}

/// Guards against a node that ends by an overflow, or of deep nesting, because of a datagram.
#[test]
fn digests_with_odd_values_stop_no_node() {
    let decoded = assert_works(whole_digest, |world, digest: Digest| {
        let now = Millis(world.now);
        let _answer = world.gate.answer_demand(now, &digest);
        let _answer = world.gate.answer_origins(now, &digest);
        world.step(Event::DigestReceived(digest));
    });
    assert!(decoded > 500, "{decoded} digests were decoded");
}

/// The same, for requests of other nodes to a scheduler.
#[test]
fn requests_to_a_scheduler_with_odd_values_stop_no_node() {
    let decoded = assert_works(whole_message, |world, message: SchedulerMessage| {
        world.step(Event::SchedulerMessage(message));
    });
    assert!(decoded > 200, "{decoded} messages were decoded");
}

/// The same, for queries of the calls in a window.
#[test]
fn usage_queries_with_odd_values_stop_no_node() {
    let whole = |_: &str| json!({ "window": 7, "age_ms": 1_200, "length_ms": 1_000 });
    let decoded = assert_works(whole, |world, query: UsageQuery| {
        let now = Millis(world.now);
        let _answer = world.gate.answer_usage(now, &query);
    });
    assert!(decoded > 40, "{decoded} queries were decoded");
}

/// The same, for prompts of callers.
#[test]
fn prompts_of_extreme_sizes_stop_no_node() {
    const SIZES: [u32; 4] = [0, 1, u32::MAX / 2 + 1, u32::MAX];
    for (tokens, max_output) in SIZES.iter().flat_map(|t| SIZES.map(|o| (*t, o))) {
        for path in ["/chat/1", "/brief/1"] {
            let mut world = World::new();
            for n in 0..4_u64 {
                let mut call = generation(path, (1, 400), (n, 200));
                let part = PromptPart { id: n, tokens };
                call.prompt = call.prompt.map(|prompt| Prompt {
                    tokens,
                    max_output,
                    parts: vec![part, part],
                    ..prompt
                });
                let (id, _) = world.arrive(call);
                world.step(Event::FirstEvent { id });
            }
            work(&mut world);
        }
    }
}

/// Guards against a fleet that has no holder of the lease any more, because no token is higher than one
/// that was heard of.
#[test]
fn a_token_that_no_store_grants_is_not_believed() {
    const MAX_TOKEN: u64 = 1 << 53;
    for (token, highest) in [
        (7, 7),
        (MAX_TOKEN - 1, MAX_TOKEN - 1),
        (MAX_TOKEN, 0),
        (u64::MAX - 1, 0),
        (u64::MAX, 0),
    ] {
        let mut world = World::new();
        world.step(Event::DigestReceived(Digest {
            vm: "vm-001".to_owned(),
            token,
            ..Digest::default()
        }));
        assert_eq!(world.gate.highest_token(), highest, "{token}");
    }
}
