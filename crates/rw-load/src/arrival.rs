//! Open-loop arrivals, drawn once from a seed so that every variant gets the same requests.

use crate::{Profile, RequestShape};

/// Number of client accounts in a profile.
pub(crate) const CALLER_COUNT: usize = 8;
/// Period of the sinusoidal variation of the load.
const SWING_PERIOD_S: f64 = 23.0;
/// Relative amplitude of that variation.
const SWING_AMPLITUDE: f64 = 0.25;
/// Time over which the rates move linearly from one phase's mix to the next.
const RAMP_S: f64 = 8.0;

/// One request to be sent.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// Time from the start, in microseconds.
    pub at_us: u64,
    /// Index into [`Profile::kinds`].
    pub kind: usize,
    /// Index of the calling account.
    pub caller: usize,
    /// Random number; taken modulo the number of nodes, it selects the entry node.
    pub node: u64,
    /// Prompt tokens.
    pub prompt: u64,
    /// Output tokens.
    pub output: u64,
    /// Hashes of the prompt's prefixes, one per KV block.
    pub blocks: Vec<u64>,
}

/// Draws all arrivals of `profile` at `load` times its rates, ordered by time.
#[must_use]
pub fn arrivals(profile: &Profile, load: f64, seed: u64) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    for kind in 0..profile.kinds.len() {
        // One generator per kind: a change to one kind leaves the arrivals of the others unchanged.
        let mut rng = fastrand::Rng::with_seed(seed ^ (kind as u64 + 1).wrapping_mul(0x9e37_79b9));
        let max_rate = profile
            .phases
            .iter()
            .map(|p| p.rates[kind])
            .fold(0.0, f64::max);
        let peak_rate = max_rate * load * (1.0 + SWING_AMPLITUDE);
        let mut at_s = 0.0;
        loop {
            at_s += -(1.0 - rng.f64()).ln() / peak_rate.max(1e-9);
            if at_s >= profile.seconds() {
                break;
            }
            let swing =
                1.0 + SWING_AMPLITUDE * (at_s / SWING_PERIOD_S * std::f64::consts::TAU).sin();
            if rng.f64() * peak_rate < rate(profile, kind, at_s) * load * swing {
                arrivals.push(draw_arrival(profile, kind, at_s, &mut rng));
            }
        }
    }
    arrivals.sort_by_key(|a| a.at_us);
    arrivals
}

fn rate(profile: &Profile, kind: usize, at_s: f64) -> f64 {
    let mut start = 0.0;
    let mut previous = profile.phases[0].rates[kind];
    for phase in &profile.phases {
        if at_s < start + phase.seconds {
            let progress = ((at_s - start) / RAMP_S).min(1.0);
            return previous + (phase.rates[kind] - previous) * progress;
        }
        start += phase.seconds;
        previous = phase.rates[kind];
    }
    previous
}

fn draw_arrival(profile: &Profile, kind: usize, at_s: f64, rng: &mut fastrand::Rng) -> Arrival {
    let mut arrival = Arrival {
        at_us: (at_s * 1e6) as u64,
        kind,
        // Squaring skews the distribution, so that some accounts send more than others.
        caller: (rng.f64().powi(2) * CALLER_COUNT as f64) as usize,
        node: rng.u64(..),
        prompt: 0,
        output: 0,
        blocks: Vec::new(),
    };
    if let RequestShape::Generate {
        prompt,
        output,
        prefixes,
        shared_blocks,
    } = &profile.kinds[kind].shape
    {
        arrival.prompt = rng.u64(prompt.0..=prompt.1);
        arrival.output = rng.u64(output.0..=output.1);
        let prefix = match prefixes {
            0 => 0,
            n => 1 + (rng.f64().powi(2) * *n as f64) as u64,
        };
        let unique = rng.u64(..);
        arrival.blocks = (0..arrival.prompt / 1_000)
            .map(|n| {
                if prefix > 0 && n < *shared_blocks {
                    prefix << 32 | n
                } else {
                    unique ^ n
                }
            })
            .collect();
    }
    arrival
}
