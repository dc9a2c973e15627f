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
/// Maximum number of changes that one snapshot deletes. It is reached only if the row of the latest
/// snapshot can't be read; older changes then stay.
const MAX_DELETED_CHANGES: u64 = 512;
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
/// Any [`PlatformError`]; `Malformed` if the row holds no version.
pub async fn read_head<T: Table>(table: &T) -> Result<(Version, Row), PlatformError> {
    let row = read_row(table, HEAD_KEY).await?;
    Ok((head_version(&row)?, row))
}

/// Version that the head row holds. One that can't be read must not pass for none: versions would
/// begin anew.
fn head_version(row: &Row) -> Result<Version, PlatformError> {
    match row.value.as_str() {
        "" => Ok(Version(0)),
        value => value
            .parse()
            .map(Version)
            .map_err(|_| PlatformError::Malformed),
    }
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
    let mut read = since.0;
    while read < to.0 {
        let last = to.0.min(read.saturating_add(MAX_BATCH_ROWS));
        let keys: Vec<String> = (read + 1..=last).map(|v| version_key(Version(v))).collect();
        let count = keys.len();
        let rows = store.get(keys).await?.rows;
        if rows.len() != count {
            return Err(PlatformError::Malformed);
        }
        for row in rows {
            if row.value.is_empty() {
                return Ok(None);
            }
            changes.push(load_value(store, &row.value).await?);
        }
        read = last;
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
    let version = head_version(head)?;
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
    let version = config.version.0;
    let latest = latest_snapshot(store, &row, version).await?;
    if latest.is_some_and(|latest| version.saturating_sub(latest) < SNAPSHOT_INTERVAL) {
        return Ok(());
    }
    let body = serde_json::to_vec(config).map_err(|_| PlatformError::Malformed)?;
    store.write(&snapshot_object(config.version), body).await?;
    let mut txn = Txn::new()
        .check(SNAPSHOT_KEY, row.version)
        .put(SNAPSHOT_KEY, config.version.to_string());
    // Changes below this version were deleted with the previous snapshot.
    let end = version.saturating_sub(KEPT_CHANGES);
    let first = latest.unwrap_or(0).saturating_sub(KEPT_CHANGES);
    let first = first.max(end.saturating_sub(MAX_DELETED_CHANGES)).max(1);
    for version in first..end {
        txn = txn.put(version_key(Version(version)), "");
    }
    store.txn(&txn).await?;
    Ok(())
}

/// Version of the latest snapshot, zero if there is none; `None` if the row doesn't name one. A row
/// may name a later version than this node has, but only if there is such a snapshot.
async fn latest_snapshot<P: ObjectStore>(
    store: &P,
    row: &Row,
    version: u64,
) -> Result<Option<u64>, PlatformError> {
    if row.value.is_empty() {
        return Ok(Some(0));
    }
    let Ok(latest) = row.value.parse() else {
        return Ok(None);
    };
    let exists = latest <= version || {
        let object = store.read(&snapshot_object(Version(latest))).await?;
        object.is_some()
    };
    Ok(exists.then_some(latest))
}
