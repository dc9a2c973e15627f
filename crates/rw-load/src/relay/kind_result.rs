//! Results of a relay run as observed by callers.

use super::scaling::SizeResult;
use std::fmt;

/// Results for one kind of call.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RelayKindResult {
    /// Name of the kind.
    pub kind: String,
    /// Calls sent; a caller's retry is not counted again.
    pub sent: u64,
    /// Complete responses on time.
    pub on_time: u64,
    /// Complete responses that were late.
    pub late: u64,
    /// Calls whose last response was a refusal.
    pub refused: u64,
    /// Calls that the caller gave up before the response was complete.
    pub failed: u64,
    /// Calls among the tenth with the longest prompts.
    pub longest_sent: u64,
    /// Complete responses to these.
    pub longest_served: u64,
    /// Time to the first event in milliseconds, for each call that got one; sorted.
    pub first_event_ms: Vec<u64>,
}

impl RelayKindResult {
    /// Fraction of the calls with a complete response on time.
    #[must_use]
    pub fn on_time_ratio(&self) -> f64 {
        self.on_time as f64 / self.sent.max(1) as f64
    }

    /// Fraction of the calls with a complete response.
    #[must_use]
    pub fn served_ratio(&self) -> f64 {
        (self.on_time + self.late) as f64 / self.sent.max(1) as f64
    }

    /// Fraction of the tenth with the longest prompts with a complete response.
    #[must_use]
    pub fn longest_served_ratio(&self) -> f64 {
        self.longest_served as f64 / self.longest_sent.max(1) as f64
    }

    /// Quantile of the time to the first event, in milliseconds; `quantile` is between 0 and 1.
    #[must_use]
    pub fn first_event_quantile(&self, quantile: f64) -> u64 {
        let last = self.first_event_ms.len().saturating_sub(1);
        let i = (last as f64 * quantile) as usize;
        self.first_event_ms.get(i).copied().unwrap_or_default()
    }
}

/// Calls that arrived at a group of nodes during a cut, after the time in which nodes must notice it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CutGroup {
    /// Calls sent; a caller's retry is not counted again.
    pub sent: u64,
    /// Complete responses on time.
    pub on_time: u64,
    /// Complete responses that were late.
    pub late: u64,
}

impl CutGroup {
    /// Counts a complete response.
    pub(super) fn record(&mut self, is_late: bool) {
        match is_late {
            true => self.late += 1,
            false => self.on_time += 1,
        }
    }

    /// Fraction of the calls with a complete response.
    #[must_use]
    pub fn served_ratio(&self) -> f64 {
        (self.on_time + self.late) as f64 / self.sent.max(1) as f64
    }

    /// Fraction of the calls with a complete response on time.
    #[must_use]
    pub fn on_time_ratio(&self) -> f64 {
        self.on_time as f64 / self.sent.max(1) as f64
    }
}

/// Results of one relay run.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RelayResult {
    /// Results by kind of call.
    pub kinds: Vec<RelayKindResult>,
    /// Prompt tokens that engines prefilled.
    pub prefilled_tokens: u64,
    /// Prompt tokens found in the engine's prefix cache or fetched from another engine.
    pub cached_tokens: u64,
    /// Prefills that were sent with a stall timeout.
    pub prefills: u64,
    /// Prefills that exceeded it.
    pub stalled: u64,
    /// Messages to and from schedulers.
    pub messages: u64,
    /// Engines that decode at the end of the run.
    pub decode_engines: usize,
    /// Most requests in any 4 s to an engine that named a rate limit, as a fraction of what the limit
    /// allows; `None` if none did.
    pub limit_ratio: Option<f64>,
    /// Calls at nodes that were cut from all engines.
    pub cut_nodes: CutGroup,
    /// Calls at the other nodes meanwhile.
    pub other_nodes: CutGroup,
    /// Price and number of the engines.
    pub size: SizeResult,
}

impl RelayResult {
    /// Fraction of all calls with a complete response on time.
    #[must_use]
    pub fn on_time_ratio(&self) -> f64 {
        let on_time: u64 = self.kinds.iter().map(|k| k.on_time).sum();
        let sent: u64 = self.kinds.iter().map(|k| k.sent).sum();
        on_time as f64 / sent.max(1) as f64
    }

    /// Fraction of the prefills that stalled.
    #[must_use]
    pub fn stalled_ratio(&self) -> f64 {
        self.stalled as f64 / self.prefills.max(1) as f64
    }
}

impl fmt::Display for RelayResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<16} {:>6} {:>7} {:>6} {:>7} {:>6} {:>7} {:>7} {:>7}",
            "kind", "asked", "on time", "late", "refused", "failed", "longest", "p50 ms", "p99 ms"
        )?;
        for k in &self.kinds {
            writeln!(
                f,
                "{:<16} {:>6} {:>7.3} {:>6.3} {:>7.3} {:>6.3} {:>7.3} {:>7} {:>7}",
                k.kind,
                k.sent,
                k.on_time_ratio(),
                k.late as f64 / k.sent.max(1) as f64,
                k.refused as f64 / k.sent.max(1) as f64,
                k.failed as f64 / k.sent.max(1) as f64,
                k.longest_served_ratio(),
                k.first_event_quantile(0.5),
                k.first_event_quantile(0.99),
            )?;
        }
        write!(
            f,
            "prompt tokens: {} filled, {} kept; stalled prefills: {:.3}; engines that decode: {}",
            self.prefilled_tokens,
            self.cached_tokens,
            self.stalled_ratio(),
            self.decode_engines
        )?;
        let s = &self.size;
        write!(
            f,
            "; price {:.0}, {:.1} engines, {} size orders, {} role changes",
            s.price, s.engines, s.orders, s.role_changes
        )?;
        if self.cut_nodes.sent > 0 {
            for (name, group) in [("cut", &self.cut_nodes), ("other", &self.other_nodes)] {
                let (served, on_time) = (group.served_ratio(), group.on_time_ratio());
                write!(
                    f,
                    "; at {name} nodes {served:.3} served, {on_time:.3} on time"
                )?;
            }
        }
        match self.limit_ratio {
            Some(ratio) => write!(f, "; worst 4 s against a rate limit: {ratio:.2}"),
            None => Ok(()),
        }
    }
}
