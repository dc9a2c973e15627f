//! Usage reports: what the holder of the lease collects, writes to the store and sends.
//!
//! For each window, the leader collects counts, then writes the report to the store by
//! compare-and-set, and only sends what the store is known to hold. A report in the store is never
//! computed again, by any node, so that no two different reports are sent for a window.

use crate::{
    DispatchOutcome, DutyOutcome, Effect, Gate, StoredUsage, UsageAnswer, UsageCollection,
    UsageQuery, UsageReport, store_return::StoreReturn,
};
use rw_types::Millis;

/// Time after the end of a window before its counts are collected, in milliseconds: more than what
/// the clocks of two nodes usually differ by.
const SETTLE_MS: u64 = 500;
/// Time before its due time from which a report isn't begun any more, in milliseconds: what
/// collecting, writing and sending take.
const MIN_LEFT_MS: u64 = 700;
/// Pause before the first retry of a report, of a read or of a write, in milliseconds; the pause
/// before a report doubles with each further retry.
const MIN_RETRY_MS: u64 = 500;
/// Maximum pause before a retry, in milliseconds.
const MAX_RETRY_MS: u64 = 4_000;
/// Time after which an operation that the shell has not ended counts as failed, in milliseconds.
const OPERATION_TIMEOUT_MS: u64 = 6_000;
/// Maximum change of the agreed time during a collection, in milliseconds. After a larger one, the
/// window had other bounds and is collected again.
const MAX_CLOCK_CHANGE_MS: u64 = 50;
/// Number of times that the counts of a window are collected again at most.
const MAX_REPEATS: u32 = 2;
/// Number of reports that the store holds at most. Those that are late are dropped earlier.
const MAX_REPORTS: usize = 32;
/// Time by which the start of a stored window may lie in the future, in milliseconds. It covers any
/// difference between clocks; a report of a later window was not written by a node, and would keep
/// others from being written until then.
const MAX_AHEAD_MS: u64 = 30 * 86_400_000;
/// Number of accepted windows that are remembered.
const MAX_ACCEPTED: usize = 16;

/// State of the usage reports of this node.
#[derive(Debug, Clone, Default)]
pub(crate) struct UsageReports {
    /// The store's row as last read or written; `None` if it must be read.
    row: Option<StoredUsage>,
    /// The row as this node last knew it, also while other nodes lead: the store may lose reports that
    /// have been sent.
    acknowledged: StoredUsage,
    /// Whether this node has led since it knew the row, so that it knows all reports that were sent.
    knows_reports: bool,
    /// Windows that ended before this time may have been reported, though the row, which is from a copy,
    /// lacks them and this node doesn't know them.
    unknown_until: Option<Millis>,
    /// Reports that the row lacks since the store came back from a copy. They are written again before
    /// anything else happens.
    lost: Vec<UsageReport>,
    /// Read, collection, write and report in flight, with the time when they began.
    reading: Option<Millis>,
    collecting: Option<(u64, Millis)>,
    writing: Option<(StoredUsage, Millis)>,
    sending: Option<(u64, Millis)>,
    /// Counts of the next window, until they are written.
    collected: Option<UsageReport>,
    /// Number of times that the next window was collected again.
    repeats: u32,
    /// Windows whose reports the platform has accepted from this node.
    accepted: Vec<u64>,
    /// Windows whose reports got no response so far, with the number of calls.
    unanswered: Vec<(u64, u32)>,
    /// Time before which the row isn't read.
    read_after: Millis,
    /// Time before which no report is sent, and the pause that led to it, in milliseconds.
    send_after: Millis,
    pause_ms: u64,
}

impl UsageReports {
    /// Another node leads: its writes make what is known of the row obsolete.
    fn step_down(&mut self) {
        self.row = None;
        self.lost.clear();
        self.collected = None;
        self.knows_reports = false;
    }

    /// The store came back from a copy: the row must be read again. Only the leader knows what it has lost.
    pub(crate) fn store_restored(&mut self, now: Millis) {
        self.row = None;
        if !self.knows_reports {
            self.reports_missed(now);
        }
    }

    /// Windows that ended before `at` may have been reported without a trace.
    pub(crate) fn reports_missed(&mut self, at: Millis) {
        self.unknown_until = self.unknown_until.max(Some(at));
    }

