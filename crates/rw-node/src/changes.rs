//! Changes that a node keeps for peers that are late.

use rw_types::{Config, ConfigChange, Version};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Most changes kept.
const MAX_CHANGES: usize = 256;
/// Most items of one change that is kept; a larger one is cheaper sent as a whole configuration.
const MAX_ITEMS: usize = 1_000;

/// What a peer lacks.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ConfigUpdate {
    /// Changes in the order of their versions.
    #[serde(rename = "steps")]
    Incremental(Vec<ConfigChange>),
    /// The whole configuration, because the changes are no longer kept.
    #[serde(rename = "whole")]
    Full(Box<Config>),
}

/// The latest changes, without gaps, oldest first.
#[derive(Debug, Default)]
pub struct RecentChanges {
    changes: VecDeque<ConfigChange>,
}

impl RecentChanges {
    /// Adds changes that follow each other.
    pub fn push(&mut self, changes: Vec<ConfigChange>) {
        for change in changes {
            let last = self.changes.back().map(|c| c.version.0 + 1);
            if last.is_some_and(|next| next != change.version.0) || item_count(&change) > MAX_ITEMS
            {
                self.changes.clear();
            }
            if item_count(&change) <= MAX_ITEMS {
                self.changes.push_back(change);
            }
        }
        let extra = self.changes.len().saturating_sub(MAX_CHANGES);
        self.changes.drain(..extra);
    }

    /// The changes after `since` up to `to`, if all of them are kept.
    #[must_use]
    pub fn between(&self, since: Version, to: Version) -> Option<Vec<ConfigChange>> {
        if since >= to {
            return Some(Vec::new());
        }
        let first = self.changes.front()?.version;
        let last = self.changes.back()?.version;
        if first.0 > since.0 + 1 || last < to {
            return None;
        }
        let missing = self.changes.iter().filter(|c| c.version > since);
        Some(missing.cloned().collect())
    }
}

fn item_count(change: &ConfigChange) -> usize {
    let counts = [
        change.models.counts(),
        change.services.counts(),
        change.targets.counts(),
        change.accounts.counts(),
        change.kinds.counts(),
    ];
    counts.iter().map(|(set, gone)| set + gone).sum()
}
