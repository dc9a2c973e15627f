//! Demand of callers, as an exponentially weighted average.

use rw_types::Millis;

/// Demand of one kind of work.
#[derive(Debug, Clone, PartialEq)]
pub struct KindDemand {
    /// Name of the kind of work.
    pub kind: String,
    /// Requests per second.
    pub rate: f64,
    /// Prompt tokens that need prefill, per second.
    pub prefill: f64,
    /// Output tokens per second.
    pub output: f64,
}

#[derive(Debug, Clone)]
struct DecayedSum {
    model: String,
    kind: String,
    count: f64,
    prefill: f64,
    output: f64,
    at: Millis,
}

/// Exponentially averaged demand by model and kind of work; includes refused requests.
#[derive(Debug, Clone, Default)]
pub struct Demand {
    /// Sorted by model, then kind.
    sums: Vec<DecayedSum>,
}

impl Demand {
    /// Counts one request with its tokens to prefill and its output tokens; `window_ms` is the
    /// averaging time.
    pub fn record(
        &mut self,
        now: Millis,
        window_ms: u64,
        model: &str,
        kind: &str,
        prefill: u64,
        output: u64,
    ) {
        let key = |s: &DecayedSum| (s.model.as_str(), s.kind.as_str()).cmp(&(model, kind));
        let i = match self.sums.binary_search_by(key) {
            Ok(i) => i,
            Err(i) => {
                let sum = DecayedSum {
                    model: model.to_owned(),
                    kind: kind.to_owned(),
                    count: 0.0,
                    prefill: 0.0,
                    output: 0.0,
                    at: now,
                };
                self.sums.insert(i, sum);
                i
            }
        };
        let sum = &mut self.sums[i];
        let factor = decay(now, sum.at, window_ms);
        sum.count = sum.count * factor + 1.0;
        sum.prefill = sum.prefill * factor + prefill as f64;
        sum.output = sum.output * factor + output as f64;
        sum.at = now;
    }

    /// Demand for `model`, one entry per kind of work.
    #[must_use]
    pub fn by_kind(&self, now: Millis, window_ms: u64, model: &str) -> Vec<KindDemand> {
        let sums = self.sums.iter().filter(|s| s.model == model);
        sums.map(|s| {
            let per_second = decay(now, s.at, window_ms) * 1e3 / window_ms.max(1) as f64;
            KindDemand {
                kind: s.kind.clone(),
                rate: s.count * per_second,
                prefill: s.prefill * per_second,
                output: s.output * per_second,
            }
        })
        .collect()
    }
}

fn decay(now: Millis, at: Millis, window_ms: u64) -> f64 {
    (-(now.since(at) as f64) / window_ms.max(1) as f64).exp()
}
