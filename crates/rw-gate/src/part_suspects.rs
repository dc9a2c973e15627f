//! Prompt parts whose calls crash their targets.
//!
//! Answers load in which many different requests share a part of their prompts, and every target that
//! generates from that part crashes. A crash ends all calls of its target, and each call names several
//! parts, so that crashes alone don't tell which part is the cause. A call that completes does: none of
//! its parts is.

use crate::{PartReport, PromptPart};
use rw_types::{Millis, fingerprint};
use std::cmp::Reverse;

/// Crashes after which a part is refused that no call has completed with.
const CRASHES_UNPROVEN: usize = 3;
/// Crashes since the latest completed call after which a part is refused that some have completed
/// with.
const CRASHES_PROVEN: usize = 5;
/// Time without a completed call before such a part is refused, in milliseconds.
const SILENCE_MS: u64 = 2_000;
/// Time after a completed call during which its parts count as proven, in milliseconds.
const PROVEN_MS: u64 = 60_000;
/// Interval within which crashes count as one, because one cause may stop many targets, in
/// milliseconds.
const EPISODE_MS: u64 = 100;
/// Maximum number of crashes kept for a part; the oldest are dropped.
const MAX_CRASHES: usize = 16;
/// Maximum number of parts kept; those without crashes go first, then the oldest.
const MAX_PARTS: usize = 4_096;
/// Number of digests that carry a report, since one may be lost.
const REPORT_SENDS: u32 = 2;

/// A crash of one incarnation of a target.
#[derive(Debug, Clone, Copy)]
struct Crash {
    id: u32,
    at: Millis,
}

#[derive(Debug, Clone)]
struct Entry {
    part: u64,
    /// Crashes since the latest completed call, the oldest first.
    crashes: Vec<Crash>,
    completed: Option<Millis>,
    /// Number of digests that are still to carry this entry.
    sends: u32,
}

impl Entry {
    /// Number of crashes; those at about the same time count as one.
    fn episodes(&self) -> usize {
        let starts = self.crashes.windows(2);
        let further = starts.filter(|w| w[1].at.since(w[0].at) >= EPISODE_MS);
        further.count() + usize::from(!self.crashes.is_empty())
    }

    fn latest(&self) -> Millis {
        let crashed = self.crashes.last().map(|c| c.at);
        crashed.max(self.completed).unwrap_or(Millis(0))
    }

    /// Crashes from which the part is refused; `None` if a call completed with it just now.
    fn threshold(&self, now: Millis) -> Option<usize> {
        match self.completed.map(|at| now.since(at)) {
            Some(age_ms) if age_ms < SILENCE_MS => None,
            Some(age_ms) if age_ms < PROVEN_MS => Some(CRASHES_PROVEN),
            _ => Some(CRASHES_UNPROVEN),
        }
    }

    fn is_refused(&self, now: Millis) -> bool {
        let threshold = self.threshold(now);
        threshold.is_some_and(|n| self.episodes() >= n)
    }

    /// Milliseconds for which the part is refused. Each further crash adds `base_ms`.
    fn refused_ms(&self, now: Millis, base_ms: u64) -> Option<u64> {
        let further = self.episodes().checked_sub(self.threshold(now)?)?;
        let ttl_ms = base_ms * (1 + further as u64);
        let last = self.crashes.last()?;
        ttl_ms.checked_sub(now.since(last.at)).filter(|ms| *ms > 0)
    }

    /// Adds a crash unless it is known or a call has completed since; returns whether it was added.
    fn add_crash(&mut self, crash: Crash) -> bool {
        let is_known = self.crashes.iter().any(|c| c.id == crash.id);
        if is_known || self.completed.is_some_and(|at| at >= crash.at) {
            return false;
        }
        let i = self.crashes.partition_point(|c| c.at <= crash.at);
        self.crashes.insert(i, crash);
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.remove(0);
        }
        true
    }

    /// Removes the crashes up to `at`; returns whether there were any.
    fn complete(&mut self, at: Millis) -> bool {
        self.completed = self.completed.max(Some(at));
        let before = self.crashes.len();
        self.crashes.retain(|c| c.at > at);
        self.crashes.len() < before
    }

    fn report(&self, now: Millis) -> PartReport {
        PartReport {
            part: self.part,
            crashes: self.crashes.iter().map(|c| c.id).collect(),
            age_ms: now.since(self.latest()),
        }
    }
}

/// Parts of prompts, with the crashes and the completed calls that this node and its peers have
/// seen, sorted by part.
#[derive(Debug, Clone, Default)]
pub struct PartSuspects {
    entries: Vec<Entry>,
}

