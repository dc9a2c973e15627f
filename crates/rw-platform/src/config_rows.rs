//! Storage of the configuration: a head row, one row per version with its change, and snapshots in
//! the object store.

use crate::{ObjectStore, PlatformError, Row, Table, Txn, TxnResponse, load_value, store_value};
use rw_types::{Config, ConfigChange, Version};

/// Key of the row with the version in force.
pub const HEAD_KEY: &str = "config/head";
/// Key of the row with the version of the latest snapshot.
const SNAPSHOT_KEY: &str = "config/snapshot";
/// Number of versions from one snapshot to the next.
pub const SNAPSHOT_INTERVAL: u64 = 64;
/// Number of changes kept in the table below the latest snapshot, for nodes that lag behind.
const KEPT_CHANGES: u64 = 256;
/// Maximum number of rows read by one call.
const MAX_BATCH_ROWS: u64 = 64;

/// Key of the row with the change that leads to `version`.
#[must_use]
pub fn version_key(version: Version) -> String {
    format!("config/v/{version}")
}

fn snapshot_object(version: Version) -> String {
    format!("config/snapshot/{version}")
}

/// Reads the head row; returns the version in force, zero if there is none, and the row.
///
/// # Errors
///
/// Any [`PlatformError`].
pub async fn read_head<T: Table>(table: &T) -> Result<(Version, Row), PlatformError> {
    let row = read_row(table, HEAD_KEY).await?;
    Ok((Version(row.value.parse().unwrap_or(0)), row))
}

async fn read_row<T: Table>(table: &T, key: &str) -> Result<Row, PlatformError> {
    let mut rows = table.get(vec![key.to_owned()]).await?.rows;
    rows.pop().ok_or(PlatformError::Malformed)
}

/// Reads the changes that lead from version `since` to version `to`; `None` if the table does not
/// hold all of them.
///
/// # Errors
///
/// Any [`PlatformError`].
pub async fn read_changes<P: Table + ObjectStore>(
    store: &P,
    since: Version,
    to: Version,
) -> Result<Option<Vec<ConfigChange>>, PlatformError> {
    let mut changes = Vec::new();
    let mut from = since.0 + 1;
    while from <= to.0 {
        let last = to.0.min(from + MAX_BATCH_ROWS - 1);
        let keys = (from..=last).map(|v| version_key(Version(v))).collect();
        for row in store.get(keys).await?.rows {
            if row.value.is_empty() {
                return Ok(None);
            }
            changes.push(load_value(store, &row.value).await?);
        }
        from = last + 1;
    }
    Ok(Some(changes))
}

/// Reads the configuration of a version, from the latest snapshot and the changes after it; `None`
/// if it cannot be built from them.
///
/// # Errors
///
/// Any [`PlatformError`].
pub async fn read_config<P: Table + ObjectStore>(
    store: &P,
    version: Version,
) -> Result<Option<Config>, PlatformError> {
    let row = read_row(store, SNAPSHOT_KEY).await?;
    let mut config = read_snapshot(store, &row).await?;
    let Some(changes) = read_changes(store, config.version, version).await? else {
        return Ok(None);
    };
    let applied = changes.iter().all(|change| config.apply(change));
    Ok((applied && config.version == version).then_some(config))
}

async fn read_snapshot<P: ObjectStore>(store: &P, row: &Row) -> Result<Config, PlatformError> {
    let Ok(version) = row.value.parse() else {
        return Ok(Config::default());
    };
    let object = store.read(&snapshot_object(Version(version))).await?;
    let bytes = object.ok_or(PlatformError::Malformed)?;
    serde_json::from_slice(&bytes).map_err(|_| PlatformError::Malformed)
}

/// Adds the writes that put `change` in force to `txn`, and the condition that the head row still
/// has the version of `head`.
///
/// # Errors
///
/// Any [`PlatformError`] from writing a large change to the object store.
pub async fn add_change<P: ObjectStore>(
    objects: &P,
    txn: Txn,
    change: &ConfigChange,
    head: &Row,
) -> Result<Txn, PlatformError> {
    let value = store_value(objects, change).await?;
    Ok(txn
        .check(HEAD_KEY, head.version)
        .put(HEAD_KEY, change.version.to_string())
        .put(version_key(change.version), value))
}

/// Puts `config` in force as the successor of the version in `head`, provided that the head row
/// still has the version of `head`.
///
/// # Errors
///
/// Any [`PlatformError`]; after [`PlatformError::Unknown`] read the head row back.
pub async fn accept_config<P: Table + ObjectStore>(
    store: &P,
    config: &Config,
    head: &Row,
) -> Result<TxnResponse, PlatformError> {
    let version = Version(head.value.parse().unwrap_or(0));
    let old = read_config(store, version).await?;
    let change = ConfigChange::between(&old.ok_or(PlatformError::Malformed)?, config);
    let txn = add_change(store, Txn::new(), &change, head).await?;
    store.txn(&txn).await
}

/// Writes a snapshot of `config` if [`SNAPSHOT_INTERVAL`] versions have passed since the latest
/// one, and deletes changes that are no longer needed.
///
/// If several nodes do so at once, the first transaction wins; the others fail their condition and
/// change nothing in the table.
///
/// # Errors
///
/// Any [`PlatformError`]; a later call does what this one left undone.
pub async fn write_snapshot<P: Table + ObjectStore>(
    store: &P,
    config: &Config,
) -> Result<(), PlatformError> {
    let row = read_row(store, SNAPSHOT_KEY).await?;
    let latest: u64 = row.value.parse().unwrap_or(0);
    if config.version.0 < latest + SNAPSHOT_INTERVAL {
        return Ok(());
    }
    let body = serde_json::to_vec(config).map_err(|_| PlatformError::Malformed)?;
    store.write(&snapshot_object(config.version), body).await?;
    let mut txn = Txn::new()
        .check(SNAPSHOT_KEY, row.version)
        .put(SNAPSHOT_KEY, config.version.to_string());
    // Changes below this version were deleted with the previous snapshot.
    let first = latest.saturating_sub(KEPT_CHANGES).max(1);
    for version in first..config.version.0.saturating_sub(KEPT_CHANGES) {
        txn = txn.put(version_key(Version(version)), "");
    }
    store.txn(&txn).await?;
    Ok(())
}
