//! Usual ratio of measured to modelled time for one kind of work of a service.

use crate::lasting_speed::SLOWER_WEIGHT;

/// Weight of the latest sample, once there are many.
const SAMPLE_WEIGHT: f64 = 0.02;
/// Initial variance of the logarithm of the ratio, equivalent to a factor of 1.6 either way.
const INITIAL_VARIANCE: f64 = 0.22;
/// Minimum variance; clocks of nodes tick in milliseconds, so that measurements are never exact.
const MIN_VARIANCE: f64 = 0.01;

/// Mean logarithm of the ratio over all targets, and the variance of single samples around the mean
/// of their target. Whatever delays work on all targets alike, such as work of other nodes that is
/// not known here, is part of the mean, and is therefore not taken for slowness of a target.
#[derive(Debug, Clone, Copy)]
pub struct SpeedBaseline {
    mean: f64,
    variance: f64,
    samples: f64,
}

impl Default for SpeedBaseline {
    fn default() -> Self {
        Self {
            mean: 0.0,
            variance: INITIAL_VARIANCE,
            samples: 0.0,
        }
    }
}

impl SpeedBaseline {
    /// Mean logarithm of the ratio.
    #[must_use]
    pub fn mean(&self) -> f64 {
        self.mean
    }

    /// Whether there is no sample yet.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.samples <= 0.0
    }

    /// Variance of the logarithm of the ratio on one target.
    #[must_use]
    pub fn variance(&self) -> f64 {
        self.variance
    }

    /// Records a sample of the given weight, from 0 to 1, on a target whose speed differs from the
    /// mean by `difference`; `log_ratio` is the logarithm of measured to modelled time.
    pub fn record(&mut self, log_ratio: f64, difference: f64, weight: f64) {
        let weight = match log_ratio > self.mean + difference {
            true => weight * SLOWER_WEIGHT,
            false => weight,
        };
        if self.is_empty() {
            self.mean = log_ratio;
            self.samples = 1.0;
            return;
        }
        self.samples += weight;
        let residual = log_ratio - self.mean - difference;
        let step = weight * SAMPLE_WEIGHT.max(1.0 / self.samples);
        self.mean += (log_ratio - self.mean) * step;
        let step = weight * SAMPLE_WEIGHT;
        let variance = self.variance + (residual * residual - self.variance) * step;
        self.variance = variance.max(MIN_VARIANCE);
    }
}
