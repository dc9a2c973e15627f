//! What is learnt of the speed of engines.

use rw_gate::{PrefillCostModel, PrefillSize, Role};

/// Milliseconds that an engine takes: a step for each 1,024 tokens, and a time for each token and
/// each million pairs of tokens.
fn took(fill: PrefillSize) -> f64 {
    let steps = fill.tokens.div_ceil(1_024) as f64;
    2.0 + steps * 4.23 + fill.tokens as f64 / 64.2 + fill.pairs() * 0.647
}

#[test]
fn prompts_of_all_sizes_are_foretold() {
    struct Case {
        name: &'static str,
        fill: PrefillSize,
        /// Milliseconds by which the estimate may be off.
        off: f64,
    }
    let mut rate = PrefillCostModel::default();
    // Sizes that repeat each few prompts, the largest seldom.
    for i in 0_u64..120 {
        let tokens = match i % 24 {
            0 => 20_000 + i * 200,
            n if n % 3 == 0 => 6_000 + n * 100,
            n => 100 + n * 90,
        };
        let cached = if i % 4 == 0 { 5_000 } else { 0 };
        let fill = PrefillSize { tokens, cached };
        rate.record(Role::Prefill, fill, took(fill));
    }
    let fill = |tokens, cached| PrefillSize { tokens, cached };
    for case in [
        Case {
            name: "short",
            fill: fill(300, 0),
            off: 5.0,
        },
        Case {
            name: "long",
            fill: fill(7_000, 0),
            off: 15.0,
        },
        Case {
            name: "long behind a cached beginning",
            fill: fill(7_000, 5_000),
            off: 15.0,
        },
        Case {
            name: "largest",
            fill: fill(50_000, 5_000),
            off: 100.0,
        },
    ] {
        let told = rate.busy_ms(Role::Prefill, case.fill) + rate.fixed_ms(Role::Prefill);
        let true_ms = took(case.fill);
        let off = (told - true_ms).abs();
        assert!(off < case.off, "{}: {told} for {true_ms}", case.name);
    }
}
