//! Request bodies whose targets crashed while running them.

use rw_types::{Millis, Suspect};

/// Number of different targets that a body must have crashed to be refused.
const POISON_TARGETS: usize = 2;
/// Maximum number of suspects kept; the oldest are evicted first.
const MAX_KEPT: usize = 1_000;

#[derive(Debug, Clone)]
struct Entry {
    fingerprint: u64,
    targets: Vec<String>,
    last_crash: Millis,
}

/// Suspect bodies recorded by this node and its peers, sorted by fingerprint.
#[derive(Debug, Clone, Default)]
pub struct Suspects {
    entries: Vec<Entry>,
}

impl Suspects {
    /// Records that a request with this body crashed `target`.
    pub fn record_crash(&mut self, now: Millis, fingerprint: u64, target: &str) {
        let suspect = Suspect {
            fingerprint,
            targets: vec![target.to_owned()],
            age_ms: 0,
        };
        self.merge(now, &[suspect]);
    }

    /// Milliseconds until a body may run again; `None` unless it crashed two targets and its latest
    /// crash is less than `ttl_ms` ago.
    #[must_use]
    pub fn poisoned_ms(&self, now: Millis, fingerprint: u64, ttl_ms: u64) -> Option<u64> {
        let i = self.index(fingerprint).ok()?;
        let entry = &self.entries[i];
        let remaining_ms = ttl_ms.checked_sub(now.since(entry.last_crash))?;
        (remaining_ms > 0 && entry.targets.len() >= POISON_TARGETS).then_some(remaining_ms)
    }

    /// Whether a body crashed any target within `ttl_ms`.
    #[must_use]
    pub fn is_known(&self, now: Millis, fingerprint: u64, ttl_ms: u64) -> bool {
        self.index(fingerprint)
            .is_ok_and(|i| now.since(self.entries[i].last_crash) < ttl_ms)
    }

    /// All suspects with their ages, to be sent to peers.
    #[must_use]
    pub fn export(&self, now: Millis) -> Vec<Suspect> {
        self.export_recent(now, u64::MAX)
    }

    /// The suspects whose latest crash is less than `max_age_ms` ago.
    #[must_use]
    pub fn export_recent(&self, now: Millis, max_age_ms: u64) -> Vec<Suspect> {
        let recent = self.entries.iter();
        let recent = recent.filter(|k| now.since(k.last_crash) < max_age_ms);
        let export = |k: &Entry| Suspect {
            fingerprint: k.fingerprint,
            targets: k.targets.clone(),
            age_ms: now.since(k.last_crash),
        };
        recent.map(export).collect()
    }

    /// Merges suspects received from a peer.
    pub fn merge(&mut self, now: Millis, suspects: &[Suspect]) {
        for suspect in suspects {
            self.merge_one(now, suspect);
        }
    }

    /// Removes suspects whose latest crash is `ttl_ms` or longer ago, and the oldest above the
    /// maximum number.
    pub fn prune(&mut self, now: Millis, ttl_ms: u64) {
        self.entries.retain(|k| now.since(k.last_crash) < ttl_ms);
        while self.entries.len() > MAX_KEPT {
            let oldest = self
                .entries
                .iter()
                .enumerate()
                .min_by_key(|(_, k)| k.last_crash);
            let Some((i, _)) = oldest else {
                return;
            };
            self.entries.remove(i);
        }
    }

    fn merge_one(&mut self, now: Millis, suspect: &Suspect) {
        let last_crash = Millis(now.0.saturating_sub(suspect.age_ms));
        let i = match self.index(suspect.fingerprint) {
            Ok(i) => i,
            Err(i) => {
                let entry = Entry {
                    fingerprint: suspect.fingerprint,
                    targets: Vec::new(),
                    last_crash,
                };
                self.entries.insert(i, entry);
                i
            }
        };
        let entry = &mut self.entries[i];
        entry.last_crash = entry.last_crash.max(last_crash);
        for target in &suspect.targets {
            if let Err(at) = entry.targets.binary_search(target) {
                entry.targets.insert(at, target.clone());
            }
        }
    }

    fn index(&self, fingerprint: u64) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&fingerprint, |k| k.fingerprint)
    }
}
