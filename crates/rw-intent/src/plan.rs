//! The plan for an intent file: its steps, their estimated cost, and what is infeasible.

use crate::{Step, StepKind, steps::list_steps};
use rw_types::{Config, ConfigChange, Target, TargetKind, Version};
use serde::{Deserialize, Serialize};

/// A plan for a new configuration, stored under its id until an operator confirms it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Unique id.
    pub id: String,
    /// Operator who requested the plan.
    pub by: String,
    /// Configuration version that the plan is based on.
    pub base: Version,
    /// Change to the configuration.
    pub change: ConfigChange,
    /// Steps on targets, in order; for each model, one at a time.
    pub steps: Vec<Step>,
    /// Estimated cost.
    pub estimate: Estimate,
    /// Requirements that this fleet cannot meet, each with its reason and remedy.
    #[serde(rename = "cannot")]
    pub infeasible: Vec<String>,
}

/// Estimated cost of a plan.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Estimate {
    /// Bytes fetched from the weight store.
    pub bytes: u64,
    /// Seconds that the weight store takes to serve these bytes at its rate limit.
    pub weight_seconds: f64,
    /// Number of role changes, each of which makes an engine unavailable meanwhile.
    pub role_changes: usize,
    /// Seconds of one engine's goodput lost to role changes.
    pub lost_seconds: f64,
    /// Engines in service before the plan.
    pub engines_before: usize,
    /// Minimum number of engines in service while the plan is carried out.
    pub engines_during: usize,
    /// Engines in service after the plan.
    pub engines_after: usize,
}

/// Input to a plan.
#[derive(Debug, Clone, Copy)]
pub struct PlanInput<'a> {
    /// Configuration in force.
    pub old: &'a Config,
    /// Requested configuration.
    pub new: &'a Config,
    /// Rate limit of the weight store, in bytes per second.
    pub weight_rate: u64,
}

impl Estimate {
    /// Minimum fraction of the engines that remains in service during and after the plan.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        if self.engines_before == 0 {
            return 1.0;
        }
        let min_engines = self.engines_during.min(self.engines_after);
        (min_engines as f64 / self.engines_before as f64).min(1.0)
    }
}

/// Plans the steps from the configuration in force to the requested one. `id` and `by` are left
/// empty, for the node that stores the plan to fill in.
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
    let step_bytes = steps.iter().map(|s| match s.kind {
        StepKind::Load { bytes, .. } => bytes,
        _ => 0,
    });
    let bytes: u64 = step_bytes.sum();
    let all = steps.iter();
    let role_changes = all
        .filter(|s| matches!(s.kind, StepKind::Role { .. }))
        .count();
    let engines_before = old.targets.iter().filter(|t| is_engine(t)).count();
    let engines_after = new.targets.iter().filter(|t| is_engine(t)).count();
    // Engines that are kept remain in service throughout, except the one that is changing its role.
    let is_kept = |t: &&Target| new.target(&t.name).is_some_and(is_engine);
    let kept = old.targets.iter().filter(|t| is_engine(t)).filter(is_kept);
    Estimate {
        bytes,
        weight_seconds: bytes as f64 / rate.max(1) as f64,
        role_changes,
        lost_seconds: role_changes as f64 * new.change_weight,
        engines_before,
        engines_during: kept.count().saturating_sub(role_changes.min(1)),
        engines_after,
    }
}

fn is_engine(target: &Target) -> bool {
    target.kind == TargetKind::Engine && !target.leaving
}

fn infeasible(new: &Config) -> Vec<String> {
    let remaining: Vec<_> = new.targets.iter().filter(|t| !t.leaving).collect();
    let models = new.models.iter().filter_map(|model| {
        let holders = remaining
            .iter()
            .filter(|t| t.models.binary_search(&model.name).is_ok())
            .count();
        let needed = model.replicas.max(1) as usize;
        (holders < needed).then(|| {
            format!(
                "model '{}' needs {needed} engines, but {holders} are declared to load it; the fleet \
                 does not grow, so lower its replicas or declare it for more engines",
                model.name
            )
        })
    });
    let services = new.services.iter().filter_map(|service| {
        let served = remaining.iter().any(|t| t.service == service.name);
        (!served).then(|| {
            format!(
                "service '{}' has no target left; keep a target or remove the service",
                service.name
            )
        })
    });
    models.chain(services).collect()
}
