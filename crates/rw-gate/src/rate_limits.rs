//! Rate limits that targets name, and this node's share of them.
//!
//! A limit holds for all nodes together, and no node knows what the others send. So it is divided
//! by a rule that all nodes know: at most as many nodes as the burst allowance permits one request
//! each send to a limited target, chosen by rendezvous hashing over the registered nodes, and each of
//! them gets an equal part. With a few nodes these are all of them; with hundreds, equal parts for
//! all would permit hundreds of requests at once.
//!
//! The other nodes send nothing while digests confirm that the limit is in force. Without
//! confirmation, each of them may send one request in a time slot of its own, and the response shows
//! whether the limit still applies. The slots recur so rarely that all of them together stay within
//! the part of the limit that the senders leave.

use crate::{
    LimitReport, SendWindow, Slots, TargetIncarnation,
    token_bucket::{Refill, TokenBucket},
};
use rw_core::rendezvous_weight;
use rw_types::{Millis, RateNotice, RequestRate};

/// Requests that all nodes together may send at once, beyond one second's worth.
const SPARE_BURST: f64 = 2.0;
/// Lowest rate used, in requests per second: without any request, no node would learn that the limit
/// has changed.
const MIN_PER_S: f64 = 0.25;
/// Age from which a limit in force is published again, in milliseconds.
const REPEAT_MS: u64 = 5_000;
/// Age of a confirmation from which a node without a share may probe the target, in milliseconds.
const EXPIRY_MS: u64 = 15_000;
/// Fraction of the limit that the slots of all nodes without a share use.
const SLOTS_FRACTION: f64 = 0.125;
/// Number of digests that carry a change, since one may be lost.
const SENDS: u32 = 2;
/// Maximum number of targets remembered; those updated longest ago go first.
const MAX_TARGETS: usize = 4_096;

/// The nodes that share the limits.
#[derive(Debug, Clone, Default)]
pub(crate) struct Sharers {
    /// This node.
    pub(crate) vm: String,
    /// All registered nodes.
    pub(crate) nodes: Vec<String>,
}

/// This node's part of a limit.
#[derive(Debug, Clone, Copy)]
struct Share {
    refill: Refill,
    /// Set if this node sends nothing while the limit is confirmed: its time slots for probes without
    /// confirmation.
    slots: Option<Slots>,
}

impl Sharers {
    fn share(&self, target: &str, rate: RequestRate) -> Share {
        let per_s = rate.per_s().max(MIN_PER_S);
        let burst = per_s + SPARE_BURST;
        let nodes = self.nodes.len().max(1);
        let senders = nodes.min(burst as usize);
        if self.rank(target) < senders {
            let refill = Refill {
                per_ms: per_s / 1e3 / senders as f64,
                capacity: burst / senders as f64,
            };
            return Share {
                refill,
                slots: None,
            };
        }
        let period_ms = nodes as f64 * 1e3 / (per_s * SLOTS_FRACTION);
        let period_ms = (period_ms as u64).max(EXPIRY_MS);
        let refill = Refill {
            per_ms: 1.0 / period_ms as f64,
            capacity: 1.0,
        };
        let slots = Slots {
            period_ms,
            phase_ms: rendezvous_weight(&self.vm, target) % period_ms,
        };
        Share {
            refill,
            slots: Some(slots),
        }
    }

    /// Number of nodes that precede this one in the ranking for a target.
    fn rank(&self, target: &str) -> usize {
        let own = (rendezvous_weight(&self.vm, target), self.vm.as_str());
        let others = self.nodes.iter().map(String::as_str);
        let others = others.filter(|vm| *vm != self.vm);
        let keys = others.map(|vm| (rendezvous_weight(vm, target), vm));
        keys.filter(|key| *key > own).count()
    }
}

/// What one incarnation of a target has said about its rate limit.
#[derive(Debug, Clone)]
struct RateEntry {
    target: TargetIncarnation,
    /// `None` if it has withdrawn its limit.
    rate: Option<RequestRate>,
    /// When it said so, on the clock of this node.
    said_at: Millis,
    bucket: TokenBucket,
    share: Option<Share>,
    /// Number of digests that are still to carry the latest change.
    sends: u32,
    /// What `said_at` was when it was last published.
    published: Millis,
}

impl RateEntry {
    /// When this node may send requests; `None` without a limit.
    fn window(&self) -> Option<SendWindow> {
        let share = self.share?;
        let ready_at = self.bucket.ready_at(share.refill);
        Some(match share.slots {
            None => SendWindow {
                from: ready_at,
                slots: None,
            },
            slots => SendWindow {
                from: ready_at.max(self.said_at.plus(EXPIRY_MS)),
                slots,
            },
        })
    }

    fn update_share(&mut self, now: Millis, sharers: &Sharers) {
        let had_share = self.share.is_some();
        self.share = self.rate.map(|r| sharers.share(&self.target.name, r));
        match self.share {
            Some(share) if had_share => self.bucket.refill(now, share.refill),
            Some(share) => self.bucket = TokenBucket::full(now, share.refill),
            None => {}
        }
    }

