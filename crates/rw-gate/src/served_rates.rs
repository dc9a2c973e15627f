//! How often the recent calls of each client account were sent to an engine rather than refused.

use rw_types::Millis;

/// Half-life of a counted call, in milliseconds.
const HALF_LIFE_MS: f64 = 10_000.0;
/// Number of recent calls from which an account's rate counts.
const MIN_CALLS: f64 = 3.0;

/// Recent calls, and those of them that were sent.
#[derive(Debug, Clone, Copy, Default)]
struct Rate {
    offered: f64,
    sent: f64,
    at: Millis,
}

impl Rate {
    fn decayed(self, now: Millis) -> Self {
        let factor = (-(now.since(self.at) as f64) / HALF_LIFE_MS).exp2();
        Self {
            offered: self.offered * factor,
            sent: self.sent * factor,
            at: now,
        }
    }

    fn record(&mut self, now: Millis, is_sent: bool) {
        *self = self.decayed(now);
        self.offered += 1.0;
        self.sent += f64::from(u8::from(is_sent));
    }
}

/// Rates of the accounts with recent calls, sorted by name.
#[derive(Debug, Clone, Default)]
pub(crate) struct ServedRates {
    accounts: Vec<(String, Rate)>,
    /// Calls of all accounts.
    all: Rate,
    /// Calls of the accounts with hardly any engine time, each of which may have too few to count.
    light: Rate,
}

impl ServedRates {
    /// Counts a call of an account; `is_light` if the account has hardly any recent engine time.
    pub(crate) fn record(&mut self, now: Millis, account: &str, is_light: bool, is_sent: bool) {
        self.all.record(now, is_sent);
        if is_light {
            self.light.record(now, is_sent);
        }
        let found = self
            .accounts
            .binary_search_by(|(name, _)| name.as_str().cmp(account));
        let i = found.unwrap_or_else(|i| {
            self.accounts
                .insert(i, (account.to_owned(), Rate::default()));
            i
        });
        self.accounts[i].1.record(now, is_sent);
    }

    /// The lowest rate of any account relative to that of all calls; 1 if none is known.
    pub(crate) fn lowest(&self, now: Millis) -> f64 {
        let overall = self.all.sent / self.all.offered.max(f64::MIN_POSITIVE);
        if overall <= 0.0 {
            return 1.0;
        }
        let accounts = self.accounts.iter().map(|(_, rate)| *rate);
        let rates = accounts
            .chain([self.light])
            .filter(|r| r.decayed(now).offered >= MIN_CALLS);
        let relative = rates.map(|r| r.sent / r.offered / overall);
        relative.fold(1.0, f64::min)
    }

    /// Removes the accounts without recent calls.
    pub(crate) fn prune(&mut self, now: Millis) {
        self.accounts
            .retain(|(_, rate)| rate.decayed(now).offered > 0.1);
    }
}
