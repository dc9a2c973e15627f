//! One group's lease, as this node sees it.

use crate::{AuthorityEffect, CoreSettings, Holder, LeaseRows, OrderSlot, WriteOutcome};
use rw_types::{FencingToken, Millis, Version};

/// Renewals within one lease time; a lost one does not end the lease.
const HEARTBEATS: u64 = 3;
/// Reads of a watched lease within one lease time.
const WATCHES: u64 = 4;
/// Longest pause between reads of a watched lease, in milliseconds, so that a lease given up is
/// taken soon however long it would have run.
const WATCH_MAX: u64 = 2_500;
/// Tries of a failed call within one lease time.
const RETRIES: u64 = 10;
/// Turns of the candidates for a free lease within one lease time.
const FREE_TURNS: u64 = 40;

/// The lease of one group.
#[derive(Debug, Clone)]
pub struct Lease {
    pub(crate) group: String,
    /// Place among the candidates; `None` if this node is none.
    pub(crate) rank: Option<usize>,
    /// Rows as last known; `None` if they must be read.
    rows: Option<LeaseRows>,
    /// Version of the heartbeat row as last read, and since when it is known to be unchanged.
    seen: (Version, Millis),
    /// No takeover is tried before this time.
    retry: Millis,
    /// Fencing token while this node is the holder, zero otherwise.
    pub(crate) fence: FencingToken,
    /// When this node became the holder.
    pub(crate) since: Millis,
    /// End of the right to give orders, by this node's clock.
    pub(crate) until: Millis,
    call: Option<Call>,
    next: Millis,
    heartbeats: u64,
    /// Orders of the group's targets, sorted by target name; kept only by the holder.
    pub(crate) slots: Vec<OrderSlot>,
}

#[derive(Debug, Clone, Copy)]
struct Call {
    number: u64,
    sent: Millis,
    kind: CallKind,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallKind {
    Read,
    Take,
    Heartbeat,
    Release,
}

impl Lease {
    pub(crate) fn new(group: &str) -> Self {
        Self {
            group: group.to_owned(),
            rank: None,
            rows: None,
            seen: (Version(0), Millis(0)),
            retry: Millis(0),
            fence: FencingToken(0),
            since: Millis(0),
            until: Millis(0),
            call: None,
            next: Millis(0),
            heartbeats: 0,
            slots: Vec::new(),
        }
    }

    /// Whether this node may give orders to the group at `now`.
    pub(crate) fn holds(&self, now: Millis) -> bool {
        self.fence != FencingToken(0) && now < self.until
    }

    /// Whether its rows are to be read at `now`; the read is then in flight as `number`.
    pub(crate) fn wants_read(&mut self, now: Millis, number: u64, s: &CoreSettings) -> bool {
        let due = self.call.is_none() && now >= self.next && self.rank.is_some();
        let wanted = due && !self.is_mine(s);
        if wanted {
            self.start(number, now, CallKind::Read);
        }
        wanted
    }

    /// The write that is due at `now`, if any.
    pub(crate) fn write(
        &mut self,
        now: Millis,
        number: u64,
        leaving: bool,
        s: &CoreSettings,
    ) -> Option<AuthorityEffect> {
        if self.call.is_some() {
            return None;
        }
        if self.is_mine(s) {
            return self.heartbeat(now, number, leaving);
        }
        let rows = self.rows.as_ref()?;
        if leaving || !self.may_take(now, s) {
            return None;
        }
        let effect = AuthorityEffect::TakeLease {
            call: number,
            group: self.group.clone(),
            lease: rows.lease,
            heartbeat: rows.heartbeat,
        };
        self.start(number, now, CallKind::Take);
        Some(effect)
    }

    fn heartbeat(&mut self, now: Millis, number: u64, leaving: bool) -> Option<AuthorityEffect> {
        let rows = self.rows.as_ref()?;
        // A lease is given up only when no order of this node can still be on its way.
        let quiet = self.slots.iter().all(|slot| !slot.is_sending());
        let done = leaving && rows.released;
        if done || (leaving && !quiet) || (!leaving && now < self.next) {
            return None;
        }
        let effect = AuthorityEffect::RenewLease {
            call: number,
            group: self.group.clone(),
            fence: FencingToken(rows.lease.0),
            count: self.heartbeats,
            released: leaving,
        };
        self.heartbeats += 1;
        if leaving {
            self.until = Millis(0);
            self.start(number, now, CallKind::Release);
        } else {
            self.start(number, now, CallKind::Heartbeat);
        }
        Some(effect)
    }

