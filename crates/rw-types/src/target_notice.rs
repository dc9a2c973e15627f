//! What targets say about themselves.

use crate::{Millis, RequestRate};

/// Longest pause that a target gets, in milliseconds. One that still wants a pause then says so
/// again.
pub const MAX_PAUSE_MS: u64 = 300_000;

/// What a target says with a response about the rate of requests that it takes from all nodes
/// together.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum RateNotice {
    /// Nothing that can be relied on.
    #[default]
    Silent,
    /// It takes this many.
    Limited(RequestRate),
    /// It named no limit with the response to a request sent at the time `asked_at`. A limit that it
    /// named after that time may be newer.
    Unlimited {
        /// When the request was sent.
        asked_at: Millis,
    },
}

/// What a target says about itself in the head of a response, whatever the response is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TargetNotice {
    /// Whether it is leaving. This is a fact of the target, so that nodes tell each other.
    pub is_leaving: bool,
    /// Milliseconds for which it wants no new work from this node. It may want work from others, so
    /// that nodes keep this to themselves.
    pub pause_ms: Option<u64>,
    /// What it says about its rate limit, which nodes tell each other.
    pub rate: RateNotice,
}

impl TargetNotice {
    /// Whether the target says nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}
