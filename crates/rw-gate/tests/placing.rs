//! Where prompts are filled.

mod support;

use rw_gate::{DispatchMode, DispatchOutcome, RefusalKind};
use support::*;

/// Fills the prompt of `ask` at 50 tokens a millisecond and lets the call go.
fn fill(world: &mut World, ask: rw_gate::CallRequest) -> String {
    let tokens = ask.prompt.as_ref().map_or(0, |p| p.tokens);
    let (id, sent) = world.arrive(ask);
    let target = sent_to(&sent).to_owned();
    world.now += u64::from(tokens) / 50 + 5;
    world.step(rw_gate::Event::FirstEvent { id });
    world.end(id, DispatchOutcome::Delivered);
    world.now += 1;
    target
}

#[test]
fn long_prompts_keep_to_engines_of_their_own() {
    let mut world = World::new();
    let mut long = Vec::new();
    // More than half of the work are short prompts.
    for n in 0..800 {
        let is_long = n % 40 == 0;
        let tokens = if is_long { 20_000 } else { 2_000 };
        let target = fill(&mut world, prompt("/chat/1", (n, 1), (n, tokens)));
        if is_long && n > 200 {
            long.push(target);
        }
    }
    assert!(long.iter().all(|t| t == "f2"), "{long:?}");
}

#[test]
fn a_beginning_that_another_engine_holds_is_fetched() {
    struct Case {
        name: &'static str,
        /// Milliseconds since the beginning was read.
        age: u64,
        /// Tokens of the beginning.
        shared: u32,
        fetched: bool,
    }
    for case in [
        Case {
            name: "held",
            age: 1_000,
            shared: 6_000,
            fetched: true,
        },
        Case {
            name: "not read yet",
            age: 50,
            shared: 6_000,
            fetched: false,
        },
        Case {
            name: "too short to pay",
            age: 1_000,
            shared: 20,
            fetched: false,
        },
    ] {
        let mut world = World::new();
        let first = fill(&mut world, prompt("/chat/1", (1, case.shared), (2, 500)));
        let holder = world.gate.targets().find(&first).expect("the first target");
        let addr = holder.spec.addr.clone();
        world.now += case.age;
        // The engine that holds the beginning has much to do, so another gets the next prompts.
        let more = (3..9).map(|n| {
            let (_, sent) = world.arrive(prompt("/chat/1", (1, case.shared), (n, 9_000)));
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
fn a_prompt_that_hangs_is_filled_elsewhere() {
    let mut world = World::new();
    let (id, sent) = world.arrive(prompt("/chat/1", (1, 10), (2, 8_000)));
    let first = dispatch(&sent).expect("a dispatch").clone();
    assert_eq!(first.mode, DispatchMode::Prefill);
    // Far longer than it should take, and far shorter than its caller waits.
    let stall = first.stall_timeout_ms.expect("a time after which it hangs");
    assert!((300..1_500).contains(&stall), "{stall}");
    world.now += stall;
    let again = world.end(id, DispatchOutcome::Stalled);
    assert_ne!(sent_to(&again), first.target);
    // What runs is never given up for its time.
    let (_, run) = world.arrive(ask("/safe/1"));
    assert_eq!(dispatch(&run).expect("a dispatch").stall_timeout_ms, None);
}

#[test]
fn a_call_whose_caller_would_leave_first_is_refused_at_once() {
    struct Case {
        name: &'static str,
        path: &'static str,
        /// Tokens of the prompt.
        tokens: u32,
        refused: Option<RefusalKind>,
    }
    // Callers leave a stream after two seconds of silence, and have five in all.
    for case in [
        Case {
            name: "in time",
            path: "/chat/1",
            tokens: 8_000,
            refused: None,
        },
        Case {
            name: "within the deadline, after the caller has left",
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
            0 => ask(case.path),
            tokens => prompt(case.path, (1, 10), (2, tokens)),
        };
        let (_, effects) = world.arrive(call);
        assert_eq!(refused(&effects), case.refused, "{}", case.name);
    }
}

#[test]
fn a_stream_that_goes_on_has_its_callers_patience_anew() {
    let mut world = World::new();
    let (id, _) = world.arrive(prompt("/brief/1", (1, 100), (2, 100)));
    world.now += 3_000;
    let broken = DispatchOutcome::Broken {
        crashed: false,
        delivered: Some(4),
    };
    let resumed = world.end(id, broken);
    assert_eq!(dispatch(&resumed).and_then(|d| d.resume_after), Some(4));
}
