//! Results of a run.

use hdrhistogram::Histogram;
use serde::Serialize;

/// Longest time recorded; longer ones are counted as this.
const MAX_US: u64 = 600_000_000;

/// Percentiles of a latency, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Percentiles {
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
}

/// Histogram of latencies in microseconds.
#[derive(Debug, Clone)]
pub(crate) struct LatencyHistogram(Histogram<u64>);

impl Default for LatencyHistogram {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_US, 2);
        Self(histogram.unwrap_or_else(|_| unreachable!("constant bounds are valid")))
    }
}

impl LatencyHistogram {
    pub(crate) fn record(&mut self, us: u64) {
        self.0.saturating_record(us.max(1));
    }

    pub(crate) fn merge(&mut self, other: &Self) {
        // Can't fail, because both have the same bounds.
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

/// Results for one kind of work.
#[derive(Debug, Clone, Default, Serialize)]
pub struct KindResult {
    /// Name of the kind.
    pub kind: String,
    /// Requests sent.
    pub sent: u64,
    /// Complete responses within the deadline.
    pub good: u64,
    /// Complete responses after the deadline.
    pub late: u64,
    /// Requests refused without being run.
    pub refused: u64,
    /// Requests that may have run but got no complete response.
    pub unknown: u64,
    /// Requests without any final response by the end of the run.
    pub lost: u64,
    /// Executions of plain service calls beyond the first of each call. Not measured over sockets.
    pub doubled: u64,
    /// Time to the first token.
    pub first: Percentiles,
    /// Time between tokens.
    pub between: Percentiles,
    #[serde(skip)]
    pub(crate) firsts: LatencyHistogram,
    #[serde(skip)]
    pub(crate) gaps: LatencyHistogram,
}

impl KindResult {
    /// Fraction of the requests with a complete response within the deadline.
    #[must_use]
    pub fn goodput(&self) -> f64 {
        self.good as f64 / self.sent.max(1) as f64
    }
}

/// Results of one run.
#[derive(Debug, Clone, Default, Serialize)]
pub struct RunResult {
    /// Name of the variant.
    pub name: String,
    /// Results by kind of work.
    pub kinds: Vec<KindResult>,
    /// All kinds together.
    pub total: KindResult,
    /// Number of role changes.
    pub changes: u32,
    /// Reasons of the ordered role changes, each with its time in seconds.
    pub reasons: Vec<String>,
    /// Fraction of the prompt tokens found in a prefix cache.
    pub hits: f64,
    /// Tokens generated, by engine.
    pub work: Vec<u64>,
}

impl RunResult {
    /// Computes the percentiles of each kind, and the total.
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

    /// Unweighted mean of the goodput of all kinds of work.
    #[must_use]
    pub fn mean_goodput(&self) -> f64 {
        let sum: f64 = self.kinds.iter().map(KindResult::goodput).sum();
        sum / self.kinds.len().max(1) as f64
    }

    /// Results for the kind of work called `name`.
    #[must_use]
    pub fn kind(&self, name: &str) -> Option<&KindResult> {
        self.kinds.iter().find(|k| k.kind == name)
    }
}
