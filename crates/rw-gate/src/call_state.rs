//! An open call.

use crate::{CallRequest, DispatchMode, KvHandle, PrefillSize, RetryPolicy};
use rw_types::{Millis, RequestId};

/// A call's dispatch that has not ended.
#[derive(Debug, Clone)]
pub(crate) struct ActiveDispatch {
    pub(crate) target: String,
    pub(crate) life: u64,
    pub(crate) mode: DispatchMode,
    pub(crate) sent: Millis,
    /// What the target is expected to fill.
    pub(crate) fill: PrefillSize,
    /// Tokens held there while it runs.
    pub(crate) held: u64,
    /// Whether the target had no other prompt work, as far as known.
    pub(crate) alone: bool,
    /// Expected milliseconds until the prompt is filled.
    pub(crate) expected: f64,
}

/// Everything decided about one call so far.
#[derive(Debug, Clone)]
pub(crate) struct CallState {
    pub(crate) id: RequestId,
    pub(crate) ask: CallRequest,
    pub(crate) service: String,
    pub(crate) repeat: RetryPolicy,
    pub(crate) priority: u8,
    /// Most targets that may run it.
    pub(crate) attempts: u32,
    /// When its final answer is due.
    pub(crate) due: Millis,
    /// Milliseconds after which its caller leaves if nothing comes.
    pub(crate) patience: u64,
    /// When the next of its answer must have come, or its caller leaves.
    pub(crate) first_due: Millis,
    /// Targets that may have run it.
    pub(crate) runs: u32,
    /// Dispatches so far.
    pub(crate) sends: u32,
    /// Targets that are not asked again.
    pub(crate) tried: Vec<String>,
    /// Whether a run of it may have happened without a known end.
    pub(crate) unknown: bool,
    /// Whether a target's whole answer, a failure, is kept while the call is tried elsewhere.
    pub(crate) kept: bool,
    /// Whether a prefill was accepted, which the budget doesn't count.
    pub(crate) prefilled: bool,
    pub(crate) current: Option<ActiveDispatch>,
    /// A prefilled prompt that waits to be taken.
    pub(crate) handle: Option<KvHandle>,
    /// Event after which the stream goes on.
    pub(crate) resume: Option<u64>,
}

impl CallState {
    pub(crate) fn left(&self, now: Millis) -> u64 {
        self.due.since(now)
    }
}
