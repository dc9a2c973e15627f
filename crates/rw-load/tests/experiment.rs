//! Runs in virtual time are reproducible, and no request is lost or run twice under injected
//! faults.

use rw_load::{Experiment, Fault, Profile, ScheduledFault, run_virtual};

/// Duration of each phase.
const PHASE_S: f64 = 20.0;

struct Case {
    name: &'static str,
    profile: &'static str,
    faults: &'static [ScheduledFault],
}

const CASES: &[Case] = &[
    Case {
        name: "an engine withdrawn",
        profile: "nilebell",
        faults: &[ScheduledFault {
            at_s: 25.0,
            fault: Fault::Withdraw(2),
        }],
    },
    Case {
        name: "two engines killed",
        profile: "khabar-saar",
        faults: &[
            ScheduledFault {
                at_s: 15.0,
                fault: Fault::Kill(1),
            },
            ScheduledFault {
                at_s: 30.0,
                fault: Fault::Kill(2),
            },
        ],
    },
    Case {
        name: "reports lag and the table is out",
        profile: "nilebell",
        faults: &[
            ScheduledFault {
                at_s: 10.0,
                fault: Fault::ReportLag(3_000),
            },
            ScheduledFault {
                at_s: 20.0,
                fault: Fault::TableOutage(true),
            },
            ScheduledFault {
                at_s: 40.0,
                fault: Fault::TableOutage(false),
            },
        ],
    },
];

fn experiment(profile: &str, seed: u64) -> Experiment {
    let mut profile = Profile::named(profile).expect("a built-in profile");
    profile.phases.iter_mut().for_each(|p| p.seconds = PHASE_S);
    Experiment::new(profile, 1.2, seed)
}

#[test]
fn no_answer_is_lost_and_nothing_runs_twice() {
    for case in CASES {
        let run = run_virtual(&Experiment {
            faults: case.faults.to_vec(),
            ..experiment(case.profile, 3)
        });
        let total = &run.total;
        let ended = total.good + total.late + total.refused + total.unknown;
        assert_eq!((total.lost, total.doubled), (0, 0), "{}", case.name);
        assert_eq!(ended, total.sent, "{}", case.name);
    }
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let run = |seed| run_virtual(&experiment("nilebell", seed));
    let (one, same, other) = (run(1), run(1), run(2));
    assert_eq!(one.total.good, same.total.good);
    assert_eq!(one.work, same.work);
    assert_ne!(one.work, other.work);
}

#[test]
fn khabar_saar_changes_at_most_two_roles_a_shift() {
    let shifts = 2;
    let run = run_virtual(&experiment("khabar-saar", 1));
    assert!(run.changes <= 2 * shifts, "{:?}", run.reasons);
}
