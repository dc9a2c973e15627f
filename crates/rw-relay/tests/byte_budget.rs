//! Pacing of bytes.

use rw_relay::ByteBudget;
use rw_types::Millis;
use std::time::Duration;

#[test]
fn bytes_are_paid_for_at_the_rate_and_no_credit_accumulates() {
    struct Case {
        name: &'static str,
        /// Time, bytes and rate of each send.
        sends: &'static [(u64, usize, u32)],
        now: u64,
        debt_ms: u64,
    }
    let cases = [
        Case {
            name: "nothing was sent",
            sends: &[],
            now: 5,
            debt_ms: 0,
        },
        Case {
            name: "one send",
            sends: &[(1_000, 500, 1_000)],
            now: 1_100,
            debt_ms: 400,
        },
        Case {
            name: "sends add up",
            sends: &[(1_000, 500, 1_000), (1_000, 500, 1_000)],
            now: 1_000,
            debt_ms: 1_000,
        },
        Case {
            name: "the time before a send gives no credit",
            sends: &[(1_000, 100, 1_000), (9_000, 500, 1_000)],
            now: 9_000,
            debt_ms: 500,
        },
        Case {
            name: "a lower rate costs more",
            sends: &[(1_000, 500, 100)],
            now: 1_000,
            debt_ms: 5_000,
        },
        Case {
            name: "a rate of zero",
            sends: &[(1_000, 2, 0)],
            now: 1_000,
            debt_ms: 2_000,
        },
    ];
    for case in cases {
        let mut budget = ByteBudget::default();
        for (at, bytes, rate) in case.sends {
            budget.spend(Millis(*at), *bytes, *rate);
        }
        let debt = budget.debt(Millis(case.now));
        assert_eq!(debt, Duration::from_millis(case.debt_ms), "{}", case.name);
    }
}
