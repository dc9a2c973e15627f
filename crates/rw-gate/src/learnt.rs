//! What answers told of the engines of one service.

use crate::{PrefillCostModel, PrefillHistogram, PrefillSize, Target, call_state::CallState};
use rw_types::Millis;

/// Speed of the engines and the mix of their prompts.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct EngineEstimates {
    pub(crate) rate: PrefillCostModel,
    pub(crate) mix: PrefillHistogram,
}

impl EngineEstimates {
    /// Milliseconds for which a target is busy with `fill`.
    pub(crate) fn busy(&self, t: &Target, fill: PrefillSize) -> f64 {
        self.rate.busy_ms(t.spec.role, fill) * t.health.slowdown()
    }

    /// Milliseconds until a target begins with the call's prompt.
    pub(crate) fn wait(&self, now: Millis, call: &CallState, t: &Target) -> f64 {
        let busy = |fill| self.busy(t, fill);
        t.queue.wait_ms(now, call.priority, busy)
    }
}
