//! Role changes: made only where the gain over the horizon is worth the cost.

use crate::{
    Node, ProposedOrder,
    capacity::{Split, served_ratio, sort_by_prompt_ratio},
};
use rw_types::{LoadReport, Millis, OrderKind, Role};

/// Times its cost that a change must gain, so that small swings move nothing.
const HYSTERESIS: f64 = 1.2;
/// Time after which a wish that was not carried out is dropped, in milliseconds.
const PATIENCE: u64 = 30_000;
/// Plans in a row that must agree on a change.
const AGREE: u32 = 2;

const ROLES: [Role; 3] = [Role::Mixed, Role::Prefill, Role::Decode];

#[derive(Debug, Clone)]
struct Change {
    target: String,
    role: Role,
    since: Millis,
}

#[derive(Debug, Clone, Default)]
struct ModelPlan {
    model: String,
    change: Option<Change>,
    /// Move that the last plan favoured, with how often in a row.
    favoured: Option<(Role, Role, u32)>,
}

/// Plans by model, sorted by name.
#[derive(Debug, Clone, Default)]
pub(crate) struct Plans {
    list: Vec<ModelPlan>,
    last: Millis,
}

/// What one plan is made from.
struct Scene {
    split: Split,
    /// Positions of the targets that count, with those that may be changed marked.
    engines: Vec<(usize, bool)>,
    sample: LoadReport,
    running: u32,
    away: bool,
}

impl Node {
    /// Takes over a load report, and plans roles when it is time.
    pub(crate) fn reported(&mut self, now: Millis, name: &str, report: LoadReport) {
        self.targets.apply_report(now, name, report);
        let policy = &self.settings.policy;
        if policy.plan && now.since(self.decisions.plans.last) >= policy.plan_interval_ms {
            self.decisions.plans.last = now;
            self.plan_roles(now);
        }
    }

    fn plan_roles(&mut self, now: Millis) {
        let models: Vec<String> = self.config.models.iter().map(|m| m.name.clone()).collect();
        for model in models {
            let i = self.plan_index(&model);
            self.end_change(now, i);
            if self.decisions.plans.list[i].change.is_none() {
                self.plan_model(now, i, &model);
            }
        }
    }

    fn plan_index(&mut self, model: &str) -> usize {
        let list = &mut self.decisions.plans.list;
        match list.binary_search_by(|p| p.model.as_str().cmp(model)) {
            Ok(i) => i,
            Err(i) => {
                let model = model.to_owned();
                list.insert(
                    i,
                    ModelPlan {
                        model,
                        ..ModelPlan::default()
                    },
                );
                i
            }
        }
    }

    /// Forgets a change that was carried out, or that nobody carried out for long.
    fn end_change(&mut self, now: Millis, i: usize) {
        let Some(change) = &self.decisions.plans.list[i].change else {
            return;
        };
        let target = self.targets.find(&change.target);
        let done = target.is_none_or(|t| t.report.role == change.role && !t.report.draining);
        let away = target.is_some_and(|t| t.report.draining);
        if done || (!away && now.since(change.since) > PATIENCE) {
            let gone = change.target.clone();
            let is_role = |w: &ProposedOrder| matches!(w.kind, OrderKind::Role { .. });
            self.wishes.retain(|w| w.target != gone || !is_role(w));
            self.decisions.plans.list[i].change = None;
        }
    }

