//! Statuses of refusals.

/// Whether a status promises a caller that its call has not run and won't run: 408, 421, 429 and 503.
#[must_use]
pub fn is_refusal_status(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}
