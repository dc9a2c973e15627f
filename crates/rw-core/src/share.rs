//! Use of the fleet by caller, for shares under contention.

use rw_types::Millis;

/// Time in which a use counts half, in milliseconds.
const HALF: f64 = 10_000.0;
/// Times its share that a caller may use under contention.
const SLACK: f64 = 1.5;
/// Use below which a caller no longer counts as active, in engine milliseconds.
const IDLE: f64 = 1.0;

#[derive(Debug, Clone)]
struct Use {
    caller: String,
    share: f64,
    /// Engine milliseconds, decayed to `at`.
    used: f64,
    at: Millis,
}

impl Use {
    fn decayed(&self, now: Millis) -> f64 {
        self.used * (-(now.since(self.at) as f64) / HALF).exp2()
    }
}

/// Recent use by caller, sorted by name.
#[derive(Debug, Clone, Default)]
pub struct ShareUsage {
    uses: Vec<Use>,
}

impl ShareUsage {
    /// Counts `cost` engine milliseconds of a caller with that declared share.
    pub fn charge(&mut self, now: Millis, caller: &str, share: u32, cost: f64) {
        let share = f64::from(share.max(1));
        match self
            .uses
            .binary_search_by(|u| u.caller.as_str().cmp(caller))
        {
            Ok(i) => {
                let one = &mut self.uses[i];
                one.used = one.decayed(now) + cost;
                one.share = share;
                one.at = now;
            }
            Err(i) => {
                let caller = caller.to_owned();
                self.uses.insert(
                    i,
                    Use {
                        caller,
                        share,
                        used: cost,
                        at: now,
                    },
                );
            }
        }
    }

    /// Whether a caller has used more than its share while others are active.
    #[must_use]
    pub fn is_over(&self, now: Millis, caller: &str) -> bool {
        let Ok(i) = self
            .uses
            .binary_search_by(|u| u.caller.as_str().cmp(caller))
        else {
            return false;
        };
        let active = self.uses.iter().map(|u| (u.share, u.decayed(now)));
        let active = active.filter(|(_, used)| *used > IDLE);
        let (shares, total) = active.fold((0.0, 0.0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
        let one = &self.uses[i];
        one.decayed(now) > SLACK * total * one.share / shares
    }
}
