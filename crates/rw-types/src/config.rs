//! The configuration that operators accept and every node has in force.

use crate::{Account, Named, Target, Version};
use serde::{Deserialize, Serialize};

/// Everything operators decide. Lists are sorted by name.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Version given at acceptance; zero in an intent file.
    #[serde(default)]
    pub version: Version,
    /// Models served, sorted by name.
    #[serde(default)]
    pub models: Vec<Model>,
    /// Plain services and engine services, sorted by name.
    #[serde(default)]
    pub services: Vec<Service>,
    /// Targets of the fixed fleet, sorted by name.
    #[serde(default)]
    pub targets: Vec<Target>,
    /// Caller accounts, sorted by name.
    #[serde(default)]
    pub accounts: Vec<Account>,
    /// Kinds of work, sorted by name.
    #[serde(default)]
    pub kinds: Vec<WorkKind>,
    /// Cost of one role change, in seconds of one engine's goodput.
    #[serde(default)]
    pub change_weight: f64,
}

/// A model with the adapter and version that its callers need.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name callers use.
    pub name: String,
    /// Version of the weights.
    pub version: String,
    /// Adapters loaded beside the weights.
    #[serde(default)]
    pub adapters: Vec<String>,
    /// Bytes fetched from the weight store by one load.
    #[serde(default)]
    pub bytes: u64,
    /// Fewest engines that must hold it.
    #[serde(default)]
    pub replicas: u32,
}

/// What kind of back end serves a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceKind {
    /// Model engines, reached through `/v1`.
    Engine,
    /// Plain HTTP services, reached through `/services/<name>`.
    Plain,
}

/// A service that callers reach.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name callers use.
    pub name: String,
    /// What serves it.
    pub kind: ServiceKind,
    /// Path prefixes whose calls are idempotent whatever their method.
    #[serde(default)]
    pub idempotent: Vec<String>,
}

/// A kind of work with its objective and its priority.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkKind {
    /// Name in the `x-work-kind` header.
    pub name: String,
    /// Higher goes first.
    pub priority: u8,
    /// Milliseconds from arrival within which the whole answer counts.
    pub deadline_ms: u64,
    /// Fraction of answers that must be whole and on time.
    pub objective: f64,
}

/// Part of the work that an engine takes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Prompts and outputs.
    #[default]
    Mixed,
    /// Long prompts first.
    Prefill,
    /// Long outputs first.
    Decode,
}

impl Config {
    /// The target of that name, by binary search.
    #[must_use]
    pub fn target(&self, name: &str) -> Option<&Target> {
        find(&self.targets, name)
    }

    /// The service of that name, by binary search.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        find(&self.services, name)
    }

    /// The kind of work of that name, by binary search.
    #[must_use]
    pub fn kind(&self, name: &str) -> Option<&WorkKind> {
        find(&self.kinds, name)
    }

    /// The model of that name, by binary search.
    #[must_use]
    pub fn model(&self, name: &str) -> Option<&Model> {
        find(&self.models, name)
    }

    /// The account of that name, by binary search.
    #[must_use]
    pub fn account(&self, name: &str) -> Option<&Account> {
        find(&self.accounts, name)
    }

    /// Sorts every list by name, so that the searches above hold.
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
