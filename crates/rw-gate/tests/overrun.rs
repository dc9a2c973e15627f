//! What is learnt of prompts that take longer than expected.

use rw_gate::Overrun;

#[test]
fn it_follows_what_is_seen_of_each_kind() {
    struct Case {
        name: &'static str,
        took: f64,
        expected: f64,
        /// Bounds of the factor after many.
        factor: (f64, f64),
    }
    for case in [
        Case {
            name: "as expected",
            took: 400.0,
            expected: 400.0,
            factor: (1.0, 1.0),
        },
        Case {
            name: "faster: no discount",
            took: 100.0,
            expected: 400.0,
            factor: (1.0, 1.0),
        },
        Case {
            name: "overtaken",
            took: 900.0,
            expected: 400.0,
            factor: (1.9, 2.1),
        },
        Case {
            name: "short ones count for little",
            took: 30.0,
            expected: 10.0,
            factor: (1.0, 1.25),
        },
    ] {
        let mut overrun = Overrun::default();
        for _ in 0..200 {
            overrun.record("engines", 2, case.took, case.expected);
        }
        let factor = overrun.factor("engines", 2);
        let (least, most) = case.factor;
        assert!(least <= factor && factor <= most, "{}: {factor}", case.name);
        assert!((overrun.factor("engines", 0) - 1.0).abs() < f64::EPSILON);
    }
}