impl PartSuspects {
    /// Records that the target `name` crashed in its `incarnation` while it ran a call with `parts`.
    pub fn record_crash(
        &mut self,
        now: Millis,
        parts: &[PromptPart],
        name: &str,
        incarnation: u64,
    ) {
        let crash = Crash {
            id: crash_id(name, incarnation),
            at: now,
        };
        // A crash that a refused part explains says nothing about the others.
        let is_explained = |e: &Entry| {
            let has_crash = e.crashes.iter().any(|c| c.id == crash.id);
            has_crash && e.is_refused(now)
        };
        if self.entries.iter().any(is_explained) {
            return;
        }
        for part in shared(parts) {
            self.add_crash(part.id, crash);
        }
    }

    /// Records that a call with `parts` completed.
    pub fn record_completion(&mut self, now: Millis, parts: &[PromptPart]) {
        for part in shared(parts) {
            self.complete(part.id, now);
        }
    }

    /// Milliseconds until a call with `parts` may run again; `None` if it may run now. Each further
    /// crash under a part adds `base_ms`.
    #[must_use]
    pub fn refused_ms(&self, now: Millis, parts: &[PromptPart], base_ms: u64) -> Option<u64> {
        let known = shared(parts).iter().filter_map(|p| self.index(p.id).ok());
        known
            .filter_map(|i| self.entries[i].refused_ms(now, base_ms))
            .max()
    }

    /// The reports that are due to be published, those with the most crashes first, at most `max`.
    pub fn take_reports(&mut self, now: Millis, max: usize) -> Vec<PartReport> {
        let due = self.entries.iter_mut().filter(|e| e.sends > 0);
        let mut due: Vec<&mut Entry> = due.collect();
        due.sort_by_key(|e| Reverse(e.episodes()));
        let taken = due.into_iter().take(max);
        let reports = taken.map(|e| {
            e.sends -= 1;
            e.report(now)
        });
        reports.collect()
    }

    /// Reports on all parts with crashes, for a node that has just started.
    #[must_use]
    pub fn export(&self, now: Millis) -> Vec<PartReport> {
        let crashed = self.entries.iter().filter(|e| !e.crashes.is_empty());
        crashed.map(|e| e.report(now)).collect()
    }

    /// Merges reports received from a peer.
    pub fn merge(&mut self, now: Millis, reports: &[PartReport]) {
        for report in reports {
            let at = Millis(now.0.saturating_sub(report.age_ms));
            if report.crashes.is_empty() {
                self.complete(report.part, at);
            }
            for id in &report.crashes {
                self.add_crash(report.part, Crash { id: *id, at });
            }
        }
    }

    fn add_crash(&mut self, part: u64, crash: Crash) {
        let entry = self.entry(part);
        if entry.add_crash(crash) {
            entry.sends = REPORT_SENDS;
        }
    }

    /// A completed call is published only if it clears crashes that other nodes may know.
    fn complete(&mut self, part: u64, at: Millis) {
        let entry = self.entry(part);
        if entry.complete(at) {
            entry.sends = REPORT_SENDS;
        }
    }

    fn entry(&mut self, part: u64) -> &mut Entry {
        let i = match self.index(part) {
            Ok(i) => i,
            Err(_) => self.insert(part),
        };
        &mut self.entries[i]
    }

    fn insert(&mut self, part: u64) -> usize {
        if self.entries.len() == MAX_PARTS {
            self.evict();
        }
        let i = self.index(part).unwrap_or_else(|i| i);
        let entry = Entry {
            part,
            crashes: Vec::new(),
            completed: None,
            sends: 0,
        };
        self.entries.insert(i, entry);
        i
    }

    fn evict(&mut self) {
        let entries = self.entries.iter().enumerate();
        let oldest = entries.min_by_key(|(_, e)| (!e.crashes.is_empty(), e.latest()));
        if let Some((i, _)) = oldest {
            self.entries.remove(i);
        }
    }

    fn index(&self, part: u64) -> Result<usize, usize> {
        self.entries.binary_search_by_key(&part, |e| e.part)
    }
}

/// The parts that other calls may share: all but the last.
fn shared(parts: &[PromptPart]) -> &[PromptPart] {
    parts.split_last().map_or(&[], |(_, shared)| shared)
}

/// Identifies one incarnation of a target among the crashes that the nodes of a fleet report.
fn crash_id(name: &str, incarnation: u64) -> u32 {
    let bytes = [name.as_bytes(), &incarnation.to_le_bytes()].concat();
    fingerprint(&bytes) as u32
}
