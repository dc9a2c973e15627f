//! Entry VMs, as the platform lists them.

use serde::{Deserialize, Serialize};

/// One VM of the platform's list, which lags.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Unique name.
    pub name: String,
    /// Data centre it stands in.
    pub centre: String,
    /// `ip:port` of its peer listener.
    pub peer: String,
    /// Whether the platform is taking it away.
    #[serde(default)]
    pub leaving: bool,
}
