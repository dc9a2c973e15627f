//! How fast the engines of a service fill prompts, learnt from answers.

use crate::PrefillSize;
use rw_types::Role;

/// Milliseconds a token before anything was measured, by role.
const FIRST_TOKEN_MS: [f64; 2] = [0.02, 0.04];
/// Milliseconds for a million pairs of tokens before anything was measured.
const FIRST_PAIRS_MS: f64 = 0.5;
/// Milliseconds that a prompt takes beside its tokens before anything was measured.
const FIRST_MS: f64 = 15.0;
/// Prompt sizes at which the first belief stands, in tokens.
const FIRST_SIZES: [u64; 3] = [300, 6_000, 40_000];
/// Weight of the first belief at each size against one measure.
const FIRST_WEIGHT: f64 = 0.3;
/// What is left of a measure's weight after the next.
const FADING: f64 = 0.99;
/// Weight of a measure above the estimate: it may have met work that other nodes had not told yet,
/// while nothing makes an engine faster.
const LATE_WEIGHT: f64 = 0.15;
/// Bounds of the time that is believed, in milliseconds a token.
const TOKEN_MS: (f64, f64) = (0.001, 0.33);
/// Bounds of the time that is believed, in milliseconds for a million pairs.
const PAIRS_MS: (f64, f64) = (0.0, 10.0);
/// Longest time beside the tokens that is believed, in milliseconds.
const LONGEST_MS: f64 = 250.0;

/// Fading sums of measures: time against tokens and pairs of tokens.
#[derive(Debug, Clone, Copy, Default)]
struct Sums {
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

impl Sums {
    fn add(&mut self, fill: PrefillSize, took: f64, weight: f64) {
        let (x, p) = (fill.tokens as f64, fill.pairs());
        self.weight += weight;
        self.x += x * weight;
        self.p += p * weight;
        self.y += took * weight;
        self.xx += x * x * weight;
        self.xp += x * p * weight;
        self.pp += p * p * weight;
        self.xy += x * took * weight;
        self.py += p * took * weight;
    }

    fn fade(&mut self) {
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
            *sum *= FADING;
        }
    }

    /// The least squares, each coefficient within its bounds.
    fn fit(&self) -> Cost {
        let weight = self.weight.max(f64::MIN_POSITIVE);
        let (x, p, y) = (self.x / weight, self.p / weight, self.y / weight);
        let (xx, pp) = (self.xx / weight - x * x, self.pp / weight - p * p);
        let (xp, xy, py) = (
            self.xp / weight - x * p,
            self.xy / weight - x * y,
            self.py / weight - p * y,
        );
        let spread = (xx * pp - xp * xp).max(f64::MIN_POSITIVE);
        let pairs = (py * xx - xy * xp) / spread;
        let pairs = pairs.clamp(PAIRS_MS.0, PAIRS_MS.1);
        let token = (xy - pairs * xp) / xx.max(f64::MIN_POSITIVE);
        let token = token.clamp(TOKEN_MS.0, TOKEN_MS.1);
        let fixed = (y - token * x - pairs * p).clamp(0.0, LONGEST_MS);
        Cost {
            fixed,
            token,
            pairs,
        }
    }
}

/// Milliseconds of a prompt: in all, a token, and a million pairs of tokens.
#[derive(Debug, Clone, Copy)]
struct Cost {
    fixed: f64,
    token: f64,
    pairs: f64,
}

/// Speed by role: a prompt takes a fixed time, and a time for each token and each pair of tokens.
/// The fixed time passes beside other prompts; the rest waits for each other.
#[derive(Debug, Clone, Copy)]
pub struct PrefillCostModel {
    sums: [Sums; 2],
    costs: [Cost; 2],
}

impl Default for PrefillCostModel {
    fn default() -> Self {
        let sums = FIRST_TOKEN_MS.map(|token| {
            let mut sums = Sums::default();
            for tokens in FIRST_SIZES {
                let fill = PrefillSize { tokens, cached: 0 };
                let took = FIRST_MS + token * tokens as f64 + FIRST_PAIRS_MS * fill.pairs();
                sums.add(fill, took, FIRST_WEIGHT);
            }
            sums
        });
        Self {
            sums,
            costs: sums.map(|s| s.fit()),
        }
    }
}

impl PrefillCostModel {
    /// Milliseconds for which an engine is busy with `fill`.
    #[must_use]
    pub fn busy_ms(&self, role: Role, fill: PrefillSize) -> f64 {
        let cost = &self.costs[slot(role)];
        cost.token * fill.tokens as f64 + cost.pairs * fill.pairs()
    }

    /// Milliseconds that a prompt takes beside its tokens.
    #[must_use]
    pub fn fixed_ms(&self, role: Role) -> f64 {
        self.costs[slot(role)].fixed
    }

    /// Counts a prompt that met no known work.
    pub fn record(&mut self, role: Role, fill: PrefillSize, took_ms: f64) {
        let told = self.busy_ms(role, fill) + self.fixed_ms(role);
        let sums = &mut self.sums[slot(role)];
        let late = took_ms > told;
        sums.fade();
        sums.add(fill, took_ms, if late { LATE_WEIGHT } else { 1.0 });
        self.costs[slot(role)] = sums.fit();
    }
}

fn slot(role: Role) -> usize {
    usize::from(role != Role::Prefill)
}
