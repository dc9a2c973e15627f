//! What targets say about themselves.

/// Longest pause that a target gets, in milliseconds. One that still wants a pause then says so
/// again.
pub const MAX_PAUSE_MS: u64 = 300_000;

/// What a target says about itself in the head of a response, whatever the response is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TargetNotice {
    /// Whether it is leaving. This is a fact of the target, so that nodes tell each other.
    pub is_leaving: bool,
    /// Milliseconds for which it wants no new work from this node. It may want work from others, so
    /// that nodes keep this to themselves.
    pub pause_ms: Option<u64>,
}

impl TargetNotice {
    /// Whether the target says nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        !self.is_leaving && self.pause_ms.is_none()
    }
}