    fn plan_model(&mut self, now: Millis, i: usize, model: &str) {
        let window = self.settings.policy.window_ms;
        let mut demand = self.decisions.demand.by_kind(now, window, model);
        // Callers reach this node as often as any other.
        let nodes = self.members.active_count();
        for kind in &mut demand {
            kind.rate *= nodes;
            kind.prefill *= nodes;
            kind.output *= nodes;
        }
        sort_by_prompt_ratio(&mut demand);
        let Some(scene) = self.scene(now, model) else {
            return;
        };
        let base = served_ratio(&scene.split, &demand, &scene.sample);
        let moves = ROLES
            .iter()
            .flat_map(|from| ROLES.iter().map(move |to| (*from, *to)));
        let moves = moves.filter(|(from, to)| from != to);
        let gains = moves.filter_map(|(from, to)| {
            let split = scene.split.with_move(from, to)?;
            Some((
                served_ratio(&split, &demand, &scene.sample) - base,
                from,
                to,
            ))
        });
        let best = gains.max_by(|a, b| a.0.total_cmp(&b.0));
        let engines = scene.engines.len() as f64;
        let horizon = self.settings.policy.horizon_ms as f64 / 1e3;
        let away = self.settings.policy.role_change_ms as f64 / 1e3;
        let cost = (self.config.change_weight + away) * HYSTERESIS;
        let worth = best.filter(|(gain, ..)| gain * engines * horizon > cost * base.min(1.0));
        let plan = &mut self.decisions.plans.list[i];
        let Some((gain, from, to)) = worth else {
            plan.favoured = None;
            return;
        };
        let agreed = match plan.favoured {
            Some((f, t, n)) if (f, t) == (from, to) => n + 1,
            _ => 1,
        };
        plan.favoured = Some((from, to, agreed));
        if agreed < AGREE || scene.away {
            return;
        }
        let Some(target) = self.to_change(&scene, from) else {
            return;
        };
        let reason = format!(
            "{model}: {from:?} to {to:?} serves {:.0} in 100 of the demand in place of {:.0}",
            (base + gain) * 100.0,
            base * 100.0,
        );
        let plan = &mut self.decisions.plans.list[i];
        plan.favoured = None;
        plan.change = Some(Change {
            target: target.clone(),
            role: to,
            since: now,
        });
        self.wishes.push(ProposedOrder {
            target,
            kind: OrderKind::Role { role: to },
            reason,
        });
    }

    /// What is known of the engines that hold `model`; `None` while too little is.
    fn scene(&self, now: Millis, model: &str) -> Option<Scene> {
        let mut scene = Scene {
            split: Split::default(),
            engines: Vec::new(),
            sample: LoadReport::default(),
            running: 0,
            away: false,
        };
        for (i, target) in self.targets.all().iter().enumerate() {
            let report = &target.report;
            let counts =
                target.watched && !target.spec.leaving && report.models.iter().any(|m| m == model);
            if !counts || report.limits.is_empty() {
                continue;
            }
            // A failed target serves nothing until it is let back in.
            if target.backoff_until > now && !report.draining {
                continue;
            }
            scene.away |= report.draining || target.removal_ordered;
            scene.running += report.running;
            *scene.split.count_mut(report.role) += 1;
            let mine = self.may_order(now, target.spec.lease_group());
            scene.engines.push((i, mine));
            if scene.sample.limits.is_empty() {
                scene.sample = report.clone();
            }
        }
        (!scene.engines.is_empty()).then_some(scene)
    }

    /// The engine of role `from` to be changed: one that checks fences, with the least to finish.
    fn to_change(&self, scene: &Scene, from: Role) -> Option<String> {
        let all = self.targets.all();
        let slots: u32 = scene
            .engines
            .iter()
            .map(|(i, _)| all[*i].report.slots)
            .sum();
        let fits = |i: usize| slots - all[i].report.slots >= scene.running;
        let mine = scene
            .engines
            .iter()
            .filter(|(_, mine)| *mine)
            .map(|(i, _)| *i);
        let able = mine.filter(|i| all[*i].report.role == from && fits(*i));
        let best = able.min_by_key(|i| {
            let report = &all[*i].report;
            (!all[*i].spec.checks_fence, report.running, report.queued)
        })?;
        Some(all[best].spec.name.clone())
    }

    /// Whether this node may order targets of `group`.
    fn may_order(&self, now: Millis, group: &str) -> bool {
        self.settings.policy.plan_without_lease || self.holds_lease(group, now)
    }
}
