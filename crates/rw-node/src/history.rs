//! What was done to a target and why, kept in the platform's table.

use crate::{OperatorError, Shell};
use rw_intent::{Plan, Step, StepKind};
use rw_platform::{PlatformError, Row, Table as _, Txn};
use rw_types::Version;
use serde::{Deserialize, Serialize};
use std::time::{SystemTime, UNIX_EPOCH};

/// Entries kept for a target.
const MAX_ENTRIES: usize = 32;
/// Most targets whose rows one change writes; a larger change is noted for all targets at once.
const MAX_TARGET_ROWS: usize = 100;
/// Row of changes that touched more than [`MAX_TARGET_ROWS`] targets.
const ALL_KEY: &str = "history/*";

/// One thing that was done.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// Seconds since 1970 by the VM that wrote it.
    pub at: u64,
    /// Version of the configuration that brought it.
    pub version: Version,
    /// Operator who confirmed it.
    pub by: String,
    /// Plan.
    pub plan: String,
    /// What and why.
    #[serde(rename = "what")]
    pub description: String,
}

/// A target's history, oldest first.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct History {
    /// Target name.
    pub target: String,
    /// Changes that operators confirmed.
    pub entries: Vec<HistoryEntry>,
    /// The latest order of the system to the target, as its row holds it.
    pub order: String,
}

/// Seconds since 1970.
pub(crate) fn unix_now() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| d.as_secs())
}

impl Shell {
    /// Adds to `txn` the history of what `plan` does, as confirmed by `by`.
    pub(crate) async fn add_history(
        &self,
        mut txn: Txn,
        plan: &Plan,
        by: &str,
    ) -> Result<Txn, PlatformError> {
        let entry = |description: String| HistoryEntry {
            at: unix_now(),
            version: plan.change.version,
            by: by.to_owned(),
            plan: plan.id.clone(),
            description,
        };
        let affected = affected_targets(plan);
        let mut keys: Vec<_> = affected.iter().map(|name| history_key(name)).collect();
        let summarized = keys.len() > MAX_TARGET_ROWS;
        if summarized {
            keys = vec![ALL_KEY.to_owned()];
        }
        if keys.is_empty() {
            return Ok(txn);
        }
        let rows = self.platform.get(keys).await?.rows;
        for (row, name) in rows.iter().zip(&affected) {
            let description = if summarized {
                format!("one of {} targets changed", affected.len())
            } else {
                describe(plan, name)
            };
            let mut entries = parse(row);
            entries.push(entry(description));
            let extra = entries.len().saturating_sub(MAX_ENTRIES);
            entries.drain(..extra);
            let value = serde_json::to_string(&entries).map_err(|_| PlatformError::Malformed)?;
            txn = txn.put(row.key.clone(), value);
        }
        Ok(txn)
    }

    /// What was done to a target and why.
    pub(crate) async fn explain(&self, target: &str) -> Result<History, OperatorError> {
        let keys = vec![
            history_key(target),
            ALL_KEY.to_owned(),
            format!("order/{target}"),
        ];
        let rows = self.platform.get(keys).await?.rows;
        let [own, all, order] = rows.as_slice() else {
            return Err(OperatorError::Unreadable);
        };
        let mut entries = parse(own);
        entries.extend(parse(all));
        entries.sort_by_key(|e| e.version);
        let known = self.config().target(target).is_some();
        if entries.is_empty() && order.value.is_empty() && !known {
            return Err(OperatorError::HistoryNotFound(target.to_owned()));
        }
        Ok(History {
            target: target.to_owned(),
            entries,
            order: order.value.clone(),
        })
    }
}

fn history_key(target: &str) -> String {
    format!("history/{target}")
}

fn parse(row: &Row) -> Vec<HistoryEntry> {
    serde_json::from_str(&row.value).unwrap_or_default()
}

/// Targets that a plan touches, sorted.
fn affected_targets(plan: &Plan) -> Vec<String> {
    let targets = &plan.change.targets;
    let set = targets.set.iter().map(|t| t.name.clone());
    let steps = plan.steps.iter().map(|s| s.target.clone());
    let mut names: Vec<_> = set
        .chain(targets.removed.iter().cloned())
        .chain(steps)
        .collect();
    names.sort();
    names.dedup();
    names
}

fn describe(plan: &Plan, name: &str) -> String {
    let steps = plan.steps.iter().filter(|s| s.target == name);
    let words: Vec<_> = steps.map(describe_step).collect();
    if words.is_empty() {
        return "declared anew".to_owned();
    }
    words.join("; ")
}

/// A step in words, for example `load small 2 (not held yet)`.
#[must_use]
pub fn describe_step(step: &Step) -> String {
    let what = match &step.kind {
        StepKind::Add => "add".to_owned(),
        StepKind::Load { model, version, .. } => format!("load {model} {version}"),
        StepKind::Role { from, to } => format!("role {from:?} to {to:?}").to_lowercase(),
        StepKind::Unload { model } => format!("unload {model}"),
        StepKind::Drain => "drain".to_owned(),
        StepKind::Remove => "remove".to_owned(),
    };
    format!("{what} ({})", step.reason)
}
