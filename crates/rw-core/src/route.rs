//! Choice of a target by estimated time to first token.

use crate::{TargetState, Targets, Work};
use rw_types::Millis;

/// Prefill speed assumed of an engine that has not reported one, in tokens a second.
const DEFAULT_PREFILL_RATE: u64 = 10_000;

/// Position in [`Targets::all`] of the best open target for `work`, leaving out those in `tried`
/// where another is open.
#[must_use]
pub fn pick_target(
    targets: &Targets,
    work: &Work,
    centre: &str,
    tried: &[String],
    now: Millis,
) -> Option<usize> {
    let open = targets
        .all()
        .iter()
        .enumerate()
        .filter(|(_, t)| t.is_open(now) && serves(t, work));
    let best = open.min_by_key(|(_, t)| {
        let again = tried.contains(&t.spec.name);
        (
            again,
            estimate_wait(t, work),
            t.running,
            t.spec.centre != centre,
        )
    })?;
    Some(best.0)
}

/// Whether a target can run `work` at all.
#[must_use]
pub fn serves(target: &TargetState, work: &Work) -> bool {
    match work {
        Work::Generate { model, .. } => target.report.models.binary_search(model).is_ok(),
        Work::Service { name, .. } => target.spec.service == *name,
    }
}

/// Estimated milliseconds until the first byte of an answer.
#[must_use]
pub fn estimate_wait(target: &TargetState, work: &Work) -> u64 {
    match work {
        Work::Service { .. } => 0,
        Work::Generate { prompt, .. } => {
            let ahead = target.report.queued + target.unreported + prompt;
            let rate = match target.report.prefill_rate {
                0 => DEFAULT_PREFILL_RATE,
                rate => rate,
            };
            ahead * 1_000 / rate
        }
    }
}
