//! A node's share of the retry budget.

use rw_gate::LocalRetryBudget;
use rw_types::Millis;

const WINDOW_MS: u64 = 10_000;
const SERVICE: &str = "plain";

/// Retries that are allowed at `now`, where none was made yet.
fn allowed(budget: &LocalRetryBudget, now: u64, ratio: f64) -> usize {
    let mut budget = budget.clone();
    let mut count = 0;
    while budget.allows(Millis(now), SERVICE, (ratio, 0.0), 1, WINDOW_MS) {
        budget.record_retry(Millis(now), SERVICE);
        count += 1;
    }
    count
}

/// Guards against memory that grows with the rate of calls and with the time without a retry.
#[test]
fn the_record_of_calls_is_bounded_at_any_rate() {
    const MAX_CHARS: usize = 8_000;
    for calls_per_ms in [1, 10, 100] {
        let mut budget = LocalRetryBudget::default();
        for ms in 0..3 * WINDOW_MS {
            for _ in 0..calls_per_ms {
                budget.record_call(Millis(ms), SERVICE, WINDOW_MS);
            }
        }
        let chars = format!("{budget:?}").len();
        assert!(chars < MAX_CHARS, "{calls_per_ms} a ms: {chars}");
    }
}

#[test]
fn calls_count_for_the_window_and_never_longer() {
    struct Case {
        name: &'static str,
        /// Times and numbers of calls.
        calls: &'static [(u64, usize)],
        withdrawn: usize,
        now: u64,
        /// Least and largest number of retries allowed, at 0.8 x 0.5 of the calls.
        allowed: (usize, usize),
    }
    let cases = [
        Case {
            name: "all in the window",
            calls: &[(0, 50), (5_000, 50)],
            withdrawn: 0,
            now: 9_000,
            allowed: (40, 40),
        },
        Case {
            name: "at its edge",
            calls: &[(0, 50), (5_000, 50)],
            withdrawn: 0,
            now: 10_000,
            allowed: (40, 40),
        },
        Case {
            name: "some are too old",
            calls: &[(0, 50), (5_000, 50)],
            withdrawn: 0,
            now: 10_001,
            allowed: (20, 20),
        },
        Case {
            name: "calls shortly after one another may lapse together, never late",
            calls: &[(0, 50), (50, 50)],
            withdrawn: 0,
            now: 10_001,
            allowed: (0, 20),
        },
        Case {
            name: "the latest are taken back",
            calls: &[(0, 50), (5_000, 10)],
            withdrawn: 10,
            now: 9_000,
            allowed: (20, 20),
        },
        Case {
            name: "more are taken back than were made of late",
            calls: &[(0, 50), (5_000, 10)],
            withdrawn: 60,
            now: 9_000,
            allowed: (0, 0),
        },
    ];
    for case in cases {
        let mut budget = LocalRetryBudget::default();
        for (ms, count) in case.calls {
            (0..*count).for_each(|_| budget.record_call(Millis(*ms), SERVICE, WINDOW_MS));
        }
        (0..case.withdrawn).for_each(|_| budget.withdraw_call(SERVICE));
        let count = allowed(&budget, case.now, 0.5);
        let (least, most) = case.allowed;
        assert!((least..=most).contains(&count), "{}: {count}", case.name);
    }
}
