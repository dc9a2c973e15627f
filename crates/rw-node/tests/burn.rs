//! Counters of the burn report.

use rw_node::{BurnCause, BurnCounters, BurnReport, burn_rate};
use rw_types::RefusalKind;

#[test]
fn windows_slide_and_sum() {
    struct Case {
        name: &'static str,
        /// Times in seconds at which a late response was counted.
        counted: &'static [u64],
        now: u64,
        short: u64,
        long: u64,
    }
    let cases = [
        Case {
            name: "no responses",
            counted: &[],
            now: 0,
            short: 0,
            long: 0,
        },
        Case {
            name: "just now",
            counted: &[10, 11],
            now: 12,
            short: 2,
            long: 2,
        },
        Case {
            name: "four minutes ago",
            counted: &[10],
            now: 250,
            short: 1,
            long: 1,
        },
        Case {
            name: "six minutes ago",
            counted: &[10],
            now: 370,
            short: 0,
            long: 1,
        },
        Case {
            name: "an hour ago",
            counted: &[10],
            now: 3_610,
            short: 0,
            long: 0,
        },
        Case {
            name: "spread",
            counted: &[0, 1_800, 3_500],
            now: 3_599,
            short: 1,
            long: 3,
        },
        Case {
            name: "one after a long gap",
            counted: &[0, 90_000],
            now: 90_001,
            short: 1,
            long: 1,
        },
    ];
    for case in cases {
        let mut burn = BurnCounters::default();
        for at in case.counted {
            burn.count(*at, "chat", "quick", BurnCause::Late);
        }
        let counts = burn.counts(case.now);
        let sums = counts
            .first()
            .map_or([0, 0], |c| c.windows.map(|w| w[BurnCause::Late as usize]));
        assert_eq!(sums, [case.short, case.long], "{}", case.name);
    }
}

#[test]
fn burn_rate_is_bad_responses_over_budget() {
    struct Case {
        counts: [u64; 5],
        objective: f64,
        rate: f64,
    }
    let cases = [
        Case {
            counts: [0, 0, 0, 0, 0],
            objective: 0.99,
            rate: 0.0,
        },
        Case {
            counts: [100, 0, 0, 0, 0],
            objective: 0.99,
            rate: 0.0,
        },
        Case {
            counts: [99, 1, 0, 0, 0],
            objective: 0.99,
            rate: 1.0,
        },
        Case {
            counts: [90, 4, 3, 2, 1],
            objective: 0.95,
            rate: 2.0,
        },
        Case {
            counts: [0, 0, 0, 0, 7],
            objective: 0.9,
            rate: 10.0,
        },
    ];
    for case in cases {
        let rate = burn_rate(&case.counts, case.objective);
        assert!((rate - case.rate).abs() < 1e-9, "{:?}: {rate}", case.counts);
    }
}

#[test]
fn reports_of_vms_add_up() {
    let report = |kinds: &[&str], at: u64| {
        let mut burn = BurnCounters::default();
        for kind in kinds {
            burn.count(at, "chat", kind, BurnCause::Good);
        }
        burn.record_state(at, "vm", "ready".to_owned());
        BurnReport {
            counts: burn.counts(at),
            states: burn.states(),
        }
    };
    let mut sum = report(&["a", "c", "c"], 7);
    sum.merge(report(&["c", "b"], 3));
    let shown: Vec<_> = sum
        .counts
        .iter()
        .map(|c| (c.kind.as_str(), c.windows[0][0]))
        .collect();
    assert_eq!(shown, [("a", 1), ("b", 1), ("c", 3)]);
    let times: Vec<_> = sum.states.iter().map(|s| s.at).collect();
    assert_eq!(times, [3, 7]);
}

#[test]
fn client_errors_burn_nothing() {
    let cases = [
        (RefusalKind::UnknownModel, true),
        (RefusalKind::KeyReused, true),
        (RefusalKind::Poison, true),
        (RefusalKind::Overloaded, false),
        (RefusalKind::TooLate, false),
        (RefusalKind::ResponseLost, false),
        (RefusalKind::StoreDown, false),
    ];
    for (kind, expected) in cases {
        assert_eq!(BurnCause::is_client_error(kind), expected, "{kind:?}");
    }
}