    /// Whether the holder known has lost its right for certain, and it is this candidate's turn.
    fn may_take(&self, now: Millis, s: &CoreSettings) -> bool {
        let (Some(rank), Some(rows)) = (self.rank, &self.rows) else {
            return false;
        };
        let free = rows.released || rows.lease == Version(0);
        let (wait, parts) = if free {
            (0, FREE_TURNS)
        } else {
            (s.lease_ms + s.drift_ms, WATCHES)
        };
        let turn = rank as u64 * s.lease_ms / parts;
        now >= self.retry && now >= self.seen.1.plus(wait + turn)
    }

    fn is_mine(&self, s: &CoreSettings) -> bool {
        let holder = self.rows.as_ref().and_then(|r| r.holder.as_ref());
        holder.is_some_and(|h| h.vm == s.vm && h.boot == s.boot)
    }

    /// Takes the rows read; whether the call was this lease's.
    pub(crate) fn rows_read(
        &mut self,
        now: Millis,
        number: u64,
        rows: Option<&[LeaseRows]>,
        s: &CoreSettings,
    ) {
        if self.end(number).is_none() {
            return;
        }
        self.next = now.plus((s.lease_ms / WATCHES).min(WATCH_MAX));
        let found = rows.and_then(|rows| rows.iter().find(|r| r.group == self.group));
        let Some(found) = found else {
            self.next = now.plus(s.lease_ms / RETRIES);
            return;
        };
        if self.seen.0 != found.heartbeat {
            self.seen = (found.heartbeat, now);
        }
        self.rows = Some(found.clone());
        if self.is_mine(s) {
            // A takeover whose answer was lost: the right begins with the next renewal.
            self.next = now;
        }
    }

    /// Takes the end of a write.
    pub(crate) fn written(
        &mut self,
        now: Millis,
        number: u64,
        outcome: WriteOutcome,
        s: &CoreSettings,
    ) {
        let Some(call) = self.end(number) else {
            return;
        };
        match (call.kind, outcome) {
            (CallKind::Take, WriteOutcome::Written(version)) => {
                self.rows = Some(LeaseRows {
                    group: self.group.clone(),
                    holder: Some(Holder {
                        vm: s.vm.clone(),
                        boot: s.boot,
                    }),
                    lease: version,
                    heartbeat: version,
                    released: false,
                });
                self.renewed(now, call.sent, s);
            }
            (CallKind::Heartbeat, WriteOutcome::Written(_)) => self.renewed(now, call.sent, s),
            (CallKind::Release, WriteOutcome::Written(_)) => {
                if let Some(rows) = &mut self.rows {
                    rows.released = true;
                }
            }
            (CallKind::Take, WriteOutcome::Unknown) | (_, WriteOutcome::Conflict) => {
                self.forget(now)
            }
            _ => {
                self.next = now.plus(s.lease_ms / RETRIES);
                self.retry = self.next;
            }
        }
    }

    /// The right runs from before the renewal was sent: the table's clock started later.
    fn renewed(&mut self, now: Millis, sent: Millis, s: &CoreSettings) {
        let fence = FencingToken(self.rows.as_ref().map_or(0, |r| r.lease.0));
        if self.fence != fence {
            self.fence = fence;
            self.since = now;
            self.slots.clear();
        }
        self.until = sent.plus(s.lease_ms.saturating_sub(s.drift_ms));
        self.next = sent.plus(s.lease_ms / HEARTBEATS);
    }

    /// Gives up what this node believed of the lease and reads its rows anew.
    pub(crate) fn forget(&mut self, now: Millis) {
        self.rows = None;
        self.fence = FencingToken(0);
        self.until = Millis(0);
        self.next = now;
        self.slots.clear();
    }

    fn start(&mut self, number: u64, now: Millis, kind: CallKind) {
        self.call = Some(Call {
            number,
            sent: now,
            kind,
        });
    }

    fn end(&mut self, number: u64) -> Option<Call> {
        let call = self.call.filter(|c| c.number == number)?;
        self.call = None;
        Some(call)
    }
}
