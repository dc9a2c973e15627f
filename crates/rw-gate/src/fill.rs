//! Prompt tokens that an engine fills.

use serde::{Deserialize, Serialize};

/// Pairs of tokens in a million.
const PAIRS_UNIT: f64 = 1e6;

/// What an engine does to fill a prompt.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefillSize {
    /// Tokens to fill.
    pub tokens: u64,
    /// Tokens before them that the engine holds already.
    pub cached: u64,
}

impl PrefillSize {
    /// Millions of pairs of a token and one before it; attention takes time for each.
    #[must_use]
    pub fn pairs(self) -> f64 {
        let tokens = self.tokens as f64;
        tokens * (self.cached as f64 + tokens / 2.0) / PAIRS_UNIT
    }
}
