//! Cost model for prefills on the engines of a service, fitted to measured times.

use crate::PrefillSize;
use rw_types::Role;

/// Initial estimate of the milliseconds per token: prefill engines, other engines.
const INITIAL_TOKEN_MS: [f64; 2] = [0.02, 0.04];
/// Initial estimate of the milliseconds per million token pairs.
const INITIAL_PAIRS_MS: f64 = 0.5;
/// Initial estimate of the fixed milliseconds per prompt.
const INITIAL_FIXED_MS: f64 = 15.0;
/// Prompt sizes for which samples of the initial estimate are added, in tokens.
const INITIAL_SIZES: [u64; 3] = [300, 6_000, 40_000];
/// Weight of each initial sample, relative to a measured one.
const INITIAL_WEIGHT: f64 = 0.3;
/// Factor applied to all earlier samples when a new one is added.
const DECAY: f64 = 0.99;
/// Weight of a sample above the estimate. It is lower, because the prompt may have waited for work
/// that other nodes had not reported yet, while a time below the estimate has no such cause.
const SLOWER_WEIGHT: f64 = 0.15;
/// Bounds of the estimate in milliseconds per token: minimum and maximum.
const TOKEN_MS_BOUNDS: (f64, f64) = (0.001, 0.33);
/// Bounds of the estimate in milliseconds per million token pairs: minimum and maximum.
const PAIRS_MS_BOUNDS: (f64, f64) = (0.0, 10.0);
/// Maximum of the estimated fixed time, in milliseconds.
const MAX_FIXED_MS: f64 = 250.0;

/// Weighted sums for a least-squares fit of the time (`y`) to tokens (`x`) and token pairs (`p`).
#[derive(Debug, Clone, Copy, Default)]
struct WeightedSums {
    weight: f64,
    x: f64,
    p: f64,
    y: f64,
    xx: f64,
    xp: f64,
    pp: f64,
    xy: f64,
    py: f64,
}

impl WeightedSums {
    fn add(&mut self, size: PrefillSize, took_ms: f64, weight: f64) {
        let (x, p) = (size.tokens as f64, size.pairs());
        self.weight += weight;
        self.x += x * weight;
        self.p += p * weight;
        self.y += took_ms * weight;
        self.xx += x * x * weight;
        self.xp += x * p * weight;
        self.pp += p * p * weight;
        self.xy += x * took_ms * weight;
        self.py += p * took_ms * weight;
    }

    fn decay(&mut self) {
        for sum in [
            &mut self.weight,
            &mut self.x,
            &mut self.p,
            &mut self.y,
            &mut self.xx,
            &mut self.xp,
            &mut self.pp,
            &mut self.xy,
            &mut self.py,
        ] {
            *sum *= DECAY;
        }
    }

    /// Least-squares fit, with each coefficient limited to its bounds.
    fn fit(&self) -> Coefficients {
        let weight = self.weight.max(f64::MIN_POSITIVE);
        let (x, p, y) = (self.x / weight, self.p / weight, self.y / weight);
        let (xx, pp) = (self.xx / weight - x * x, self.pp / weight - p * p);
        let (xp, xy, py) = (
            self.xp / weight - x * p,
            self.xy / weight - x * y,
            self.py / weight - p * y,
        );
        let determinant = (xx * pp - xp * xp).max(f64::MIN_POSITIVE);
        let pairs_ms = (py * xx - xy * xp) / determinant;
        let pairs_ms = pairs_ms.clamp(PAIRS_MS_BOUNDS.0, PAIRS_MS_BOUNDS.1);
        let token_ms = (xy - pairs_ms * xp) / xx.max(f64::MIN_POSITIVE);
        let token_ms = token_ms.clamp(TOKEN_MS_BOUNDS.0, TOKEN_MS_BOUNDS.1);
        let fixed_ms = (y - token_ms * x - pairs_ms * p).clamp(0.0, MAX_FIXED_MS);
        Coefficients {
            fixed_ms,
            token_ms,
            pairs_ms,
        }
    }
}

/// Coefficients of the cost model: milliseconds per prompt, per token, and per million token pairs.
#[derive(Debug, Clone, Copy)]
struct Coefficients {
    fixed_ms: f64,
    token_ms: f64,
    pairs_ms: f64,
}

/// Cost model by role: the time of a prefill is the sum of a fixed time, a time per token, and a
/// time per token pair. The fixed times of several prompts overlap; the rest is processed one
/// prompt after another.
#[derive(Debug, Clone, Copy)]
pub struct PrefillCostModel {
    sums: [WeightedSums; 2],
    coefficients: [Coefficients; 2],
}

impl Default for PrefillCostModel {
    fn default() -> Self {
        let sums = INITIAL_TOKEN_MS.map(|token_ms| {
            let mut sums = WeightedSums::default();
            for tokens in INITIAL_SIZES {
                let size = PrefillSize { tokens, cached: 0 };
                let took_ms =
                    INITIAL_FIXED_MS + token_ms * tokens as f64 + INITIAL_PAIRS_MS * size.pairs();
                sums.add(size, took_ms, INITIAL_WEIGHT);
            }
            sums
        });
        Self {
            sums,
            coefficients: sums.map(|s| s.fit()),
        }
    }
}

impl PrefillCostModel {
    /// Milliseconds for which a prefill of `size` occupies an engine.
    #[must_use]
    pub fn busy_ms(&self, role: Role, size: PrefillSize) -> f64 {
        let c = &self.coefficients[role_index(role)];
        c.token_ms * size.tokens as f64 + c.pairs_ms * size.pairs()
    }

    /// Fixed milliseconds per prompt.
    #[must_use]
    pub fn fixed_ms(&self, role: Role) -> f64 {
        self.coefficients[role_index(role)].fixed_ms
    }

    /// Records a prefill that did not wait for other known work.
    pub fn record(&mut self, role: Role, size: PrefillSize, took_ms: f64) {
        let estimate = self.busy_ms(role, size) + self.fixed_ms(role);
        let sums = &mut self.sums[role_index(role)];
        let slower = took_ms > estimate;
        sums.decay();
        sums.add(size, took_ms, if slower { SLOWER_WEIGHT } else { 1.0 });
        self.coefficients[role_index(role)] = sums.fit();
    }
}

fn role_index(role: Role) -> usize {
    usize::from(role != Role::Prefill)
}
