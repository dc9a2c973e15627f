//! Amount of prefill work.

use serde::{Deserialize, Serialize};

/// Token pairs per unit of [`PrefillSize::pairs`].
const PAIRS_UNIT: f64 = 1e6;

/// Work that an engine has to do to prefill a prompt.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefillSize {
    /// Tokens to prefill.
    pub tokens: u64,
    /// Preceding tokens that are already in the prefix cache of the engine.
    pub cached: u64,
}

impl PrefillSize {
    /// Pairs of a token and a preceding token, in millions. The cost of attention grows with them.
    #[must_use]
    pub fn pairs(self) -> f64 {
        let tokens = self.tokens as f64;
        tokens * (self.cached as f64 + tokens / 2.0) / PAIRS_UNIT
    }
}
