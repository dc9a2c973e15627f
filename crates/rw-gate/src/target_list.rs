//! The targets known to this node.

use crate::{
    LeavingSource, LimitReport, Target, TargetIncarnation, TargetSpec,
    notice_log::{NoticeEntry, NoticeLog},
    rate_limits::{RateLimits, Sharers},
};
use rw_types::{Millis, RateNotice, RequestRate};

/// Targets sorted by name.
#[derive(Debug, Clone, Default)]
pub struct TargetList {
    list: Vec<Target>,
    notices: NoticeLog,
    limits: RateLimits,
}

impl TargetList {
    /// All targets, sorted by name.
    #[must_use]
    pub fn all(&self) -> &[Target] {
        &self.list
    }

    /// The target with this name.
    #[must_use]
    pub fn find(&self, name: &str) -> Option<&Target> {
        Some(&self.list[self.index(name).ok()?])
    }

    /// The target with this name, if `incarnation` is its current one.
    pub fn find_incarnation(&mut self, name: &str, incarnation: u64) -> Option<&mut Target> {
        let i = self.index(name).ok()?;
        let target = &mut self.list[i];
        (target.spec.incarnation == incarnation).then_some(target)
    }

    /// The target with this name.
    pub fn find_mut(&mut self, name: &str) -> Option<&mut Target> {
        let i = self.index(name).ok()?;
        Some(&mut self.list[i])
    }

    /// Adds or updates an entry. Returns true if the target is new or has a new incarnation.
    pub fn upsert(&mut self, spec: TargetSpec) -> bool {
        let name = spec.name.clone();
        let is_new = self.replace_entry(spec);
        self.apply_notices(&name);
        is_new
    }

    /// Records that a target is leaving; returns whether this is news.
    pub(crate) fn set_leaving(
        &mut self,
        now: Millis,
        target: &TargetIncarnation,
        source: LeavingSource,
    ) -> bool {
        let is_news = self.notices.set_leaving(now, target, source);
        self.apply_notices(&target.name);
        is_news
    }

    /// Records that a target wants no new work until `until`.
    pub(crate) fn pause(&mut self, now: Millis, target: &TargetIncarnation, until: Millis) {
        self.notices
            .pause(now, &target.name, target.incarnation, until);
        self.apply_notices(&target.name);
    }

    /// The rate limit that an incarnation of a target has named, if it is in force.
    #[must_use]
    pub fn rate_limit(&self, name: &str, incarnation: u64) -> Option<RequestRate> {
        self.limits.rate(name, incarnation)
    }

    /// Records what a target says about its rate limit; returns whether this is news.
    pub(crate) fn set_rate(
        &mut self,
        now: Millis,
        target: &TargetIncarnation,
        notice: RateNotice,
    ) -> bool {
        let is_news = self.limits.record(now, target, notice);
        self.apply_notices(&target.name);
        is_news
    }

    /// Records what another node has reported about a rate limit.
    pub(crate) fn merge_limit(&mut self, now: Millis, report: &LimitReport) {
        self.limits.merge_report(now, report);
        self.apply_notices(&report.target.name);
    }

    /// Records a request to a target, of whatever kind.
    pub(crate) fn record_request(&mut self, now: Millis, name: &str) {
        self.limits.record_request(now, name);
        self.apply_notices(name);
    }

    /// Replaces the nodes that share the rate limits.
    pub(crate) fn set_sharers(&mut self, now: Millis, sharers: Sharers) {
        self.limits.set_sharers(now, sharers);
        let names: Vec<String> = self.list.iter().map(|t| t.spec.name.clone()).collect();
        names.iter().for_each(|name| self.apply_notices(name));
    }

    /// The rate limits that are due to be published, at most `max`.
    pub(crate) fn take_limits(&mut self, now: Millis, max: usize) -> Vec<LimitReport> {
        self.limits.take_reports(now, max)
    }

    /// All rate limits in force.
    pub(crate) fn limits(&self, now: Millis) -> Vec<LimitReport> {
        self.limits.export(now)
    }

    /// The leaving targets that are due to be published, at most `max`.
    pub(crate) fn take_leaving(&mut self, max: usize) -> Vec<TargetIncarnation> {
        self.notices.take_leaving(max)
    }

    /// The targets whose processes have ended and that are due to be published, at most `max`.
    pub(crate) fn take_ended(&mut self, max: usize) -> Vec<TargetIncarnation> {
        let due = self.list.iter_mut().filter(|t| t.doubt.is_open());
        let taken = due.filter_map(|t| {
            t.doubt.take_send().then(|| TargetIncarnation {
                name: t.spec.name.clone(),
                incarnation: t.spec.incarnation,
            })
        });
        taken.take(max).collect()
    }

    /// The targets that `is_meant` names.
    pub(crate) fn incarnations(
        &self,
        is_meant: impl Fn(&Target) -> bool,
    ) -> Vec<TargetIncarnation> {
        let meant = self.list.iter().filter(|t| is_meant(t));
        let named = meant.map(|t| TargetIncarnation {
            name: t.spec.name.clone(),
            incarnation: t.spec.incarnation,
        });
        named.collect()
    }

    /// All targets that have said that they are leaving.
    pub(crate) fn leaving(&self) -> Vec<TargetIncarnation> {
        self.notices.export()
    }

    /// Updates a target by what its incarnation has said.
    fn apply_notices(&mut self, name: &str) {
        let Ok(i) = self.index(name) else {
            return;
        };
        let target = &mut self.list[i];
        let said = self.notices.find(name, target.spec.incarnation);
        target.leaving = said.and_then(|e| e.leaving);
        target.paused_until = said.and_then(|e: &NoticeEntry| e.paused_until);
        target.send_window = self.limits.window(name, target.spec.incarnation);
    }

    fn replace_entry(&mut self, spec: TargetSpec) -> bool {
        match self.index(&spec.name) {
            Ok(i) if self.list[i].spec.incarnation == spec.incarnation => {
                let target = &mut self.list[i];
                if target.spec.role != spec.role {
                    target.role_change = None;
                }
                target.spec = spec;
                target.remove_at = None;
                false
            }
            Ok(i) => {
                self.list[i] = Target::new(spec);
                true
            }
            Err(i) => {
                self.list.insert(i, Target::new(spec));
                true
            }
        }
    }

    /// Removes a target at the time `at`, or immediately if `at` is not later than `now`.
    pub fn remove(&mut self, name: &str, now: Millis, at: Millis) {
        let Ok(i) = self.index(name) else {
            return;
        };
        // A target that announced that it is leaving is removed at once: its entry did not lapse
        // because of a store outage.
        let target = &self.list[i];
        if at <= now || target.spec.leaving || target.leaving.is_some() {
            self.list.remove(i);
        } else {
            let target = &mut self.list[i];
            target.remove_at = Some(target.remove_at.map_or(at, |current| current.min(at)));
        }
    }

    /// Removes targets whose entries lapsed and were not renewed in time.
    pub fn remove_expired(&mut self, now: Millis) {
        self.list.retain(|t| t.remove_at.is_none_or(|at| now < at));
    }

    /// Removes all targets whose entries lapsed, without waiting for a renewal.
    pub fn remove_lapsed(&mut self) {
        self.list.retain(|t| t.remove_at.is_none());
    }

    /// Iterates over the targets in order of their names.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Target> {
        self.list.iter_mut()
    }

    fn index(&self, name: &str) -> Result<usize, usize> {
        self.list
            .binary_search_by(|t| t.spec.name.as_str().cmp(name))
    }
}
