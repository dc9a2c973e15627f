//! Concurrency beyond which more calls reduce the throughput of a target.

/// Number of ranges of concurrency, as fractions of the target's slots; the last has no upper bound.
const RANGES: usize = 12;
/// Ranges in which all slots are taken.
const FULL_RANGE: usize = 10;
/// Factor applied to the samples of a range when one is added.
const DECAY: f64 = 0.9;
/// Minimum weight of the samples in a range for it to count.
const MIN_SAMPLES: f64 = 2.5;
/// Throughput relative to the best at a lower concurrency under which a range is beyond the limit.
/// The margin is for the spread of the samples.
const LOWER_THROUGHPUT: f64 = 0.8;

/// Mean logarithm of the time of calls, relative to the usual one, by the concurrency at which they
/// were sent.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Saturation {
    ranges: [(f64, f64); RANGES],
    limit: Option<usize>,
}

impl Saturation {
    /// Records a call that was sent while `running` calls ran on `slots`.
    pub(crate) fn record(&mut self, running: u32, slots: u32, log_ratio: f64) {
        let (sum, weight) = &mut self.ranges[range(running, slots)];
        *sum = *sum * DECAY + log_ratio;
        *weight = *weight * DECAY + 1.0;
        self.limit = self.find_limit();
    }

    /// Calls that the target handles well; `None` if no limit has been seen.
    pub(crate) fn limit(&self, slots: u32) -> Option<u32> {
        let limit = self.limit? as f64 / FULL_RANGE as f64;
        Some(((f64::from(slots) * limit) as u32).max(1))
    }

    /// Lets what is known about high concurrency lose weight, so that it is tried again.
    pub(crate) fn forget(&mut self) {
        let Some(limit) = self.limit else {
            return;
        };
        for (sum, weight) in &mut self.ranges[limit..] {
            *sum *= DECAY;
            *weight *= DECAY;
        }
        self.limit = self.find_limit();
    }

    /// The first range whose throughput is clearly below that of a lower one.
    fn find_limit(&self) -> Option<usize> {
        let mut best = 0.0_f64;
        for (i, (sum, weight)) in self.ranges.iter().enumerate() {
            if *weight < MIN_SAMPLES {
                continue;
            }
            let throughput = (i as f64 + 0.5) / (sum / weight).exp();
            if throughput < best * LOWER_THROUGHPUT {
                return Some(i);
            }
            best = best.max(throughput);
        }
        None
    }
}

fn range(running: u32, slots: u32) -> usize {
    (running as usize * FULL_RANGE / slots.max(1) as usize).min(RANGES - 1)
}
