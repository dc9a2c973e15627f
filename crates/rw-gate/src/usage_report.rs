//! Usage reports, and what nodes and the store hold of them.

use crate::StoreEra;
use serde::{Deserialize, Serialize};

/// Calls that began to run in one window.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Number of the window: its start in milliseconds since the start of 1970, divided by its
    /// length.
    pub window: u64,
    /// Calls by name of the client account, sorted by name.
    pub counts: Vec<(String, u64)>,
}

/// The reports that the store holds: the latest ones, the oldest first. What is in it is sent
/// without change, by whichever node holds the lease.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageRecord {
    /// Reports, sorted by window.
    pub reports: Vec<UsageReport>,
}

/// A record with the version of its row.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StoredUsage {
    /// The record; empty if there is no row.
    pub record: UsageRecord,
    /// Version of the row; 0 if there is none.
    pub version: u64,
    /// Era of the store that the version is of.
    pub era: StoreEra,
}

/// Query of the lease holder for the calls of a window.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageQuery {
    /// Number of the window.
    pub window: u64,
    /// Milliseconds since the start of the window.
    pub age_ms: u64,
    /// Length of the window in milliseconds.
    pub length_ms: u64,
}

/// A node's answer to a [`UsageQuery`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageAnswer {
    /// VM name of the node.
    pub vm: String,
    /// Number of the window.
    pub window: u64,
    /// Calls of this node in the window, by name of the client account.
    pub counts: Vec<(String, u64)>,
    /// The node's own time in milliseconds since the start of 1970; absent if it isn't known.
    #[serde(default)]
    pub time_ms: Option<u64>,
}

/// What the nodes answered about a window.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct UsageCollection {
    /// Sum over the nodes that answered.
    pub report: UsageReport,
    /// For each other node that stated its time: its VM name, and its time minus this node's boot
    /// clock.
    pub clocks: Vec<(String, i64)>,
    /// Number of other nodes that were asked.
    pub asked: usize,
    /// Number of other nodes that answered.
    pub heard: usize,
}

impl UsageReport {
    /// Adds `calls` of an account.
    pub fn add(&mut self, account: &str, calls: u64) {
        let found = self
            .counts
            .binary_search_by(|(name, _)| name.as_str().cmp(account));
        match found {
            Ok(i) => self.counts[i].1 = self.counts[i].1.saturating_add(calls),
            Err(i) => self.counts.insert(i, (account.to_owned(), calls)),
        }
    }
}

impl UsageRecord {
    /// Number of the latest window.
    #[must_use]
    pub fn last_window(&self) -> Option<u64> {
        self.reports.last().map(|r| r.window)
    }
}
