//! Ratio of actual to expected prefill times.

use rw_gate::Overrun;

#[test]
fn the_factor_follows_the_samples_of_each_priority() {
    struct Case {
        name: &'static str,
        took_ms: f64,
        expected_ms: f64,
        /// Bounds of the factor after many samples.
        factor: (f64, f64),
    }
    for case in [
        Case {
            name: "as expected",
            took_ms: 400.0,
            expected_ms: 400.0,
            factor: (1.0, 1.0),
        },
        Case {
            name: "faster: factor stays at 1",
            took_ms: 100.0,
            expected_ms: 400.0,
            factor: (1.0, 1.0),
        },
        Case {
            name: "delayed by more urgent prompts",
            took_ms: 900.0,
            expected_ms: 400.0,
            factor: (1.9, 2.1),
        },
        Case {
            name: "short: little influence",
            took_ms: 30.0,
            expected_ms: 10.0,
            factor: (1.0, 1.25),
        },
    ] {
        let mut overrun = Overrun::default();
        for _ in 0..200 {
            overrun.record("engines", 2, case.took_ms, case.expected_ms);
        }
        let factor = overrun.factor("engines", 2);
        let (min, max) = case.factor;
        assert!(min <= factor && factor <= max, "{}: {factor}", case.name);
        assert!((overrun.factor("engines", 0) - 1.0).abs() < f64::EPSILON);
    }
}
