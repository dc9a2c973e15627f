//! What a plan does to targets, in order.

use rw_types::{Config, Role, Target, TargetKind};
use serde::{Deserialize, Serialize};

/// One step on one target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// Target name.
    pub target: String,
    /// What happens to it.
    pub kind: StepKind,
    /// Reason.
    #[serde(rename = "why")]
    pub reason: String,
}

/// What a step does, in the order in which steps are taken: what adds capacity
/// comes before what takes it away.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "do")]
pub enum StepKind {
    /// The target joins.
    Add,
    /// A model is fetched and held.
    Load {
        /// Model name.
        model: String,
        /// Version of the weights.
        version: String,
        /// Bytes fetched from the weight store.
        bytes: u64,
    },
    /// The engine changes role and is away meanwhile.
    Role {
        /// Role before.
        from: Role,
        /// Role after.
        to: Role,
    },
    /// A model is dropped.
    Unload {
        /// Model name.
        model: String,
    },
    /// New work stops, running work ends.
    Drain,
    /// The target is forgotten after its last answer.
    Remove,
}

/// The steps from `old` to `new`, in the order in which they are taken.
#[must_use]
pub fn list_steps(old: &Config, new: &Config) -> Vec<Step> {
    let mut steps = Vec::new();
    for target in &new.targets {
        match old.target(&target.name) {
            None => added(target, new, &mut steps),
            Some(before) => changed(before, target, old, new, &mut steps),
        }
    }
    let gone = old.targets.iter().filter(|t| new.target(&t.name).is_none());
    for target in gone {
        let reason = "not in the file";
        if !target.leaving {
            steps.push(step(target, StepKind::Drain, reason));
        }
        steps.push(step(target, StepKind::Remove, reason));
    }
    let place = |kind: &StepKind| match kind {
        StepKind::Add => 0,
        StepKind::Load { .. } => 1,
        StepKind::Role { .. } => 2,
        StepKind::Unload { .. } => 3,
        StepKind::Drain => 4,
        StepKind::Remove => 5,
    };
    steps.sort_by_key(|s| place(&s.kind));
    steps
}

fn added(target: &Target, new: &Config, steps: &mut Vec<Step>) {
    steps.push(step(target, StepKind::Add, "new in the file"));
    let loads = target.models.iter().filter_map(|m| load(m, new));
    steps.extend(loads.map(|kind| step(target, kind, "unless it holds it already")));
}

fn changed(before: &Target, target: &Target, old: &Config, new: &Config, steps: &mut Vec<Step>) {
    if target.leaving && !before.leaving {
        return steps.push(step(target, StepKind::Drain, "marked as leaving"));
    }
    if target.leaving || target.kind == TargetKind::Plain {
        return;
    }
    for model in &target.models {
        let held = before.models.binary_search(model).is_ok();
        let same = old.model(model).map(|m| (&m.version, &m.adapters))
            == new.model(model).map(|m| (&m.version, &m.adapters));
        if held && same {
            continue;
        }
        let reason = if held {
            "other version or adapters"
        } else {
            "not held yet"
        };
        steps.extend(load(model, new).map(|kind| step(target, kind, reason)));
    }
    for model in &before.models {
        if target.models.binary_search(model).is_err() {
            let kind = StepKind::Unload {
                model: model.clone(),
            };
            steps.push(step(target, kind, "no longer declared for it"));
        }
    }
    if before.role != target.role {
        let kind = StepKind::Role {
            from: before.role,
            to: target.role,
        };
        steps.push(step(target, kind, "other role in the file"));
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
