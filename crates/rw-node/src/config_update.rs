//! Recent configuration changes, kept for peers that are behind.

use rw_types::{Config, ConfigChange, Version};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Maximum number of changes kept.
const MAX_CHANGES: usize = 256;
/// Maximum number of items in a change that is kept. Beyond that, sending the full configuration
/// is cheaper.
const MAX_ITEMS: usize = 1_000;

/// An update that brings a peer to the current version.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ConfigUpdate {
    /// The missing changes in order of version.
    #[serde(rename = "steps")]
    Incremental(Vec<ConfigChange>),
    /// The full configuration, because the changes are no longer kept.
    #[serde(rename = "whole")]
    Full(Box<Config>),
}

/// The most recent changes with consecutive versions, oldest first.
#[derive(Debug, Default)]
pub struct RecentChanges {
    changes: VecDeque<ConfigChange>,
}

impl RecentChanges {
    /// Adds changes in order of version. A gap or a change over the size limit discards all earlier
    /// ones.
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

    /// Returns the changes after `since` up to and including `to`, if all of them are kept.
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
    counts.iter().map(|(set, removed)| set + removed).sum()
}
