//! The rows of plans: one a plan, and an index that bounds them.

use crate::OperatorError;
use rw_intent::Plan;
use rw_platform::{PlatformError, Row, Table, Txn};
use rw_types::Version;
use serde::{Deserialize, Serialize};

/// Row that lists the plans kept, oldest first.
const INDEX_KEY: &str = "plans";
/// Plans kept.
const MAX_PLANS: usize = 256;
/// Tries against operators who keep a plan at the same time.
const MAX_ATTEMPTS: usize = 16;

/// A plan's row.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct PlanRow {
    /// Version under which it was accepted; zero before.
    pub(crate) accepted: Version,
    /// Operator who confirmed it.
    pub(crate) by: String,
    /// The plan, or the name of its object.
    pub(crate) plan: String,
}

/// Row of a plan.
pub(crate) fn plan_key(id: &str) -> String {
    format!("plan/{id}")
}

/// Keeps a plan and drops the oldest beyond the bound.
pub(crate) async fn store_plan<T: Table>(
    table: &T,
    plan: &Plan,
    row: &PlanRow,
) -> Result<(), OperatorError> {
    let value = serde_json::to_string(row).map_err(|_| PlatformError::Malformed)?;
    for _ in 0..MAX_ATTEMPTS {
        let index = read_row(table, INDEX_KEY).await?;
        let mut ids: Vec<String> = serde_json::from_str(&index.value).unwrap_or_default();
        // An earlier try whose answer was lost may have kept it.
        if ids.contains(&plan.id) {
            return Ok(());
        }
        ids.push(plan.id.clone());
        let extra = ids.len().saturating_sub(MAX_PLANS);
        let dropped: Vec<_> = ids.drain(..extra).collect();
        let list = serde_json::to_string(&ids).map_err(|_| PlatformError::Malformed)?;
        let mut txn = Txn::new()
            .check(INDEX_KEY, index.version)
            .put(INDEX_KEY, list)
            .put(plan_key(&plan.id), value.clone());
        for id in dropped {
            txn = txn.put(plan_key(&id), "");
        }
        match table.txn(&txn).await {
            Ok(reply) if reply.applied() => return Ok(()),
            Ok(_) | Err(PlatformError::Unknown) => {}
            Err(error) => return Err(error.into()),
        }
    }
    Err(OperatorError::TooManyConflicts)
}

/// A row; version zero if absent.
pub(crate) async fn read_row<T: Table>(table: &T, key: &str) -> Result<Row, PlatformError> {
    let mut rows = table.get(vec![key.to_owned()]).await?.rows;
    rows.pop().ok_or(PlatformError::Malformed)
}
