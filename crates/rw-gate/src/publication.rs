//! Publication of this node's state to the other nodes.
//!
//! A digest contains what has changed since the previous one and repeats a part of the rest, so that
//! its size does not grow with the number of open calls.

use crate::{CacheInsert, Digest, Gate, RoleChange, Target, WorkReport};
use rw_types::{Millis, Suspect};
use std::{cmp::Reverse, collections::VecDeque};

/// Age from which an unchanged report is repeated, in milliseconds.
const REPEAT_MS: u64 = 1_500;
/// Time without a digest after which one is published even without news, in milliseconds.
const KEEPALIVE_MS: u64 = 1_000;
/// Maximum number of reports and of prefills in them that one digest carries.
const MAX_REPORT_ITEMS: usize = 16;
/// Maximum number of prefix hashes that one digest carries.
const MAX_HASHES: usize = 16;
/// Maximum number of suspect requests that one digest carries.
const MAX_SUSPECTS: usize = 4;
/// Maximum number of cache inserts that wait to be published; older ones are dropped, because the
/// targets evict them first.
const MAX_WAITING_INSERTS: usize = 64;
/// Maximum number of reports on parts of prompts that one digest carries.
const MAX_PARTS: usize = 4;
/// Maximum number of leaving targets that one digest carries.
const MAX_LEAVING: usize = 8;
/// Maximum number of targets whose processes have ended that one digest carries.
const MAX_ENDED: usize = 8;
/// Maximum number of rate limits that one digest carries.
const MAX_LIMITS: usize = 4;
/// Maximum number of streams with their origins that one digest carries.
const MAX_ORIGINS: usize = 24;
/// Age up to which suspect requests are published, in milliseconds.
const SUSPECT_PUBLISH_MS: u64 = 5_000;
/// Number of digests that carry a suspect request, since one may be lost.
const SUSPECT_SENDS: u32 = 2;

/// A report as it was last published.
#[derive(Debug, Clone)]
struct PublishedReport {
    report: WorkReport,
    at: Millis,
}

/// A suspect request that was published or that this node has found.
#[derive(Debug, Clone, Copy)]
struct PublishedSuspect {
    fingerprint: u64,
    /// Number of crashed targets that the digests entry.
    targets: usize,
    /// Number of digests that carried it with these targets.
    sends: u32,
    /// Whether it crashed a target while this node ran it.
    is_own: bool,
}

/// What this node has published, and what waits to be published.
#[derive(Debug, Clone, Default)]
pub(crate) struct Publication {
    /// Latest report on each target that has work, sorted by target name.
    reports: Vec<PublishedReport>,
    /// Prompts sent to targets that were not published yet, the oldest first.
    inserts: VecDeque<CacheInsert>,
    /// Recent suspect requests, sorted by fingerprint.
    suspects: Vec<PublishedSuspect>,
    /// Whether the next digest must not wait for other news.
    is_urgent: bool,
    published_at: Option<Millis>,
}

impl Publication {
    /// Queues a cache insert for the next digests.
    pub(crate) fn push_insert(&mut self, insert: CacheInsert) {
        if self.inserts.len() == MAX_WAITING_INSERTS {
            self.inserts.pop_front();
        }
        self.inserts.push_back(insert);
    }

    /// Makes the next digest due at once.
    pub(crate) fn set_urgent(&mut self) {
        self.is_urgent = true;
    }

    /// Notes that a request of this node crashed its target.
    pub(crate) fn note_crash(&mut self, fingerprint: u64) {
        self.suspect_entry(fingerprint).is_own = true;
        self.set_urgent();
    }

    fn suspect_entry(&mut self, fingerprint: u64) -> &mut PublishedSuspect {
        let found = self
            .suspects
            .binary_search_by_key(&fingerprint, |s| s.fingerprint);
        let i = found.unwrap_or_else(|i| {
            let new = PublishedSuspect {
                fingerprint,
                targets: 0,
                sends: 0,
                is_own: false,
            };
            self.suspects.insert(i, new);
            i
        });
        &mut self.suspects[i]
    }

    /// The suspects among `recent`, which is sorted by fingerprint, that were not published often
    /// enough: first those that crashed the most targets, then those that this node found. Within
    /// [`MAX_SUSPECTS`].
    fn take_suspects(&mut self, recent: Vec<Suspect>) -> Vec<Suspect> {
        let is_recent = |s: &PublishedSuspect| {
            let found = recent.binary_search_by_key(&s.fingerprint, |r| r.fingerprint);
            found.is_ok()
        };
        self.suspects.retain(is_recent);
        let mut due: Vec<(bool, Suspect)> = Vec::new();
        for suspect in recent {
            let entry = self.suspect_entry(suspect.fingerprint);
            if entry.targets < suspect.targets.len() {
                entry.targets = suspect.targets.len();
                entry.sends = 0;
            }
            if entry.sends < SUSPECT_SENDS {
                due.push((entry.is_own, suspect));
            }
        }
        due.sort_by_key(|(is_own, s)| (Reverse(s.targets.len()), !is_own, s.age_ms));
        let taken: Vec<Suspect> = due.into_iter().take(MAX_SUSPECTS).map(|(_, s)| s).collect();
        for suspect in &taken {
            self.suspect_entry(suspect.fingerprint).sends += 1;
        }
        taken
    }

    fn is_due(&self, now: Millis) -> bool {
        let is_silent = |at| now.since(at) >= KEEPALIVE_MS;
        self.is_urgent || !self.inserts.is_empty() || self.published_at.is_none_or(is_silent)
    }

