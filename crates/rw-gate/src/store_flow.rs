//! What follows from the store's returns from copies.

use crate::{Gate, SoftwareId, Target, TargetIncarnation, store_return::StoreReturn};
use rw_types::Millis;

impl Gate {
    /// The store was read; `confirmed_ms` is set if a node has confirmed since its latest return from a copy
    /// that nothing is missing.
    pub(crate) fn rows_read(&mut self, now: Millis, confirmed_ms: Option<u64>) {
        self.confirmed_ms = confirmed_ms;
        self.store_return.rows_read(now, confirmed_ms.is_some());
        self.keys.settle(!self.knows_rows(now));
        if let StoreReturn::Missed { at } = self.store_return {
            self.usage.reports_missed(at);
        }
        self.check_entries(now);
    }

    /// The store came back from a copy, which lacks what was written last.
    pub(crate) fn store_restored(&mut self, now: Millis) {
        self.store_return.restored(now, self.settings.return_ms);
        self.confirmed_ms = None;
        self.lease.store_restored();
        self.usage.store_restored(now);
        // The records may lack versions, and must not be written before they are read.
        self.software.restart();
    }

    /// Ends the doubts about entries that this node has found in the store's copy, once those that were
    /// lost are written again.
    pub(crate) fn check_entries(&mut self, now: Millis) {
        if self.knows_rows(now) {
            self.prove_entries(|_| true);
        }
    }

    /// Another node knows that the processes of these targets have written their entries.
    pub(crate) fn targets_proved(&mut self, proved: &[TargetIncarnation]) {
        self.prove_entries(|t| {
            let is_meant = |p: &TargetIncarnation| {
                p.name == t.spec.name && p.incarnation == t.spec.incarnation
            };
            proved.iter().any(is_meant)
        });
    }

    /// Ends the doubts about the entries of targets that `is_proved` names. Streams that began there
    /// meanwhile can then go on.
    pub(crate) fn prove_entries(&mut self, is_proved: impl Fn(&Target) -> bool) {
        let targets = self.targets.iter_mut();
        let proved = targets.filter(|t| is_proved(t)).filter_map(|t| {
            let is_news = t.doubt.entry_proved();
            is_news.then(|| (t.unknown_software(), SoftwareId::of_target(&t.spec)))
        });
        let known = self.settled.len();
        self.settled.extend(proved);
        if self.settled.len() == known {
            return;
        }
        for i in 0..self.calls.len() {
            let software = self.calls[i].software.map(|s| self.settled_version(s));
            self.calls[i].software = software;
        }
    }

    /// Whether what this node has read of the store is all that there is: what it lacks is lost, or
    /// was never there.
    pub(crate) fn knows_rows(&self, now: Millis) -> bool {
        self.store_return.knows_rows(now, self.settings.return_ms)
    }

    /// The store confirmed the configuration when it was asked at `asked_at`. That is no proof if the store
    /// may lack a newer one.
    pub(crate) fn config_confirmed(&mut self, asked_at: Millis) {
        match self.store_return {
            StoreReturn::Unknown => self.keys.confirm_later(asked_at),
            _ if self.knows_rows(asked_at) => self.keys.confirm(asked_at),
            _ => {}
        }
    }
}
