//! Distribution of the prefill work of a service over prompt sizes.

/// Buckets per doubling of the prefill time.
const BUCKETS_PER_DOUBLING: f64 = 2.0;
/// Number of buckets; the last one has no upper bound.
const BUCKETS: usize = 32;
/// Factor applied to all recorded work when a prompt is added.
const DECAY: f64 = 0.997;

/// Histogram of prefill work by prefill time, with exponential decay.
#[derive(Debug, Clone, Copy)]
pub struct PrefillHistogram {
    busy_ms: [f64; BUCKETS],
}

impl Default for PrefillHistogram {
    fn default() -> Self {
        Self {
            busy_ms: [0.0; BUCKETS],
        }
    }
}

impl PrefillHistogram {
    /// Records a prompt that occupies an engine for `busy_ms` milliseconds.
    pub fn record(&mut self, busy_ms: f64) {
        self.busy_ms.iter_mut().for_each(|weight| *weight *= DECAY);
        self.busy_ms[bucket(busy_ms)] += busy_ms;
    }

    /// Fraction of the total work, from 0 to 1, that comes from prompts shorter than one of
    /// `busy_ms` milliseconds.
    #[must_use]
    pub fn fraction_below(&self, busy_ms: f64) -> f64 {
        let total: f64 = self.busy_ms.iter().sum();
        let shorter: f64 = self.busy_ms[..bucket(busy_ms)].iter().sum();
        if total > 0.0 { shorter / total } else { 0.0 }
    }
}

fn bucket(busy_ms: f64) -> usize {
    let doublings = busy_ms.max(1.0).log2();
    ((doublings * BUCKETS_PER_DOUBLING) as usize).min(BUCKETS - 1)
}
