//! Memory of what targets have said about themselves.
//!
//! It outlives the targets' entries: one that is read again, from a replica that lags or from before
//! the target said that it is leaving, doesn't bring the target back. A new incarnation does.

use crate::{LeavingSource, TargetIncarnation};
use rw_types::Millis;

/// Maximum number of targets remembered; those updated longest ago go first.
const MAX_TARGETS: usize = 4_096;
/// Number of digests that carry a leaving target, since one may be lost.
const LEAVING_SENDS: u32 = 2;

/// What one incarnation of a target has said.
#[derive(Debug, Clone)]
pub(crate) struct NoticeEntry {
    name: String,
    incarnation: u64,
    pub(crate) leaving: Option<LeavingSource>,
    pub(crate) paused_until: Option<Millis>,
    updated_at: Millis,
    /// Number of digests that are still to carry that it is leaving.
    sends: u32,
}

/// Targets that have said something about themselves, sorted by name.
#[derive(Debug, Clone, Default)]
pub(crate) struct NoticeLog {
    entries: Vec<NoticeEntry>,
}

impl NoticeLog {
    /// What this incarnation of the target has said.
    pub(crate) fn find(&self, name: &str, incarnation: u64) -> Option<&NoticeEntry> {
        let entry = &self.entries[self.index(name).ok()?];
        (entry.incarnation == incarnation).then_some(entry)
    }

    /// Records that a target is leaving; returns whether this is news.
    pub(crate) fn set_leaving(
        &mut self,
        now: Millis,
        target: &TargetIncarnation,
        source: LeavingSource,
    ) -> bool {
        let Some(entry) = self.entry(now, &target.name, target.incarnation) else {
            return false;
        };
        let is_news = entry.leaving.is_none();
        if is_news {
            entry.leaving = Some(source);
            entry.sends = LEAVING_SENDS;
        }
        is_news
    }

    /// Records a pause. It never ends earlier than the one asked for before.
    pub(crate) fn pause(&mut self, now: Millis, name: &str, incarnation: u64, until: Millis) {
        if let Some(entry) = self.entry(now, name, incarnation) {
            entry.paused_until = entry.paused_until.max(Some(until));
        }
    }

    /// The leaving targets that are due to be published, at most `max`.
    pub(crate) fn take_leaving(&mut self, max: usize) -> Vec<TargetIncarnation> {
        let due = self.entries.iter_mut().filter(|e| e.sends > 0);
        let taken = due.take(max).map(|e| {
            e.sends -= 1;
            e.target()
        });
        taken.collect()
    }

    /// All leaving targets, for a node that has just started.
    pub(crate) fn export(&self) -> Vec<TargetIncarnation> {
        let leaving = self.entries.iter().filter(|e| e.leaving.is_some());
        leaving.map(NoticeEntry::target).collect()
    }

    /// The entry of an incarnation; `None` if a later incarnation is known.
    fn entry(&mut self, now: Millis, name: &str, incarnation: u64) -> Option<&mut NoticeEntry> {
        let new = NoticeEntry {
            name: name.to_owned(),
            incarnation,
            leaving: None,
            paused_until: None,
            updated_at: now,
            sends: 0,
        };
        let i = match self.index(name) {
            Ok(i) if self.entries[i].incarnation > incarnation => return None,
            Ok(i) => {
                if self.entries[i].incarnation < incarnation {
                    self.entries[i] = new;
                }
                i
            }
            Err(_) => self.insert(new),
        };
        self.entries[i].updated_at = now;
        Some(&mut self.entries[i])
    }

    fn insert(&mut self, entry: NoticeEntry) -> usize {
        if self.entries.len() == MAX_TARGETS {
            let entries = self.entries.iter().enumerate();
            let oldest = entries.min_by_key(|(_, e)| e.updated_at).map(|(i, _)| i);
            oldest.map(|i| self.entries.remove(i));
        }
        let i = self.index(&entry.name).unwrap_or_else(|i| i);
        self.entries.insert(i, entry);
        i
    }

    fn index(&self, name: &str) -> Result<usize, usize> {
        self.entries.binary_search_by(|e| e.name.as_str().cmp(name))
    }
}

impl NoticeEntry {
    fn target(&self) -> TargetIncarnation {
        TargetIncarnation {
            name: self.name.clone(),
            incarnation: self.incarnation,
        }
    }
}
