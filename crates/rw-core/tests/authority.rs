//! The real reducer among a tiny table and two engines: all short histories, and long random ones.

mod world;

use pathfinding::prelude::bfs_reach;
use proptest::{
    collection::vec,
    num::u8,
    test_runner::{Config, TestRng, TestRunner},
};
use world::{Mutant, World};

/// Steps of one random history.
const STEPS: usize = 600;
/// Random histories tried.
const HISTORIES: u32 = 1000;

struct Case {
    faults: u32,
    /// Steps of time, each a little more than half a lease.
    quanta: u64,
}

/// Runs random histories until one shows a fault; the same ones each time.
fn random_fault(mutant: Mutant) -> Option<String> {
    let config = Config {
        cases: HISTORIES,
        failure_persistence: None,
        max_shrink_iters: 200,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(config.rng_algorithm);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let run = runner.run(&vec((u8::ANY, u8::ANY), STEPS), |choices| {
        let mut world = World::new(mutant, 4, 200);
        let mut history = Vec::new();
        for (choice, often) in choices {
            let actions = world.actions();
            let Some(action) = actions.get(choice as usize % actions.len().max(1)) else {
                break;
            };
            // Changes take long against everything else.
            if often > world.chance(*action) {
                continue;
            }
            history.push(*action);
            world.act(*action);
            if let Some(fault) = world.fault() {
                let text = format!("{fault}: {history:?}");
                return Err(proptest::test_runner::TestCaseError::fail(text));
            }
        }
        Ok(())
    });
    run.err().map(|e| e.to_string())
}

#[test]
fn no_random_history_shows_a_conflict() {
    assert_eq!(random_fault(Mutant::Sound), None);
}

#[test]
fn random_histories_catch_each_mutant() {
    for mutant in [
        Mutant::OpenHidden,
        Mutant::NoClock,
        Mutant::NoFence,
        Mutant::NoChecks,
    ] {
        let fault = random_fault(mutant);
        assert!(fault.is_some(), "{mutant:?} survives");
    }
}

const CASES: &[Case] = &[
    Case {
        faults: 2,
        quanta: 1,
    },
    Case {
        faults: 0,
        quanta: 2,
    },
];

#[test]
fn every_short_history_is_sound() {
    for case in CASES {
        let start = World::new(Mutant::Sound, case.faults, case.quanta);
        let reached = bfs_reach(start, |world| {
            let actions = world.actions().into_iter();
            actions.map(|a| world.after(a)).collect::<Vec<_>>()
        });
        let mut states = 0;
        let mut most = 0;
        let mut fault = None;
        for world in reached {
            states += 1;
            most = most.max(world.taken());
            fault = fault.or(world.fault());
        }
        println!("{states} states, {most} orders taken");
        assert_eq!(fault, None);
    }
}
