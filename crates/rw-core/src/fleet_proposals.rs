//! Orders that follow from the configuration: models to load and to unload.

use crate::{Node, ProposedOrder, TargetState, next_order::matches_load};
use rw_types::{Millis, Model, OrderKind, TargetKind};

impl Node {
    /// Proposed orders for the targets of one lease, most urgent first.
    pub(crate) fn proposals_for(&self, now: Millis, lease: usize) -> Vec<ProposedOrder> {
        let group = self.authority.leases[lease].group.as_str();
        let in_group = |name: &str| {
            let target = self.config.target(name);
            target.is_some_and(|t| t.lease_group() == group)
        };
        let engines = self.fresh_engines(now);
        let burning = self.sync.is_burning(now);
        let mut proposals: Vec<ProposedOrder> = self
            .config
            .models
            .iter()
            .flat_map(|model| propose_loads(model, &engines, burning))
            .chain(engines.iter().flat_map(|t| self.propose_unloads(t)))
            .chain(self.role_proposals(now, &engines))
            .chain(self.proposals.iter().cloned())
            .filter(|p| in_group(&p.target))
            .collect();
        let idle = engines
            .iter()
            .filter(|t| in_group(&t.spec.name))
            .filter(|t| t.report.draining && !t.spec.leaving)
            .filter(|t| !proposals.iter().any(|p| p.target == t.spec.name));
        let reopened: Vec<ProposedOrder> = idle.map(|t| propose_reopen(t)).collect();
        proposals.extend(reopened);
        proposals
    }

    /// Engines with a recent report; no orders are planned from stale reports.
    fn fresh_engines(&self, now: Millis) -> Vec<&TargetState> {
        let oldest = now.0.saturating_sub(self.settings.stale_ms);
        self.targets
            .all()
            .iter()
            .filter(|t| t.spec.kind == TargetKind::Engine && t.reported_at > Millis(0))
            .filter(|t| t.reported_at.0 >= oldest)
            .collect()
    }

    /// Proposes to unload the models that are no longer declared; a declared model is never
    /// unloaded.
    fn propose_unloads(&self, target: &TargetState) -> Vec<ProposedOrder> {
        let models = target.report.models.iter();
        models
            .filter(|m| self.config.model(m).is_none())
            .map(|m| ProposedOrder {
                target: target.spec.name.clone(),
                kind: OrderKind::Unload { model: m.clone() },
                reason: format!("model {m} is no longer declared"),
            })
            .collect()
    }
}

/// Proposes loads that bring `model` to its number of replicas, to the targets that declare it,
/// and to its declared version.
fn propose_loads(model: &Model, engines: &[&TargetState], burning: bool) -> Vec<ProposedOrder> {
    let load = OrderKind::Load {
        model: model.name.clone(),
        version: model.version.clone(),
        adapters: model.adapters.clone(),
    };
    let propose = |target: &TargetState, reason: String| ProposedOrder {
        target: target.spec.name.clone(),
        kind: load.clone(),
        reason,
    };
    let available = engines.iter().filter(|t| !t.spec.leaving);
    let is_loaded = |t: &TargetState| t.report.models.contains(&model.name);
    let declares = |t: &TargetState| t.spec.models.contains(&model.name);
    let (loaded, mut others): (Vec<&TargetState>, Vec<&TargetState>) =
        available.partition(|t| is_loaded(t));
    others.sort_by_key(|t| (!declares(t), !t.spec.checks_fence, t.spec.name.as_str()));
    let missing = (model.replicas as usize).saturating_sub(loaded.len());
    let chosen = others.iter().enumerate();
    let chosen = chosen.filter(|(i, t)| *i < missing || declares(t));
    let mut proposals: Vec<ProposedOrder> = chosen
        .map(|(_, t)| {
            let count = loaded.len();
            let reason = format!(
                "model {} has {count} of {} replicas",
                model.name, model.replicas
            );
            propose(t, reason)
        })
        .collect();
    // Versions are replaced on one engine at a time, so that the others keep serving, and not at
    // all while the burn rate is high, since a reload reduces capacity.
    let outdated = loaded.iter().find(|t| !burning && !matches_load(t, &load));
    proposals.extend(outdated.map(|t| {
        let reason = format!(
            "model {} is declared in version {}",
            model.name, model.version
        );
        propose(t, reason)
    }));
    proposals
}

/// Proposes the engine's present role, which ends its drain.
fn propose_reopen(target: &TargetState) -> ProposedOrder {
    let role = target.report.role;
    ProposedOrder {
        target: target.spec.name.clone(),
        kind: OrderKind::Role { role },
        reason: "drained, and no other order is due".to_owned(),
    }
}
