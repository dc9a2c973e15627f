//! Bodies suspected to end their targets.

use serde::{Deserialize, Serialize};

/// A body and the targets that ended while running it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// Fingerprint of the body.
    pub fingerprint: u64,
    /// Names of the targets, sorted.
    pub targets: Vec<String>,
    /// Time since the last crash, in milliseconds.
    pub age_ms: u64,
}
