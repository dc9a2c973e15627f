//! Suspect requests: those whose targets crashed while running them.

use serde::{Deserialize, Serialize};

/// A request, by its path and body, and the targets that crashed while running it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// Fingerprint of the path and the body.
    pub fingerprint: u64,
    /// Names of the crashed targets, sorted.
    pub targets: Vec<String>,
    /// Time since the last crash, in milliseconds.
    pub age_ms: u64,
}
