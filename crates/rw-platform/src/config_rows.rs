//! The configuration's rows in the table.

use crate::{PlatformError, Row, Table, Txn, TxnReply};
use rw_types::{Config, Version};

/// Row that names the version in force.
pub const HEAD_KEY: &str = "config/head";

/// Row of one version.
#[must_use]
pub fn version_key(version: Version) -> String {
    format!("config/v/{version}")
}

/// The accepted version, zero if none, and the row that names it.
///
/// # Errors
///
/// Any [`PlatformError`].
pub async fn read_head<T: Table>(table: &T) -> Result<(Version, Row), PlatformError> {
    let mut rows = table.get(vec![HEAD_KEY.to_owned()]).await?.rows;
    let row = rows.pop().ok_or(PlatformError::Garbled)?;
    let version = Version(row.value.parse().unwrap_or(0));
    Ok((version, row))
}

/// The configuration of a version; `None` if the table has none.
///
/// # Errors
///
/// Any [`PlatformError`].
pub async fn read_config<T: Table>(
    table: &T,
    version: Version,
) -> Result<Option<Config>, PlatformError> {
    let mut rows = table.get(vec![version_key(version)]).await?.rows;
    let row = rows.pop().ok_or(PlatformError::Garbled)?;
    if row.value.is_empty() {
        return Ok(None);
    }
    let config = serde_json::from_str(&row.value).map_err(|_| PlatformError::Garbled)?;
    Ok(Some(config))
}

/// Accepts `config` as the successor of `head`, which must still be as read.
///
/// # Errors
///
/// Any [`PlatformError`]; after [`PlatformError::Lost`] read the head back.
pub async fn accept_config<T: Table>(
    table: &T,
    config: &Config,
    head: &Row,
) -> Result<TxnReply, PlatformError> {
    let body = serde_json::to_string(config).map_err(|_| PlatformError::Garbled)?;
    let txn = Txn::new()
        .check(HEAD_KEY, head.version)
        .put(HEAD_KEY, config.version.to_string())
        .put(version_key(config.version), body);
    table.txn(&txn).await
}
