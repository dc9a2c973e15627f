//! State machine of one group's lease: watching, acquiring, renewing and releasing it.

use crate::{AuthorityEffect, CoreSettings, Holder, LeaseRows, OrderSlot, WriteOutcome};
use rw_types::{FencingToken, Millis, Version};

/// Renewals per lease duration, so that one failed renewal does not end the lease.
const RENEWALS_PER_LEASE: u64 = 3;
/// Reads per lease duration of a lease held by another node.
const READS_PER_LEASE: u64 = 4;
/// Upper bound of the interval between reads, in milliseconds, so that a released lease is
/// acquired soon even if leases are long.
const MAX_READ_INTERVAL_MS: u64 = 2_500;
/// Retries of a failed call per lease duration.
const RETRIES_PER_LEASE: u64 = 10;
/// Candidates that get their turn at a free lease per lease duration, one after the other.
const FREE_TURNS_PER_LEASE: u64 = 40;

/// Lease of one group, as this node sees it.
#[derive(Debug, Clone)]
pub struct Lease {
    pub(crate) group: String,
    /// Rank among the candidates; `None` if this node is not a candidate.
    pub(crate) rank: Option<usize>,
    /// Rows as last known; `None` if they must be read again.
    rows: Option<LeaseRows>,
    /// Version of the heartbeat row as last read, and the time at which it was first seen.
    heartbeat_seen: (Version, Millis),
    /// Earliest time of the next attempt to acquire the lease.
    acquire_after: Millis,
    /// Fencing token while this node is the holder, zero otherwise.
    pub(crate) fence: FencingToken,
    /// When this node became the holder.
    pub(crate) held_since: Millis,
    /// Time until which this node may give orders, by its own clock.
    pub(crate) valid_until: Millis,
    call: Option<Call>,
    next_call: Millis,
    renewals: u64,
    /// Orders of the group's targets, sorted by target name; empty unless this node is the holder.
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
    Acquire,
    Renew,
    Release,
}

impl Lease {
    pub(crate) fn new(group: &str) -> Self {
        Self {
            group: group.to_owned(),
            rank: None,
            rows: None,
            heartbeat_seen: (Version(0), Millis(0)),
            acquire_after: Millis(0),
            fence: FencingToken(0),
            held_since: Millis(0),
            valid_until: Millis(0),
            call: None,
            next_call: Millis(0),
            renewals: 0,
            slots: Vec::new(),
        }
    }

    /// Whether this node may give orders to the group at `now`.
    pub(crate) fn is_held(&self, now: Millis) -> bool {
        self.fence != FencingToken(0) && now < self.valid_until
    }

    /// Whether the rows are due to be read at `now`; if so, marks call `number` as in flight.
    pub(crate) fn start_read(&mut self, now: Millis, number: u64, s: &CoreSettings) -> bool {
        let due = self.call.is_none() && now >= self.next_call && self.rank.is_some();
        let wanted = due && !self.is_own(s);
        if wanted {
            self.start_call(number, now, CallKind::Read);
        }
        wanted
    }

    /// Returns the write that is due at `now`, if any: a renewal, a release or an acquisition. It is
    /// then in flight as call `number`.
    pub(crate) fn start_write(
        &mut self,
        now: Millis,
        number: u64,
        shutting_down: bool,
        s: &CoreSettings,
    ) -> Option<AuthorityEffect> {
        if self.call.is_some() {
            return None;
        }
        if self.is_own(s) {
            return self.renew(now, number, shutting_down);
        }
        let rows = self.rows.as_ref()?;
        if shutting_down || !self.may_acquire(now, s) {
            return None;
        }
        let effect = AuthorityEffect::AcquireLease {
            call: number,
            group: self.group.clone(),
            lease: rows.lease,
            heartbeat: rows.heartbeat,
        };
        self.start_call(number, now, CallKind::Acquire);
        Some(effect)
    }

    fn renew(&mut self, now: Millis, number: u64, shutting_down: bool) -> Option<AuthorityEffect> {
        let rows = self.rows.as_ref()?;
        // The lease is released only once none of this node's orders can still be in flight.
        let none_sending = self.slots.iter().all(|slot| !slot.is_sending());
        let done = shutting_down && rows.released;
        if done || (shutting_down && !none_sending) || (!shutting_down && now < self.next_call) {
            return None;
        }
        let effect = AuthorityEffect::RenewLease {
            call: number,
            group: self.group.clone(),
            fence: FencingToken(rows.lease.0),
            count: self.renewals,
            released: shutting_down,
        };
        self.renewals += 1;
        if shutting_down {
            self.valid_until = Millis(0);
            self.start_call(number, now, CallKind::Release);
        } else {
            self.start_call(number, now, CallKind::Renew);
        }
        Some(effect)
    }

