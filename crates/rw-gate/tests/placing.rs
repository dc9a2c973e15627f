//! Placement of prefills.

mod support;

use rw_gate::{Delivered, DispatchMode, DispatchOutcome, RefusalKind};
use support::*;

/// Prefills the prompt of `request` at 50 tokens per millisecond and completes the call.
fn complete(world: &mut World, request: rw_gate::CallRequest) -> String {
    let tokens = request.prompt.as_ref().map_or(0, |p| p.tokens);
    let (id, sent) = world.arrive(request);
    let target = sent_to(&sent).to_owned();
    world.now += u64::from(tokens) / 50 + 5;
    world.step(rw_gate::Event::FirstEvent { id });
    world.end(id, DispatchOutcome::Delivered);
    world.now += 1;
    target
}

#[test]
fn long_prompts_use_reserved_engines() {
    let mut world = World::new();
    let mut long = Vec::new();
    // Short prompts make up more than half of the work.
    for n in 0..800 {
        let is_long = n % 40 == 0;
        let tokens = if is_long { 20_000 } else { 2_000 };
        let target = complete(&mut world, generation("/chat/1", (n, 1), (n, tokens)));
        if is_long && n > 200 {
            long.push(target);
        }
    }
    assert!(long.iter().all(|t| t == "f2"), "{long:?}");
}

#[test]
fn a_prefix_cached_on_another_engine_is_fetched() {
    struct Case {
        name: &'static str,
        /// Milliseconds since the shared prefix was sent to the first engine.
        age_ms: u64,
        /// Tokens of the shared prefix.
        shared: u32,
        fetched: bool,
    }
    for case in [
        Case {
            name: "cached",
            age_ms: 1_000,
            shared: 6_000,
            fetched: true,
        },
        Case {
            name: "not prefilled yet",
            age_ms: 50,
            shared: 6_000,
            fetched: false,
        },
        Case {
            name: "too short to be worth a fetch",
            age_ms: 1_000,
            shared: 20,
            fetched: false,
        },
    ] {
        let mut world = World::new();
        let first = complete(
            &mut world,
            generation("/chat/1", (1, case.shared), (2, 500)),
        );
        let holder = world.gate.targets().find(&first).expect("the first engine");
        let addr = holder.spec.addr.clone();
        world.now += case.age_ms;
        // The engine with the cached prefix is busy, so the next prompts are placed on another one.
        let more = (3..9).map(|n| {
            let (_, sent) = world.arrive(generation("/chat/1", (1, case.shared), (n, 9_000)));
            let dispatch = dispatch(&sent).expect("a dispatch").clone();
            assert_eq!(dispatch.mode, DispatchMode::Prefill, "{}", case.name);
            dispatch
        });
        let more: Vec<_> = more.filter(|d| d.target != first).collect();
        assert!(!more.is_empty(), "{}", case.name);
        let next = &more[0];
        assert_eq!(next.fetch_from.is_some(), case.fetched, "{}", case.name);
        assert!(
            next.fetch_from.iter().all(|from| *from == addr),
            "{}",
            case.name
        );
    }
}

#[test]
fn a_stalled_prefill_is_sent_to_another_engine() {
    let mut world = World::new();
    let (id, sent) = world.arrive(generation("/chat/1", (1, 10), (2, 8_000)));
    let first = dispatch(&sent).expect("a dispatch").clone();
    assert_eq!(first.mode, DispatchMode::Prefill);
    // Much longer than the prefill should take, and much shorter than the client timeout.
    let stall_ms = first.stall_timeout_ms.expect("a stall timeout");
    assert!((300..1_500).contains(&stall_ms), "{stall_ms}");
    world.now += stall_ms;
    let again = world.end(id, DispatchOutcome::Stalled);
    assert_ne!(sent_to(&again), first.target);
    // Calls that run have no stall timeout.
    let (_, run) = world.arrive(request("/safe/1"));
    assert_eq!(dispatch(&run).expect("a dispatch").stall_timeout_ms, None);
}

#[test]
fn a_call_is_refused_at_once_if_its_caller_would_time_out() {
    struct Case {
        name: &'static str,
        path: &'static str,
        /// Tokens of the prompt.
        tokens: u32,
        refused: Option<RefusalKind>,
    }
    // Clients time out after two seconds without an event; the deadline of the call is five
    // seconds.
    for case in [
        Case {
            name: "in time",
            path: "/chat/1",
            tokens: 8_000,
            refused: None,
        },
        Case {
            name: "within the deadline, but after the client timeout",
            path: "/chat/1",
            tokens: 100_000,
            refused: Some(RefusalKind::TooLate),
        },
        Case {
            name: "no prompt",
            path: "/safe/1",
            tokens: 0,
            refused: None,
        },
    ] {
        let mut world = World::new();
        let call = match case.tokens {
            0 => request(case.path),
            tokens => generation(case.path, (1, 10), (2, tokens)),
        };
        let (_, effects) = world.arrive(call);
        assert_eq!(refused(&effects), case.refused, "{}", case.name);
    }
}

#[test]
fn the_client_timeout_restarts_when_a_stream_resumes() {
    let mut world = World::new();
    let (id, _) = world.arrive(generation("/brief/1", (1, 100), (2, 100)));
    world.now += 3_000;
    let broken = DispatchOutcome::Broken {
        crashed: false,
        delivered: Delivered::Events(4),
    };
    let resumed = world.end(id, broken);
    assert_eq!(dispatch(&resumed).and_then(|d| d.resume_after), Some(4));
}
