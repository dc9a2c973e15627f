//! Retry budget, which keeps retries from amplifying an outage.

/// Cost of one retry, in tenths of a retry.
const RETRY_COST_TENTHS: u32 = 10;
/// Refund for one success, in tenths of a retry.
const SUCCESS_REFUND_TENTHS: u32 = 1;

/// Number of retries that may still be made; every success adds a tenth of one.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    tenths: u32,
    max_tenths: u32,
}

impl RetryBudget {
    /// A full budget of `max` retries.
    #[must_use]
    pub fn new(max: u32) -> Self {
        let max_tenths = max.saturating_mul(RETRY_COST_TENTHS);
        Self {
            tenths: max_tenths,
            max_tenths,
        }
    }

    /// Spends one retry; false if the budget is exhausted.
    pub fn try_take(&mut self) -> bool {
        let remaining = self.tenths.checked_sub(RETRY_COST_TENTHS);
        self.tenths = remaining.unwrap_or(self.tenths);
        remaining.is_some()
    }

    /// Adds the refund for one success, up to the maximum.
    pub fn credit(&mut self) {
        self.tenths = (self.tenths + SUCCESS_REFUND_TENTHS).min(self.max_tenths);
    }
}
