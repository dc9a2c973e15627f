//! How much of the demand a given split of engines over roles can serve.

use crate::{KindDemand, estimate::engine_time};
use rw_types::{LoadReport, Role};

/// Iterations of each bisection.
const BISECTION_STEPS: u32 = 16;
/// Ratio of capacity to demand above which more capacity counts for nothing.
const MAX_SERVED_RATIO: f64 = 1.15;

/// Number of engines in each role.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Split {
    /// Engines that take requests with long prompts.
    pub prefill: u32,
    /// Engines that take both kinds.
    pub mixed: u32,
    /// Engines that take requests with long outputs.
    pub decode: u32,
}

impl Split {
    /// Number of engines in `role`.
    #[must_use]
    pub fn count(&self, role: Role) -> u32 {
        match role {
            Role::Prefill => self.prefill,
            Role::Mixed => self.mixed,
            Role::Decode => self.decode,
        }
    }

    /// Mutable number of engines in `role`.
    pub fn count_mut(&mut self, role: Role) -> &mut u32 {
        match role {
            Role::Prefill => &mut self.prefill,
            Role::Mixed => &mut self.mixed,
            Role::Decode => &mut self.decode,
        }
    }

    /// The split after one engine changed its role; `None` if `from` has no engine.
    #[must_use]
    pub fn with_move(mut self, from: Role, to: Role) -> Option<Self> {
        let remaining = self.count(from).checked_sub(1)?;
        *self.count_mut(from) = remaining;
        *self.count_mut(to) += 1;
        Some(self)
    }
}

/// The largest multiple of `demand` that `split` can serve, up to 1.15.
///
/// Kinds of work are assigned to decode, mixed and prefill engines in this order, starting with the
/// fewest prompt tokens per output token. `demand` must be sorted by [`sort_by_prompt_ratio`].
#[must_use]
pub fn served_ratio(split: &Split, demand: &[KindDemand], sample: &LoadReport) -> f64 {
    let (mut low, mut high) = (0.0, MAX_SERVED_RATIO);
    if fits(split, demand, sample, high) {
        return high;
    }
    for _ in 0..BISECTION_STEPS {
        let middle = (low + high) / 2.0;
        if fits(split, demand, sample, middle) {
            low = middle;
        } else {
            high = middle;
        }
    }
    low
}

/// Sorts by prompt tokens per output token, fewest first.
pub fn sort_by_prompt_ratio(demand: &mut [KindDemand]) {
    let ratio = |d: &KindDemand| d.prefill / d.output.max(1e-9);
    demand.sort_by(|a, b| ratio(a).total_cmp(&ratio(b)));
}

fn fits(split: &Split, demand: &[KindDemand], sample: &LoadReport, scale: f64) -> bool {
    let roles = [Role::Decode, Role::Mixed, Role::Prefill];
    let mut role = 0;
    let mut capacity = f64::from(split.count(roles[0]));
    let (mut prefill, mut output) = (0.0, 0.0);
    for kind in demand {
        let mut unassigned = 1.0;
        while unassigned > 1e-6 {
            let engines_needed = |x: f64| {
                let prefill = prefill + x * scale * kind.prefill;
                let output = output + x * scale * kind.output;
                engine_time(sample, roles[role], prefill, output) / 1e3
            };
            if engines_needed(unassigned) <= capacity {
                prefill += unassigned * scale * kind.prefill;
                output += unassigned * scale * kind.output;
                break;
            }
            let (mut low, mut high) = (0.0, unassigned);
            for _ in 0..BISECTION_STEPS {
                let middle = (low + high) / 2.0;
                if engines_needed(middle) <= capacity {
                    low = middle;
                } else {
                    high = middle;
                }
            }
            unassigned -= low;
            role += 1;
            if role == roles.len() {
                return false;
            }
            capacity = f64::from(split.count(roles[role]));
            (prefill, output) = (0.0, 0.0);
        }
    }
    true
}
