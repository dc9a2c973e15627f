//! Entries of targets, as the registry, its copies and other nodes tell them.

use crate::{
    Gate, TargetIncarnation, TargetSpec, process_doubt::ENTRY_LIFE_MS, roles::PEER_TIMEOUT_MS,
};
use rw_types::Millis;

impl Gate {
    /// Time at which a target whose entry disappears now is removed.
    fn removal_time(&self, now: Millis) -> Millis {
        if let Some(deadline) = self.store_return.deadline(now, self.settings.return_ms) {
            return deadline;
        }
        // A node that reached the store without interruption shows that the outage affected only
        // this node, so the entry did not lapse because of it.
        if self.peer_stayed_connected(now) {
            return now;
        }
        // Entries lapse during a store outage and are renewed shortly after it.
        let renewal_deadline = self
            .reconnected_at
            .map(|at| at.plus(self.settings.return_ms));
        renewal_deadline.filter(|until| now < *until).unwrap_or(now)
    }

    /// Whether another node has reached the store for longer than entries take to be renewed.
    pub(crate) fn peer_stayed_connected(&self, now: Millis) -> bool {
        let peers = self.roles.peers.iter();
        let mut recent = peers.filter(|p| now.since(p.received_at) < PEER_TIMEOUT_MS);
        recent.any(|p| p.connected_ms > self.settings.return_ms)
    }

    /// Milliseconds for which this node has reached the store without interruption; zero if it does
    /// not reach it.
    pub(crate) fn connected_ms(&self, now: Millis) -> u64 {
        self.roles
            .connected_since
            .map_or(0, |at| now.since(at).max(1))
    }

    pub(crate) fn apply_reported(&mut self, now: Millis, specs: Vec<TargetSpec>) {
        let is_first = self.targets.all().is_empty();
        let knows_rows = self.knows_rows(now);
        for spec in specs {
            let known = self.targets.find(&spec.name);
            let is_later = known.is_some_and(|t| t.spec.incarnation < spec.incarnation);
            if is_first || is_later && !knows_rows {
                self.list_target(now, spec);
            }
        }
        self.observe_software(now);
    }

    pub(crate) fn update_target(&mut self, now: Millis, spec: TargetSpec) {
        let (name, incarnation) = (spec.name.clone(), spec.incarnation);
        // Its version may be replaced.
        self.observe_target(now, &name);
        self.upsert_target(now, spec);
        // A change was written after the rows that this node read first.
        self.prove_entries(|t| t.spec.name == name && t.spec.incarnation == incarnation);
        self.observe_target(now, &name);
    }

    pub(crate) fn remove_target(&mut self, now: Millis, name: &str) {
        let at = self.removal_time(now);
        self.observe_target(now, name);
        let incarnation = self.targets.find(name).map(|t| t.spec.incarnation);
        if let Some(incarnation) = incarnation.filter(|_| at <= now) {
            self.departed.record(now, name, incarnation);
        }
        self.targets.remove(name, now, at);
        self.targets.remove_expired(now);
    }

    pub(crate) fn replace_targets(&mut self, now: Millis, specs: Vec<TargetSpec>) {
        let missing: Vec<String> = self
            .targets
            .all()
            .iter()
            .map(|t| t.spec.name.clone())
            .filter(|name| !specs.iter().any(|s| s.name == *name))
            .collect();
        missing
            .iter()
            .for_each(|name| self.remove_target(now, name));
        specs
            .into_iter()
            .for_each(|spec| self.list_target(now, spec));
    }

    /// Takes over an entry of a list. A node that doesn't know what the store had before its return from a
    /// copy can't tell whether the entry is an old one.
    fn list_target(&mut self, now: Millis, spec: TargetSpec) {
        let name = spec.name.clone();
        let is_new = self.upsert_target(now, spec);
        let knows_rows = self.store_return.knows_rows(now, self.settings.return_ms);
        if let Some(target) = self
            .targets
            .find_mut(&name)
            .filter(|_| is_new && !knows_rows)
        {
            target.doubt.begin_for_entry();
        }
    }

    /// Takes over an entry; returns whether its process is new to this node. If the store's copy may be from
    /// before the target has left, it gets no work until its entry would have expired without
    /// heartbeats.
    fn upsert_target(&mut self, now: Millis, spec: TargetSpec) -> bool {
        let spec = self.newest_entry(now, spec);
        let target = TargetIncarnation {
            name: spec.name.clone(),
            incarnation: spec.incarnation,
        };
        let is_new = self.targets.upsert(spec);
        let may_be_old = self.may_read_old(now);
        if may_be_old && self.departed.contains(&target.name, target.incarnation) {
            self.targets.pause(now, &target, now.plus(ENTRY_LIFE_MS));
        }
        is_new
    }

    /// Whether entries that are read now may be older than what the store had before.
    pub(crate) fn may_read_old(&self, now: Millis) -> bool {
        self.store_return.may_read_old(now, self.settings.return_ms)
    }

    /// The entry of a target, or what is known of it if the store's copy may be from before that: a later
    /// incarnation, or that it is leaving.
    fn newest_entry(&self, now: Millis, spec: TargetSpec) -> TargetSpec {
        if !self.may_read_old(now) {
            return spec;
        }
        let known = self.targets.find(&spec.name).map(|t| &t.spec);
        if let Some(newer) = known.filter(|k| k.incarnation > spec.incarnation) {
            return newer.clone();
        }
        let is_leaving = |k: &TargetSpec| k.incarnation == spec.incarnation && k.leaving;
        TargetSpec {
            leaving: spec.leaving || known.is_some_and(is_leaving),
            ..spec
        }
    }

    /// Records that the process of a target has ended, or may have; returns whether this is news for
    /// other nodes.
    pub(crate) fn target_ended(
        &mut self,
        now: Millis,
        target: &TargetIncarnation,
        is_witnessed: bool,
    ) -> bool {
        let found = self
            .targets
            .find_incarnation(&target.name, target.incarnation);
        found.is_some_and(|t| t.doubt.begin(now, is_witnessed))
    }

    /// Ends doubts that the registry has settled.
    pub(crate) fn check_doubts(&mut self, now: Millis) {
        let connected_since = self.roles.connected_since;
        let targets = self.targets.iter_mut();
        targets.for_each(|t| t.doubt.check_registry(now, connected_since));
        self.check_entries(now);
    }
}
