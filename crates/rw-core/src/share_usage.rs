//! Recent engine time per caller, by which accounts' shares are enforced under contention.

use rw_types::Millis;

/// Half-life of recorded use.
const HALF_LIFE_MS: f64 = 10_000.0;
/// Multiple of its share that a caller may use under contention.
const SHARE_TOLERANCE: f64 = 1.5;
/// Engine time below which a caller no longer counts as active.
const MIN_ACTIVE_MS: f64 = 1.0;

#[derive(Debug, Clone)]
struct CallerUsage {
    caller: String,
    share: f64,
    /// Engine time in milliseconds, decayed to `at`.
    used_ms: f64,
    at: Millis,
}

impl CallerUsage {
    fn decayed(&self, now: Millis) -> f64 {
        self.used_ms * (-(now.since(self.at) as f64) / HALF_LIFE_MS).exp2()
    }
}

/// Recent engine time by caller, sorted by name.
#[derive(Debug, Clone, Default)]
pub struct ShareUsage {
    callers: Vec<CallerUsage>,
}

impl ShareUsage {
    /// Adds `engine_ms` milliseconds of engine time to a caller whose account has that share.
    pub fn charge(&mut self, now: Millis, caller: &str, share: u32, engine_ms: f64) {
        let share = f64::from(share.max(1));
        match self
            .callers
            .binary_search_by(|u| u.caller.as_str().cmp(caller))
        {
            Ok(i) => {
                let entry = &mut self.callers[i];
                entry.used_ms = entry.decayed(now) + engine_ms;
                entry.share = share;
                entry.at = now;
            }
            Err(i) => {
                let caller = caller.to_owned();
                self.callers.insert(
                    i,
                    CallerUsage {
                        caller,
                        share,
                        used_ms: engine_ms,
                        at: now,
                    },
                );
            }
        }
    }

    /// Whether a caller used more than 1.5 times its share of all active callers' engine time; false
    /// if no other is active.
    #[must_use]
    pub fn is_over(&self, now: Millis, caller: &str) -> bool {
        let Ok(i) = self
            .callers
            .binary_search_by(|u| u.caller.as_str().cmp(caller))
        else {
            return false;
        };
        let active = self.callers.iter().map(|u| (u.share, u.decayed(now)));
        let active = active.filter(|(_, used_ms)| *used_ms > MIN_ACTIVE_MS);
        let (shares, total) = active.fold((0.0, 0.0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
        let entry = &self.callers[i];
        entry.decayed(now) > SHARE_TOLERANCE * total * entry.share / shares
    }

    /// Recent engine time of a caller, in milliseconds.
    #[must_use]
    pub fn used_ms(&self, now: Millis, caller: &str) -> f64 {
        let found = self
            .callers
            .binary_search_by(|u| u.caller.as_str().cmp(caller));
        found.map_or(0.0, |i| self.callers[i].decayed(now))
    }

    /// Number of active callers, and their recent engine time in milliseconds.
    #[must_use]
    pub fn total(&self, now: Millis) -> (usize, f64) {
        let used = self.callers.iter().map(|u| u.decayed(now));
        let active = used.filter(|used_ms| *used_ms > MIN_ACTIVE_MS);
        active.fold((0, 0.0), |sum, used_ms| (sum.0 + 1, sum.1 + used_ms))
    }

    /// The `max` callers with the most recent engine time, with that time in milliseconds, the heaviest
    /// first.
    #[must_use]
    pub fn heaviest(&self, now: Millis, max: usize) -> Vec<(&str, f64)> {
        let used = self.callers.iter();
        let mut used: Vec<_> = used.map(|u| (u.caller.as_str(), u.decayed(now))).collect();
        used.sort_by(|a, b| b.1.total_cmp(&a.1));
        used.truncate(max);
        used
    }

    /// Removes the callers that no longer count as active.
    pub fn prune(&mut self, now: Millis) {
        self.callers.retain(|u| u.decayed(now) > MIN_ACTIVE_MS);
    }
}
