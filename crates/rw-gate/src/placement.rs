//! A candidate for a call, and what it costs.

use crate::{PrefillSize, Target};
use std::fmt;

/// Milliseconds for one step of an engine and the network round trip.
pub(crate) const BASE_MS: f64 = 10.0;

/// A candidate for a call, with the estimates for it. The candidate with the lowest `cost` is
/// chosen; `start_ms` is then compared with the caller's deadline.
#[derive(Debug, Clone)]
pub(crate) struct Placement {
    pub(crate) target: String,
    /// Whether the target only prefills the prompt, so that another engine decodes it.
    pub(crate) prefill_only: bool,
    /// Prefill work for this call on the target.
    pub(crate) size: PrefillSize,
    /// `ip:port` of a target from which the cached beginning of the prompt is fetched.
    pub(crate) fetch_from: Option<String>,
    /// Milliseconds for which the prefill occupies the target.
    pub(crate) busy_ms: f64,
    /// Milliseconds until the prompt is prefilled: wait for queued prefills, fetch of the cached
    /// beginning, and the prefill itself.
    pub(crate) prefill_ms: f64,
    /// The part of `prefill_ms` that the prefill and those ahead of it take by the cost model, without
    /// the speed of the target.
    pub(crate) model_ms: f64,
    /// The part of `prefill_ms` that does not depend on the speed of the target.
    pub(crate) overhead_ms: f64,
    /// Milliseconds until the response starts: `prefill_ms`, and the transfer of the KV cache if
    /// another engine decodes.
    pub(crate) start_ms: f64,
    /// Whether no other prefill is known to be queued on the target.
    pub(crate) queue_empty: bool,
    /// Length of the prompt in tokens.
    pub(crate) prompt_tokens: u32,
    /// Milliseconds by which candidates are compared: delay of this call and of others, and
    /// penalties.
    pub(crate) cost: f64,
}

impl Placement {
    /// Creates the placement of a call that needs no prefill on `t`.
    pub(crate) fn without_prefill(t: &Target, cost: f64) -> Self {
        Self {
            target: t.spec.name.clone(),
            prefill_only: false,
            size: PrefillSize::default(),
            fetch_from: None,
            busy_ms: 0.0,
            prefill_ms: 0.0,
            model_ms: 0.0,
            overhead_ms: 0.0,
            start_ms: BASE_MS,
            queue_empty: false,
            prompt_tokens: 0,
            cost,
        }
    }
}

impl fmt::Display for Placement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { size, start_ms, .. } = self;
        let tokens = size.tokens;
        write!(
            f,
            "fill {tokens} first {start_ms:.0} alone {} tokens {}",
            self.queue_empty, self.prompt_tokens
        )
    }
}
