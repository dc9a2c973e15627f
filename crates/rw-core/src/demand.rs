//! What callers ask for, averaged over a sliding time.

use rw_types::Millis;

/// Demand of one kind of work.
#[derive(Debug, Clone, PartialEq)]
pub struct KindDemand {
    /// Kind of work.
    pub kind: String,
    /// Requests a second.
    pub rate: f64,
    /// Prompt tokens to fill, a second.
    pub prefill: f64,
    /// Output tokens a second.
    pub output: f64,
}

#[derive(Debug, Clone)]
struct Sum {
    model: String,
    kind: String,
    count: f64,
    prefill: f64,
    output: f64,
    at: Millis,
}

/// Exponentially averaged demand by model and kind of work, refused requests included.
#[derive(Debug, Clone, Default)]
pub struct Demand {
    /// Sorted by model, then kind.
    sums: Vec<Sum>,
}

impl Demand {
    /// Counts one request.
    pub fn record(
        &mut self,
        now: Millis,
        window: u64,
        model: &str,
        kind: &str,
        prefill: u64,
        output: u64,
    ) {
        let key = |s: &Sum| (s.model.as_str(), s.kind.as_str()).cmp(&(model, kind));
        let i = match self.sums.binary_search_by(key) {
            Ok(i) => i,
            Err(i) => {
                let sum = Sum {
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
        let left = decay(now, sum.at, window);
        sum.count = sum.count * left + 1.0;
        sum.prefill = sum.prefill * left + prefill as f64;
        sum.output = sum.output * left + output as f64;
        sum.at = now;
    }

    /// Demand for a model, by kind of work.
    #[must_use]
    pub fn by_kind(&self, now: Millis, window: u64, model: &str) -> Vec<KindDemand> {
        let sums = self.sums.iter().filter(|s| s.model == model);
        sums.map(|s| {
            let per_second = decay(now, s.at, window) * 1e3 / window.max(1) as f64;
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

fn decay(now: Millis, at: Millis, window: u64) -> f64 {
    (-(now.since(at) as f64) / window.max(1) as f64).exp()
}
