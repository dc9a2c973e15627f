//! Lasting speed of a target in one kind of work, from own samples and from those of other nodes.

use crate::SpeedBaseline;
use rw_types::Millis;

/// Time after which the weight of a sample has halved, in milliseconds. A target that recovers is
/// tried again as its samples lose weight.
const HALF_LIFE_MS: f64 = 20_000.0;
/// Weight of a sample above the mean of the own ones, relative to one below. It is lower, because work
/// may have waited for work of other nodes that is not known here, while nothing makes it faster.
/// Such waits hit several samples in a row, so that their number does not show that they are wrong.
pub(crate) const SLOWER_WEIGHT: f64 = 0.2;
/// Time after the previous sample from which one has its full weight, in milliseconds. Samples closer
/// together are delayed by the same momentary state or queue, and are not independent.
const SPREAD_MS: f64 = 1_500.0;
/// Minimum weight of a sample that follows another at once.
const MIN_SPREAD: f64 = 0.05;
/// Factor by which a sample must be faster than believed to refute what is known.
const REFUTED_FACTOR: f64 = 1.3;
/// Factor on the weight of what is known then.
const REFUTED_WEIGHT: f64 = 0.5;
/// Age from which a report of another node is dropped, in milliseconds.
const OPINION_TTL_MS: u64 = 12_000;
/// Age from which an own exception is published again, in milliseconds.
const REPEAT_MS: u64 = 3_000;
/// Maximum number of other nodes whose reports on a target are kept.
const MAX_OPINIONS: usize = 5;
/// Maximum number of samples for which the report of one other node counts.
const MAX_OPINION_SAMPLES: f64 = 4.0;
/// Maximum factor, either way, that one other node can cause alone: the target gets fewer calls, and
/// so shows to each node that sends some what is true.
const MAX_SINGLE_FACTOR: f64 = 1.5;
/// Maximum factor, either way.
const MAX_FACTOR: f64 = 4.0;
/// Standard errors by which a difference must exceed zero to count; the rest of it counts.
const IGNORED_ERRORS: f64 = 3.0;
/// Standard errors from which a difference is reported to other nodes.
const CLEAR_ERRORS: f64 = 3.0;
/// Minimum factor, either way, that is reported to other nodes or used.
const CLEAR_FACTOR: f64 = 1.2;
/// Minimum weight of own samples behind a report.
const MIN_REPORT_SAMPLES: f64 = 1.0;

/// What another node has measured.
#[derive(Debug, Clone, Copy)]
struct Opinion {
    source: u32,
    /// Logarithm of the factor.
    difference: f64,
    samples: f64,
    measured_at: Millis,
    /// Whether it was not passed on yet.
    is_news: bool,
}

impl Opinion {
    fn weight(&self, now: Millis) -> f64 {
        self.samples.min(MAX_OPINION_SAMPLES) * decay(now, self.measured_at)
    }
}

/// What is due to be published about a target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct DueSpeed {
    /// Node that has measured it; `None` for this one.
    pub(crate) source: Option<u32>,
    /// Time that work takes, relative to the mean of the service.
    pub(crate) factor: f64,
    pub(crate) samples: f64,
    pub(crate) measured_at: Millis,
    /// Whether it was never published.
    pub(crate) is_news: bool,
}

/// Evidence on the speed of a target, relative to the mean of its service.
#[derive(Debug, Clone, Default)]
pub(crate) struct LastingSpeed {
    /// Weighted sum of the own differences of logarithms, and the sum of their weights.
    sum: f64,
    weight: f64,
    updated_at: Millis,
    sampled_at: Millis,
    opinions: Vec<Opinion>,
    published_at: Option<Millis>,
    factor: Option<f64>,
}

impl LastingSpeed {
    /// Time that work takes, relative to the mean of the service: 1 is usual.
    pub(crate) fn factor(&self) -> f64 {
        self.factor.unwrap_or(1.0)
    }

    /// Weight of the own samples.
    pub(crate) fn samples(&self) -> f64 {
        self.weight
    }

    /// Mean difference of the own samples.
    pub(crate) fn own_difference(&self) -> f64 {
        self.sum / self.weight.max(1.0)
    }

    /// Records an own sample: the logarithm of measured to modelled time less the mean of the service.
    pub(crate) fn record(
        &mut self,
        now: Millis,
        difference: f64,
        weight: f64,
        baseline: &SpeedBaseline,
    ) {
        let spread = now.since(self.sampled_at) as f64 / SPREAD_MS;
        let weight = weight * spread.clamp(MIN_SPREAD, 1.0);
        self.sampled_at = now;
        self.age(now);
        self.refute(difference);
        let weight = match difference > self.own_difference() {
            true => weight * SLOWER_WEIGHT,
            false => weight,
        };
        self.sum += difference.clamp(-MAX_FACTOR.ln(), MAX_FACTOR.ln()) * weight;
        self.weight += weight;
        self.update(now, baseline);
    }

