//! Records of software versions that the registry keeps.

use serde::{Deserialize, Serialize};

/// Versions at which streams of a service may have begun that callers still take up. It outlives all
/// nodes, so that they know after a restart whether there is more than one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRecord {
    /// Name of the service.
    pub service: String,
    /// Names of the versions, sorted.
    pub versions: Vec<String>,
}

/// A change of the registry's records.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordChange {
    /// Replace the record of a service.
    Replace(VersionRecord),
    /// State that nothing is missing until the registry's next return from a copy: what it had lost is
    /// written again, and the records have all versions at which streams may have begun lately.
    Confirm {
        /// For how long before now the records have them all, in milliseconds.
        known_ms: u64,
    },
}

/// Request to change the registry's records.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordRequest {
    /// The change.
    pub change: RecordChange,
    /// Number of reads of the registry's records on which this request is based. The request is void
    /// after a later read, as the records may lack versions.
    pub reads: u64,
}
