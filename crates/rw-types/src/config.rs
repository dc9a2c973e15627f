//! The configuration that operators confirm and all nodes apply.

use crate::{Account, Named, Target, Version};
use serde::{Deserialize, Serialize};

/// All settings under operators' control. Lists are sorted by name.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Version assigned on confirmation; zero in an intent file.
    #[serde(default)]
    pub version: Version,
    /// Models served, sorted by name.
    #[serde(default)]
    pub models: Vec<Model>,
    /// Plain services and engine services, sorted by name.
    #[serde(default)]
    pub services: Vec<Service>,
    /// Targets of the fixed-size fleet, sorted by name.
    #[serde(default)]
    pub targets: Vec<Target>,
    /// Client accounts, sorted by name.
    #[serde(default)]
    pub accounts: Vec<Account>,
    /// Kinds of work, sorted by name.
    #[serde(default)]
    pub kinds: Vec<WorkKind>,
    /// Cost of one role change, in seconds of one engine's goodput.
    #[serde(default)]
    pub change_weight: f64,
}

/// A model with the version and adapters that callers require.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name in callers' requests.
    pub name: String,
    /// Version of the weights.
    pub version: String,
    /// Adapters loaded along with the weights.
    #[serde(default)]
    pub adapters: Vec<String>,
    /// Bytes that one load fetches from the weight store.
    #[serde(default)]
    pub bytes: u64,
    /// Minimum number of engines that must have it loaded.
    #[serde(default)]
    pub replicas: u32,
}

/// The kind of back end behind a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceKind {
    /// Model engines, reached through `/v1`.
    Engine,
    /// Plain HTTP services, reached through `/services/<name>`.
    Plain,
}

/// A service that callers send requests to.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name in callers' requests.
    pub name: String,
    /// Kind of its targets.
    pub kind: ServiceKind,
    /// Path prefixes whose requests are idempotent, whatever their method.
    #[serde(default)]
    pub idempotent: Vec<String>,
}

/// A class of requests with a common priority, deadline and objective.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkKind {
    /// Name in the `x-work-kind` header.
    pub name: String,
    /// Scheduling priority; higher values go first.
    pub priority: u8,
    /// Milliseconds from arrival within which the complete response must be delivered.
    pub deadline_ms: u64,
    /// Fraction of responses that must be complete and on time, above 0 and below 1.
    pub objective: f64,
}

/// The phases of inference that an engine gives priority to.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Prefill and decode alike.
    #[default]
    Mixed,
    /// Mainly prefill, for long prompts.
    Prefill,
    /// Mainly decode, for long outputs.
    Decode,
}

impl Config {
    /// Looks up a target by name, by binary search.
    #[must_use]
    pub fn target(&self, name: &str) -> Option<&Target> {
        find(&self.targets, name)
    }

    /// Looks up a service by name, by binary search.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        find(&self.services, name)
    }

    /// Looks up a kind of work by name, by binary search.
    #[must_use]
    pub fn kind(&self, name: &str) -> Option<&WorkKind> {
        find(&self.kinds, name)
    }

    /// Looks up a model by name, by binary search.
    #[must_use]
    pub fn model(&self, name: &str) -> Option<&Model> {
        find(&self.models, name)
    }

    /// Looks up a client account by name, by binary search.
    #[must_use]
    pub fn account(&self, name: &str) -> Option<&Account> {
        find(&self.accounts, name)
    }

    /// Sorts every list by name, as the binary searches above require.
    pub fn sort(&mut self) {
        self.models.sort_by(|a, b| a.name.cmp(&b.name));
        self.services.sort_by(|a, b| a.name.cmp(&b.name));
        self.targets.sort_by(|a, b| a.name.cmp(&b.name));
        self.accounts.sort_by(|a, b| a.name.cmp(&b.name));
        self.kinds.sort_by(|a, b| a.name.cmp(&b.name));
    }
}

fn find<'a, T: Named>(list: &'a [T], name: &str) -> Option<&'a T> {
    let i = list.binary_search_by(|item| item.name().cmp(name)).ok()?;
    Some(&list[i])
}
