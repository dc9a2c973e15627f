//! Arrivals of calls, drawn from a seed.

use super::deployment::{CallKind, Deployment, SharedPart};
use rw_gate::PromptPart;

/// Mean number of calls that arrive together.
const MEAN_BATCH: f64 = 3.0;
/// Relative amplitude of the sinusoidal variation of the load.
const SWING_AMPLITUDE: f64 = 0.15;
/// Period of that variation.
const SWING_PERIOD_S: f64 = 11.0;
/// Maximum events of a call, relative to the mean of its kind.
const MAX_EVENTS_RATIO: f64 = 3.0;

/// One call to be sent.
#[derive(Debug, Clone)]
pub(crate) struct Arrival {
    /// Time since the end of the warm-up, in microseconds.
    pub(crate) at_us: u64,
    pub(crate) kind: usize,
    pub(crate) node: usize,
    pub(crate) parts: Vec<PromptPart>,
    /// Number of events in its response.
    pub(crate) events: u32,
    /// Whether its prompt is among the longest tenth of its kind.
    pub(crate) is_longest: bool,
}

impl Arrival {
    /// Total number of prompt tokens.
    pub(crate) fn tokens(&self) -> u32 {
        self.parts.iter().map(|p| p.tokens).sum()
    }
}

/// Draws the calls of `seconds` at `load` times the deployment's rates, ordered by time.
pub(crate) fn draw_arrivals(
    deployment: &Deployment,
    load: f64,
    seconds: f64,
    seed: u64,
) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    for kind in 0..deployment.kinds.len() {
        // One generator per kind: a change to one kind leaves the arrivals of the others unchanged.
        let mut rng = fastrand::Rng::with_seed(seed.wrapping_mul(31).wrapping_add(kind as u64));
        let mut at_s = 0.0;
        while at_s < seconds {
            let rate = rate(deployment, kind, at_s) * load;
            at_s += -(1.0 - rng.f64()).ln() * MEAN_BATCH / rate.max(1e-9);
            // Uniform from 1 to 2 * MEAN_BATCH - 1, so that the mean is MEAN_BATCH.
            let batch = 1 + rng.usize(0..(2.0 * MEAN_BATCH) as usize - 1);
            for _ in 0..batch {
                arrivals.push(draw_arrival(deployment, kind, at_s, &mut rng));
            }
        }
    }
    arrivals.retain(|a| (a.at_us as f64) < seconds * 1e6);
    arrivals.sort_by_key(|a| a.at_us);
    (0..deployment.kinds.len()).for_each(|kind| mark_longest(&mut arrivals, kind));
    arrivals
}

/// Marks the tenth of the calls of a kind with the longest prompts.
fn mark_longest(arrivals: &mut [Arrival], kind: usize) {
    let mut of_kind: Vec<&mut Arrival> = arrivals.iter_mut().filter(|a| a.kind == kind).collect();
    of_kind.sort_by_key(|a| a.tokens());
    let first = of_kind.len() - of_kind.len() / 10;
    of_kind[first..]
        .iter_mut()
        .for_each(|a| a.is_longest = true);
}

fn rate(deployment: &Deployment, kind: usize, at_s: f64) -> f64 {
    let wave = 1.0 + SWING_AMPLITUDE * (at_s / SWING_PERIOD_S * std::f64::consts::TAU).sin();
    let surges = deployment.surges.iter();
    let surges = surges.filter(|s| s.kind == kind && s.from_s <= at_s && at_s < s.to_s);
    deployment.kinds[kind].rate * wave * surges.map(|s| s.factor).product::<f64>()
}

fn draw_arrival(
    deployment: &Deployment,
    kind: usize,
    at_s: f64,
    rng: &mut fastrand::Rng,
) -> Arrival {
    let k = &deployment.kinds[kind];
    let parts = draw_parts(k, kind as u64, rng);
    let max_events = k.mean_events * MAX_EVENTS_RATIO;
    let events = log_normal(k.mean_events, k.event_sigma, rng).min(max_events);
    Arrival {
        at_us: (at_s * 1e6) as u64,
        kind,
        node: rng.usize(0..deployment.nodes),
        parts,
        events: (events.round() as u32).max(1),
        is_longest: false,
    }
}

fn draw_parts(k: &CallKind, kind: u64, rng: &mut fastrand::Rng) -> Vec<PromptPart> {
    let mut parts: Vec<PromptPart> = Vec::new();
    for (level, part) in k.shared_parts.iter().enumerate() {
        let id = (kind << 48) | ((level as u64) << 40) | draw_rank(part, rng);
        // Seeded with the part's id, so that a part has the same size in every prompt.
        let mut part_rng = fastrand::Rng::with_seed(id);
        let tokens = log_normal(part.mean_tokens, part.sigma, &mut part_rng);
        let tokens = tokens.min(part.mean_tokens * 3.0).max(1.0) as u32;
        parts.push(PromptPart { id, tokens });
    }
    let tokens = log_normal(k.mean_tokens, k.token_sigma, rng).clamp(1.0, k.max_tokens) as u32;
    // The highest bit marks an unshared part, so that no shared part has the same id.
    let id = rng.u64(..) | (1 << 63);
    parts.push(PromptPart { id, tokens });
    parts
}

/// Draws the rank of a shared part by popularity, from zero.
fn draw_rank(part: &SharedPart, rng: &mut fastrand::Rng) -> u64 {
    // Inverse of the distribution function of a continuous power law.
    let exponent = 1.0 / (1.0 - part.skew);
    let rank = part.distinct as f64 * rng.f64().powf(exponent);
    (rank as u64).min(part.distinct.saturating_sub(1))
}

/// Draws from a log-normal distribution; `sigma` is the standard deviation of the logarithm.
fn log_normal(mean: f64, sigma: f64, rng: &mut fastrand::Rng) -> f64 {
    let normal = (-2.0 * (1.0 - rng.f64()).ln()).sqrt() * (rng.f64() * std::f64::consts::TAU).cos();
    mean * (sigma * normal - sigma * sigma / 2.0).exp()
}
