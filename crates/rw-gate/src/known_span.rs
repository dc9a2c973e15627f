//! Time span for which all software versions are known.

use rw_types::Millis;

/// Span in milliseconds of this process's clock. It may begin before the process started, if the
/// registry or another node knows them for longer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct KnownSpan {
    since_ms: i64,
    until_ms: i64,
}

impl KnownSpan {
    /// The span that ends at `until` and began `length_ms` before `now`.
    pub(crate) fn ending(until: Millis, now: Millis, length_ms: u64) -> Self {
        let until_ms = until.0 as i64;
        Self {
            since_ms: until_ms.min(now.0 as i64 - length_ms as i64),
            until_ms,
        }
    }

    /// Adds the time up to `until`, for which no version was missed.
    pub(crate) fn extend(&mut self, until: Millis) {
        self.until_ms = self.until_ms.max(until.0 as i64);
    }

    /// Adds the time from `since_ms`, in milliseconds of this process's clock.
    pub(crate) fn extend_back(&mut self, since_ms: i64) {
        self.since_ms = self.since_ms.min(since_ms);
    }

    /// Both spans if they touch, otherwise the later one: between them, versions may have come and
    /// gone.
    pub(crate) fn union(self, other: Self) -> Self {
        let (early, late) = match self.until_ms <= other.until_ms {
            true => (self, other),
            false => (other, self),
        };
        Self {
            since_ms: match early.until_ms >= late.since_ms {
                true => early.since_ms.min(late.since_ms),
                false => late.since_ms,
            },
            ..late
        }
    }

    /// Its beginning, in milliseconds of this process's clock.
    pub(crate) fn since_ms(self) -> i64 {
        self.since_ms
    }

    /// Milliseconds since its end.
    pub(crate) fn age_ms(self, now: Millis) -> u64 {
        u64::try_from(now.0 as i64 - self.until_ms).unwrap_or_default()
    }

    /// Milliseconds since its beginning.
    pub(crate) fn observed_ms(self, now: Millis) -> u64 {
        u64::try_from(now.0 as i64 - self.since_ms).unwrap_or_default()
    }
}
