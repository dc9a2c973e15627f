//! What one version of the configuration changes of the version before it.

use crate::{Account, Config, ListChange, Model, Service, Target, Version, WorkKind};
use serde::{Deserialize, Serialize};

/// The step from one version of the configuration to the next.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigChange {
    /// Version it leads to, from the one before it.
    pub version: Version,
    /// Operator who confirmed it.
    #[serde(default)]
    pub by: String,
    /// Plan it was confirmed under.
    #[serde(default)]
    pub plan: String,
    /// Models.
    #[serde(default, skip_serializing_if = "ListChange::is_empty")]
    pub models: ListChange<Model>,
    /// Services.
    #[serde(default, skip_serializing_if = "ListChange::is_empty")]
    pub services: ListChange<Service>,
    /// Targets.
    #[serde(default, skip_serializing_if = "ListChange::is_empty")]
    pub targets: ListChange<Target>,
    /// Accounts.
    #[serde(default, skip_serializing_if = "ListChange::is_empty")]
    pub accounts: ListChange<Account>,
    /// Kinds of work.
    #[serde(default, skip_serializing_if = "ListChange::is_empty")]
    pub kinds: ListChange<WorkKind>,
    /// New cost of a role change, if it changes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub change_weight: Option<f64>,
}

impl ConfigChange {
    /// The step from `old` to `new`, whose lists must be sorted.
    #[must_use]
    pub fn between(old: &Config, new: &Config) -> Self {
        let weight = new.change_weight;
        Self {
            version: Version(old.version.0 + 1),
            by: String::new(),
            plan: String::new(),
            models: ListChange::between(&old.models, &new.models),
            services: ListChange::between(&old.services, &new.services),
            targets: ListChange::between(&old.targets, &new.targets),
            accounts: ListChange::between(&old.accounts, &new.accounts),
            kinds: ListChange::between(&old.kinds, &new.kinds),
            change_weight: (weight != old.change_weight).then_some(weight),
        }
    }

    /// Whether it changes nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.models.is_empty()
            && self.services.is_empty()
            && self.targets.is_empty()
            && self.accounts.is_empty()
            && self.kinds.is_empty()
            && self.change_weight.is_none()
    }

    /// One line that counts what it changes, for example `targets +1 -2`.
    #[must_use]
    pub fn summary(&self) -> String {
        let counts = [
            ("models", self.models.counts()),
            ("services", self.services.counts()),
            ("targets", self.targets.counts()),
            ("accounts", self.accounts.counts()),
            ("kinds", self.kinds.counts()),
        ];
        let lists = counts
            .iter()
            .filter(|(_, (set, removed))| set + removed > 0);
        let mut words: Vec<_> = lists
            .map(|(list, (set, removed))| format!("{list} +{set} -{removed}"))
            .collect();
        if let Some(weight) = self.change_weight {
            words.push(format!("change_weight {weight}"));
        }
        words.join(", ")
    }
}

impl Config {
    /// Takes one step; false, and nothing is changed, if it does not start at this version.
    pub fn apply(&mut self, change: &ConfigChange) -> bool {
        if change.version.0 != self.version.0 + 1 {
            return false;
        }
        change.models.apply(&mut self.models);
        change.services.apply(&mut self.services);
        change.targets.apply(&mut self.targets);
        change.accounts.apply(&mut self.accounts);
        change.kinds.apply(&mut self.kinds);
        if let Some(weight) = change.change_weight {
            self.change_weight = weight;
        }
        self.version = change.version;
        true
    }
}
