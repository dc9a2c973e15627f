//! Targets: model engines and plain services.

use crate::Role;
use serde::{Deserialize, Serialize};

/// Kind of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TargetKind {
    /// A model engine.
    Engine,
    /// A plain service.
    Plain,
}

/// A target of the fixed-size fleet, as declared by operators.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Unique name.
    pub name: String,
    /// Address of its HTTP listener, as `ip:port`.
    pub addr: String,
    /// Data centre that it is in.
    pub centre: String,
    /// Engine or plain service.
    pub kind: TargetKind,
    /// Service that it belongs to; for an engine, the engine service.
    pub service: String,
    /// Lease group; if empty, the service's name is used. It never changes for a given target name.
    #[serde(default)]
    pub group: String,
    /// Names of the models to load, sorted; empty for plain services.
    #[serde(default)]
    pub models: Vec<String>,
    /// Initial role.
    #[serde(default)]
    pub role: Role,
    /// Whether it rejects orders with an outdated fencing token.
    #[serde(default)]
    pub checks_fence: bool,
    /// Whether operators are withdrawing it from service.
    #[serde(default)]
    pub leaving: bool,
}

impl Target {
    /// Lease group whose holder may send orders to this target.
    #[must_use]
    pub fn lease_group(&self) -> &str {
        if self.group.is_empty() {
            &self.service
        } else {
            &self.group
        }
    }
}
