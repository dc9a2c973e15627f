//! Demand on the engines of a service, by role, as far as it decides on their split.
//!
//! The two roles are bound by different things: engines that decode by their slots, engines that
//! prefill by their time. The occupancy of slots comes from the loads that engines report, and the
//! prefill work from the prompts that nodes announce to each other.

use crate::TargetLoad;
use rw_types::Millis;

/// Averaging time, in milliseconds. Longer than usual bursts of one kind of call, because a change
/// of role takes seconds.
const WINDOW_MS: f64 = 6_000.0;
/// Number of reported loads, after decay, from which the mean occupancy is used.
const MIN_SAMPLES: f64 = 10.0;
/// Time from the first call until the demand is known, in milliseconds.
const MIN_OBSERVED_MS: u64 = 3_000;
/// Mean occupancy below which decode engines are released.
const LOW_OCCUPANCY: f64 = 0.25;
/// Mean occupancy above which decode engines are added.
const HIGH_OCCUPANCY: f64 = 0.85;
/// Mean occupancy that a new split aims at. The rest is left for bursts, and because each token
/// takes longer the more streams run.
const WANTED_OCCUPANCY: f64 = 0.5;
/// Fraction of the time of the prefill engines that is in use from which more of them are of use.
const BUSY_FRACTION: f64 = 0.3;
/// Decode engines that a plan leaves beyond those needed, so that calls go on if one fails.
const SPARE_DECODE: usize = 1;
/// Fraction of the decode engines that must be released for that to be worth the downtime.
const MIN_RELEASED_FRACTION: f64 = 0.3;

/// Demand on the engines of one service.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RoleDemand {
    /// Time of the first call.
    since: Option<Millis>,
    /// Taken fractions of the slots of engines that decode.
    occupied: DecayedSum,
    /// Number of these fractions.
    samples: DecayedSum,
    /// Milliseconds of prefill.
    prefill_ms: DecayedSum,
}

/// Sum that decays over [`WINDOW_MS`].
#[derive(Debug, Clone, Copy, Default)]
struct DecayedSum {
    sum: f64,
    at: Millis,
}

impl DecayedSum {
    fn add(&mut self, now: Millis, value: f64) {
        self.sum = self.get(now) + value;
        self.at = now;
    }

    fn get(&self, now: Millis) -> f64 {
        let age_ms = now.since(self.at) as f64;
        self.sum * (-age_ms / WINDOW_MS).exp()
    }
}

impl RoleDemand {
    /// Records the load that an engine that decodes reported with a response.
    pub(crate) fn record_load(&mut self, now: Millis, load: TargetLoad) {
        let occupancy = f64::from(load.running) / f64::from(load.slots.max(1));
        self.occupied.add(now, occupancy);
        self.samples.add(now, 1.0);
    }

    /// Records a prefill, sent by any node, that takes `busy_ms` milliseconds.
    pub(crate) fn record_prefill(&mut self, now: Millis, busy_ms: f64) {
        self.since.get_or_insert(now);
        self.prefill_ms.add(now, busy_ms);
    }

    /// Whether a call was seen.
    pub(crate) fn is_known(&self) -> bool {
        self.since.is_some()
    }

    /// Forgets the loads that were reported under another split.
    pub(crate) fn reset_loads(&mut self) {
        self.samples = DecayedSum::default();
        self.occupied = DecayedSum::default();
    }

    /// The number of engines that should decode, if `decode` do and `prefill` don't, and calls of
    /// the fraction `heard` of all nodes are known. `None` if the split need not change.
    pub(crate) fn wanted_decode(
        &self,
        now: Millis,
        decode: usize,
        prefill: usize,
        heard: f64,
    ) -> Option<usize> {
        let is_settled = self
            .since
            .is_some_and(|at| now.since(at) >= MIN_OBSERVED_MS);
        let samples = self.samples.get(now);
        if !is_settled || samples < MIN_SAMPLES {
            return None;
        }
        let occupancy = self.occupied.get(now) / samples;
        let engines_needed = decode as f64 * occupancy / WANTED_OCCUPANCY;
        let is_prefill_busy = self.prefill_fraction(now, prefill, heard) > BUSY_FRACTION;
        let wanted = engines_needed.ceil() as usize;
        if occupancy < LOW_OCCUPANCY && is_prefill_busy {
            // Tokens take longer on fewer engines, by how much is seen after each step.
            let wanted = wanted.max(decode.div_ceil(2)) + SPARE_DECODE;
            let max = decode as f64 * (1.0 - MIN_RELEASED_FRACTION);
            return Some(wanted).filter(|w| *w as f64 <= max);
        }
        // What can't be decoded is prefilled in vain, so this holds however busy the others are.
        if occupancy > HIGH_OCCUPANCY {
            let limit = decode + prefill - 1;
            return Some(wanted.min(limit)).filter(|w| *w > decode);
        }
        None
    }

    /// Fraction of the time of the prefill engines that is in use.
    fn prefill_fraction(&self, now: Millis, engines: usize, heard: f64) -> f64 {
        let available_ms = WINDOW_MS * engines.max(1) as f64 * heard;
        self.prefill_ms.get(now) / available_ms
    }
}
