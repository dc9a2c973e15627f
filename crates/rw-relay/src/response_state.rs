//! States of the response to a call.

use crate::ResponseEnd;
use rw_gate::Delivered;

/// State of the response to one call, over all its runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ResponseState {
    /// Nothing was written.
    Unsent,
    /// The head and complete events of a stream.
    Events {
        /// HTTP status.
        status: u16,
        /// Event after which another run may go on with the stream, if any may.
        last: Option<u64>,
    },
    /// All of it was written.
    Complete,
    /// A part was written that only its own writer may follow.
    Partial,
    /// What belongs to no response was to be written, and wasn't.
    Conflict,
}

impl ResponseState {
    /// How the response ends if nothing more is written.
    pub(crate) fn end(self) -> ResponseEnd {
        match self {
            Self::Unsent => ResponseEnd::Unwritten,
            Self::Events { .. } | Self::Partial => ResponseEnd::Cut,
            Self::Complete => ResponseEnd::Complete,
            Self::Conflict => ResponseEnd::Conflict,
        }
    }

    /// What the caller has got.
    pub(crate) fn delivered(self) -> Delivered {
        match self {
            Self::Unsent => Delivered::Nothing,
            Self::Events { last: Some(id), .. } => Delivered::Events(id),
            Self::Events { last: None, .. } | Self::Complete | Self::Partial | Self::Conflict => {
                Delivered::Part
            }
        }
    }
}
