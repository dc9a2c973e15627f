//! The next order towards a wish.

use crate::{OrderSlot, TargetState};
use rw_types::OrderKind;

/// The order to give now towards `wish`; `None` if it is fulfilled or must wait for a report.
pub(crate) fn next_kind(
    target: &TargetState,
    slot: &OrderSlot,
    wish: &OrderKind,
) -> Option<OrderKind> {
    let report = &target.report;
    // Only a report made after the latest order ended tells what the target is now.
    if target.reported_at <= slot.resolved {
        return None;
    }
    let wanted = match wish {
        OrderKind::Load { model, .. } => !holds(target, wish) || !has(target, model),
        OrderKind::Unload { model } => has(target, model),
        OrderKind::Drain => !report.draining,
        OrderKind::Role { role } => *role != report.role || report.draining,
    };
    if !wanted {
        return None;
    }
    if !matches!(wish, OrderKind::Role { .. }) {
        return Some(wish.clone());
    }
    // A change of role would cut streams: the engine is drained first.
    if !report.draining {
        return Some(OrderKind::Drain);
    }
    (report.running == 0 && target.running == 0).then(|| wish.clone())
}

fn has(target: &TargetState, model: &str) -> bool {
    let models = &target.report.models;
    models.binary_search_by(|m| m.as_str().cmp(model)).is_ok()
}

/// Whether the target holds a model as `load` wants it; true if it can't tell.
pub(crate) fn holds(target: &TargetState, load: &OrderKind) -> bool {
    let OrderKind::Load {
        model,
        version,
        adapters,
    } = load
    else {
        return false;
    };
    let held = target.report.loaded.iter().find(|l| l.model == *model);
    has(target, model) && held.is_none_or(|l| l.version == *version && l.adapters == *adapters)
}