    fn is_due(&self) -> bool {
        let repeats = self.rate.is_some() && self.said_at.since(self.published) >= REPEAT_MS;
        self.sends > 0 || repeats
    }
}

/// Rate limits by target, sorted by name.
#[derive(Debug, Clone, Default)]
pub(crate) struct RateLimits {
    entries: Vec<RateEntry>,
    sharers: Sharers,
}

impl RateLimits {
    /// Replaces the nodes that share the limits.
    pub(crate) fn set_sharers(&mut self, now: Millis, sharers: Sharers) {
        self.sharers = sharers;
        for entry in &mut self.entries {
            entry.update_share(now, &self.sharers);
        }
    }

    /// The limit in force for an incarnation of a target.
    pub(crate) fn rate(&self, name: &str, incarnation: u64) -> Option<RequestRate> {
        self.find(name, incarnation)?.rate
    }

    /// When this node may send requests to a target; `None` if it has no limit.
    pub(crate) fn window(&self, name: &str, incarnation: u64) -> Option<SendWindow> {
        self.find(name, incarnation)?.window()
    }

    /// Records what a target said to this node; returns whether this is news.
    pub(crate) fn record(
        &mut self,
        now: Millis,
        target: &TargetIncarnation,
        notice: RateNotice,
    ) -> bool {
        match notice {
            RateNotice::Silent => false,
            RateNotice::Limited(rate) => self.merge(now, target, Some(rate), now),
            RateNotice::Unlimited { asked_at } => self.merge(now, target, None, asked_at),
        }
    }

    /// Records what another node has reported about a target.
    pub(crate) fn merge_report(&mut self, now: Millis, report: &LimitReport) {
        let said_at = Millis(now.0.saturating_sub(report.age_ms));
        self.merge(now, &report.target, report.rate, said_at);
    }

    /// Records a request to a target.
    pub(crate) fn record_request(&mut self, now: Millis, name: &str) {
        let Ok(i) = self.index(name) else {
            return;
        };
        let entry = &mut self.entries[i];
        if let Some(share) = entry.share {
            entry.bucket.take(now, share.refill);
        }
    }

    /// The limits that are due to be published, at most `max`.
    pub(crate) fn take_reports(&mut self, now: Millis, max: usize) -> Vec<LimitReport> {
        let due = self.entries.iter_mut().filter(|e| e.is_due());
        let taken = due.take(max).map(|e| {
            e.sends = e.sends.saturating_sub(1);
            e.published = e.said_at;
            report(now, e)
        });
        taken.collect()
    }

    /// All limits in force, for a node that has just started.
    pub(crate) fn export(&self, now: Millis) -> Vec<LimitReport> {
        let limited = self.entries.iter().filter(|e| e.rate.is_some());
        limited.map(|e| report(now, e)).collect()
    }

    /// Records what a target said at `said_at`, unless something newer is known; returns whether
    /// this is news.
    fn merge(
        &mut self,
        now: Millis,
        target: &TargetIncarnation,
        rate: Option<RequestRate>,
        said_at: Millis,
    ) -> bool {
        let i = match self.index(&target.name) {
            Ok(i) if self.entries[i].target.incarnation > target.incarnation => return false,
            Ok(i) if self.entries[i].target.incarnation == target.incarnation => i,
            // Without a limit before, there is none to withdraw.
            _ if rate.is_none() => return false,
            Ok(i) => {
                self.entries.remove(i);
                self.insert(now, target)
            }
            Err(_) => self.insert(now, target),
        };
        let entry = &mut self.entries[i];
        // Of statements of the same time, the limit holds.
        let is_older = match rate {
            Some(_) => said_at < entry.said_at,
            None => said_at <= entry.said_at,
        };
        if is_older {
            return false;
        }
        entry.said_at = said_at;
        let is_news = entry.rate != rate;
        if is_news {
            entry.rate = rate;
            entry.sends = SENDS;
            entry.update_share(now, &self.sharers);
        }
        is_news
    }

    fn insert(&mut self, now: Millis, target: &TargetIncarnation) -> usize {
        if self.entries.len() == MAX_TARGETS {
            let entries = self.entries.iter().enumerate();
            let oldest = entries.min_by_key(|(_, e)| e.said_at).map(|(i, _)| i);
            oldest.map(|i| self.entries.remove(i));
        }
        let empty = Refill {
            per_ms: 0.0,
            capacity: 0.0,
        };
        let entry = RateEntry {
            target: target.clone(),
            rate: None,
            said_at: Millis(0),
            bucket: TokenBucket::full(now, empty),
            share: None,
            sends: 0,
            published: Millis(0),
        };
        let i = self.index(&target.name).unwrap_or_else(|i| i);
        self.entries.insert(i, entry);
        i
    }

    fn find(&self, name: &str, incarnation: u64) -> Option<&RateEntry> {
        let entry = &self.entries[self.index(name).ok()?];
        (entry.target.incarnation == incarnation).then_some(entry)
    }

    fn index(&self, name: &str) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|e| e.target.name.as_str().cmp(name))
    }
}

fn report(now: Millis, entry: &RateEntry) -> LimitReport {
    LimitReport {
        target: entry.target.clone(),
        rate: entry.rate,
        age_ms: now.since(entry.said_at),
    }
}
