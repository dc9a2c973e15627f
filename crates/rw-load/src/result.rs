//! What a run gave.

use hdrhistogram::Histogram;
use serde::Serialize;

/// Largest time recorded, in microseconds.
const MAX_US: u64 = 600_000_000;

/// Milliseconds at 50, 95 and 99 in 100.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Percentiles {
    /// Median.
    pub p50: f64,
    /// 95 in 100 are below.
    pub p95: f64,
    /// 99 in 100 are below.
    pub p99: f64,
}

/// Times in microseconds, gathered.
#[derive(Debug, Clone)]
pub(crate) struct LatencyHistogram(Histogram<u64>);

impl Default for LatencyHistogram {
    fn default() -> Self {
        // The bounds are constants that the library accepts.
        let histogram = Histogram::new_with_bounds(1, MAX_US, 2);
        Self(histogram.unwrap_or_else(|_| unreachable!("constant bounds are valid")))
    }
}

impl LatencyHistogram {
    pub(crate) fn record(&mut self, us: u64) {
        self.0.saturating_record(us.max(1));
    }

    pub(crate) fn merge(&mut self, other: &Self) {
        // Both have the same bounds.
        let _ = self.0.add(&other.0);
    }

    pub(crate) fn percentiles(&self) -> Percentiles {
        let at = |q| self.0.value_at_quantile(q) as f64 / 1e3;
        Percentiles {
            p50: at(0.5),
            p95: at(0.95),
            p99: at(0.99),
        }
    }
}

/// One kind of work.
#[derive(Debug, Clone, Default, Serialize)]
pub struct KindResult {
    /// Name.
    pub kind: String,
    /// Requests sent.
    pub sent: u64,
    /// Whole answers within the deadline.
    pub good: u64,
    /// Whole answers after the deadline.
    pub late: u64,
    /// Refused, not run.
    pub refused: u64,
    /// May have run, no answer.
    pub unknown: u64,
    /// No final answer at all.
    pub lost: u64,
    /// Runs beyond the first of a non-idempotent request.
    pub doubled: u64,
    /// Until the first token.
    pub first: Percentiles,
    /// Between tokens.
    pub between: Percentiles,
    #[serde(skip)]
    pub(crate) firsts: LatencyHistogram,
    #[serde(skip)]
    pub(crate) gaps: LatencyHistogram,
}

impl KindResult {
    /// Part of the requests answered whole and in time.
    #[must_use]
    pub fn goodput(&self) -> f64 {
        self.good as f64 / self.sent.max(1) as f64
    }
}

/// One run.
#[derive(Debug, Clone, Default, Serialize)]
pub struct RunResult {
    /// Name of the variant.
    pub name: String,
    /// By kind of work.
    pub kinds: Vec<KindResult>,
    /// All kinds together.
    pub total: KindResult,
    /// Role changes ordered.
    pub changes: u32,
    /// Reasons of the role changes, with their seconds.
    pub reasons: Vec<String>,
    /// Part of the prompt tokens found in a prefix cache.
    pub hits: f64,
    /// Tokens given out, by engine.
    pub work: Vec<u64>,
}

impl RunResult {
    /// Fills in what follows from the rest.
    pub(crate) fn compute_total(&mut self) {
        let mut total = KindResult {
            kind: "all".to_owned(),
            ..KindResult::default()
        };
        for kind in &mut self.kinds {
            kind.first = kind.firsts.percentiles();
            kind.between = kind.gaps.percentiles();
            total.sent += kind.sent;
            total.good += kind.good;
            total.late += kind.late;
            total.refused += kind.refused;
            total.unknown += kind.unknown;
            total.lost += kind.lost;
            total.doubled += kind.doubled;
            total.firsts.merge(&kind.firsts);
            total.gaps.merge(&kind.gaps);
        }
        total.first = total.firsts.percentiles();
        total.between = total.gaps.percentiles();
        self.total = total;
    }

    /// Goodput averaged over the kinds of work, each counted alike.
    #[must_use]
    pub fn mean_goodput(&self) -> f64 {
        let sum: f64 = self.kinds.iter().map(KindResult::goodput).sum();
        sum / self.kinds.len().max(1) as f64
    }

    /// The kind of work of that name.
    #[must_use]
    pub fn kind(&self, name: &str) -> Option<&KindResult> {
        self.kinds.iter().find(|k| k.kind == name)
    }
}
