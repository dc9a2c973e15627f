//! Calls that arrive, drawn from a seed.

use super::sheet::{CallKind, Deployment};
use rw_gate::PromptPart;

/// Mean calls that come together.
const CLUMP: f64 = 3.0;
/// Part by which the load swings.
const SWING: f64 = 0.15;
/// Seconds of one swing.
const SWING_S: f64 = 11.0;
/// Most output tokens against the mean of a kind.
const MOST_EVENTS: f64 = 3.0;

/// One call.
#[derive(Debug, Clone)]
pub(crate) struct Arrival {
    /// Microseconds from the start.
    pub(crate) at: u64,
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
pub(crate) fn draw(sheet: &Deployment, load: f64, seconds: f64, seed: u64) -> Vec<Arrival> {
    let mut all = Vec::new();
    for kind in 0..sheet.kinds.len() {
        // A generator a kind, so that a change of one leaves the others as they are.
        let mut rng = fastrand::Rng::with_seed(seed.wrapping_mul(31).wrapping_add(kind as u64));
        let mut at = 0.0;
        while at < seconds {
            let rate = rate(sheet, kind, at) * load;
            at += -(1.0 - rng.f64()).ln() * CLUMP / rate.max(1e-9);
            let together = 1 + rng.usize(0..(2.0 * CLUMP) as usize - 1);
            for _ in 0..together {
                all.push(one(sheet, kind, at, &mut rng));
            }
        }
    }
    all.retain(|a| (a.at as f64) < seconds * 1e6);
    all.sort_by_key(|a| a.at);
    all
}

fn rate(sheet: &Deployment, kind: usize, at: f64) -> f64 {
    let wave = 1.0 + SWING * (at / SWING_S * std::f64::consts::TAU).sin();
    let surges = sheet.surges.iter();
    let surges = surges.filter(|s| s.kind == kind && s.from_s <= at && at < s.to_s);
    sheet.kinds[kind].rate * wave * surges.map(|s| s.factor).product::<f64>()
}

fn one(sheet: &Deployment, kind: usize, at: f64, rng: &mut fastrand::Rng) -> Arrival {
    let k = &sheet.kinds[kind];
    let parts = parts(k, kind as u64, rng);
    let most = k.mean_events * MOST_EVENTS;
    let events = log_normal(k.mean_events, k.event_sigma, rng).min(most);
    Arrival {
        at: (at * 1e6) as u64,
        kind,
        node: rng.usize(0..sheet.nodes),
        parts,
        events: (events.round() as u32).max(1),
    }
}

fn parts(k: &CallKind, kind: u64, rng: &mut fastrand::Rng) -> Vec<PromptPart> {
    let mut parts: Vec<PromptPart> = Vec::new();
    for (level, chain) in k.shared_parts.iter().enumerate() {
        let id = (kind << 48) | ((level as u64) << 40) | rng.u64(0..chain.distinct);
        // The size belongs to the part, whoever sends it.
        let mut own = fastrand::Rng::with_seed(id);
        let tokens = log_normal(chain.mean_tokens, chain.sigma, &mut own);
        let tokens = tokens.min(chain.mean_tokens * 3.0).max(1.0) as u32;
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
