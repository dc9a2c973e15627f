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

/// Request to replace the registry's record of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordRequest {
    /// The new record.
    pub record: VersionRecord,
    /// Number of reads of the registry's records on which this request is based. The request is void
    /// after a later read, as the new record may lack versions.
    pub reads: u64,
}
