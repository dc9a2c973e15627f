//! The plan for an intent: what would be done, what it costs and what can't be done.

use crate::{Step, StepKind, steps::list_steps};
use rw_types::{Config, ConfigChange, Target, TargetKind, Version};
use serde::{Deserialize, Serialize};

/// What would be done, kept under an id until it is confirmed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Identity.
    pub id: String,
    /// Operator who asked for it.
    pub by: String,
    /// Version it starts from.
    pub base: Version,
    /// Change of the configuration.
    pub change: ConfigChange,
    /// Steps on targets, in order; one at a time for a model.
    pub steps: Vec<Step>,
    /// What it costs.
    pub estimate: Estimate,
    /// What can't be done on this fleet and why.
    #[serde(rename = "cannot")]
    pub infeasible: Vec<String>,
}

/// Expected cost of a plan.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Estimate {
    /// Bytes fetched from the weight store.
    pub bytes: u64,
    /// Seconds of the weight store at its rate limit.
    pub weight_seconds: f64,
    /// Role changes, each of which takes an engine away.
    pub role_changes: usize,
    /// Seconds of one engine's goodput lost to role changes.
    pub lost_seconds: f64,
    /// Engines that take work before.
    pub engines_before: usize,
    /// Engines that take work while the steps are taken, at the least.
    pub engines_during: usize,
    /// Engines that take work after.
    pub engines_after: usize,
}

/// What a plan is made from.
#[derive(Debug, Clone, Copy)]
pub struct PlanInput<'a> {
    /// Configuration in force.
    pub old: &'a Config,
    /// Configuration wanted.
    pub new: &'a Config,
    /// Bytes a second that the weight store gives out.
    pub weight_rate: u64,
}

impl Estimate {
    /// Fraction of the goodput before that the fewest engines can give.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        if self.engines_before == 0 {
            return 1.0;
        }
        let least = self.engines_during.min(self.engines_after);
        (least as f64 / self.engines_before as f64).min(1.0)
    }
}

/// The plan that leads from what is in force to what is wanted; its id and author are left empty.
#[must_use]
pub fn make_plan(input: PlanInput<'_>) -> Plan {
    let PlanInput {
        old,
        new,
        weight_rate,
    } = input;
    let steps = list_steps(old, new);
    Plan {
        id: String::new(),
        by: String::new(),
        base: old.version,
        change: ConfigChange::between(old, new),
        estimate: estimate(old, new, &steps, weight_rate),
        infeasible: infeasible(new),
        steps,
    }
}

fn estimate(old: &Config, new: &Config, steps: &[Step], rate: u64) -> Estimate {
    let bytes = steps.iter().map(|s| match s.kind {
        StepKind::Load { bytes, .. } => bytes,
        _ => 0,
    });
    let bytes: u64 = bytes.sum();
    let changes = steps.iter();
    let role_changes = changes
        .filter(|s| matches!(s.kind, StepKind::Role { .. }))
        .count();
    let engines_before = old.targets.iter().filter(|t| is_engine(t)).count();
    let engines_after = new.targets.iter().filter(|t| is_engine(t)).count();
    // Engines that stay work on through the steps, but for the one that changes role.
    let stay = |t: &&Target| new.target(&t.name).is_some_and(is_engine);
    let staying = old.targets.iter().filter(|t| is_engine(t)).filter(stay);
    Estimate {
        bytes,
        weight_seconds: bytes as f64 / rate.max(1) as f64,
        role_changes,
        lost_seconds: role_changes as f64 * new.change_weight,
        engines_before,
        engines_during: staying.count().saturating_sub(role_changes.min(1)),
        engines_after,
    }
}

fn is_engine(target: &Target) -> bool {
    target.kind == TargetKind::Engine && !target.leaving
}

fn infeasible(new: &Config) -> Vec<String> {
    let stay: Vec<_> = new.targets.iter().filter(|t| !t.leaving).collect();
    let models = new.models.iter().filter_map(|model| {
        let holders = stay
            .iter()
            .filter(|t| t.models.binary_search(&model.name).is_ok())
            .count();
        let wanted = model.replicas.max(1) as usize;
        (holders < wanted).then(|| {
            format!(
                "model '{}' wants {wanted} engines and {holders} are declared to hold it; the fleet \
                 never grows, so lower its replicas or declare it for other engines",
                model.name
            )
        })
    });
    let services = new.services.iter().filter_map(|service| {
        let served = stay.iter().any(|t| t.service == service.name);
        (!served).then(|| {
            format!(
                "service '{}' keeps no target; let one stay or remove the service",
                service.name
            )
        })
    });
    models.chain(services).collect()
}
