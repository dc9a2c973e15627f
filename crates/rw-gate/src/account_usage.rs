//! Recent engine time of client accounts, summed over the nodes whose digests arrive here.

use crate::served_rates::ServedRates;
use rw_core::{ShareUsage, hash};
use rw_types::Millis;
use serde::{Deserialize, Serialize};

/// Maximum number of accounts in one report. An account above its share is among the heaviest of
/// nearly every node that serves it, as load balancers spread its calls.
const MAX_REPORTED: usize = 4;
/// Interval between reports, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 1_000;
/// Age from which a report is ignored, in milliseconds: longer than several intervals, since
/// datagrams may be lost.
const REPORT_TTL_MS: u64 = 5_000;
/// Weight of the latest call in the moving average of the refusal rate.
const REFUSAL_RATE_WEIGHT: f64 = 0.02;
/// Refusal rate above which engines count as contended.
const CONTENDED_RATE: f64 = 0.05;
/// Multiple of its share of the engine time that an account may use under contention without
/// losing its place.
const SHARE_TOLERANCE: f64 = 1.5;
/// Part of the time left for a call that may pass before its response starts, if its account is above
/// its share: while all accounts are served, and while one is hardly served. The first one keeps more
/// calls queued, so that engines in both roles have work.
const WAIT_FRACTIONS: (f64, f64) = (0.75, 0.2);
/// Rate at which an account's calls are served, relative to all calls, below which accounts above
/// their share give way. It is twice the rate that each account must get.
const MIN_RELATIVE_RATE: f64 = 0.5;
/// Interval between adjustments of the pressure and of the sums that it depends on, in milliseconds.
const ADJUST_INTERVAL_MS: u64 = 200;
/// Changes of the pressure in one interval: upward while an account is hardly served, downward
/// otherwise. It rises within 2 s, and falls about as slowly as rates change.
const PRESSURE_STEPS: (f64, f64) = (0.1, 0.02);
/// Fraction of its share of the engine time below which an account counts as light.
const LIGHT_EXCESS: f64 = 0.25;

/// Serialized form of a [`ShareReport`], its fields in order.
type ReportFields = (u64, u32, Vec<(u64, u64)>, u8);

/// Recent engine time of the accounts of one node.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "ReportFields", into = "ReportFields")]
pub struct ShareReport {
    /// Engine time of all accounts, in milliseconds.
    pub total_ms: u64,
    /// Number of accounts with recent engine time.
    pub active: u32,
    /// Hashes of the names of the heaviest accounts, with their engine time in milliseconds.
    pub heaviest: Vec<(u64, u64)>,
    /// Pressure on accounts above their share to give way, in percent.
    pub pressure: u8,
}

impl From<ReportFields> for ShareReport {
    fn from((total_ms, active, heaviest, pressure): ReportFields) -> Self {
        Self {
            total_ms,
            active,
            heaviest,
            pressure,
        }
    }
}

impl From<ShareReport> for ReportFields {
    fn from(r: ShareReport) -> Self {
        (r.total_ms, r.active, r.heaviest, r.pressure)
    }
}

/// What became of a call for an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Decision {
    Sent,
    /// Refused, because no engine could respond in time.
    Late,
    /// Refused, because its account is above its share.
    OverShare,
}

/// The latest report of another node.
#[derive(Debug, Clone)]
struct PeerUsage {
    vm: String,
    at: Millis,
    report: ShareReport,
}

/// Engine time of this node's accounts and what other nodes report, and whether engines are contended.
#[derive(Debug, Clone, Default)]
pub(crate) struct AccountUsage {
    own: ShareUsage,
    /// Number of active accounts of this node and their engine time in milliseconds, as of the latest
    /// adjustment: the sum over all accounts takes too long for each call.
    own_total: (usize, f64),
    peers: Vec<PeerUsage>,
    /// Moving average of the rate of refusals for lack of engine time.
    refusal_rate: f64,
    rates: ServedRates,
    /// How far accounts above their share must give way because this node hardly serves another one:
    /// 0 to 1.
    pressure: f64,
    adjusted_at: Millis,
    reported_at: Option<Millis>,
}

impl AccountUsage {
    /// Adds engine time of an account.
    pub(crate) fn charge(&mut self, now: Millis, account: &str, engine_ms: f64) {
        self.own.charge(now, account, 1, engine_ms);
    }