    /// The reports of `current` that have changed since they were published, and those that are due
    /// to be repeated: first the changes, then those published longest ago. Within
    /// [`MAX_REPORT_ITEMS`], but at least one.
    fn take_reports(&mut self, now: Millis, current: Vec<WorkReport>) -> Vec<WorkReport> {
        let withdrawn = self.withdrawn(&current);
        let mut due: Vec<(Reverse<bool>, Millis, WorkReport)> = Vec::new();
        for report in current.into_iter().chain(withdrawn) {
            let published = self.index(&report.target).ok().map(|i| &self.reports[i]);
            let at = published.map_or(Millis(0), |p| p.at);
            let has_changed = published.is_none_or(|p| !p.report.has_same_work(&report));
            if has_changed || now.since(at) >= REPEAT_MS {
                due.push((Reverse(has_changed), at, report));
            }
        }
        due.sort_by_key(|(change, at, _)| (*change, *at));
        let mut items = 0;
        let fits = due
            .into_iter()
            .map(|(_, _, report)| report)
            .take_while(|r| {
                let is_first = items == 0;
                items += 1 + r.prefills.len();
                is_first || items <= MAX_REPORT_ITEMS
            });
        let taken: Vec<WorkReport> = fits.collect();
        taken.iter().for_each(|r| self.record(now, r));
        taken
    }

    /// Empty reports on the targets whose work has ended since it was published.
    fn withdrawn(&self, current: &[WorkReport]) -> Vec<WorkReport> {
        let names = self.reports.iter().map(|p| &p.report.target);
        let ended = names.filter(|name| !current.iter().any(|r| r.target == **name));
        let empty = |target: &String| WorkReport {
            target: target.clone(),
            ..WorkReport::default()
        };
        ended.map(empty).collect()
    }

    fn record(&mut self, now: Millis, report: &WorkReport) {
        let published = PublishedReport {
            report: report.clone(),
            at: now,
        };
        match (self.index(&report.target), report.is_empty()) {
            (Ok(i), true) => drop(self.reports.remove(i)),
            (Ok(i), false) => self.reports[i] = published,
            (Err(i), false) => self.reports.insert(i, published),
            (Err(_), true) => {}
        }
    }

    fn take_inserts(&mut self) -> Vec<CacheInsert> {
        let mut hashes = 0;
        let fitting = self.inserts.iter().take_while(|insert| {
            let is_first = hashes == 0;
            hashes += insert.prefix_hashes.len();
            is_first || hashes <= MAX_HASHES
        });
        let count = fitting.count();
        self.inserts.drain(..count).collect()
    }

    fn index(&self, target: &str) -> Result<usize, usize> {
        self.reports
            .binary_search_by(|p| p.report.target.as_str().cmp(target))
    }
}

impl Gate {
    /// The digest to publish to the other nodes now; `None` if there is nothing to publish. What it
    /// contains counts as published.
    pub fn publish(&mut self, now: Millis) -> Option<Digest> {
        let current = self.target_reports(now);
        let reports = self.publication.take_reports(now, current);
        let recent = self.suspects.export_recent(now, SUSPECT_PUBLISH_MS);
        let suspects = self.publication.take_suspects(recent);
        let parts = self.part_suspects.take_reports(now, MAX_PARTS);
        let leaving = self.targets.take_leaving(MAX_LEAVING);
        let ended = self.targets.take_ended(MAX_ENDED);
        let limits = self.targets.take_limits(now, MAX_LIMITS);
        let origins = self.origins.take_reports(MAX_ORIGINS);
        let history = self.software.take_news(now, self.origin_ttl_ms);
        let speeds = self.due_speeds(now);
        let has_news = !reports.is_empty()
            || !suspects.is_empty()
            || !parts.is_empty()
            || !leaving.is_empty()
            || !ended.is_empty()
            || !limits.is_empty()
            || !origins.is_empty()
            || history.is_some()
            || speeds.iter().any(|s| s.is_news);
        if !has_news && !self.publication.is_due(now) {
            return None;
        }
        self.publication.is_urgent = false;
        self.publication.published_at = Some(now);
        Some(Digest {
            reports,
            cache_inserts: self.publication.take_inserts(),
            suspects,
            parts,
            leaving,
            ended,
            limits,
            speeds: self.take_speeds(now, speeds),
            origins,
            history,
            shares: self.take_shares(now),
            demand: self.take_demand(now),
            token: self.lease.take_token(now),
            ..self.empty_digest(now)
        })
    }

    /// A digest that tells only who sends it.
    pub(crate) fn empty_digest(&self, now: Millis) -> Digest {
        Digest {
            vm: self.settings.vm.clone(),
            version: self.routing.version,
            connected_ms: self.connected_ms(now),
            leaves_duties: self.duty_reach.is_absent(now),
            unreachable: self.reachability.unreachable(),
            lacks_keys: !self.can_verify_keys(now),
            ..Digest::default()
        }
    }

    /// Reports on all targets with work of this node or a role change.
    fn target_reports(&self, now: Millis) -> Vec<WorkReport> {
        let targets = self.targets.all().iter();
        let reports = targets.map(|t| target_report(now, t));
        reports.filter(|r| !r.is_empty()).collect()
    }
}

fn target_report(now: Millis, t: &Target) -> WorkReport {
    let change = t.role_change.filter(|_| t.is_changing_role(now));
    WorkReport {
        target: t.spec.name.clone(),
        prefills: t.queue.local_jobs(now).take(MAX_REPORT_ITEMS).collect(),
        calls: if t.open_tokens > 0 { t.open_calls } else { 0 },
        tokens: t.open_tokens,
        role_change: change.map(|(until, role)| RoleChange {
            role,
            left_ms: until.since(now),
        }),
    }
}
