//! How responses end.

use crate::Written;

/// How the response to a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseEnd {
    /// Nothing was written.
    Unwritten,
    /// All of it was written.
    Complete,
    /// A part was written, and the connection is closed.
    Cut,
    /// Bytes were written that belong to no response: a second head, or more than the first one
    /// declared.
    Overwritten,
}

impl ResponseEnd {
    /// The end of a response of which `written` was written.
    #[must_use]
    pub fn of(written: &Written, is_finished: bool) -> Self {
        match (written.heads, is_finished) {
            _ if written.is_overwritten() => Self::Overwritten,
            (0, _) => Self::Unwritten,
            (_, true) => Self::Complete,
            (_, false) => Self::Cut,
        }
    }

    /// Name in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Unwritten => "unwritten",
            Self::Complete => "complete",
            Self::Cut => "cut",
            Self::Overwritten => "overwritten",
        }
    }
}
