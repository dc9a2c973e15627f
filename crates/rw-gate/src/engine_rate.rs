//! How fast the engines of a service fill prompts, learnt from answers.

use rw_types::Role;

/// Tokens a millisecond before anything was measured, by role.
const FIRST: [f64; 2] = [50.0, 25.0];
/// Milliseconds that a prompt takes beside its tokens before anything was measured.
const FIRST_MS: f64 = 15.0;
/// Prompt sizes at which the first belief stands, in tokens.
const FIRST_SIZES: [f64; 2] = [300.0, 6_000.0];
/// Weight of the first belief against one measure.
const FIRST_WEIGHT: f64 = 3.0;
/// What is left of a measure's weight after the next.
const FADING: f64 = 0.98;
/// Bounds of the rate that is believed, in tokens a millisecond.
const RATES: (f64, f64) = (3.0, 1_000.0);
/// Longest time beside the tokens that is believed, in milliseconds.
const LONGEST_MS: f64 = 250.0;

/// A line through fading measures: time against tokens.
#[derive(Debug, Clone, Copy)]
struct Line {
    weight: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl Line {
    fn new(rate: f64) -> Self {
        let mut line = Self {
            weight: 0.0,
            x: 0.0,
            y: 0.0,
            xx: 0.0,
            xy: 0.0,
        };
        for size in FIRST_SIZES {
            line.add(size, FIRST_MS + size / rate, FIRST_WEIGHT);
        }
        line
    }

    fn add(&mut self, x: f64, y: f64, weight: f64) {
        self.weight += weight;
        self.x += x * weight;
        self.y += y * weight;
        self.xx += x * x * weight;
        self.xy += x * y * weight;
    }

    fn fade(&mut self) {
        for sum in [
            &mut self.weight,
            &mut self.x,
            &mut self.y,
            &mut self.xx,
            &mut self.xy,
        ] {
            *sum *= FADING;
        }
    }

    /// Rate in tokens a millisecond, and milliseconds beside the tokens.
    fn fit(&self) -> (f64, f64) {
        let spread = self.weight * self.xx - self.x * self.x;
        let slope = (self.weight * self.xy - self.x * self.y) / spread.max(1.0);
        let slope = slope.clamp(1.0 / RATES.1, 1.0 / RATES.0);
        let rest = (self.y - slope * self.x) / self.weight.max(f64::MIN_POSITIVE);
        (1.0 / slope, rest.clamp(0.0, LONGEST_MS))
    }
}

/// Speed by role: a prompt takes a fixed time and a time for each token to fill. The fixed time
/// passes beside other prompts; the tokens wait for each other.
#[derive(Debug, Clone, Copy)]
pub struct EngineRate {
    lines: [Line; 2],
    fits: [(f64, f64); 2],
}

impl Default for EngineRate {
    fn default() -> Self {
        let lines = FIRST.map(Line::new);
        Self {
            lines,
            fits: lines.map(|l| l.fit()),
        }
    }
}

impl EngineRate {
    /// Tokens a millisecond.
    #[must_use]
    pub fn of(&self, role: Role) -> f64 {
        self.fits[slot(role)].0
    }

    /// Milliseconds that a prompt takes beside its tokens.
    #[must_use]
    pub fn fixed(&self, role: Role) -> f64 {
        self.fits[slot(role)].1
    }

    /// Counts a prompt that met no known work.
    pub fn sample(&mut self, role: Role, tokens: u64, took_ms: f64) {
        let line = &mut self.lines[slot(role)];
        line.fade();
        line.add(tokens as f64, took_ms, 1.0);
        self.fits[slot(role)] = line.fit();
    }
}

fn slot(role: Role) -> usize {
    usize::from(role != Role::Prefill)
}
