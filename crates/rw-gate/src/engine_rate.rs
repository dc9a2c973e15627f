//! How fast the engines of a service fill prompts, learnt from answers.

use rw_types::Role;

/// Tokens a millisecond before anything was measured, by role.
const FIRST: [f64; 2] = [50.0, 25.0];
/// Part of the way to a faster measure that one sample goes.
const FASTER: f64 = 0.2;
/// Part of the way to a slower measure that one sample goes; most of those had waited.
const SLOWER: f64 = 0.1;
/// Smallest prompt that tells of the rate, in tokens.
const LEAST: u64 = 500;
/// Milliseconds that a prompt takes beside its tokens.
const EACH_MS: f64 = 5.0;

/// Rate by role.
#[derive(Debug, Clone, Copy)]
pub struct EngineRate {
    rates: [f64; 2],
}

impl Default for EngineRate {
    fn default() -> Self {
        Self { rates: FIRST }
    }
}

impl EngineRate {
    /// Tokens a millisecond.
    #[must_use]
    pub fn of(&self, role: Role) -> f64 {
        self.rates[slot(role)]
    }

    /// Counts a prompt that met no known work.
    pub fn sample(&mut self, role: Role, tokens: u64, took_ms: f64) {
        if tokens < LEAST || took_ms <= 0.0 {
            return;
        }
        let seen = tokens as f64 / (took_ms - EACH_MS).max(1.0);
        let rate = &mut self.rates[slot(role)];
        let part = if seen > *rate { FASTER } else { SLOWER };
        *rate += (seen - *rate) * part;
    }
}

fn slot(role: Role) -> usize {
    usize::from(role != Role::Prefill)
}
