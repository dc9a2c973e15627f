//! Estimates of prefill times.

use rw_gate::{PrefillCostModel, PrefillSize, Role};

/// Milliseconds for a prefill on the simulated engine: a step per 1,024 tokens, a time per token,
/// and a time per million token pairs.
fn took_ms(size: PrefillSize) -> f64 {
    let steps = size.tokens.div_ceil(1_024) as f64;
    2.0 + steps * 4.23 + size.tokens as f64 / 64.2 + size.pairs() * 0.647
}

#[test]
fn prefill_times_are_estimated_for_all_sizes() {
    struct Case {
        name: &'static str,
        size: PrefillSize,
        /// Tolerance of the estimate in milliseconds.
        tolerance: f64,
    }
    let mut model = PrefillCostModel::default();
    // A repeating pattern of sizes, with large ones being rare.
    for i in 0_u64..120 {
        let tokens = match i % 24 {
            0 => 20_000 + i * 200,
            n if n % 3 == 0 => 6_000 + n * 100,
            n => 100 + n * 90,
        };
        let cached = if i % 4 == 0 { 5_000 } else { 0 };
        let size = PrefillSize { tokens, cached };
        model.record(Role::Prefill, size, took_ms(size));
    }
    let size = |tokens, cached| PrefillSize { tokens, cached };
    for case in [
        Case {
            name: "short",
            size: size(300, 0),
            tolerance: 5.0,
        },
        Case {
            name: "long",
            size: size(7_000, 0),
            tolerance: 15.0,
        },
        Case {
            name: "long, with cached prefix",
            size: size(7_000, 5_000),
            tolerance: 15.0,
        },
        Case {
            name: "largest",
            size: size(50_000, 5_000),
            tolerance: 100.0,
        },
    ] {
        let estimate = model.busy_ms(Role::Prefill, case.size) + model.fixed_ms(Role::Prefill);
        let actual = took_ms(case.size);
        let error = (estimate - actual).abs();
        assert!(
            error < case.tolerance,
            "{}: {estimate} for {actual}",
            case.name
        );
    }
}
