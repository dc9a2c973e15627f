//! Which node schedules a group of engines.

use crate::DIGEST_FANOUT;
use rw_types::Millis;

/// Time for which a scheduler that did not answer in time is passed over, in milliseconds. It doubles
/// each time, because the list of nodes keeps those that are gone.
const SILENCE_MS: u64 = 1_000;
/// Maximum of that time, in milliseconds.
const MAX_SILENCE_MS: u64 = 16_000;

/// Time for the answer of a scheduler, in milliseconds: two one-way delays between data centres of
/// 1.5 ms, and two busy processes.
pub const PLACEMENT_TIMEOUT_MS: u64 = 10;

/// A node that understands placement requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SchedulerNode {
    /// VM name.
    pub vm: String,
    /// Weight by the speed of its link: bytes of digests that it may send per second.
    pub weight: u32,
}

/// A scheduler that did not answer in time.
#[derive(Debug, Clone)]
struct Silence {
    vm: String,
    /// Time until which it is passed over.
    until: Millis,
    /// Latest time for which it is passed over, in milliseconds.
    pause_ms: u64,
}

/// The nodes that can be schedulers, sorted by VM name.
#[derive(Debug, Clone, Default)]
pub(crate) struct Schedulers {
    nodes: Vec<SchedulerNode>,
    /// Schedulers that did not answer.
    silent: Vec<Silence>,
}

impl Schedulers {
    /// Replaces the nodes.
    pub(crate) fn set(&mut self, mut nodes: Vec<SchedulerNode>) {
        nodes.sort_by(|a, b| a.vm.cmp(&b.vm));
        self.nodes = nodes;
    }

    /// Whether calls are placed by schedulers in a fleet of `nodes`: it is so large that digests do not
    /// reach all of them.
    pub(crate) fn is_active(&self, nodes: usize) -> bool {
        nodes > DIGEST_FANOUT + 1 && !self.nodes.is_empty()
    }

    /// The scheduler of a group: the first node by weighted rendezvous hashing that is not silent.
    pub(crate) fn scheduler(&self, now: Millis, service: &str, group: u32) -> Option<&str> {
        let key = rw_core::mix(rw_core::hash(service), u64::from(group));
        let is_silent = |vm: &str| self.silent.iter().any(|s| s.vm == vm && now < s.until);
        let score = |n: &SchedulerNode| {
            let hash = rw_core::mix(rw_core::hash(&n.vm), key);
            // Uniform in (0, 1]; the exponential distribution makes the choice proportional to the
            // weight.
            let uniform = ((hash >> 11) as f64 + 1.0) / (1_u64 << 53) as f64;
            f64::from(n.weight.max(1)) / -uniform.ln().min(-f64::MIN_POSITIVE)
        };
        let answering = self.nodes.iter().filter(|n| !is_silent(&n.vm));
        let best = answering.max_by(|a, b| score(a).total_cmp(&score(b)));
        best.map(|n| n.vm.as_str())
    }

    /// A scheduler did not answer in time.
    pub(crate) fn timed_out(&mut self, now: Millis, vm: &str) {
        let found = self.silent.iter().position(|s| s.vm == vm);
        let i = found.unwrap_or_else(|| {
            self.silent.push(Silence {
                vm: vm.to_owned(),
                until: now,
                pause_ms: SILENCE_MS / 2,
            });
            self.silent.len() - 1
        });
        let silence = &mut self.silent[i];
        // Several calls may have waited for the same scheduler.
        if now >= silence.until {
            silence.pause_ms = (silence.pause_ms * 2).min(MAX_SILENCE_MS);
            silence.until = now.plus(silence.pause_ms);
        }
    }

    /// A scheduler answered.
    pub(crate) fn answered(&mut self, vm: &str) {
        self.silent.retain(|s| s.vm != vm);
    }
}
