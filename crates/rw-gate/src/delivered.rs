//! What a caller has got of a response.

/// What the caller of a call has got of its response, over all runs of the call.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum Delivered {
    /// Nothing, so that any response may be delivered.
    #[default]
    Nothing,
    /// Complete events of a stream up to the one with this identifier. Only the events after it may
    /// follow.
    Events(u64),
    /// A part that no other run can go on with.
    Part,
}
