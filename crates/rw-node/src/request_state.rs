//! State of a request over its attempts.

use crate::{BurnCause, payload::Payload};
use rw_core::{AttemptOutcome, Call, Operation};
use rw_http::Response;
use rw_types::RequestId;

/// State of a request that is kept across its attempts.
#[derive(Debug)]
pub(crate) struct RequestState {
    pub(crate) id: RequestId,
    pub(crate) kind: String,
    pub(crate) key: Option<String>,
    pub(crate) operation: Operation,
    pub(crate) payload: Payload,
    /// Text received so far, for a response that is not streamed.
    pub(crate) text: String,
    /// Number of tokens received so far.
    pub(crate) tokens: u64,
    /// Response of a plain service, or of the VM that the request was forwarded to.
    pub(crate) response: Option<Response>,
    /// How the final response counts in the burn report; `None` if this VM does not count it.
    pub(crate) cause: Option<BurnCause>,
}

impl RequestState {
    pub(crate) fn new(id: RequestId, call: &Call, payload: Payload) -> Self {
        Self {
            id,
            kind: call.kind.clone(),
            key: call.key.clone(),
            operation: call.operation.clone(),
            payload,
            text: String::new(),
            tokens: 0,
            response: None,
            cause: None,
        }
    }
}

/// Why an attempt is no longer running.
#[derive(Debug)]
pub(crate) enum RunOutcome {
    /// The attempt ended at the target.
    AttemptEnded(AttemptOutcome),
    /// The caller closed its connection.
    CallerDisconnected,
}
