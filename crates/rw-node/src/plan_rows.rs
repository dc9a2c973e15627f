//! Table rows of plans: one row per plan, and an index row that bounds their number.

use crate::OperatorError;
use rw_intent::Plan;
use rw_platform::{PlatformError, Row, Table, Txn};
use rw_types::Version;
use serde::{Deserialize, Serialize};

/// Row with the ids of the stored plans, oldest first.
const INDEX_KEY: &str = "plans";
/// Maximum number of stored plans.
const MAX_PLANS: usize = 256;
/// Maximum number of attempts when other operators store plans concurrently.
const MAX_ATTEMPTS: usize = 16;

/// Value of a plan's row.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct PlanRow {
    /// Configuration version that it was accepted as; zero until it is confirmed.
    pub(crate) accepted: Version,
    /// Operator who confirmed it; empty until it is confirmed.
    pub(crate) by: String,
    /// The plan as JSON, or a reference to the object with it if it is too large for a row.
    pub(crate) plan: String,
}

/// Returns the key of a plan's row.
pub(crate) fn plan_key(id: &str) -> String {
    format!("plan/{id}")
}

/// Stores a plan and deletes the oldest ones beyond the limit.
pub(crate) async fn store_plan<T: Table>(
    table: &T,
    plan: &Plan,
    row: &PlanRow,
) -> Result<(), OperatorError> {
    let value = serde_json::to_string(row).map_err(|_| PlatformError::Malformed)?;
    for _ in 0..MAX_ATTEMPTS {
        let index = read_row(table, INDEX_KEY).await?;
        let mut ids: Vec<String> = serde_json::from_str(&index.value).unwrap_or_default();
        // An earlier attempt whose response was lost may have stored it.
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
            Ok(response) if response.applied() => return Ok(()),
            Ok(_) | Err(PlatformError::Unknown) => {}
            Err(error) => return Err(error.into()),
        }
    }
    Err(OperatorError::TooManyConflicts)
}

/// Reads a row; its version is zero if it does not exist.
pub(crate) async fn read_row<T: Table>(table: &T, key: &str) -> Result<Row, PlatformError> {
    let mut rows = table.get(vec![key.to_owned()]).await?.rows;
    rows.pop().ok_or(PlatformError::Malformed)
}
