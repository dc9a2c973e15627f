//! Pauses that targets ask for.

use crate::{Node, Operation};
use rw_types::{MAX_PAUSE_MS, Millis, TargetNotice};

/// Maximum retry time that a caller is given for the end of a pause, in milliseconds.
const MAX_RETRY_MS: u64 = 30_000;
/// Fraction of a pause by which it is extended at random, so that nodes don't return at once.
const JITTER_FRACTION: f64 = 0.1;
/// Bounds of that extension in milliseconds: minimum and maximum.
const JITTER_BOUNDS_MS: (u64, u64) = (50, 1_000);

/// Milliseconds for which a target gets no new work after it asked for a pause of `pause_ms`.
pub fn pause_with_jitter(rng: &mut fastrand::Rng, pause_ms: u64) -> u64 {
    let pause_ms = pause_ms.min(MAX_PAUSE_MS);
    let jitter_ms = (pause_ms as f64 * JITTER_FRACTION) as u64;
    let jitter_ms = jitter_ms.clamp(JITTER_BOUNDS_MS.0, JITTER_BOUNDS_MS.1);
    pause_ms + rng.u64(1..=jitter_ms)
}

impl Node {
    /// Records what the target at `addr` says about itself.
    pub(crate) fn note_target(&mut self, now: Millis, addr: &str, notice: TargetNotice) {
        let rng = &mut self.decisions.rng;
        let pause_end = notice
            .pause_ms
            .map_or(Millis(0), |ms| now.plus(pause_with_jitter(rng, ms)));
        self.targets.note(now, addr, notice.is_leaving, pause_end);
    }

    /// Milliseconds until the first target that can take an operation returns from its pause, within
    /// [`MAX_RETRY_MS`]; `None` if none is paused.
    pub(crate) fn pause_left_ms(&self, now: Millis, operation: &Operation) -> Option<u64> {
        let serving = self.targets.serving(operation).iter();
        let targets = serving.map(|i| &self.targets.all()[*i as usize]);
        let paused = targets.filter(|t| t.is_only_paused(now));
        let left_ms = paused.map(|t| t.paused_until.since(now)).min()?;
        Some(left_ms.min(MAX_RETRY_MS))
    }
}
