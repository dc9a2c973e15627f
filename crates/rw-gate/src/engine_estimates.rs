//! Estimates of prefill times for the engines of one service.

use crate::{PrefillCostModel, PrefillHistogram, PrefillSize, Target, call_state::CallState};
use rw_types::Millis;

/// Cost model of the engines and size distribution of their prompts.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct EngineEstimates {
    pub(crate) cost_model: PrefillCostModel,
    pub(crate) histogram: PrefillHistogram,
}

impl EngineEstimates {
    /// Milliseconds for which a prefill of `size` occupies the target.
    pub(crate) fn busy_ms(&self, t: &Target, size: PrefillSize) -> f64 {
        self.cost_model.busy_ms(t.spec.role, size) * t.health.slowdown()
    }

    /// Milliseconds until the target starts to prefill the call's prompt.
    pub(crate) fn wait_ms(&self, now: Millis, call: &CallState, t: &Target) -> f64 {
        let busy_ms = |size| self.busy_ms(t, size);
        t.queue.wait_ms(now, call.priority, busy_ms)
    }
}
