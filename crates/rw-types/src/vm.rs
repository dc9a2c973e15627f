//! VMs that accept callers' requests, as listed by the platform.

use serde::{Deserialize, Serialize};

/// A VM in the platform's list, which may be out of date.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Unique name.
    pub name: String,
    /// Data centre that it is in.
    pub centre: String,
    /// Address of its peer listener, as `ip:port`.
    pub peer: String,
    /// Whether the platform is withdrawing it.
    #[serde(default)]
    pub leaving: bool,
}