    /// The row was read. If it is of a later era than what this node knew, it may lack reports of
    /// `acknowledged`, of which those that `is_due` are to be written again.
    fn set_row(&mut self, row: StoredUsage, is_due: impl Fn(&UsageReport) -> bool) {
        let is_lost = |r: &&UsageReport| {
            let mut kept = row.record.reports.iter();
            is_due(r) && kept.all(|k| k.window != r.window)
        };
        self.lost = match row.era > self.acknowledged.era {
            true => {
                let reports = self.acknowledged.record.reports.iter();
                reports.filter(is_lost).cloned().collect()
            }
            false => Vec::new(),
        };
        if self.lost.is_empty() {
            self.acknowledged = row.clone();
        }
        self.row = Some(row);
        self.knows_reports = true;
    }

    /// Gives up operations that never ended.
    fn expire(&mut self, now: Millis) {
        let is_over = |at: Millis| now.since(at) >= OPERATION_TIMEOUT_MS;
        self.reading = self.reading.filter(|at| !is_over(*at));
        self.collecting = self.collecting.filter(|(_, at)| !is_over(*at));
        self.sending = self.sending.filter(|(_, at)| !is_over(*at));
        if self.writing.as_ref().is_some_and(|(_, at)| is_over(*at)) {
            self.writing = None;
            self.row = None;
        }
    }

    fn mark_accepted(&mut self, window: u64) {
        if self.accepted.len() == MAX_ACCEPTED {
            self.accepted.remove(0);
        }
        self.accepted.push(window);
        self.unanswered.retain(|(w, _)| *w > window);
        self.pause_ms = 0;
    }

    fn mark_unanswered(&mut self, window: u64) {
        match self.unanswered.iter_mut().find(|(w, _)| *w == window) {
            Some((_, calls)) => *calls += 1,
            None => self.unanswered.push((window, 1)),
        }
        let surplus = self.unanswered.len().saturating_sub(MAX_ACCEPTED);
        self.unanswered.drain(..surplus);
    }

    /// Number of calls about a window that got no response.
    fn unanswered_calls(&self, window: u64) -> u32 {
        let found = self.unanswered.iter().find(|(w, _)| *w == window);
        found.map_or(0, |(_, calls)| *calls)
    }

    fn delay_retry(&mut self, now: Millis) {
        self.pause_ms = (self.pause_ms * 2).clamp(MIN_RETRY_MS, MAX_RETRY_MS);
        self.send_after = now.plus(self.pause_ms);
    }
}

impl Gate {
    /// Counts a call that began to run, once, for its account. Streams begin to run at their first
    /// event, other calls when they ran.
    pub(crate) fn count_run(&mut self, now: Millis, i: usize) {
        let call = &mut self.calls[i];
        if self.settings.duties.usage_window_ms.is_none() || call.is_counted {
            return;
        }
        call.is_counted = true;
        if let Some(account) = &call.account {
            self.usage_counter.record(now, account);
        }
    }

    /// Counts a call that isn't a stream if it ended with a complete response.
    pub(crate) fn count_plain_run(&mut self, now: Millis, i: usize, outcome: &DispatchOutcome) {
        let has_run = matches!(
            outcome,
            DispatchOutcome::Complete { .. } | DispatchOutcome::Delivered
        );
        if has_run && !self.calls[i].retry_policy.is_stream() {
            self.count_run(now, i);
        }
    }

    /// Answers a query for the calls of this node in a window.
    pub fn answer_usage(&mut self, now: Millis, query: &UsageQuery) -> UsageAnswer {
        // The window may have begun before this node started.
        let start = Millis(now.0.saturating_sub(query.age_ms));
        let end = Millis(now.plus(query.length_ms).0.saturating_sub(query.age_ms));
        let report = self.usage_counter.count(query.window, start, end);
        UsageAnswer {
            vm: self.settings.vm.clone(),
            window: query.window,
            counts: report.counts,
            time_ms: self.true_time.own(now),
        }
    }

    /// Whether this node has calls in its counts that no other node has asked for. They are lost if
    /// it exits now.
    #[must_use]
    pub fn has_uncollected_usage(&self) -> bool {
        self.settings.duties.usage_window_ms.is_some() && self.usage_counter.has_uncollected()
    }

