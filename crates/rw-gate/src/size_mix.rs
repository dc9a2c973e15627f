//! How the prompt work of a service is spread over short and long prompts.

/// Buckets for each doubling of the time that a prompt takes.
const PER_DOUBLING: f64 = 2.0;
/// Buckets; the last takes all that is longer.
const BUCKETS: usize = 32;
/// What is left of a prompt's weight after the next.
const FADING: f64 = 0.997;

/// Fading work by the length of its prompts.
#[derive(Debug, Clone, Copy)]
pub struct PrefillHistogram {
    work: [f64; BUCKETS],
}

impl Default for PrefillHistogram {
    fn default() -> Self {
        Self {
            work: [0.0; BUCKETS],
        }
    }
}

impl PrefillHistogram {
    /// Counts a prompt that takes an engine `busy` milliseconds.
    pub fn record(&mut self, busy: f64) {
        self.work.iter_mut().for_each(|w| *w *= FADING);
        self.work[bucket(busy)] += busy;
    }

    /// Part of all work that is done for shorter prompts than one of `busy` milliseconds, from 0
    /// to 1.
    #[must_use]
    pub fn fraction_below(&self, busy: f64) -> f64 {
        let all: f64 = self.work.iter().sum();
        let shorter: f64 = self.work[..bucket(busy)].iter().sum();
        if all > 0.0 { shorter / all } else { 0.0 }
    }
}

fn bucket(busy: f64) -> usize {
    let doublings = busy.max(1.0).log2();
    ((doublings * PER_DOUBLING) as usize).min(BUCKETS - 1)
}