    /// Records what another node has measured; returns whether it is news.
    pub(crate) fn merge(
        &mut self,
        now: Millis,
        source: u32,
        factor: f64,
        samples: f64,
        age_ms: u64,
    ) -> bool {
        if age_ms >= OPINION_TTL_MS {
            return false;
        }
        let opinion = Opinion {
            source,
            difference: factor.clamp(1.0 / MAX_FACTOR, MAX_FACTOR).ln(),
            samples,
            measured_at: Millis(now.0.saturating_sub(age_ms)),
            is_news: true,
        };
        self.opinions
            .retain(|o| now.since(o.measured_at) < OPINION_TTL_MS);
        if let Some(known) = self.opinions.iter_mut().find(|o| o.source == source) {
            // Clocks of nodes differ in rate and datagrams in delay, so that the same report may
            // seem a little newer by another way.
            let is_newer = opinion.measured_at.since(known.measured_at) >= REPEAT_MS / 2;
            if is_newer {
                *known = opinion;
            }
            return is_newer;
        }
        if self.opinions.len() >= MAX_OPINIONS {
            let oldest = self.opinions.iter_mut().min_by_key(|o| o.measured_at);
            match oldest.filter(|o| opinion.measured_at.since(o.measured_at) >= REPEAT_MS) {
                Some(oldest) => *oldest = opinion,
                None => return false,
            }
        } else {
            self.opinions.push(opinion);
        }
        true
    }

    /// Recomputes the factor, as evidence loses weight with time.
    pub(crate) fn update(&mut self, now: Millis, baseline: &SpeedBaseline) {
        self.age(now);
        self.opinions
            .retain(|o| now.since(o.measured_at) < OPINION_TTL_MS);
        let (mut sum, mut weight) = (self.sum, self.weight);
        // What a single other node says counts only close to what this one has seen.
        let limit = match self.opinions.len() {
            1 => MAX_SINGLE_FACTOR.ln(),
            _ => f64::INFINITY,
        };
        let own = self.own_difference();
        for opinion in &self.opinions {
            let w = opinion.weight(now);
            sum += opinion.difference.clamp(own - limit, own + limit) * w;
            weight += w;
        }
        let difference = certain_part(sum, weight, baseline);
        let difference = difference.clamp(-MAX_FACTOR.ln(), MAX_FACTOR.ln());
        self.factor = (difference.abs() >= CLEAR_FACTOR.ln()).then(|| difference.exp());
    }

    /// The own measurement, if it is due to be published, and the reports of other nodes that are to
    /// be passed on.
    pub(crate) fn due(&self, now: Millis, baseline: &SpeedBaseline) -> Vec<DueSpeed> {
        let passed = self.opinions.iter().filter(|o| o.is_news);
        let mut due: Vec<DueSpeed> = passed
            .map(|o| DueSpeed {
                source: Some(o.source),
                factor: o.difference.exp(),
                samples: o.samples,
                measured_at: o.measured_at,
                is_news: true,
            })
            .collect();
        due.extend(self.own_due(now, baseline));
        due
    }

    fn own_due(&self, now: Millis, baseline: &SpeedBaseline) -> Option<DueSpeed> {
        let is_recent = |at| now.since(at) < REPEAT_MS;
        if self.weight < MIN_REPORT_SAMPLES || self.published_at.is_some_and(is_recent) {
            return None;
        }
        let difference = self.own_difference();
        let error = (baseline.variance() / self.weight).sqrt();
        let is_clear = difference.abs() >= (error * CLEAR_ERRORS).max(CLEAR_FACTOR.ln());
        // What others report and this node does not see is denied, so that the mean is not one of
        // exceptions only.
        let denies = !self.opinions.is_empty();
        // Enough nodes that say the same have been heard.
        let recent = self.opinions.iter().filter(|o| is_recent(o.measured_at));
        let is_known = recent.count() >= MAX_OPINIONS;
        ((is_clear || denies) && !is_known).then(|| DueSpeed {
            source: None,
            factor: difference.exp(),
            samples: self.weight,
            measured_at: self.updated_at,
            is_news: self.published_at.is_none(),
        })
    }

    /// Records that what [`LastingSpeed::due`] returned for `source` was published.
    pub(crate) fn published(&mut self, now: Millis, source: Option<u32>) {
        match source {
            None => self.published_at = Some(now),
            Some(source) => {
                let mut opinions = self.opinions.iter_mut();
                if let Some(opinion) = opinions.find(|o| o.source == source) {
                    opinion.is_news = false;
                }
            }
        }
    }

    /// Halves the weight of all evidence if a sample shows that the target is clearly faster than
    /// believed. Nothing but its speed makes work faster, so that it has recovered or never was slow.
    fn refute(&mut self, difference: f64) {
        if self.factor().ln() - difference < REFUTED_FACTOR.ln() || self.factor() <= 1.0 {
            return;
        }
        self.sum *= REFUTED_WEIGHT;
        self.weight *= REFUTED_WEIGHT;
        let opinions = self.opinions.iter_mut();
        opinions.for_each(|o| o.samples *= REFUTED_WEIGHT);
        // The denial is published at once.
        self.published_at = None;
    }

    fn age(&mut self, now: Millis) {
        let factor = decay(now, self.updated_at);
        self.sum *= factor;
        self.weight *= factor;
        self.updated_at = now;
    }
}

fn decay(now: Millis, at: Millis) -> f64 {
    0.5_f64.powf(now.since(at) as f64 / HALF_LIFE_MS)
}

/// The part of the mean difference that exceeds its standard error.
fn certain_part(sum: f64, weight: f64, baseline: &SpeedBaseline) -> f64 {
    if weight <= 0.0 {
        return 0.0;
    }
    let (mean, error) = (sum / weight, (baseline.variance() / weight).sqrt());
    mean.signum() * (mean.abs() - error * IGNORED_ERRORS).max(0.0)
}
