//! The difference between two consecutive versions of the configuration.

use crate::{Account, Config, ListChange, Model, Service, Target, Version, WorkKind};
use serde::{Deserialize, Serialize};

/// The difference between one version of the configuration and the next.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigChange {
    /// Version that the change results in; it applies to the version before it.
    pub version: Version,
    /// Operator who confirmed the change.
    #[serde(default)]
    pub by: String,
    /// Id of the confirmed plan.
    #[serde(default)]
    pub plan: String,
    /// Changed models.
    #[serde(default, skip_serializing_if = "ListChange::is_empty")]
    pub models: ListChange<Model>,
    /// Changed services.
    #[serde(default, skip_serializing_if = "ListChange::is_empty")]
    pub services: ListChange<Service>,
    /// Changed targets.
    #[serde(default, skip_serializing_if = "ListChange::is_empty")]
    pub targets: ListChange<Target>,
    /// Changed client accounts.
    #[serde(default, skip_serializing_if = "ListChange::is_empty")]
    pub accounts: ListChange<Account>,
    /// Changed kinds of work.
    #[serde(default, skip_serializing_if = "ListChange::is_empty")]
    pub kinds: ListChange<WorkKind>,
    /// New cost of a role change, in seconds of one engine's goodput; absent if unchanged.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub change_weight: Option<f64>,
}

impl ConfigChange {
    /// Computes the change from `old` to `new`. Their lists must be sorted by name.
    #[must_use]
    pub fn between(old: &Config, new: &Config) -> Self {
        let weight = new.change_weight;
        Self {
            version: Version(old.version.0.saturating_add(1)),
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

    /// Whether the two versions have equal contents.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.models.is_empty()
            && self.services.is_empty()
            && self.targets.is_empty()
            && self.accounts.is_empty()
            && self.kinds.is_empty()
            && self.change_weight.is_none()
    }

    /// One line with the number of items set and removed in each list, for example `targets +1 -2`.
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
    /// Applies a change. Returns false and leaves the configuration as it is if the change does not
    /// follow directly on this version.
    pub fn apply(&mut self, change: &ConfigChange) -> bool {
        if self.version.0.checked_add(1) != Some(change.version.0) {
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
