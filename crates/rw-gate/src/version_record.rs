//! Record of software versions that the registry keeps.

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
