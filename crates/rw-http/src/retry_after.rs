//! The `retry-after` header.

/// Time after which the sender of a response wants another request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryAfter {
    /// Milliseconds from the response; zero for at once.
    Millis(u64),
    /// The header holds no number of seconds. Dates aren't accepted.
    Invalid,
}

impl RetryAfter {
    /// Parses the header's value: seconds, with or without a fraction.
    #[must_use]
    pub fn parse(value: &str) -> Self {
        let seconds = value.trim().parse::<f64>().ok();
        match seconds.filter(|s| s.is_finite() && *s >= 0.0) {
            // A float too large for the integer becomes its maximum.
            Some(seconds) => Self::Millis((seconds * 1e3) as u64),
            None => Self::Invalid,
        }
    }
}
