//! Calls as the relay has read them.

use crate::RequestHead;
use rw_types::{Millis, RequestId};

/// A request read from a caller.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) id: RequestId,
    pub(crate) head: RequestHead,
    pub(crate) body: Vec<u8>,
    /// Milliseconds that its body waited for room before it was read.
    pub(crate) waited_ms: u64,
    /// Identifier that the caller gave the call; empty if it gave none.
    pub(crate) call_id: String,
    /// Whether another node passed it to this one.
    pub(crate) is_delegated: bool,
    /// The call before it on its connection.
    pub(crate) previous: Option<RequestId>,
    /// When the request had been read in full.
    pub(crate) arrived: Millis,
}
