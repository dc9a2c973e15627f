//! What callers got.

use std::fmt;

/// What the callers of one kind got.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RelayKindResult {
    /// Kind.
    pub kind: &'static str,
    /// Calls, a caller's retry not counted again.
    pub sent: u64,
    /// Whole answers on time.
    pub on_time: u64,
    /// Whole answers later.
    pub late: u64,
    /// Calls whose last answer was a refusal.
    pub refused: u64,
    /// Calls that ended without an answer.
    pub failed: u64,
    /// Milliseconds to the first event of each answered call, sorted.
    pub first_event_ms: Vec<u64>,
}

impl RelayKindResult {
    /// Part of the calls answered on time.
    #[must_use]
    pub fn on_time_ratio(&self) -> f64 {
        self.on_time as f64 / self.sent.max(1) as f64
    }

    /// Milliseconds within which `part` of the answered calls had their first event.
    #[must_use]
    pub fn first_event_quantile(&self, quantile: f64) -> u64 {
        let last = self.first_event_ms.len().saturating_sub(1);
        let i = (last as f64 * quantile) as usize;
        self.first_event_ms.get(i).copied().unwrap_or_default()
    }
}

/// What one run gave.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RelayResult {
    /// By kind.
    pub kinds: Vec<RelayKindResult>,
    /// Prompt tokens filled.
    pub prefilled_tokens: u64,
    /// Prompt tokens found in the cache or fetched.
    pub cached_tokens: u64,
}

impl RelayResult {
    /// Part of all calls answered on time.
    #[must_use]
    pub fn on_time_ratio(&self) -> f64 {
        let on_time: u64 = self.kinds.iter().map(|k| k.on_time).sum();
        let sent: u64 = self.kinds.iter().map(|k| k.sent).sum();
        on_time as f64 / sent.max(1) as f64
    }
}

impl fmt::Display for RelayResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<16} {:>6} {:>7} {:>6} {:>7} {:>6} {:>7} {:>7}",
            "kind", "asked", "on time", "late", "refused", "failed", "p50 ms", "p99 ms"
        )?;
        for k in &self.kinds {
            writeln!(
                f,
                "{:<16} {:>6} {:>7.3} {:>6.3} {:>7.3} {:>6.3} {:>7} {:>7}",
                k.kind,
                k.sent,
                k.on_time_ratio(),
                k.late as f64 / k.sent.max(1) as f64,
                k.refused as f64 / k.sent.max(1) as f64,
                k.failed as f64 / k.sent.max(1) as f64,
                k.first_event_quantile(0.5),
                k.first_event_quantile(0.99),
            )?;
        }
        write!(
            f,
            "prompt tokens: {} filled, {} kept",
            self.prefilled_tokens, self.cached_tokens
        )
    }
}
