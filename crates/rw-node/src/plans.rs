//! Plans and their confirmation.

use crate::{
    OperatorError, Shell,
    plan_rows::{PlanRow, keep_plan, plan_key, read_row},
};
use rw_intent::{Plan, PlanInput, make_plan};
use rw_platform::{
    PlatformError, Row, Table as _, Txn, add_change, load_value, read_changes, read_head,
    store_value, write_snapshot,
};
use rw_types::{Config, Version, check_config};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Tries of a confirmation whose answers were lost or whose rows moved.
const TRIES: usize = 8;
/// Changes named to an operator whose base has changed.
const MAX_NAMED: u64 = 10;

/// An operator asks for a plan.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PlanRequest {
    /// Operator.
    pub by: String,
    /// What the operator's file declares.
    pub config: Config,
}

/// An operator confirms a plan.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ConfirmRequest {
    /// Operator.
    pub by: String,
    /// Plan.
    pub id: String,
}

/// A plan that was accepted.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Confirmation {
    /// Plan.
    pub id: String,
    /// Version of the configuration that it became.
    pub version: Version,
    /// Operator who confirmed it first.
    pub by: String,
}

impl Shell {
    /// Makes a plan from what is in force to what the operator wants, and keeps it.
    pub(crate) async fn plan(&self, ask: PlanRequest) -> Result<Plan, OperatorError> {
        let mut wanted = ask.config;
        wanted.sort();
        let faults = check_config(&wanted);
        if !faults.is_empty() {
            let text: Vec<_> = faults.iter().map(ToString::to_string).collect();
            return Err(OperatorError::InvalidConfig(text.join("; ")));
        }
        let (_, old) = self.accepted().await?;
        let mut plan = make_plan(PlanInput {
            old: &old,
            new: &wanted,
            weight_rate: self.settings.weight_rate,
        });
        if plan.change.is_empty() {
            return Err(OperatorError::NoChanges);
        }
        plan.id = format!("{:08x}", fastrand::u32(..));
        plan.by = ask.by;
        let row = PlanRow {
            accepted: Version(0),
            by: String::new(),
            plan: store_value(&self.platform, &plan).await?,
        };
        keep_plan(&self.platform, &plan, &row).await?;
        Ok(plan)
    }

    /// The head as the table has it, and the configuration that it names.
    async fn accepted(&self) -> Result<(Row, Arc<Config>), OperatorError> {
        for _ in 0..TRIES {
            let (head, row) = read_head(&self.platform).await?;
            if head > self.config().version {
                self.fetch_from_table().await?;
            }
            let config = self.config();
            if config.version == head {
                return Ok((row, config));
            }
        }
        Err(OperatorError::TooManyConflicts)
    }

    /// Accepts exactly the plan of that id, or says what has changed since it was made.
    pub(crate) async fn confirm(
        self: &Arc<Self>,
        ask: ConfirmRequest,
    ) -> Result<Confirmation, OperatorError> {
        let mut lost = false;
        for _ in 0..TRIES {
            match self.try_confirm(&ask).await {
                Ok(Some(confirmed)) => return Ok(confirmed),
                // The rows moved: read them again.
                Ok(None) => {}
                Err(OperatorError::ResponseLost(_)) => lost = true,
                // After a lost answer nobody knows yet whether it took effect.
                Err(OperatorError::TableUnavailable) if lost => {
                    return Err(OperatorError::ResponseLost(ask.id));
                }
                Err(error) => return Err(error),
            }
        }
        Err(if lost {
            OperatorError::ResponseLost(ask.id)
        } else {
            OperatorError::TooManyConflicts
        })
    }

    /// `None` if a row moved between reading and writing.
    async fn try_confirm(
        self: &Arc<Self>,
        ask: &ConfirmRequest,
    ) -> Result<Option<Confirmation>, OperatorError> {
        let row = read_row(&self.platform, &plan_key(&ask.id)).await?;
        if row.value.is_empty() {
            return Err(OperatorError::PlanNotFound(ask.id.clone()));
        }
        let kept: PlanRow =
            serde_json::from_str(&row.value).map_err(|_| OperatorError::Unreadable)?;
        if kept.accepted != Version(0) {
            return Ok(Some(Confirmation {
                id: ask.id.clone(),
                version: kept.accepted,
                by: kept.by,
            }));
        }
        let plan: Plan = load_value(&self.platform, &kept.plan).await?;
        let (head, head_row) = read_head(&self.platform).await?;
        if head != plan.base {
            return self.base_changed(&ask.id, plan.base, head).await;
        }
        let txn = self.confirm_txn(ask, &plan, kept, &row, &head_row).await?;
        match self.platform.txn(&txn).await {
            Ok(reply) if reply.applied() => {
                self.accept_here(&plan, &ask.by);
                Ok(Some(Confirmation {
                    id: ask.id.clone(),
                    version: plan.change.version,
                    by: ask.by.clone(),
                }))
            }
            Ok(_) => Ok(None),
            Err(PlatformError::Unknown) => Err(OperatorError::ResponseLost(ask.id.clone())),
            Err(error) => Err(error.into()),
        }
    }

    async fn confirm_txn(
        &self,
        ask: &ConfirmRequest,
        plan: &Plan,
        kept: PlanRow,
        row: &Row,
        head: &Row,
    ) -> Result<Txn, OperatorError> {
        let mut change = plan.change.clone();
        change.by.clone_from(&ask.by);
        change.plan.clone_from(&ask.id);
        let accepted = PlanRow {
            accepted: change.version,
            by: ask.by.clone(),
            ..kept
        };
        let value = serde_json::to_string(&accepted).map_err(|_| OperatorError::Unreadable)?;
        let txn = Txn::new()
            .check(plan_key(&ask.id), row.version)
            .put(plan_key(&ask.id), value);
        let txn = add_change(&self.platform, txn, &change, head).await?;
        Ok(self.add_history(txn, plan, &ask.by).await?)
    }

    /// Puts an accepted plan in force on this VM without waiting for the next poll.
    fn accept_here(self: &Arc<Self>, plan: &Plan, by: &str) {
        let mut change = plan.change.clone();
        change.by = by.to_owned();
        change.plan.clone_from(&plan.id);
        self.apply_changes(vec![change]);
        let shell = self.clone();
        rw_http::spawn(async move {
            let config = shell.config();
            let written = write_snapshot(&shell.platform, &config).await;
            shell.count_platform("snapshot", written.is_ok());
        })
        .detach();
    }

    /// Refuses a plan whose base is no longer in force, unless it is the plan that moved it.
    async fn base_changed(
        &self,
        id: &str,
        base: Version,
        head: Version,
    ) -> Result<Option<Confirmation>, OperatorError> {
        let row = read_row(&self.platform, &plan_key(id)).await?;
        let accepted = serde_json::from_str::<PlanRow>(&row.value).map(|p| p.accepted);
        if accepted.is_ok_and(|version| version != Version(0)) {
            return Ok(None);
        }
        let from = Version(base.0.max(head.0.saturating_sub(MAX_NAMED)));
        let changes = read_changes(&self.platform, from, head).await?;
        let words: Vec<_> = changes
            .unwrap_or_default()
            .iter()
            .map(|c| {
                format!(
                    "{} confirmed configuration {} (plan {}: {})",
                    c.by,
                    c.version,
                    c.plan,
                    c.summary()
                )
            })
            .collect();
        Err(OperatorError::BaseChanged {
            base: base.0,
            since: words.join(", then "),
        })
    }
}
