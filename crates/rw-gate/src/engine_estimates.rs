//! Estimates of the time that work takes on the targets of one service.

use crate::{
    PrefillCostModel, PrefillHistogram, PrefillSize, SpeedBaseline, Target, WorkKind,
    call_state::CallState,
};
use rw_types::Millis;

/// Cost model of the engines and size distribution of their prompts.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct EngineEstimates {
    pub(crate) cost_model: PrefillCostModel,
    pub(crate) histogram: PrefillHistogram,
    /// Usual time of work on the service's targets, by [`WorkKind::index`].
    pub(crate) baselines: [SpeedBaseline; 3],
}

impl EngineEstimates {
    /// Milliseconds for which a prefill of `size` occupies the target.
    pub(crate) fn busy_ms(&self, t: &Target, size: PrefillSize) -> f64 {
        self.cost_model.busy_ms(t.spec.role, size) * prefill_factor(t)
    }

    /// Milliseconds until the target starts to prefill the call's prompt.
    pub(crate) fn wait_ms(&self, now: Millis, call: &CallState, t: &Target) -> f64 {
        let busy_ms = |size| self.busy_ms(t, size);
        t.queue.wait_ms(now, call.priority, busy_ms)
    }
}

/// Factor on the modelled time of prefills: the lasting speed of the target, and recent delays there.
pub(crate) fn prefill_factor(t: &Target) -> f64 {
    t.health.slowdown() * t.speed.factor(WorkKind::Prefill)
}
