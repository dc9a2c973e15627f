//! A budget of retries, so that retries never amplify an outage.

/// What one retry costs, in tenths.
const COST: u32 = 10;
/// What one success gives back, in tenths.
const GAIN: u32 = 1;

/// Retries that may still be made; every success gives a tenth of one back.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    tenths: u32,
    max: u32,
}

impl RetryBudget {
    /// A full budget of `most` retries.
    #[must_use]
    pub fn new(max: u32) -> Self {
        let max = max.saturating_mul(COST);
        Self { tenths: max, max }
    }

    /// Takes one retry; false if none is left.
    pub fn try_take(&mut self) -> bool {
        let left = self.tenths.checked_sub(COST);
        self.tenths = left.unwrap_or(self.tenths);
        left.is_some()
    }

    /// Gives back the share of one success.
    pub fn credit(&mut self) {
        self.tenths = (self.tenths + GAIN).min(self.max);
    }
}
