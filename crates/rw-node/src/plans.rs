//! Creates plans and confirms them.

use crate::{
    OperatorError, Shell,
    plan_rows::{PlanRow, plan_key, read_row, store_plan},
};
use rw_intent::{Plan, PlanInput, make_plan};
use rw_platform::{
    PlatformError, Row, Table as _, Txn, add_change, load_value, read_changes, read_head,
    store_value, write_snapshot,
};
use rw_types::{Config, Version, check_config};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Maximum number of attempts when responses are lost or rows change concurrently.
const MAX_ATTEMPTS: usize = 8;
/// Maximum number of changes listed in [`OperatorError::BaseChanged`].
const MAX_LISTED_CHANGES: u64 = 10;

/// Request for a plan.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PlanRequest {
    /// Name of the operator.
    pub by: String,
    /// Configuration that the operator's intent file declares.
    pub config: Config,
}

/// Request to confirm a plan.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ConfirmRequest {
    /// Name of the operator.
    pub by: String,
    /// Plan id.
    pub id: String,
}

/// Result of a confirmation.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Confirmation {
    /// Plan id.
    pub id: String,
    /// Configuration version that the plan was accepted as.
    pub version: Version,
    /// Operator who confirmed it first, who may differ from the one of this request.
    pub by: String,
}

impl Shell {
    /// Makes a plan from the configuration in force to the requested one, and stores it.
    pub(crate) async fn plan(&self, request: PlanRequest) -> Result<Plan, OperatorError> {
        let mut new = request.config;
        new.sort();
        let errors = check_config(&new);
        if !errors.is_empty() {
            let messages: Vec<_> = errors.iter().map(ToString::to_string).collect();
            return Err(OperatorError::InvalidConfig(messages.join("; ")));
        }
        let (_, old) = self.accepted_config().await?;
        let mut plan = make_plan(PlanInput {
            old: &old,
            new: &new,
            weight_rate: self.settings.weight_rate,
        });
        if plan.change.is_empty() {
            return Err(OperatorError::NoChanges);
        }
        plan.id = format!("{:08x}", fastrand::u32(..));
        plan.by = request.by;
        let row = PlanRow {
            accepted: Version(0),
            by: String::new(),
            plan: store_value(&self.platform, &plan).await?,
        };
        store_plan(&self.platform, &plan, &row).await?;
        Ok(plan)
    }

    /// Returns the table's head row and the configuration of that version.
    async fn accepted_config(&self) -> Result<(Row, Arc<Config>), OperatorError> {
        for _ in 0..MAX_ATTEMPTS {
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

    /// Puts the plan with the given id in force, or reports which changes have invalidated it.
    pub(crate) async fn confirm(
        self: &Arc<Self>,
        request: ConfirmRequest,
    ) -> Result<Confirmation, OperatorError> {
        let mut response_lost = false;
        for _ in 0..MAX_ATTEMPTS {
            match self.try_confirm(&request).await {
                Ok(Some(confirmed)) => return Ok(confirmed),
                // A row changed concurrently: read the rows again.
                Ok(None) => {}
                Err(OperatorError::ResponseLost(_)) => response_lost = true,
                // After a lost response it is unknown whether the confirmation was applied.
                Err(OperatorError::TableUnavailable) if response_lost => {
                    return Err(OperatorError::ResponseLost(request.id));
                }
                Err(error) => return Err(error),
            }
        }
        Err(if response_lost {
            OperatorError::ResponseLost(request.id)
        } else {
            OperatorError::TooManyConflicts
        })
    }

    /// `None` if a row was changed between the read and the write.
    async fn try_confirm(
        self: &Arc<Self>,
        request: &ConfirmRequest,
    ) -> Result<Option<Confirmation>, OperatorError> {
        let row = read_row(&self.platform, &plan_key(&request.id)).await?;
        if row.value.is_empty() {
            return Err(OperatorError::PlanNotFound(request.id.clone()));
        }
        let stored: PlanRow =
            serde_json::from_str(&row.value).map_err(|_| OperatorError::Unreadable)?;
        if stored.accepted != Version(0) {
            return Ok(Some(Confirmation {
                id: request.id.clone(),
                version: stored.accepted,
                by: stored.by,
            }));
        }
        let plan: Plan = load_value(&self.platform, &stored.plan).await?;
        let (head, head_row) = read_head(&self.platform).await?;
        if head != plan.base {
            return self.base_changed(&request.id, plan.base, head).await;
        }
        let txn = self
            .confirm_txn(request, &plan, stored, &row, &head_row)
            .await?;
        match self.platform.txn(&txn).await {
            Ok(response) if response.applied() => {
                self.apply_accepted(&plan, &request.by);
                Ok(Some(Confirmation {
                    id: request.id.clone(),
                    version: plan.change.version,
                    by: request.by.clone(),
                }))
            }
            Ok(_) => Ok(None),
            Err(PlatformError::Unknown) => Err(OperatorError::ResponseLost(request.id.clone())),
            Err(error) => Err(error.into()),
        }
    }

    async fn confirm_txn(
        &self,
        request: &ConfirmRequest,
        plan: &Plan,
        stored: PlanRow,
        row: &Row,
        head: &Row,
    ) -> Result<Txn, OperatorError> {
        let mut change = plan.change.clone();
        change.by.clone_from(&request.by);
        change.plan.clone_from(&request.id);
        let accepted = PlanRow {
            accepted: change.version,
            by: request.by.clone(),
            ..stored
        };
        let value = serde_json::to_string(&accepted).map_err(|_| OperatorError::Unreadable)?;
        let txn = Txn::new()
            .check(plan_key(&request.id), row.version)
            .put(plan_key(&request.id), value);
        let txn = add_change(&self.platform, txn, &change, head).await?;
        Ok(self.add_history(txn, plan, &request.by).await?)
    }

    /// Puts an accepted plan in force on this VM without waiting for the next poll, and writes a
    /// snapshot in the background.
    fn apply_accepted(self: &Arc<Self>, plan: &Plan, by: &str) {
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

    /// Rejects a plan whose base is no longer in force, unless that is because the plan itself has
    /// been accepted; `None` in that case.
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
        let from = Version(base.0.max(head.0.saturating_sub(MAX_LISTED_CHANGES)));
        let changes = read_changes(&self.platform, from, head).await?;
        let confirmations: Vec<_> = changes
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
            since: confirmations.join(", then "),
        })
    }
}
