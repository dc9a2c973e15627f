//! The next order towards a proposed one.

use crate::{OrderSlot, TargetState};
use rw_types::OrderKind;

/// The kind of order to give next in order to reach `proposed`; `None` if it is reached already, or
/// must wait for a report or for running requests.
pub(crate) fn next_order_kind(
    target: &TargetState,
    slot: &OrderSlot,
    proposed: &OrderKind,
) -> Option<OrderKind> {
    let report = &target.report;
    // Older reports do not show the effect of the latest order.
    if target.reported_at <= slot.resolved_at {
        return None;
    }
    let needed = match proposed {
        OrderKind::Load { model, .. } => {
            !matches_load(target, proposed) || !has_model(target, model)
        }
        OrderKind::Unload { model } => has_model(target, model),
        OrderKind::Drain => !report.draining,
        OrderKind::Role { role } => *role != report.role || report.draining,
    };
    if !needed {
        return None;
    }
    if !matches!(proposed, OrderKind::Role { .. }) {
        return Some(proposed.clone());
    }
    // A role change would break running streams, so the engine is drained first.
    if !report.draining {
        return Some(OrderKind::Drain);
    }
    (report.running == 0 && target.running == 0).then(|| proposed.clone())
}

fn has_model(target: &TargetState, model: &str) -> bool {
    let models = &target.report.models;
    models.binary_search_by(|m| m.as_str().cmp(model)).is_ok()
}

/// Whether the target holds the model in the version and with the adapters of `load`. A target that
/// holds the model but does not report its version counts as matching.
pub(crate) fn matches_load(target: &TargetState, load: &OrderKind) -> bool {
    let OrderKind::Load {
        model,
        version,
        adapters,
    } = load
    else {
        return false;
    };
    let held = target.report.loaded.iter().find(|l| l.model == *model);
    has_model(target, model)
        && held.is_none_or(|l| l.version == *version && l.adapters == *adapters)
}
