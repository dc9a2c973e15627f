//! Ends of a run's events before that of their stream.

/// Why the events of a run are not passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamError {
    /// They don't follow what the caller has got.
    Unrelated,
    /// An event exceeds the maximum length.
    Malformed,
    /// The stream ends inside an event, or before any.
    Truncated,
    /// The caller's connection failed.
    Caller,
}
