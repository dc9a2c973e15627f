//! Model checking of leases and orders: two nodes with the real reducer, a simulated table and two
//! simulated engines. Explores all short histories, and long random ones.

mod world;

use pathfinding::prelude::bfs_reach;
use proptest::{
    collection::vec,
    num::u8,
    test_runner::{Config, TestRng, TestRunner},
};
use world::{Mutant, World};

/// Random choices per history.
const STEPS: usize = 600;
/// Number of random histories.
const HISTORIES: u32 = 1000;

struct Case {
    faults: u32,
    /// Number of time steps, each slightly longer than half a lease.
    advances: u64,
}

/// Runs random histories from a fixed seed until one violates an invariant.
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
        for (choice, roll) in choices {
            let actions = world.actions();
            let Some(action) = actions.get(choice as usize % actions.len().max(1)) else {
                break;
            };
            // Skips unlikely actions most of the time: an order takes long to complete compared
            // with everything else.
            if roll > world.chance(*action) {
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
    assert_eq!(random_fault(Mutant::Unmodified), None);
}

#[test]
fn random_histories_catch_each_mutant() {
    for mutant in [
        Mutant::OpenOrdersHidden,
        Mutant::NoDeadline,
        Mutant::NoFencing,
        Mutant::NoVersionChecks,
    ] {
        let fault = random_fault(mutant);
        assert!(fault.is_some(), "{mutant:?} survives");
    }
}

const CASES: &[Case] = &[
    Case {
        faults: 2,
        advances: 1,
    },
    Case {
        faults: 0,
        advances: 2,
    },
];

#[test]
fn no_short_history_shows_a_conflict() {
    for case in CASES {
        let start = World::new(Mutant::Unmodified, case.faults, case.advances);
        let reached = bfs_reach(start, |world| {
            let actions = world.actions().into_iter();
            actions.map(|a| world.after(a)).collect::<Vec<_>>()
        });
        let mut states = 0;
        let mut max_taken = 0;
        let mut fault = None;
        for world in reached {
            states += 1;
            max_taken = max_taken.max(world.taken());
            fault = fault.or(world.fault());
        }
        println!("{states} states, {max_taken} orders taken");
        assert_eq!(fault, None);
    }
}
