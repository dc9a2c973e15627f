//! How much longer prompts take than expected when they are sent, since more urgent ones come later.

/// Weight of the latest prompt.
const LATEST: f64 = 0.04;
/// Milliseconds added to both times, so that short ones count for little.
const SOFT_MS: f64 = 100.0;
/// Bounds of what one prompt tells.
const SEEN: (f64, f64) = (0.5, 6.0);

/// Taken against expected time, by service and priority, sorted.
#[derive(Debug, Clone, Default)]
pub struct Overrun {
    seen: Vec<((String, u8), f64)>,
}

impl Overrun {
    /// Factor on the expected time; at least one.
    #[must_use]
    pub fn factor(&self, service: &str, priority: u8) -> f64 {
        let found = self.index(service, priority);
        found.map_or(1.0, |i| self.seen[i].1.max(1.0))
    }

    /// Counts a prompt that took `took` milliseconds in place of `expected`.
    pub fn record(&mut self, service: &str, priority: u8, took: f64, expected: f64) {
        let seen = (took + SOFT_MS) / (expected + SOFT_MS);
        let seen = seen.clamp(SEEN.0, SEEN.1);
        match self.index(service, priority) {
            Ok(i) => self.seen[i].1 += (seen - self.seen[i].1) * LATEST,
            Err(i) => self.seen.insert(i, ((service.to_owned(), priority), 1.0)),
        }
    }

    fn index(&self, service: &str, priority: u8) -> Result<usize, usize> {
        let key = (service, priority);
        self.seen
            .binary_search_by(|((s, p), _)| (s.as_str(), *p).cmp(&key))
    }
}
