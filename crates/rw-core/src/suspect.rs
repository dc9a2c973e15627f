//! Requests whose targets ended while running them.

use rw_types::{Millis, Suspect};

/// Different targets that a request must have crashed to be refused.
const VERDICT: usize = 2;
/// Most suspects kept; the oldest go first.
const MAX_KEPT: usize = 1_000;

#[derive(Debug, Clone)]
struct Known {
    fingerprint: u64,
    targets: Vec<String>,
    last: Millis,
}

/// Suspects of this node and its peers, sorted by fingerprint.
#[derive(Debug, Clone, Default)]
pub struct Suspects {
    known: Vec<Known>,
}

impl Suspects {
    /// Counts a crash of `target` by a body.
    pub fn record_crash(&mut self, now: Millis, fingerprint: u64, target: &str) {
        let seen = Suspect {
            fingerprint,
            targets: vec![target.to_owned()],
            age_ms: 0,
        };
        self.merge(now, &[seen]);
    }

    /// Milliseconds until a body may run again, if it crashed too many targets within `keep_ms`.
    #[must_use]
    pub fn poisoned_ms(&self, now: Millis, fingerprint: u64, keep_ms: u64) -> Option<u64> {
        let i = self.index(fingerprint).ok()?;
        let known = &self.known[i];
        let left = keep_ms.checked_sub(now.since(known.last))?;
        (left > 0 && known.targets.len() >= VERDICT).then_some(left)
    }

    /// Whether a body crashed any target within `keep_ms`.
    #[must_use]
    pub fn is_known(&self, now: Millis, fingerprint: u64, keep_ms: u64) -> bool {
        self.index(fingerprint)
            .is_ok_and(|i| now.since(self.known[i].last) < keep_ms)
    }

    /// What peers should know.
    #[must_use]
    pub fn export(&self, now: Millis) -> Vec<Suspect> {
        let export = |k: &Known| Suspect {
            fingerprint: k.fingerprint,
            targets: k.targets.clone(),
            age_ms: now.since(k.last),
        };
        self.known.iter().map(export).collect()
    }

    /// Takes over what a peer knows.
    pub fn merge(&mut self, now: Millis, seen: &[Suspect]) {
        for suspect in seen {
            self.merge_one(now, suspect);
        }
    }

    /// Forgets what is older than `keep_ms`.
    pub fn prune(&mut self, now: Millis, keep_ms: u64) {
        self.known.retain(|k| now.since(k.last) < keep_ms);
        while self.known.len() > MAX_KEPT {
            let oldest = self.known.iter().enumerate().min_by_key(|(_, k)| k.last);
            let Some((i, _)) = oldest else {
                return;
            };
            self.known.remove(i);
        }
    }

    fn merge_one(&mut self, now: Millis, seen: &Suspect) {
        let last = Millis(now.0.saturating_sub(seen.age_ms));
        let i = match self.index(seen.fingerprint) {
            Ok(i) => i,
            Err(i) => {
                let known = Known {
                    fingerprint: seen.fingerprint,
                    targets: Vec::new(),
                    last,
                };
                self.known.insert(i, known);
                i
            }
        };
        let known = &mut self.known[i];
        known.last = known.last.max(last);
        for target in &seen.targets {
            if let Err(at) = known.targets.binary_search(target) {
                known.targets.insert(at, target.clone());
            }
        }
    }

    fn index(&self, fingerprint: u64) -> Result<usize, usize> {
        self.known
            .binary_search_by_key(&fingerprint, |k| k.fingerprint)
    }
}