    /// A call for an engine was sent or refused.
    pub(crate) fn decided(&mut self, now: Millis, account: Option<&str>, decision: Decision) {
        // Refusals for shares would otherwise sustain the contention that causes them.
        if decision != Decision::OverShare {
            let value = f64::from(u8::from(decision == Decision::Late));
            self.refusal_rate += REFUSAL_RATE_WEIGHT * (value - self.refusal_rate);
        }
        let Some(account) = account else {
            return;
        };
        let is_due = now.since(self.adjusted_at) >= ADJUST_INTERVAL_MS;
        if is_due {
            self.own_total = self.own.total(now);
        }
        let is_light = self.excess(now, account) < LIGHT_EXCESS;
        let is_sent = decision == Decision::Sent;
        self.rates.record(now, account, is_light, is_sent);
        if is_due {
            self.adjusted_at = now;
            let step = match self.rates.lowest(now) < MIN_RELATIVE_RATE {
                true => PRESSURE_STEPS.0,
                false => -PRESSURE_STEPS.1,
            };
            self.pressure = (self.pressure + step).clamp(0.0, 1.0);
        }
    }

    /// Replaces what another node reported before.
    pub(crate) fn receive(&mut self, now: Millis, vm: &str, report: &ShareReport) {
        self.peers
            .retain(|p| p.vm != vm && now.since(p.at) < REPORT_TTL_MS);
        self.peers.push(PeerUsage {
            vm: vm.to_owned(),
            at: now,
            report: report.clone(),
        });
    }

    /// The report to publish, at most once per [`REPORT_INTERVAL_MS`] and only if there is engine time
    /// to report.
    pub(crate) fn take_report(&mut self, now: Millis) -> Option<ShareReport> {
        let is_recent = |at| now.since(at) < REPORT_INTERVAL_MS;
        if self.reported_at.is_some_and(is_recent) {
            return None;
        }
        self.reported_at = Some(now);
        self.own.prune(now);
        self.rates.prune(now);
        let (active, total_ms) = self.own.total(now);
        let heaviest = self.own.heaviest(now, MAX_REPORTED);
        let heaviest = heaviest.iter().map(|(name, ms)| (hash(name), *ms as u64));
        (active > 0).then(|| ShareReport {
            total_ms: total_ms as u64,
            active: active as u32,
            heaviest: heaviest.collect(),
            pressure: (self.pressure * 100.0) as u8,
        })
    }

    /// Part of the time left for a call of `account` that may pass before its response starts. It is
    /// less than 1 only under contention and for an account above its share.
    pub(crate) fn wait_fraction(&self, now: Millis, account: &str) -> f64 {
        let pressure = self.highest_pressure(now);
        let is_contended = self.refusal_rate > CONTENDED_RATE || pressure > 0.0;
        if !is_contended || self.excess(now, account) <= SHARE_TOLERANCE {
            return 1.0;
        }
        WAIT_FRACTIONS.0 + (WAIT_FRACTIONS.1 - WAIT_FRACTIONS.0) * pressure
    }

    /// The highest pressure at this node and at the nodes whose digests arrive here.
    fn highest_pressure(&self, now: Millis) -> f64 {
        let reports = self.recent_reports(now);
        let pressures = reports.map(|r| f64::from(r.pressure.min(100)) / 100.0);
        pressures.fold(self.pressure, f64::max)
    }

    fn recent_reports(&self, now: Millis) -> impl Iterator<Item = &ShareReport> {
        let recent = self.peers.iter();
        let recent = recent.filter(move |p| now.since(p.at) < REPORT_TTL_MS);
        recent.map(|p| &p.report)
    }

    /// Recent engine time of an account relative to an equal share of all engine time: 1 if it has
    /// exactly its share, and 0 if it has none.
    fn excess(&self, now: Millis, account: &str) -> f64 {
        let name = hash(account);
        let mut active = self.own_total.0 as f64;
        let (mut used_ms, mut total_ms) = (self.own.used_ms(now, account), self.own_total.1);
        let recent = self
            .peers
            .iter()
            .filter(|p| now.since(p.at) < REPORT_TTL_MS);
        for PeerUsage { report, .. } in recent {
            let listed = report.heaviest.iter().find(|(n, _)| *n == name);
            used_ms += listed.map_or(0.0, |(_, ms)| *ms as f64);
            total_ms += report.total_ms as f64;
            // Most accounts are active at several nodes.
            active = active.max(f64::from(report.active));
        }
        match total_ms > 0.0 {
            true => used_ms * active / total_ms,
            false => 0.0,
        }
    }
}
