//! How fast each engine of a simulation is, at any time.

use super::routes::{US_PER_MS, WARMUP_US};
use rw_gate::TargetSpeeds;

/// Length of the periods in which engines are slow for a moment, in microseconds.
const MOMENT_US: u64 = 600 * US_PER_MS;
/// Factor on the time of work in such a period.
const MOMENT_FACTOR: f64 = 2.5;
/// Factor on the time of an engine that recovers, before it does.
const SICK_FACTOR: f64 = 2.5;
/// Fraction of its slots from which a saturating engine slows down.
const SATURATION_FRACTION: f64 = 0.7;
/// Exponent of the time of its steps, over the calls that it runs relative to that fraction.
const SATURATION_EXPONENT: f64 = 3.0;
/// Bounds of factors that are drawn at random.
const RANDOM_BOUNDS: (f64, f64) = (0.6, 1.8);

/// What engines say about their momentary state.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum PaceReports {
    /// Nothing.
    #[default]
    None,
    /// The truth.
    True,
    /// The first third of the engines always say that they are three times slower, the others the
    /// truth.
    False,
}

/// What the nodes of a simulation know of speeds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SpeedKnowledge {
    /// What the setting `target-speeds` stands for.
    Setting(TargetSpeeds),
    /// The true speed of each engine at any time, an upper bound for what can be learned.
    True,
}

impl Default for SpeedKnowledge {
    fn default() -> Self {
        Self::Setting(TargetSpeeds::default())
    }
}

/// Speeds of the engines in a simulation.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EngineSpeeds {
    /// Whether factors on the time of steps are drawn at random, from 0.6 to 1.8, in addition to the
    /// factors of the deployment.
    pub is_random: bool,
    /// Fraction of the engines that are slower by a factor of 2.5, drawn anew every 0.6 s.
    pub momentary: f64,
    /// What engines say about that.
    pub pace: PaceReports,
    /// Number of engines, from the last one on, that slow down from 0.7 of their slots.
    pub saturating: usize,
    /// Number of engines, from the first one on, that are slower by a factor of 2.5 until `recover_s`.
    pub recovering: usize,
    /// Seconds from the first call.
    pub recover_s: f64,
    /// What the nodes know.
    pub knowledge: SpeedKnowledge,
}

impl EngineSpeeds {
    /// Factor on the time of work on an engine at `now`, in microseconds, without its saturation.
    pub(super) fn factor(&self, now: u64, seed: u64, engine: usize) -> f64 {
        let lasting = match self.is_random {
            true => {
                let (min, max) = RANDOM_BOUNDS;
                min + (max - min) * draw(seed, engine as u64, 0)
            }
            false => 1.0,
        };
        let recover_us = WARMUP_US + (self.recover_s * 1e6) as u64;
        let is_sick = engine < self.recovering && now < recover_us;
        let sick = if is_sick { SICK_FACTOR } else { 1.0 };
        lasting * sick * self.moment(now, seed, engine)
    }

    /// Factor of the momentary state.
    fn moment(&self, now: u64, seed: u64, engine: usize) -> f64 {
        // The periods of engines do not begin at the same time.
        let offset = (draw(seed, engine as u64, 1) * MOMENT_US as f64) as u64;
        let period = (now + offset) / MOMENT_US + 2;
        match draw(seed, engine as u64, period) < self.momentary {
            true => MOMENT_FACTOR,
            false => 1.0,
        }
    }

    /// Momentary figure that an engine reports, in percent.
    pub(super) fn reported_pace(&self, now: u64, seed: u64, engine: usize) -> Option<u32> {
        let percent = (self.moment(now, seed, engine) * 100.0) as u32;
        match self.pace {
            PaceReports::None => None,
            PaceReports::True => Some(percent),
            PaceReports::False if engine.is_multiple_of(3) => Some(300),
            PaceReports::False => Some(percent),
        }
    }

    /// Factor of an engine that runs `running` calls on `slots`, if it is one that saturates.
    pub(super) fn saturation(&self, engine: usize, engines: usize, load: (usize, u32)) -> f64 {
        let (running, slots) = load;
        let level = running as f64 / (f64::from(slots) * SATURATION_FRACTION).max(1.0);
        match engine + self.saturating >= engines {
            true => level.max(1.0).powf(SATURATION_EXPONENT),
            false => 1.0,
        }
    }
}

/// A number from 0 to 1 that depends on nothing but its arguments.
fn draw(seed: u64, engine: u64, period: u64) -> f64 {
    let mixed = rw_core::mix(rw_core::mix(seed, engine + 1), period + 1);
    (mixed >> 11) as f64 / (1_u64 << 53) as f64
}
