//! The difference between two versions of a list sorted by name.

use crate::Named;
use serde::{Deserialize, Serialize};
use std::cmp::Ordering;

/// Items to insert or replace, and names of items to remove.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListChange<T> {
    /// Items that are new or changed, sorted by name.
    #[serde(default = "Vec::new")]
    pub set: Vec<T>,
    /// Names of the removed items, sorted.
    #[serde(default, rename = "gone")]
    pub removed: Vec<String>,
}

impl<T> Default for ListChange<T> {
    fn default() -> Self {
        Self {
            set: Vec::new(),
            removed: Vec::new(),
        }
    }
}

impl<T> ListChange<T> {
    /// Whether the two lists are equal.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.set.is_empty() && self.removed.is_empty()
    }

    /// Number of items set and number of items removed.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        (self.set.len(), self.removed.len())
    }
}

impl<T: Named + Clone + PartialEq> ListChange<T> {
    /// Computes the change from `old` to `new`, both sorted by name.
    #[must_use]
    pub fn between(old: &[T], new: &[T]) -> Self {
        let mut change = Self::default();
        let mut rest = old.iter().peekable();
        for item in new {
            while let Some(old_item) = rest.next_if(|o| o.name() < item.name()) {
                change.removed.push(old_item.name().to_owned());
            }
            let same = rest.next_if(|o| o.name() == item.name());
            if same != Some(item) {
                change.set.push(item.clone());
            }
        }
        change.removed.extend(rest.map(|o| o.name().to_owned()));
        change
    }

    /// Applies the change to a list sorted by name.
    pub fn apply(&self, list: &mut Vec<T>) {
        if !self.removed.is_empty() {
            let is_removed = |item: &T| {
                let found = self
                    .removed
                    .binary_search_by(|name| name.as_str().cmp(item.name()));
                found.is_ok()
            };
            list.retain(|item| !is_removed(item));
        }
        if self.set.is_empty() {
            return;
        }
        // Merges in one pass: separate insertions would shift the tail of a long list for each item.
        let old = std::mem::take(list);
        list.reserve(old.len() + self.set.len());
        let mut set = self.set.iter().peekable();
        for item in old {
            while let Some(new) = set.next_if(|s| s.name() < item.name()) {
                list.push(new.clone());
            }
            match set.peek().map(|s| s.name().cmp(item.name())) {
                Some(Ordering::Equal) => list.extend(set.next().cloned()),
                _ => list.push(item),
            }
        }
        list.extend(set.cloned());
    }
}
