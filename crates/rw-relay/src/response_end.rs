//! How responses end.

/// How the response to a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseEnd {
    /// Nothing was written.
    Unwritten,
    /// All of it was written.
    Complete,
    /// A part was written, and the connection is closed.
    Cut,
    /// A second response, or more than the first one declared, was to be written. It wasn't, and the
    /// connection is closed.
    Conflict,
}

impl ResponseEnd {
    /// Name in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Unwritten => "unwritten",
            Self::Complete => "complete",
            Self::Cut => "cut",
            Self::Conflict => "conflict",
        }
    }
}
