//! Rates of requests.

use serde::{Deserialize, Serialize};

/// Highest rate, in thousandths of a request per second; higher ones are cut to it.
const MAX_PER_1000_S: u64 = 1_000_000_000;

/// Requests per second, in steps of a thousandth.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestRate {
    per_1000_s: u64,
}

impl RequestRate {
    /// Parses a decimal number of requests per second; `None` if it is negative or no number.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let per_s: f64 = text.trim().parse().ok()?;
        let is_valid = per_s.is_finite() && per_s >= 0.0;
        // A float too large for the integer becomes its maximum.
        let per_1000_s = (per_s * 1e3).round() as u64;
        is_valid.then_some(Self {
            per_1000_s: per_1000_s.min(MAX_PER_1000_S),
        })
    }

    /// Requests per second.
    #[must_use]
    pub fn per_s(self) -> f64 {
        self.per_1000_s as f64 / 1e3
    }
}
