//! What answers told of the engines of one service.

use crate::{EngineRate, Fill, SizeMix, Target, call_state::CallState};
use rw_types::Millis;

/// Speed of the engines and the mix of their prompts.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Learnt {
    pub(crate) rate: EngineRate,
    pub(crate) mix: SizeMix,
}

impl Learnt {
    /// Milliseconds for which a target is busy with `fill`.
    pub(crate) fn busy(&self, t: &Target, fill: Fill) -> f64 {
        self.rate.busy(t.spec.role, fill) * t.health.slowness()
    }

    /// Milliseconds until a target begins with the call's prompt.
    pub(crate) fn wait(&self, now: Millis, call: &CallState, t: &Target) -> f64 {
        let busy = |fill| self.busy(t, fill);
        t.work.wait(now, call.priority, busy)
    }
}