    /// Whether the known holder's lease has certainly expired, and it is this candidate's turn.
    ///
    /// Turns are staggered by rank, so that candidates rarely compete.
    fn may_acquire(&self, now: Millis, s: &CoreSettings) -> bool {
        let (Some(rank), Some(rows)) = (self.rank, &self.rows) else {
            return false;
        };
        let free = rows.released || rows.lease == Version(0);
        let (wait, turns) = if free {
            (0, FREE_TURNS_PER_LEASE)
        } else {
            (s.lease_ms + s.drift_ms, READS_PER_LEASE)
        };
        let delay = rank as u64 * s.lease_ms / turns;
        now >= self.acquire_after && now >= self.heartbeat_seen.1.plus(wait + delay)
    }

    fn is_own(&self, s: &CoreSettings) -> bool {
        let holder = self.rows.as_ref().and_then(|r| r.holder.as_ref());
        holder.is_some_and(|h| h.vm == s.vm && h.boot == s.boot)
    }

    /// Handles the end of a read; ignored unless call `number` belongs to this lease.
    pub(crate) fn rows_read(
        &mut self,
        now: Millis,
        number: u64,
        rows: Option<&[LeaseRows]>,
        s: &CoreSettings,
    ) {
        if self.finish_call(number).is_none() {
            return;
        }
        self.next_call = now.plus((s.lease_ms / READS_PER_LEASE).min(MAX_READ_INTERVAL_MS));
        let row = rows.and_then(|rows| rows.iter().find(|r| r.group == self.group));
        let Some(row) = row else {
            self.next_call = now.plus(s.lease_ms / RETRIES_PER_LEASE);
            return;
        };
        if self.heartbeat_seen.0 != row.heartbeat {
            self.heartbeat_seen = (row.heartbeat, now);
        }
        self.rows = Some(row.clone());
        if self.is_own(s) {
            // The response to the acquisition was lost: the lease is valid from the next renewal.
            self.next_call = now;
        }
    }

    /// Handles the end of a write; ignored unless call `number` belongs to this lease.
    pub(crate) fn written(
        &mut self,
        now: Millis,
        number: u64,
        outcome: WriteOutcome,
        s: &CoreSettings,
    ) {
        let Some(call) = self.finish_call(number) else {
            return;
        };
        match (call.kind, outcome) {
            (CallKind::Acquire, WriteOutcome::Written(version)) => {
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
                self.extend(now, call.sent, s);
            }
            (CallKind::Renew, WriteOutcome::Written(_)) => self.extend(now, call.sent, s),
            (CallKind::Release, WriteOutcome::Written(_)) => {
                if let Some(rows) = &mut self.rows {
                    rows.released = true;
                }
            }
            (CallKind::Acquire, WriteOutcome::Unknown) | (_, WriteOutcome::Conflict) => {
                self.reset(now)
            }
            _ => {
                self.next_call = now.plus(s.lease_ms / RETRIES_PER_LEASE);
                self.acquire_after = self.next_call;
            }
        }
    }

    /// Extends the lease from the time at which the renewal was sent.
    ///
    /// The table applies the write later, so other candidates count from a later time; `drift_ms`
    /// allows for clock drift.
    fn extend(&mut self, now: Millis, sent: Millis, s: &CoreSettings) {
        let fence = FencingToken(self.rows.as_ref().map_or(0, |r| r.lease.0));
        if self.fence != fence {
            self.fence = fence;
            self.held_since = now;
            self.slots.clear();
        }
        self.valid_until = sent.plus(s.lease_ms.saturating_sub(s.drift_ms));
        self.next_call = sent.plus(s.lease_ms / RENEWALS_PER_LEASE);
    }

    /// Discards all state of the lease, so that its rows are read again at once.
    pub(crate) fn reset(&mut self, now: Millis) {
        self.rows = None;
        self.fence = FencingToken(0);
        self.valid_until = Millis(0);
        self.next_call = now;
        self.slots.clear();
    }

    fn start_call(&mut self, number: u64, now: Millis, kind: CallKind) {
        self.call = Some(Call {
            number,
            sent: now,
            kind,
        });
    }

    fn finish_call(&mut self, number: u64) -> Option<Call> {
        let call = self.call.filter(|c| c.number == number)?;
        self.call = None;
        Some(call)
    }
}
