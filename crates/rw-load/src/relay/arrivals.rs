//! Calls that arrive, drawn from a seed.

use super::sheet::{CallKind, Deployment};
use rw_gate::PromptPart;

/// Mean calls that come together.
const MEAN_BATCH: f64 = 3.0;
/// Part by which the load swings.
const SWING_AMPLITUDE: f64 = 0.15;
/// Seconds of one swing.
const SWING_PERIOD_S: f64 = 11.0;
/// Most output tokens against the mean of a kind.
const MAX_EVENTS_RATIO: f64 = 3.0;

/// One call.
#[derive(Debug, Clone)]
pub(crate) struct Arrival {
    /// Microseconds from the start.
    pub(crate) at_us: u64,
    pub(crate) kind: usize,
    pub(crate) node: usize,
    pub(crate) parts: Vec<PromptPart>,
    /// Events of its answer.
    pub(crate) events: u32,
}

impl Arrival {
    /// Tokens of the prompt.
    pub(crate) fn tokens(&self) -> u32 {
        self.parts.iter().map(|p| p.tokens).sum()
    }
}

/// All calls of `seconds`, in order of time.
pub(crate) fn draw_arrivals(
    deployment: &Deployment,
    load: f64,
    seconds: f64,
    seed: u64,
) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    for kind in 0..deployment.kinds.len() {
        // A generator a kind, so that a change of one leaves the others as they are.
        let mut rng = fastrand::Rng::with_seed(seed.wrapping_mul(31).wrapping_add(kind as u64));
        let mut at_s = 0.0;
        while at_s < seconds {
            let rate = rate(deployment, kind, at_s) * load;
            at_s += -(1.0 - rng.f64()).ln() * MEAN_BATCH / rate.max(1e-9);
            let batch = 1 + rng.usize(0..(2.0 * MEAN_BATCH) as usize - 1);
            for _ in 0..batch {
                arrivals.push(draw_arrival(deployment, kind, at_s, &mut rng));
            }
        }
    }
    arrivals.retain(|a| (a.at_us as f64) < seconds * 1e6);
    arrivals.sort_by_key(|a| a.at_us);
    arrivals
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
    }
}

fn draw_parts(k: &CallKind, kind: u64, rng: &mut fastrand::Rng) -> Vec<PromptPart> {
    let mut parts: Vec<PromptPart> = Vec::new();
    for (level, part) in k.shared_parts.iter().enumerate() {
        let id = (kind << 48) | ((level as u64) << 40) | rng.u64(0..part.distinct);
        // The size belongs to the part, whoever sends it.
        let mut part_rng = fastrand::Rng::with_seed(id);
        let tokens = log_normal(part.mean_tokens, part.sigma, &mut part_rng);
        let tokens = tokens.min(part.mean_tokens * 3.0).max(1.0) as u32;
        parts.push(PromptPart { id, tokens });
    }
    let tokens = log_normal(k.mean_tokens, k.token_sigma, rng).clamp(1.0, k.max_tokens) as u32;
    let id = rng.u64(..) | (1 << 63);
    parts.push(PromptPart { id, tokens });
    parts
}

/// A draw of a log-normal distribution with this mean.
fn log_normal(mean: f64, spread: f64, rng: &mut fastrand::Rng) -> f64 {
    let normal = (-2.0 * (1.0 - rng.f64()).ln()).sqrt() * (rng.f64() * std::f64::consts::TAU).cos();
    mean * (spread * normal - spread * spread / 2.0).exp()
}
