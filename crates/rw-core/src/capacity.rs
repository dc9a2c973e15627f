//! How much of a demand a split of engines over the roles can serve.

use crate::{KindDemand, estimate::engine_time};
use rw_types::{LoadReport, Role};

/// Halvings of the search for the part served.
const STEPS: u32 = 16;
/// Multiple of the demand above which more room is worth nothing.
const ENOUGH: f64 = 1.15;

/// Engines by role.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Split {
    /// Engines that take long prompts.
    pub prefill: u32,
    /// Engines that take both.
    pub mixed: u32,
    /// Engines that take long outputs.
    pub decode: u32,
}

impl Split {
    /// Engines of a role.
    #[must_use]
    pub fn count(&self, role: Role) -> u32 {
        match role {
            Role::Prefill => self.prefill,
            Role::Mixed => self.mixed,
            Role::Decode => self.decode,
        }
    }

    /// Engines of a role, to be changed.
    pub fn count_mut(&mut self, role: Role) -> &mut u32 {
        match role {
            Role::Prefill => &mut self.prefill,
            Role::Mixed => &mut self.mixed,
            Role::Decode => &mut self.decode,
        }
    }

    /// The split after one engine changed its role; `None` if there is none to change.
    #[must_use]
    pub fn with_move(mut self, from: Role, to: Role) -> Option<Self> {
        let left = self.count(from).checked_sub(1)?;
        *self.count_mut(from) = left;
        *self.count_mut(to) += 1;
        Some(self)
    }
}

/// The largest multiple of `demand` that `split` can serve, up to 1.15.
///
/// Kinds of work are given to engines from the longest outputs to the longest prompts. `demand`
/// must be sorted that way, by [`sort_by_prompt_ratio`].
#[must_use]
pub fn served_ratio(split: &Split, demand: &[KindDemand], sample: &LoadReport) -> f64 {
    let (mut low, mut high) = (0.0, ENOUGH);
    if fits(split, demand, sample, high) {
        return high;
    }
    for _ in 0..STEPS {
        let middle = (low + high) / 2.0;
        if fits(split, demand, sample, middle) {
            low = middle;
        } else {
            high = middle;
        }
    }
    low
}

/// Sorts by prompt tokens for each output token, fewest first.
pub fn sort_by_prompt_ratio(demand: &mut [KindDemand]) {
    let shape = |d: &KindDemand| d.prefill / d.output.max(1e-9);
    demand.sort_by(|a, b| shape(a).total_cmp(&shape(b)));
}

fn fits(split: &Split, demand: &[KindDemand], sample: &LoadReport, part: f64) -> bool {
    let roles = [Role::Decode, Role::Mixed, Role::Prefill];
    let mut role = 0;
    let mut room = f64::from(split.count(roles[0]));
    let (mut prefill, mut output) = (0.0, 0.0);
    for kind in demand {
        let mut left = 1.0;
        while left > 1e-6 {
            let busy = |x: f64| {
                let prefill = prefill + x * part * kind.prefill;
                let output = output + x * part * kind.output;
                engine_time(sample, roles[role], prefill, output) / 1e3
            };
            if busy(left) <= room {
                prefill += left * part * kind.prefill;
                output += left * part * kind.output;
                break;
            }
            let (mut low, mut high) = (0.0, left);
            for _ in 0..STEPS {
                let middle = (low + high) / 2.0;
                if busy(middle) <= room {
                    low = middle;
                } else {
                    high = middle;
                }
            }
            left -= low;
            role += 1;
            if role == roles.len() {
                return false;
            }
            room = f64::from(split.count(roles[role]));
            (prefill, output) = (0.0, 0.0);
        }
    }
    true
}
