//! Token bucket.

use rw_types::Millis;

/// Rate at which a bucket is refilled, and its capacity.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Refill {
    /// Tokens per millisecond.
    pub(crate) per_ms: f64,
    /// Maximum number of tokens, at least one.
    pub(crate) capacity: f64,
}

/// Tokens, each of which permits one request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TokenBucket {
    tokens: f64,
    /// Time at which it held `tokens`.
    at: Millis,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub(crate) fn full(now: Millis, refill: Refill) -> Self {
        Self {
            tokens: refill.capacity,
            at: now,
        }
    }

    /// Takes one token. The count may become negative, because some requests are sent without a check.
    pub(crate) fn take(&mut self, now: Millis, refill: Refill) {
        self.refill(now, refill);
        self.tokens -= 1.0;
    }

    /// Adds the tokens for the time until now, and drops those beyond the capacity.
    pub(crate) fn refill(&mut self, now: Millis, refill: Refill) {
        let added = now.since(self.at) as f64 * refill.per_ms;
        self.tokens = (self.tokens + added).min(refill.capacity);
        self.at = self.at.max(now);
    }

    /// Time from which it holds a token.
    pub(crate) fn ready_at(&self, refill: Refill) -> Millis {
        let missing = (1.0 - self.tokens).max(0.0);
        self.at.plus((missing / refill.per_ms).ceil() as u64)
    }
}
