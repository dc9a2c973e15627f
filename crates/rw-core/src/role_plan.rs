//! Planning of role changes: a change is proposed only if its gain over the planning horizon
//! exceeds its cost.

use crate::{
    Node, ProposedOrder,
    capacity::{Split, served_ratio, sort_by_prompt_ratio},
};
use rw_types::{LoadReport, Millis, OrderKind, Role};

/// Ratio of gain to cost that a change must exceed, so that small fluctuations of the demand cause
/// no changes.
const MIN_GAIN_TO_COST: f64 = 1.2;
/// Time after which a proposed change is dropped, in milliseconds, unless its engine is draining or
/// has changed role by then.
const CHANGE_TIMEOUT_MS: u64 = 30_000;
/// Consecutive plans that must favour the same change before it is proposed.
const MIN_AGREEING_PLANS: u32 = 2;

const ROLES: [Role; 3] = [Role::Mixed, Role::Prefill, Role::Decode];

/// A proposed change that is not complete yet.
#[derive(Debug, Clone)]
struct RoleChange {
    target: String,
    role: Role,
    started: Millis,
}

#[derive(Debug, Clone, Default)]
struct ModelPlan {
    model: String,
    change: Option<RoleChange>,
    /// Change that the last plan favoured: from, to, and the number of consecutive plans.
    candidate: Option<(Role, Role, u32)>,
}

/// State of the role planner.
#[derive(Debug, Clone, Default)]
pub(crate) struct RolePlans {
    /// One plan per model, sorted by model name.
    list: Vec<ModelPlan>,
    /// When roles were last planned.
    last: Millis,
}

/// Engines that hold a model, as input of one plan.
struct EngineView {
    split: Split,
    /// Index of each engine among the targets, and whether this node may give it orders.
    engines: Vec<(usize, bool)>,
    /// Report of the first engine; its limits and costs stand for all.
    sample: LoadReport,
    /// Requests that run on all engines together.
    running: u32,
    /// Whether an engine is drained or has an unresolved order to change role or to drain.
    changing: bool,
}

impl Node {
    /// Stores a load report, and plans roles if the plan interval has passed since
    /// the last plan.
    pub(crate) fn load_reported(&mut self, now: Millis, name: &str, report: LoadReport) {
        self.targets.apply_report(now, name, report);
        let policy = &self.settings.policy;
        if policy.plan && now.since(self.decisions.role_plans.last) >= policy.plan_interval_ms {
            self.decisions.role_plans.last = now;
            self.plan_roles(now);
        }
    }

    fn plan_roles(&mut self, now: Millis) {
        let models: Vec<String> = self.config.models.iter().map(|m| m.name.clone()).collect();
        for model in models {
            let i = self.plan_index(&model);
            self.clear_change(now, i);
            if self.decisions.role_plans.list[i].change.is_none() {
                self.plan_model(now, i, &model);
            }
        }
    }

