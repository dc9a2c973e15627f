//! Speed of a target: how long work takes there, relative to the mean of its service.

use crate::{
    SpeedBaseline, TargetLoad, WorkKind,
    lasting_speed::{DueSpeed, LastingSpeed},
    saturation::Saturation,
};
use rw_types::Millis;

/// Age up to which the momentary figure that a target reports is believed, in milliseconds.
const PACE_TTL_MS: u64 = 300;
/// Time for which a momentary slowness is assumed to last, in milliseconds.
const PACE_HORIZON_MS: f64 = 300.0;
/// Bounds of the momentary figure, in percent: minimum and maximum.
const PACE_BOUNDS: (u32, u32) = (25, 800);
/// Figure from which calls show whether it is true, in percent.
const SLOW_PACE: f64 = 130.0;
/// Weight of the latest sample in the means that show whether the momentary figure is true.
const PACE_WEIGHT: f64 = 0.2;
/// Samples of each mean with which half of what they show is believed.
const HALF_TRUST_SAMPLES: f64 = 2.0;
/// Weight of a sample whose modelled time is this many milliseconds is half of the maximum: the time
/// of short work depends on steps of the target and on the network more than on its speed.
const HALF_WEIGHT_MS: f64 = 40.0;
/// Bounds of the time of one sample, relative to the mean: minimum and maximum.
const RATIO_BOUNDS: (f64, f64) = (0.2, 8.0);

/// One measured piece of work.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SpeedSample {
    /// Kind of work.
    pub kind: WorkKind,
    /// Measured time in milliseconds.
    pub took_ms: f64,
    /// Time by the service's model, in milliseconds, with the known work ahead of it. If there is no
    /// model, the amount of work in any unit.
    pub expected_ms: f64,
    /// Calls that ran on the target when it was sent.
    pub running: u32,
    /// Calls that the target can run.
    pub slots: u32,
    /// Whether the work had not ended, so that it takes at least this long.
    pub is_minimum: bool,
}

/// Means over calls that ended while a target reported a certain momentary figure.
#[derive(Debug, Clone, Copy, Default)]
struct PaceCheck {
    /// Logarithm of their time, relative to the lasting speed.
    difference: f64,
    /// Logarithm of the figure.
    log_pace: f64,
    samples: f64,
}

impl PaceCheck {
    fn record(&mut self, difference: f64, log_pace: f64) {
        self.samples += 1.0;
        let weight = PACE_WEIGHT.max(1.0 / self.samples);
        self.difference += (difference - self.difference) * weight;
        self.log_pace += (log_pace - self.log_pace) * weight;
    }
}

/// Speed of one target as far as this node knows it.
///
/// A factor is the time that work takes there, relative to the mean of its service: 1 is usual, and 2
/// is twice as long.
#[derive(Debug, Clone, Default)]
pub struct TargetSpeed {
    lasting: [LastingSpeed; 3],
    saturation: Saturation,
    /// Momentary figure in percent, and the time at which it arrived.
    pace: Option<(Millis, u32)>,
    /// What calls have shown while that figure was high, and while it was not.
    pace_checks: [PaceCheck; 2],
    /// Factor that is given and not learned.
    pinned: Option<f64>,
}

impl TargetSpeed {
    /// Lasting factor for a kind of work.
    #[must_use]
    pub fn factor(&self, kind: WorkKind) -> f64 {
        let learned = || self.lasting[kind.index()].factor();
        self.pinned.unwrap_or_else(learned)
    }

    /// Load of a target that runs `running` calls on `slots`, as a fraction of its slots, such that a
    /// slower target counts as more loaded. It includes the next call where the factor is not 1.
    #[must_use]
    pub fn scaled_load(&self, kind: WorkKind, running: u32, slots: u32) -> f64 {
        let slots = f64::from(slots.max(1));
        let load = f64::from(running) / slots;
        load + (load + 1.0 / slots) * (self.factor(kind) - 1.0)
    }

    /// Calls that the target handles well; `None` if more have never reduced its throughput.
    #[must_use]
    pub fn saturation(&self, slots: u32) -> Option<u32> {
        self.saturation.limit(slots)
    }

    /// Weight of this node's own samples of a kind of work; that of a sample is at most 1.
    #[must_use]
    pub fn samples(&self, kind: WorkKind) -> f64 {
        self.lasting[kind.index()].samples()
    }

    /// Milliseconds by which the momentary state delays work of `work_ms`; negative if the target is
    /// faster than usual at the moment.
    #[must_use]
    pub fn momentary_delay_ms(&self, now: Millis, work_ms: f64) -> f64 {
        let Some((_, pace)) = self.pace.filter(|(at, _)| now.since(*at) < PACE_TTL_MS) else {
            return 0.0;
        };
        let factor = f64::from(pace) / 100.0;
        // At a factor of 2, half of the time is lost as long as the slowness lasts.
        let most_ms = PACE_HORIZON_MS * (1.0 - 1.0 / factor);
        let delay_ms = work_ms * (factor - 1.0);
        match factor > 1.0 {
            true => delay_ms.min(most_ms) * self.trust(),
            false => delay_ms.max(most_ms) * self.trust(),
        }
    }

