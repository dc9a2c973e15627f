//! Steps of a plan.

use rw_types::{Config, Role, Target, TargetKind};
use serde::{Deserialize, Serialize};

/// One step of a plan, on one target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// Target name.
    pub target: String,
    /// Operation on the target.
    pub kind: StepKind,
    /// Reason for the step.
    #[serde(rename = "why")]
    pub reason: String,
}

/// Operation of a step. The variants are in the order of execution: operations that add capacity
/// come before those that remove it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "do")]
pub enum StepKind {
    /// Add the target.
    Add,
    /// Fetch and load a model.
    Load {
        /// Model name.
        model: String,
        /// Version of the weights.
        version: String,
        /// Bytes fetched from the weight store.
        bytes: u64,
    },
    /// Change the role. The engine is unavailable meanwhile.
    Role {
        /// Current role.
        from: Role,
        /// New role.
        to: Role,
    },
    /// Unload a model.
    Unload {
        /// Model name.
        model: String,
    },
    /// Accept no new work and finish the work in progress.
    Drain,
    /// Remove the target after its last response.
    Remove,
}

/// Returns the steps from `old` to `new`, in the order of execution.
#[must_use]
pub fn list_steps(old: &Config, new: &Config) -> Vec<Step> {
    let mut steps = Vec::new();
    for target in &new.targets {
        match old.target(&target.name) {
            None => added(target, new, &mut steps),
            Some(before) => changed(before, target, old, new, &mut steps),
        }
    }
    let removed = old.targets.iter().filter(|t| new.target(&t.name).is_none());
    for target in removed {
        let reason = "removed from the file";
        if !target.leaving {
            steps.push(step(target, StepKind::Drain, reason));
        }
        steps.push(step(target, StepKind::Remove, reason));
    }
    let rank = |kind: &StepKind| match kind {
        StepKind::Add => 0,
        StepKind::Load { .. } => 1,
        StepKind::Role { .. } => 2,
        StepKind::Unload { .. } => 3,
        StepKind::Drain => 4,
        StepKind::Remove => 5,
    };
    steps.sort_by_key(|s| rank(&s.kind));
    steps
}

fn added(target: &Target, new: &Config, steps: &mut Vec<Step>) {
    steps.push(step(target, StepKind::Add, "new in the file"));
    let loads = target.models.iter().filter_map(|m| load(m, new));
    steps.extend(loads.map(|kind| step(target, kind, "unless already loaded")));
}

fn changed(before: &Target, target: &Target, old: &Config, new: &Config, steps: &mut Vec<Step>) {
    if target.leaving && !before.leaving {
        return steps.push(step(target, StepKind::Drain, "marked as leaving"));
    }
    if target.leaving || target.kind == TargetKind::Plain {
        return;
    }
    for model in &target.models {
        let loaded = before.models.binary_search(model).is_ok();
        let same = old.model(model).map(|m| (&m.version, &m.adapters))
            == new.model(model).map(|m| (&m.version, &m.adapters));
        if loaded && same {
            continue;
        }
        let reason = if loaded {
            "different version or adapters"
        } else {
            "not loaded yet"
        };
        steps.extend(load(model, new).map(|kind| step(target, kind, reason)));
    }
    for model in &before.models {
        if target.models.binary_search(model).is_err() {
            let kind = StepKind::Unload {
                model: model.clone(),
            };
            steps.push(step(target, kind, "no longer declared for the target"));
        }
    }
    if before.role != target.role {
        let kind = StepKind::Role {
            from: before.role,
            to: target.role,
        };
        steps.push(step(target, kind, "role changed in the file"));
    }
}

fn load(model: &str, new: &Config) -> Option<StepKind> {
    let model = new.model(model)?;
    Some(StepKind::Load {
        model: model.name.clone(),
        version: model.version.clone(),
        bytes: model.bytes,
    })
}

fn step(target: &Target, kind: StepKind, reason: &str) -> Step {
    Step {
        target: target.name.clone(),
        kind,
        reason: reason.to_owned(),
    }
}