    fn plan_index(&mut self, model: &str) -> usize {
        let list = &mut self.decisions.role_plans.list;
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

    /// Clears a change that is complete, or that was not started within [`CHANGE_TIMEOUT_MS`].
    fn clear_change(&mut self, now: Millis, i: usize) {
        let Some(change) = &self.decisions.role_plans.list[i].change else {
            return;
        };
        let target = self.targets.find(&change.target);
        let done = target.is_none_or(|t| t.report.role == change.role && !t.report.draining);
        let draining = target.is_some_and(|t| t.report.draining);
        if done || (!draining && now.since(change.started) > CHANGE_TIMEOUT_MS) {
            let name = change.target.clone();
            let is_role = |p: &ProposedOrder| matches!(p.kind, OrderKind::Role { .. });
            self.proposals.retain(|p| p.target != name || !is_role(p));
            self.decisions.role_plans.list[i].change = None;
        }
    }

    fn plan_model(&mut self, now: Millis, i: usize, model: &str) {
        let window = self.settings.policy.window_ms;
        let mut demand = self.decisions.demand.by_kind(now, window, model);
        // Requests are spread evenly over the nodes, so the demand on this node is scaled up.
        let nodes = self.members.active_count();
        for kind in &mut demand {
            kind.rate *= nodes;
            kind.prefill *= nodes;
            kind.output *= nodes;
        }
        sort_by_prompt_ratio(&mut demand);
        let Some(view) = self.view(now, model) else {
            return;
        };
        let current = served_ratio(&view.split, &demand, &view.sample);
        let moves = ROLES
            .iter()
            .flat_map(|from| ROLES.iter().map(move |to| (*from, *to)));
        let moves = moves.filter(|(from, to)| from != to);
        let gains = moves.filter_map(|(from, to)| {
            let split = view.split.with_move(from, to)?;
            Some((
                served_ratio(&split, &demand, &view.sample) - current,
                from,
                to,
            ))
        });
        let best = gains.max_by(|a, b| a.0.total_cmp(&b.0));
        let engines = view.engines.len() as f64;
        let horizon_s = self.settings.policy.horizon_ms as f64 / 1e3;
        let role_change_s = self.settings.policy.role_change_ms as f64 / 1e3;
        let cost = (self.config.change_weight + role_change_s) * MIN_GAIN_TO_COST;
        let worthwhile =
            best.filter(|(gain, ..)| gain * engines * horizon_s > cost * current.min(1.0));
        let plan = &mut self.decisions.role_plans.list[i];
        let Some((gain, from, to)) = worthwhile else {
            plan.candidate = None;
            return;
        };
        let agreeing = match plan.candidate {
            Some((f, t, n)) if (f, t) == (from, to) => n + 1,
            _ => 1,
        };
        plan.candidate = Some((from, to, agreeing));
        if agreeing < MIN_AGREEING_PLANS || view.changing {
            return;
        }
        let Some(target) = self.pick_engine(&view, from) else {
            return;
        };
        let reason = format!(
            "{model}: {from:?} to {to:?} serves {:.0} % of the demand instead of {:.0} %",
            (current + gain) * 100.0,
            current * 100.0,
        );
        let plan = &mut self.decisions.role_plans.list[i];
        plan.candidate = None;
        plan.change = Some(RoleChange {
            target: target.clone(),
            role: to,
            started: now,
        });
        self.proposals.push(ProposedOrder {
            target,
            kind: OrderKind::Role { role: to },
            reason,
        });
    }

    /// Collects the engines that hold `model`; `None` if none of them has reported its limits.
    fn view(&self, now: Millis, model: &str) -> Option<EngineView> {
        let mut view = EngineView {
            split: Split::default(),
            engines: Vec::new(),
            sample: LoadReport::default(),
            running: 0,
            changing: false,
        };
        for (i, target) in self.targets.all().iter().enumerate() {
            let report = &target.report;
            let counts =
                target.watched && !target.spec.leaving && report.models.iter().any(|m| m == model);
            if !counts || report.limits.is_empty() {
                continue;
            }
            // A failed target gets no requests until its backoff ends.
            if target.backoff_until > now && !report.draining {
                continue;
            }
            view.changing |= report.draining || target.unavailable_by_order;
            view.running += report.running;
            *view.split.count_mut(report.role) += 1;
            let orderable = self.may_order(now, target.spec.lease_group());
            view.engines.push((i, orderable));
            if view.sample.limits.is_empty() {
                view.sample = report.clone();
            }
        }
        (!view.engines.is_empty()).then_some(view)
    }

    /// Picks the engine of role `from` to be changed, preferring engines that check fencing tokens,
    /// then those with the fewest running and queued requests.
    ///
    /// The other engines must have enough slots for all running requests.
    fn pick_engine(&self, view: &EngineView, from: Role) -> Option<String> {
        let all = self.targets.all();
        let slots: u32 = view.engines.iter().map(|(i, _)| all[*i].report.slots).sum();
        let can_spare = |i: usize| slots - all[i].report.slots >= view.running;
        let orderable = view
            .engines
            .iter()
            .filter(|(_, orderable)| *orderable)
            .map(|(i, _)| *i);
        let candidates = orderable.filter(|i| all[*i].report.role == from && can_spare(*i));
        let best = candidates.min_by_key(|i| {
            let report = &all[*i].report;
            (!all[*i].spec.checks_fence, report.running, report.queued)
        })?;
        Some(all[best].spec.name.clone())
    }

    /// Whether this node may propose orders for targets of `group`.
    fn may_order(&self, now: Millis, group: &str) -> bool {
        self.settings.policy.plan_without_lease || self.holds_lease(group, now)
    }
}
