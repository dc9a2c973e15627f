//! What was written of a response.

/// What was written to a caller of the response to one call.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Written {
    /// Length of the body in bytes that the head declared, if it declared one.
    pub declared: Option<u64>,
    /// Bytes of the body, without the framing of chunks.
    pub body: u64,
}
