//! Ratio of actual to expected prefill times. Prompts take longer than expected when more urgent
//! ones arrive after them.

/// Weight of the latest sample.
const SAMPLE_WEIGHT: f64 = 0.04;
/// Milliseconds added to both times, so that short prompts have little influence.
const SMOOTHING_MS: f64 = 100.0;
/// Bounds of the ratio in one sample: minimum and maximum.
const RATIO_BOUNDS: (f64, f64) = (0.5, 6.0);

/// Ratio of actual to expected time, sorted by service and priority.
#[derive(Debug, Clone, Default)]
pub struct Overrun {
    factors: Vec<((String, u8), f64)>,
}

impl Overrun {
    /// Factor to apply to an expected time; at least 1.
    #[must_use]
    pub fn factor(&self, service: &str, priority: u8) -> f64 {
        let found = self.index(service, priority);
        found.map_or(1.0, |i| self.factors[i].1.max(1.0))
    }

    /// Records a prefill that took `took_ms` and was expected to take `expected_ms`.
    pub fn record(&mut self, service: &str, priority: u8, took_ms: f64, expected_ms: f64) {
        let ratio = (took_ms + SMOOTHING_MS) / (expected_ms + SMOOTHING_MS);
        let ratio = ratio.clamp(RATIO_BOUNDS.0, RATIO_BOUNDS.1);
        match self.index(service, priority) {
            Ok(i) => self.factors[i].1 += (ratio - self.factors[i].1) * SAMPLE_WEIGHT,
            Err(i) => self
                .factors
                .insert(i, ((service.to_owned(), priority), 1.0)),
        }
    }

    fn index(&self, service: &str, priority: u8) -> Result<usize, usize> {
        let key = (service, priority);
        self.factors
            .binary_search_by(|((s, p), _)| (s.as_str(), *p).cmp(&key))
    }
}
