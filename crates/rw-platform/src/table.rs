//! Interface of the table service: versioned rows, conditional transactions, reads and scans.

use crate::PlatformError;
use rw_types::{Version, Vm};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::future::Future;

/// A row as read. An absent row has version zero and an empty value.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Key.
    pub key: String,
    /// Value, JSON by convention.
    pub value: String,
    /// Version of the transaction that wrote it.
    pub version: Version,
}

/// A condition of a transaction: the row still has the version `version`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Check {
    /// Key.
    pub key: String,
    /// Expected version; zero if the row must be absent.
    pub version: Version,
}

/// A write of a transaction; an empty value deletes the row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Put {
    /// Key.
    pub key: String,
    /// Value.
    pub value: String,
}

/// A transaction: if all conditions hold, all writes are applied; otherwise none is.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Txn {
    /// Conditions.
    pub checks: Vec<Check>,
    /// Writes.
    pub puts: Vec<Put>,
}

/// Result of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TxnResponse {
    /// Version of the writes, or zero if a condition failed.
    pub version: Version,
    /// Current state of the rows whose condition failed.
    pub conflicts: Vec<Row>,
}

/// A request to read rows.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Get {
    /// Keys of the rows.
    pub keys: Vec<String>,
}

/// A request for the rows under `prefix` that were written after `since`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Scan {
    /// Key prefix.
    pub prefix: String,
    /// Version after which the rows were written.
    pub since: Version,
}

/// Rows in key order.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Rows {
    /// Rows.
    pub rows: Vec<Row>,
}

/// Value of a row that can't be parsed. It is neither empty, which means that there is no row, nor JSON.
const UNREADABLE_VALUE: &str = "unreadable";

/// A response whose rows are parsed one by one.
#[derive(Debug, Deserialize)]
struct RawRows<'a> {
    #[serde(borrow)]
    rows: Vec<&'a RawValue>,
}

/// The part of a row that says which one it is.
#[derive(Debug, Deserialize)]
struct RowKey {
    key: String,
}

impl Rows {
    /// Parses a response. A row that can't be parsed keeps its place, as rows are found by their places,
    /// and has version zero, with which no transaction replaces it.
    pub(crate) fn parse(bytes: &[u8]) -> serde_json::Result<Self> {
        if let Ok(rows) = serde_json::from_slice(bytes) {
            return Ok(rows);
        }
        let text = String::from_utf8_lossy(bytes);
        let raw: RawRows<'_> = serde_json::from_str(&text)?;
        let rows = raw.rows.iter().map(|raw| {
            serde_json::from_str(raw.get()).unwrap_or_else(|_| Row {
                key: serde_json::from_str(raw.get())
                    .map_or_else(|_| String::new(), |row: RowKey| row.key),
                value: UNREADABLE_VALUE.to_owned(),
                version: Version(0),
            })
        });
        Ok(Self {
            rows: rows.collect(),
        })
    }
}

/// Parses a list of VMs, without those that can't be parsed.
pub(crate) fn parse_vms(bytes: &[u8]) -> serde_json::Result<Vec<Vm>> {
    if let Ok(vms) = serde_json::from_slice(bytes) {
        return Ok(vms);
    }
    let text = String::from_utf8_lossy(bytes);
    let raw: Vec<&RawValue> = serde_json::from_str(&text)?;
    let vms = raw
        .iter()
        .filter_map(|raw| serde_json::from_str(raw.get()).ok());
    Ok(vms.collect())
}

/// The transactional table service.
pub trait Table {
    /// Runs a transaction.
    fn txn(&self, txn: &Txn) -> impl Future<Output = Result<TxnResponse, PlatformError>> + Send;
    /// Reads rows; an absent one has version zero.
    fn get(&self, keys: Vec<String>) -> impl Future<Output = Result<Rows, PlatformError>> + Send;
    /// Reads the rows under a prefix that were written after a version.
    fn scan(
        &self,
        prefix: &str,
        since: Version,
    ) -> impl Future<Output = Result<Rows, PlatformError>> + Send;
}

/// The platform's list of VMs, which lags behind the actual state.
pub trait VmList {
    /// Running VMs, including those that are leaving.
    fn vms(&self) -> impl Future<Output = Result<Vec<Vm>, PlatformError>> + Send;
}

impl Txn {
    /// A transaction without conditions or writes.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a condition.
    #[must_use]
    pub fn check(mut self, key: impl Into<String>, version: Version) -> Self {
        self.checks.push(Check {
            key: key.into(),
            version,
        });
        self
    }

    /// Adds a write.
    #[must_use]
    pub fn put(mut self, key: impl Into<String>, value: impl Into<String>) -> Self {
        self.puts.push(Put {
            key: key.into(),
            value: value.into(),
        });
        self
    }
}

impl TxnResponse {
    /// Whether the writes were applied.
    #[must_use]
    pub fn applied(&self) -> bool {
        self.version != Version(0)
    }
}
