//! Counts of the calls that began to run on behalf of each client account.

use crate::UsageReport;
use rw_types::Millis;
use std::collections::VecDeque;

/// Length of the slots in which calls are counted, in milliseconds. A window begins and ends with a
/// slot, so that this bounds the error at its edges.
const SLOT_MS: u64 = 20;
/// Time for which slots are kept, in milliseconds: several windows, and the time in which a
/// successor takes over the lease.
const KEEP_MS: u64 = 60_000;
/// Number of window starts that are remembered.
const MAX_STARTS: usize = 16;
/// Difference up to which a start that is named again is taken for the remembered one, in
/// milliseconds. A query may be read as late as its timeout of 600 ms allows, and two holders' clocks
/// differ slightly; a start that moves lets calls count in two windows or in none.
const START_TOLERANCE_MS: u64 = 900;

#[derive(Debug, Clone)]
struct Slot {
    start: Millis,
    /// Calls by account, sorted by name.
    counts: UsageReport,
}

/// Calls of this node that began to run lately, by account.
#[derive(Debug, Clone, Default)]
pub(crate) struct UsageCounter {
    /// Slots with calls, the oldest first.
    slots: VecDeque<Slot>,
    /// Windows whose start has been named, with that start by this node's clock. The end of a window
    /// is the start of the next one, so that no call is counted in two windows or in none.
    starts: VecDeque<(u64, Millis)>,
}

impl UsageCounter {
    /// Counts a call that began to run.
    pub(crate) fn record(&mut self, now: Millis, account: &str) {
        let start = Millis(now.0 - now.0 % SLOT_MS);
        if self.slots.back().is_none_or(|s| s.start < start) {
            let counts = UsageReport::default();
            self.slots.push_back(Slot { start, counts });
        }
        if let Some(slot) = self.slots.back_mut() {
            slot.counts.add(account, 1);
        }
        let is_old = |s: &Slot| now.since(s.start) > KEEP_MS;
        while self.slots.front().is_some_and(is_old) {
            self.slots.pop_front();
        }
    }

    /// Calls in a window from `start` to before `end`.
    pub(crate) fn count(&mut self, window: u64, start: Millis, end: Millis) -> UsageReport {
        let from = self.fix_start(window, start);
        let to = self.fix_start(window.saturating_add(1), end);
        let mut report = UsageReport {
            window,
            counts: Vec::new(),
        };
        let slots = self.slots.iter();
        for slot in slots.filter(|s| from <= s.start && s.start < to) {
            let counts = slot.counts.counts.iter();
            counts.for_each(|(account, calls)| report.add(account, *calls));
        }
        report
    }

    /// Whether calls have been counted that no query has covered yet.
    pub(crate) fn has_uncollected(&self) -> bool {
        // The latest start that was named is the end of the latest window that was asked for.
        let end = self.starts.iter().max().map(|(_, start)| *start);
        let last = self.slots.back().map(|s| s.start);
        last.is_some_and(|last| end.is_none_or(|end| last >= end))
    }

    /// The remembered start of `window` if it is close to `at`; otherwise remembers `at`.
    fn fix_start(&mut self, window: u64, at: Millis) -> Millis {
        let found = self.starts.iter_mut().find(|(w, _)| *w == window);
        if let Some((_, start)) = found {
            if start.0.abs_diff(at.0) > START_TOLERANCE_MS {
                *start = at;
            }
            return *start;
        }
        if self.starts.len() == MAX_STARTS {
            self.starts.pop_front();
        }
        self.starts.push_back((window, at));
        at
    }
}
