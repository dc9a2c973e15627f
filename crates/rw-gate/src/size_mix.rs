//! How the prompt work of a service is spread over short and long prompts.

/// Buckets for each doubling of the time that a prompt takes.
const BUCKETS_PER_DOUBLING: f64 = 2.0;
/// Buckets; the last takes all that is longer.
const BUCKETS: usize = 32;
/// What is left of a prompt's weight after the next.
const DECAY: f64 = 0.997;

/// Fading work by the length of its prompts.
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
    /// Counts a prompt that takes an engine `busy` milliseconds.
    pub fn record(&mut self, busy_ms: f64) {
        self.busy_ms.iter_mut().for_each(|weight| *weight *= DECAY);
        self.busy_ms[bucket(busy_ms)] += busy_ms;
    }

    /// Part of all work that is done for shorter prompts than one of `busy` milliseconds, from 0
    /// to 1.
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
