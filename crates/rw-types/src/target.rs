//! Targets: model engines and plain services.

use crate::Role;
use serde::{Deserialize, Serialize};

/// What a target is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TargetKind {
    /// A model engine.
    Engine,
    /// A plain service.
    Plain,
}

/// One target of the fixed fleet, as operators declare it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Unique name.
    pub name: String,
    /// `ip:port` of its HTTP listener.
    pub addr: String,
    /// Data centre it stands in.
    pub centre: String,
    /// Engine or plain service.
    pub kind: TargetKind,
    /// Service it belongs to; for engines, the engine service.
    pub service: String,
    /// Lease group, which never changes for a name; empty for the service's name.
    #[serde(default)]
    pub group: String,
    /// Models it holds, sorted; empty for plain services.
    #[serde(default)]
    pub models: Vec<String>,
    /// Role it starts in.
    #[serde(default)]
    pub role: Role,
    /// Whether it refuses an order with an old fencing token.
    #[serde(default)]
    pub checks_fence: bool,
    /// Whether operators are taking it away.
    #[serde(default)]
    pub leaving: bool,
}

impl Target {
    /// Group whose lease covers orders to this target.
    #[must_use]
    pub fn lease_group(&self) -> &str {
        if self.group.is_empty() {
            &self.service
        } else {
            &self.group
        }
    }
}
