//! Whether a target may get new work.

use rw_types::Millis;

/// How a node has learned that a target is leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeavingSource {
    /// Its registered entry.
    Entry,
    /// One of its own responses to this node.
    Response,
    /// Another node, which had it from a response.
    Peer,
}

/// Whether a target may get new work. If several variants apply, the first one holds.
///
/// Failures and load are no part of it: they make a target a costly choice, and it still gets work if
/// no other one is left.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Availability {
    /// Its entry expired during a store outage and was not renewed in time.
    Gone,
    /// It is leaving. This holds for the rest of its incarnation, whatever is read about it later.
    Leaving(LeavingSource),
    /// It asked this node for a pause. Other nodes go on sending to it.
    Paused {
        /// End of the pause.
        until: Millis,
    },
    /// It has named a rate limit, of which this node has used its part.
    RateLimited {
        /// Time from which this node may send the next request.
        until: Millis,
    },
    /// It may get new work.
    Open,
}

impl Availability {
    /// Name in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Gone => "gone",
            Self::Leaving(LeavingSource::Entry) => "leaving-entry",
            Self::Leaving(LeavingSource::Response) => "leaving-response",
            Self::Leaving(LeavingSource::Peer) => "leaving-peer",
            Self::Paused { .. } => "paused",
            Self::RateLimited { .. } => "rate-limited",
            Self::Open => "open",
        }
    }
}