    /// Proceeds with the usage reports if this node leads.
    pub(crate) fn check_usage(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        let Some(length_ms) = self.settings.duties.usage_window_ms.filter(|ms| *ms > 0) else {
            return;
        };
        let Some(offset) = self.true_time.offset() else {
            return;
        };
        // Which windows have been reported can't be told before the store was read.
        if self.store_return == StoreReturn::Unknown {
            return;
        }
        self.usage.expire(now);
        // A leader that shuts down goes on until it exits, because no other node leads before that.
        if !self.is_leader(now) {
            return self.usage.step_down();
        }
        let Some(row) = &self.usage.row else {
            if self.usage.reading.is_none() && now >= self.usage.read_after {
                self.usage.reading = Some(now);
                effects.push(Effect::ReadUsage);
            }
            return;
        };
        if !self.usage.lost.is_empty() {
            return self.restore_reports(now, effects);
        }
        let unix_ms = (now.0 as i64 + offset).max(0) as u64;
        let last = row.record.last_window();
        self.send_report(now, effects);
        let Some(window) = self.next_window(last, unix_ms, length_ms) else {
            return;
        };
        let age_ms = unix_ms - window * length_ms;
        if age_ms < length_ms + SETTLE_MS || self.usage.writing.is_some() {
            return;
        }
        match self.usage.collected.clone() {
            Some(report) if report.window == window => {
                self.write_reports(now, vec![report], effects)
            }
            _ => self.collect(now, window, (age_ms, length_ms), effects),
        }
    }

    /// The window to be reported next: after the last one in the store, and not so old that its
    /// report would be late. `None` if it hasn't begun.
    fn next_window(&self, last: Option<u64>, unix_ms: u64, length_ms: u64) -> Option<u64> {
        let late_ms = self.settings.duties.usage_late_ms;
        let oldest = (unix_ms + MIN_LEFT_MS).saturating_sub(late_ms) / length_ms;
        let next = match last {
            Some(last) => last.saturating_add(1),
            // Before the first report, there was no service in the windows before this node's start.
            None => self.true_time.own(Millis(0))? / length_ms,
        };
        let unknown_until = self.usage.unknown_until;
        let first = unknown_until.and_then(|at| Some(self.true_time.own(at)? / length_ms));
        let window = next.max(oldest).max(first.unwrap_or_default());
        (window.saturating_mul(length_ms) <= unix_ms).then_some(window)
    }

    fn collect(
        &mut self,
        now: Millis,
        window: u64,
        (age_ms, length_ms): (u64, u64),
        effects: &mut Vec<Effect>,
    ) {
        if self.usage.collecting.is_some() {
            return;
        }
        self.usage.collecting = Some((window, now));
        effects.push(Effect::CollectUsage(UsageQuery {
            window,
            age_ms,
            length_ms,
        }));
    }

    /// The counts of a window were collected.
    pub(crate) fn usage_collected(
        &mut self,
        now: Millis,
        collection: UsageCollection,
        effects: &mut Vec<Effect>,
    ) {
        let window = collection.report.window;
        if self.usage.collecting.take().is_none_or(|c| c.0 != window) {
            return;
        }
        let before = self.true_time.offset();
        for (vm, offset) in collection.clocks {
            self.true_time.hear(vm, offset);
        }
        let after = self.true_time.offset();
        let change_ms = before.unwrap_or(0).abs_diff(after.unwrap_or(0));
        if change_ms > MAX_CLOCK_CHANGE_MS && self.usage.repeats < MAX_REPEATS {
            self.usage.repeats += 1;
        } else {
            self.usage.repeats = 0;
            self.usage.collected = Some(collection.report);
        }
        self.check_usage(now, effects);
    }

    /// Writes the reports again that the store has lost.
    fn restore_reports(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        if self.usage.writing.is_none() {
            self.write_reports(now, self.usage.lost.clone(), effects);
        }
    }

    /// Writes reports to the store, beside those that are there already.
    fn write_reports(&mut self, now: Millis, new: Vec<UsageReport>, effects: &mut Vec<Effect>) {
        if self.lease(now, effects).is_none() {
            return;
        }
        let Some(row) = &self.usage.row else {
            return;
        };
        let mut record = row.record.clone();
        record.reports.retain(|r| !self.is_late(now, r.window));
        record.reports.extend(new);
        record.reports.sort_by_key(|r| r.window);
        let surplus = record.reports.len().saturating_sub(MAX_REPORTS);
        record.reports.drain(..surplus);
        let stored = StoredUsage {
            record,
            ..row.clone()
        };
        effects.push(Effect::WriteUsage(stored.clone()));
        self.usage.writing = Some((stored, now));
    }

