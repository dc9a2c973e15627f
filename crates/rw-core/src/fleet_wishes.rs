//! What the configuration wants of engines: models to load and models to drop.

use crate::{Node, ProposedOrder, TargetState, wish_step::holds};
use rw_types::{Millis, Model, OrderKind, TargetKind};

impl Node {
    /// Wishes for the targets of one lease, most urgent first.
    pub(crate) fn wishes_of(&self, now: Millis, lease: usize) -> Vec<ProposedOrder> {
        let group = self.authority.leases[lease].group.as_str();
        let in_group = |name: &str| {
            let target = self.config.target(name);
            target.is_some_and(|t| t.lease_group() == group)
        };
        let engines = self.fresh_engines(now);
        let burning = self.sync.is_burning(now);
        let mut wishes: Vec<ProposedOrder> = self
            .config
            .models
            .iter()
            .flat_map(|model| loads(model, &engines, burning))
            .chain(engines.iter().flat_map(|t| self.unloads(t)))
            .chain(self.role_wishes(now, &engines))
            .chain(self.wishes.iter().cloned())
            .filter(|w| in_group(&w.target))
            .collect();
        let idle = engines
            .iter()
            .filter(|t| in_group(&t.spec.name))
            .filter(|t| t.report.draining && !t.spec.leaving)
            .filter(|t| !wishes.iter().any(|w| w.target == t.spec.name));
        let opened: Vec<ProposedOrder> = idle.map(|t| open_again(t)).collect();
        wishes.extend(opened);
        wishes
    }

    /// Engines that reported lately; nothing is planned on the word of others.
    fn fresh_engines(&self, now: Millis) -> Vec<&TargetState> {
        let oldest = now.0.saturating_sub(self.settings.stale_ms);
        self.targets
            .all()
            .iter()
            .filter(|t| t.spec.kind == TargetKind::Engine && t.reported_at > Millis(0))
            .filter(|t| t.reported_at.0 >= oldest)
            .collect()
    }

    /// Models that are no longer declared; one that is declared is never dropped.
    fn unloads(&self, target: &TargetState) -> Vec<ProposedOrder> {
        let models = target.report.models.iter();
        models
            .filter(|m| self.config.model(m).is_none())
            .map(|m| ProposedOrder {
                target: target.spec.name.clone(),
                kind: OrderKind::Unload { model: m.clone() },
                reason: format!("model {m} is not declared any more"),
            })
            .collect()
    }
}

/// Loads that bring `model` to its replicas, to the targets that declare it, and to its version.
fn loads(model: &Model, engines: &[&TargetState], burning: bool) -> Vec<ProposedOrder> {
    let load = OrderKind::Load {
        model: model.name.clone(),
        version: model.version.clone(),
        adapters: model.adapters.clone(),
    };
    let wish = |target: &TargetState, reason: String| ProposedOrder {
        target: target.spec.name.clone(),
        kind: load.clone(),
        reason,
    };
    let open = engines.iter().filter(|t| !t.spec.leaving);
    let has = |t: &TargetState| t.report.models.contains(&model.name);
    let declares = |t: &TargetState| t.spec.models.contains(&model.name);
    let (holders, mut others): (Vec<&TargetState>, Vec<&TargetState>) = open.partition(|t| has(t));
    others.sort_by_key(|t| (!declares(t), !t.spec.checks_fence, t.spec.name.as_str()));
    let missing = (model.replicas as usize).saturating_sub(holders.len());
    let wanted = others.iter().enumerate();
    let wanted = wanted.filter(|(i, t)| *i < missing || declares(t));
    let mut wishes: Vec<ProposedOrder> = wanted
        .map(|(_, t)| {
            let held = holders.len();
            let reason = format!(
                "model {} is on {held} engines of {}",
                model.name, model.replicas
            );
            wish(t, reason)
        })
        .collect();
    // One engine at a time takes another version, so that the others go on serving.
    // While objectives burn, none does: they need the capacity more than the version.
    let outdated = holders.iter().find(|t| !burning && !holds(t, &load));
    wishes.extend(outdated.map(|t| {
        let reason = format!(
            "model {} is declared in version {}",
            model.name, model.version
        );
        wish(t, reason)
    }));
    wishes
}

fn open_again(target: &TargetState) -> ProposedOrder {
    let role = target.report.role;
    ProposedOrder {
        target: target.spec.name.clone(),
        kind: OrderKind::Role { role },
        reason: "drained and wanted for nothing else".to_owned(),
    }
}
