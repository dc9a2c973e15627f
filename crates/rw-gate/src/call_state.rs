//! State of an open call.

use crate::{
    CallRequest, Delivered, DispatchMode, KvHandle, PrefillSize, RetryPolicy, SoftwareId, Target,
    scheduling::Placing,
};
use rw_types::{Millis, RequestId};

/// The dispatch of a call that is in flight.
#[derive(Debug, Clone)]
pub(crate) struct ActiveDispatch {
    pub(crate) target: String,
    pub(crate) incarnation: u64,
    pub(crate) mode: DispatchMode,
    /// Version of the target's software.
    pub(crate) software: SoftwareId,
    pub(crate) sent_at: Millis,
    /// Time of its first event, if that has arrived.
    pub(crate) began_at: Option<Millis>,
    /// Prefill work that the target is expected to do.
    pub(crate) size: PrefillSize,
    /// Tokens that the call holds in the KV cache of the target while it runs.
    pub(crate) held_tokens: u64,
    /// Whether no other prefill was known to be queued on the target.
    pub(crate) queue_empty: bool,
    /// Expected milliseconds until the prompt is prefilled.
    pub(crate) expected_ms: f64,
    /// The part of it that the prefill and those ahead of it take by the cost model, without the speed
    /// of the target.
    pub(crate) model_ms: f64,
    /// The part of it that does not depend on the speed of the target.
    pub(crate) overhead_ms: f64,
    /// Calls that ran on the target when it was sent.
    pub(crate) running: u32,
}

/// State of one call.
#[derive(Debug, Clone)]
pub(crate) struct CallState {
    pub(crate) id: RequestId,
    pub(crate) request: CallRequest,
    pub(crate) service: String,
    pub(crate) retry_policy: RetryPolicy,
    pub(crate) priority: u8,
    /// Name of the client account that it belongs to.
    pub(crate) account: Option<String>,
    /// Whether its credential is withheld from targets. That stays so if a later configuration has no
    /// accounts.
    pub(crate) hides_credential: bool,
    /// Whether the call has been counted for its account.
    pub(crate) is_counted: bool,
    /// Maximum number of targets that may run it.
    pub(crate) max_attempts: u32,
    /// Time by which the final response is due.
    pub(crate) deadline: Millis,
    /// Milliseconds without any event after which the caller disconnects.
    pub(crate) client_timeout_ms: u64,
    /// Time at which the caller disconnects unless the response continues before.
    pub(crate) client_deadline: Millis,
    /// Number of targets that have run it or may have run it.
    pub(crate) runs: u32,
    /// Number of dispatches so far.
    pub(crate) dispatches: u32,
    /// Number of dispatches that may have reached a target.
    pub(crate) arrivals: u32,
    /// Number of dispatches for which no connection could be opened.
    pub(crate) unsent: u32,
    /// Node that the call has been passed to, until that ends.
    pub(crate) delegate: Option<String>,
    /// Nodes that the call has been passed to so far.
    pub(crate) delegates: Vec<String>,
    /// Targets that are not tried again.
    pub(crate) excluded: Vec<String>,
    /// Whether a run may have happened whose outcome is unknown.
    pub(crate) outcome_unknown: bool,
    /// Whether the complete error response of a target is kept while the call is retried.
    pub(crate) kept_response: bool,
    /// Whether a prefill succeeded. Neither the dispatch limit nor the retry budget counts it.
    pub(crate) prefilled: bool,
    pub(crate) active: Option<ActiveDispatch>,
    /// Handle of the prefilled prompt that was passed to a decode engine, until the engine is known
    /// to have taken it.
    pub(crate) handle: Option<KvHandle>,
    /// What the caller has got of the response.
    pub(crate) delivered: Delivered,
    /// Version of the targets' software at which the stream began; `None` before its first event.
    pub(crate) software: Option<SoftwareId>,
    /// Placement by a scheduler.
    pub(crate) placing: Placing,
}

impl CallState {
    /// Whether the call may be sent to a target with the version of this one.
    pub(crate) fn accepts_version(&self, target: &Target) -> bool {
        let required = self.software;
        required.is_none_or(|software| software == target.software_id())
    }

    /// Event after which a run goes on with the stream, for this node or for the caller, who may have
    /// got the events before it with an earlier call.
    pub(crate) fn resume_after(&self) -> Option<u64> {
        match self.delivered {
            Delivered::Events(id) => Some(id),
            Delivered::Nothing | Delivered::Part => self.request.last_event,
        }
    }

    pub(crate) fn left_ms(&self, now: Millis) -> u64 {
        self.deadline.since(now)
    }
}