    /// Sets a factor for all kinds of work that is used instead of what is learned.
    pub fn pin(&mut self, factor: f64) {
        self.pinned = Some(factor);
    }

    /// Records the load that came with a response.
    pub(crate) fn record_load(&mut self, now: Millis, load: &TargetLoad) {
        let pace = load.pace.map(|p| p.clamp(PACE_BOUNDS.0, PACE_BOUNDS.1));
        self.pace = pace.map(|pace| (now, pace));
    }

    /// Records a measured piece of work, here and in the mean of the service.
    pub fn record(&mut self, now: Millis, sample: &SpeedSample, baseline: &mut SpeedBaseline) {
        let log_ratio = (sample.took_ms.max(1.0) / sample.expected_ms.max(1.0)).ln();
        if baseline.is_empty() {
            return baseline.record(log_ratio, 0.0, 1.0);
        }
        let weight = match sample.kind {
            WorkKind::Prefill => sample.expected_ms / (sample.expected_ms + HALF_WEIGHT_MS),
            WorkKind::Decode | WorkKind::Plain => 1.0,
        };
        let difference = log_ratio - baseline.mean();
        let difference = difference.clamp(RATIO_BOUNDS.0.ln(), RATIO_BOUNDS.1.ln());
        let lasting = &mut self.lasting[sample.kind.index()];
        let own = lasting.own_difference();
        // It may have needed as long as was estimated, which shows nothing.
        if sample.is_minimum && difference <= lasting.factor().ln() {
            return;
        }
        lasting.record(now, difference, weight, baseline);
        baseline.record(baseline.mean() + difference, own, weight);
        self.record_pace_check(now, difference - own);
        if sample.kind != WorkKind::Prefill {
            self.saturation
                .record(sample.running, sample.slots, difference);
        }
    }

    /// Records what a call has shown beside the momentary figure that came with its response.
    fn record_pace_check(&mut self, now: Millis, difference: f64) {
        let Some((_, pace)) = self.pace.filter(|(at, _)| now.since(*at) < PACE_TTL_MS) else {
            return;
        };
        let log_pace = (f64::from(pace) / 100.0).ln();
        let is_slow = f64::from(pace) >= SLOW_PACE;
        self.pace_checks[usize::from(is_slow)].record(difference, log_pace);
    }

    /// Fraction of the momentary figure that calls have confirmed, from 0 to 1: the difference in
    /// their time between a high and a usual figure, relative to the difference of the figures. A
    /// figure that never changes says nothing and is not believed.
    fn trust(&self) -> f64 {
        let [usual, slow] = &self.pace_checks;
        let told = slow.log_pace - usual.log_pace;
        if usual.samples == 0.0 || slow.samples == 0.0 || told <= 0.0 {
            return 0.0;
        }
        let shown = ((slow.difference - usual.difference) / told).clamp(0.0, 1.0);
        let samples = usual.samples.min(slow.samples);
        shown * samples / (samples + HALF_TRUST_SAMPLES)
    }

    /// Records what another node has measured: the factor, and the number of samples behind it.
    pub fn merge(
        &mut self,
        now: Millis,
        kind: WorkKind,
        (source, factor, samples, age_ms): (u32, f64, f64, u64),
        baseline: &SpeedBaseline,
    ) -> bool {
        let lasting = &mut self.lasting[kind.index()];
        let is_news = lasting.merge(now, source, factor, samples, age_ms);
        lasting.update(now, baseline);
        is_news
    }

    /// Updates the factors, as samples lose weight with time.
    pub(crate) fn tick(&mut self, now: Millis, baselines: &[SpeedBaseline; 3]) {
        for (lasting, baseline) in self.lasting.iter_mut().zip(baselines) {
            lasting.update(now, baseline);
        }
    }

    /// Lets what is known about high concurrency lose weight; called once per second.
    pub(crate) fn forget_saturation(&mut self) {
        self.saturation.forget();
    }

    /// What is due to be published about a kind of work.
    pub(crate) fn due(
        &self,
        now: Millis,
        kind: WorkKind,
        baseline: &SpeedBaseline,
    ) -> Vec<DueSpeed> {
        self.lasting[kind.index()].due(now, baseline)
    }

    /// Records what was published.
    pub(crate) fn published(&mut self, now: Millis, kind: WorkKind, source: Option<u32>) {
        self.lasting[kind.index()].published(now, source);
    }
}