    /// The row was read; `None` if the store did not answer.
    pub(crate) fn usage_read(
        &mut self,
        now: Millis,
        row: Option<StoredUsage>,
        effects: &mut Vec<Effect>,
    ) {
        self.usage.reading = None;
        match row {
            // A write in flight may still change the row.
            Some(mut row) if self.usage.writing.is_none() => {
                let reports = &mut row.record.reports;
                reports.retain(|r| !self.is_ahead(now, r.window));
                let mut usage = std::mem::take(&mut self.usage);
                usage.set_row(row, |r| !self.is_late(now, r.window));
                self.usage = usage;
            }
            _ => self.usage.read_after = now.plus(MIN_RETRY_MS),
        }
        self.check_usage(now, effects);
    }

    /// A write ended: with the new version of the row, or `None` if another node has written it or
    /// if the store did not answer. The row is then read before anything else happens.
    pub(crate) fn usage_written(
        &mut self,
        now: Millis,
        version: Option<u64>,
        effects: &mut Vec<Effect>,
    ) {
        let Some((stored, _)) = self.usage.writing.take() else {
            return;
        };
        self.usage.collected = None;
        self.usage.row = version.map(|version| StoredUsage { version, ..stored });
        if let Some(row) = &self.usage.row {
            self.usage.acknowledged = row.clone();
            self.usage.lost.clear();
        }
        self.check_usage(now, effects);
    }

    /// Sends a report in the store that isn't late and that the platform isn't known to have: of
    /// those that got the fewest calls the oldest. A call without a response may have been executed,
    /// so that other reports go first.
    fn send_report(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        if self.usage.sending.is_some() || now < self.usage.send_after {
            return;
        }
        let accepted = &self.usage.accepted;
        let reports = self.usage.row.iter().flat_map(|row| &row.record.reports);
        let due = reports.filter(|r| !self.is_late(now, r.window) && !accepted.contains(&r.window));
        let next = due.min_by_key(|r| self.usage.unanswered_calls(r.window));
        let Some(report) = next.cloned() else {
            return;
        };
        let Some((token, until)) = self.lease(now, effects) else {
            return;
        };
        self.usage.sending = Some((report.window, now));
        effects.push(Effect::ReportUsage {
            window: report.window,
            counts: report.counts,
            token,
            until,
        });
    }

    /// Whether a window begins so late that no node can have written its report.
    fn is_ahead(&self, now: Millis, window: u64) -> bool {
        let length_ms = self.settings.duties.usage_window_ms.unwrap_or_default();
        let offset = self.true_time.offset().unwrap_or_default();
        let unix_ms = (now.0 as i64).saturating_add(offset).max(0) as u64;
        window.saturating_mul(length_ms) > unix_ms.saturating_add(MAX_AHEAD_MS)
    }

    /// Whether it is too late to report a window.
    fn is_late(&self, now: Millis, window: u64) -> bool {
        let duties = &self.settings.duties;
        let length_ms = duties.usage_window_ms.unwrap_or_default();
        let end_ms = window.saturating_add(1).saturating_mul(length_ms);
        let due_ms = end_ms.saturating_add(duties.usage_late_ms);
        let offset = self.true_time.offset().unwrap_or_default();
        i64::try_from(due_ms).is_ok_and(|due_ms| now.0 as i64 + offset >= due_ms)
    }

    /// A usage report ended.
    pub(crate) fn usage_reported(
        &mut self,
        now: Millis,
        window: u64,
        outcome: DutyOutcome,
        effects: &mut Vec<Effect>,
    ) {
        if self.usage.sending.take_if(|s| s.0 == window).is_none() {
            return;
        }
        self.duty_ended(now, outcome, effects);
        match outcome {
            DutyOutcome::Accepted => self.usage.mark_accepted(window),
            DutyOutcome::Fenced => {
                self.usage.row = None;
                self.usage.delay_retry(now);
            }
            DutyOutcome::NotSent => self.usage.send_after = now.plus(MIN_RETRY_MS),
            DutyOutcome::Unknown => {
                self.usage.mark_unanswered(window);
                self.usage.delay_retry(now);
            }
            DutyOutcome::Unavailable | DutyOutcome::RateLimited => self.usage.delay_retry(now),
        }
        self.check_usage(now, effects);
    }
}
