//! Leases and orders of this node: entry points of the reducer for both.

use crate::{
    AuthorityEffect, AuthorityEvent, Effect, Lease, Node, OrderSlot, rendezvous::candidate_rank,
};
use rw_types::{FencingToken, Millis, TargetKind};

/// State of the leases that this node holds or watches, and of the orders under them.
#[derive(Debug, Clone, Default)]
pub struct Authority {
    /// Sorted by group.
    pub(crate) leases: Vec<Lease>,
    /// Whether groups or candidates may have changed, so that `leases` must be rebuilt.
    pub(crate) outdated: bool,
    /// When orders were last planned.
    pub(crate) planned_at: Millis,
    calls: u64,
}

impl Authority {
    /// Returns a unique number for the next call.
    pub(crate) fn next_call(&mut self) -> u64 {
        self.calls += 1;
        self.calls
    }

    /// Lease index and slot index of the first slot that matches.
    pub(crate) fn find_slot(&self, matches: impl Fn(&OrderSlot) -> bool) -> Option<(usize, usize)> {
        self.leases.iter().enumerate().find_map(|(i, lease)| {
            let j = lease.slots.iter().position(&matches)?;
            Some((i, j))
        })
    }
}

impl Node {
    /// Whether this node may give orders to the targets of `group` at `now`.
    #[must_use]
    pub fn holds_lease(&self, group: &str, now: Millis) -> bool {
        let leases = &self.authority.leases;
        let found = leases.binary_search_by(|l| l.group.as_str().cmp(group));
        found.is_ok_and(|i| !self.shutting_down && leases[i].is_held(now))
    }

    /// Leases that this node holds or watches, and the orders under them.
    #[must_use]
    pub fn authority(&self) -> &Authority {
        &self.authority
    }

    /// Groups whose lease this node holds at `now`, with their fencing tokens.
    pub fn held_groups(&self, now: Millis) -> impl Iterator<Item = (&str, FencingToken)> {
        let held = self.authority.leases.iter();
        held.filter(move |l| !self.shutting_down && l.is_held(now))
            .map(|l| (l.group.as_str(), l.fence))
    }

    pub(crate) fn authority_event(
        &mut self,
        now: Millis,
        event: AuthorityEvent,
        out: &mut Vec<Effect>,
    ) {
        let mut effects = Vec::new();
        match event {
            AuthorityEvent::Tick => self.tick_authority(now, &mut effects),
            AuthorityEvent::LeasesRead { call, rows } => {
                for lease in &mut self.authority.leases {
                    lease.rows_read(now, call, rows.as_deref(), &self.settings);
                }
            }
            AuthorityEvent::LeaseWritten { call, outcome } => {
                for lease in &mut self.authority.leases {
                    lease.written(now, call, outcome, &self.settings);
                }
                self.mark_unavailable();
            }
            AuthorityEvent::OrdersRead { call, rows } => {
                self.orders_read(now, call, rows.as_deref());
            }
            AuthorityEvent::OrderWritten { call, outcome } => {
                self.order_written(now, call, outcome, &mut effects);
            }
            AuthorityEvent::TargetResponded { call, response } => {
                self.target_responded(now, call, response.as_ref(), &mut effects);
            }
        }
        out.extend(effects.into_iter().map(Effect::Authority));
    }

    fn tick_authority(&mut self, now: Millis, out: &mut Vec<AuthorityEffect>) {
        if std::mem::take(&mut self.authority.outdated) {
            self.sync_leases();
        }
        for i in 0..self.authority.leases.len() {
            let call = self.authority.next_call();
            let lease = &mut self.authority.leases[i];
            out.extend(lease.start_write(now, call, self.shutting_down, &self.settings));
        }
        if !self.shutting_down {
            self.read_leases(now, out);
        }
        self.tick_orders(now, out);
    }

    /// Reads the rows of all leases that are due for a read, in one call.
    fn read_leases(&mut self, now: Millis, out: &mut Vec<AuthorityEffect>) {
        let call = self.authority.next_call();
        let leases = self.authority.leases.iter_mut();
        let groups: Vec<String> = leases
            .filter_map(|l| {
                let reading = l.start_read(now, call, &self.settings);
                reading.then(|| l.group.clone())
            })
            .collect();
        if !groups.is_empty() {
            out.push(AuthorityEffect::ReadLeases { call, groups });
        }
    }

    /// Keeps a lease for each group for which this node is a candidate or the holder, and drops
    /// the others.
    fn sync_leases(&mut self) {
        let engines = self.config.targets.iter();
        let mut groups: Vec<&str> = engines
            .filter(|t| t.kind == TargetKind::Engine)
            .map(|t| t.lease_group())
            .collect();
        groups.sort_unstable();
        groups.dedup();
        let mut old = std::mem::take(&mut self.authority.leases);
        let leases = groups.into_iter().map(|group| {
            let known = old.binary_search_by(|l| l.group.as_str().cmp(group));
            let mut lease = known.map_or_else(|_| Lease::new(group), |i| old.remove(i));
            lease.rank = candidate_rank(self.members.all(), &self.settings.vm, group);
            lease
        });
        self.authority.leases = leases
            .filter(|l| l.rank.is_some() || l.fence != FencingToken(0))
            .collect();
    }
}
