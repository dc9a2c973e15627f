//! The history of each target, kept in the platform's table.

use crate::{OperatorError, Shell};
use rw_intent::{Plan, Step, StepKind};
use rw_platform::{PlatformError, Row, Table as _, Txn};
use rw_types::Version;
use serde::{Deserialize, Serialize};
use std::time::{SystemTime, UNIX_EPOCH};

/// Number of entries kept per target.
const MAX_ENTRIES: usize = 32;
/// Maximum number of targets whose rows one change writes. A larger change adds a single entry to
/// the row that all targets share.
const MAX_TARGET_ROWS: usize = 100;
/// Row of changes that affected more than [`MAX_TARGET_ROWS`] targets.
const ALL_KEY: &str = "history/*";

/// A confirmed change to a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// Unix time in seconds, by the clock of the VM that wrote the entry.
    pub at: u64,
    /// Configuration version that the change resulted in.
    pub version: Version,
    /// Operator who confirmed the plan.
    pub by: String,
    /// Plan id.
    pub plan: String,
    /// What was done, and the reason.
    #[serde(rename = "what")]
    pub description: String,
}

/// The history of a target.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct History {
    /// Target name.
    pub target: String,
    /// Changes that operators confirmed, oldest first.
    pub entries: Vec<HistoryEntry>,
    /// Value of the row with the latest order to the target; empty if there was none.
    pub order: String,
}

/// Returns the Unix time in seconds; zero if the clock is set before 1970.
pub(crate) fn unix_now() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| d.as_secs())
}

impl Shell {
    /// Adds history entries for the steps of `plan`, confirmed by `by`, to `txn`.
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

    /// Returns the history of a target.
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

/// Returns the sorted names of the targets that a plan affects.
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
    let descriptions: Vec<_> = steps.map(describe_step).collect();
    if descriptions.is_empty() {
        return "declared anew".to_owned();
    }
    descriptions.join("; ")
}

/// Describes a step with its reason, for example `load small 2 (not loaded yet)`.
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
