//! An open call.

use crate::{CallRequest, DispatchMode, KvHandle, PrefillSize, RetryPolicy};
use rw_types::{Millis, RequestId};

/// A call's dispatch that has not ended.
#[derive(Debug, Clone)]
pub(crate) struct ActiveDispatch {
    pub(crate) target: String,
    pub(crate) incarnation: u64,
    pub(crate) mode: DispatchMode,
    pub(crate) sent_at: Millis,
    /// What the target is expected to fill.
    pub(crate) size: PrefillSize,
    /// Tokens held there while it runs.
    pub(crate) held_tokens: u64,
    /// Whether the target had no other prompt work, as far as known.
    pub(crate) queue_empty: bool,
    /// Expected milliseconds until the prompt is filled.
    pub(crate) expected_ms: f64,
}

/// Everything decided about one call so far.
#[derive(Debug, Clone)]
pub(crate) struct CallState {
    pub(crate) id: RequestId,
    pub(crate) request: CallRequest,
    pub(crate) service: String,
    pub(crate) retry_policy: RetryPolicy,
    pub(crate) priority: u8,
    /// Most targets that may run it.
    pub(crate) max_attempts: u32,
    /// When its final answer is due.
    pub(crate) deadline: Millis,
    /// Milliseconds after which its caller leaves if nothing comes.
    pub(crate) client_timeout_ms: u64,
    /// When the next of its answer must have come, or its caller leaves.
    pub(crate) client_deadline: Millis,
    /// Targets that may have run it.
    pub(crate) runs: u32,
    /// Dispatches so far.
    pub(crate) dispatches: u32,
    /// Targets that are not asked again.
    pub(crate) excluded: Vec<String>,
    /// Whether a run of it may have happened without a known end.
    pub(crate) outcome_unknown: bool,
    /// Whether a target's whole answer, a failure, is kept while the call is tried elsewhere.
    pub(crate) kept_response: bool,
    /// Whether a prefill was accepted, which the budget doesn't count.
    pub(crate) prefilled: bool,
    pub(crate) active: Option<ActiveDispatch>,
    /// A prefilled prompt that waits to be taken.
    pub(crate) handle: Option<KvHandle>,
    /// Event after which the stream goes on.
    pub(crate) resume_after: Option<u64>,
}

impl CallState {
    pub(crate) fn left_ms(&self, now: Millis) -> u64 {
        self.deadline.since(now)
    }
}
