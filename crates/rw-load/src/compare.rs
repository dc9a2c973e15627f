//! Runs the same arrivals under different policies.

use crate::{Experiment, ManualRoles, RunResult, run_virtual};
use rw_core::{Policy, RoutingStrategy, Split};
use serde::Serialize;

/// Number of threads that run variants.
const THREADS: usize = 3;

/// One policy and role assignment to be compared.
#[derive(Debug, Clone)]
pub struct Variant {
    /// Name in reports.
    pub name: String,
    /// Policy of the nodes.
    pub policy: Policy,
    /// Split of the engines over roles at the start.
    pub split: Split,
    /// Whether engine roles are set by the experiment instead of the planner.
    pub manual_roles: ManualRoles,
    /// Whether it is a baseline with static roles.
    pub baseline: bool,
}

/// Runs of all variants. The variant with the default policy, `ours`, comes first.
#[derive(Debug, Clone, Serialize)]
pub struct Comparison {
    /// Name of the profile.
    pub profile: String,
    /// Factor applied to the profile's rates.
    pub load: f64,
    /// Seed of the arrivals and of the nodes.
    pub seed: u64,
    /// Results, in the order of the variants.
    pub runs: Vec<RunResult>,
    /// Index in `runs` of the baseline with the most good responses; 0 without baselines.
    pub best: usize,
}

impl Variant {
    fn with_policy(experiment: &Experiment, name: &str, change: impl FnOnce(&mut Policy)) -> Self {
        let mut policy = Policy::default();
        change(&mut policy);
        Self {
            name: name.to_owned(),
            policy,
            split: experiment.split,
            manual_roles: ManualRoles::Off,
            baseline: false,
        }
    }

    fn baseline(name: &str, strategy: RoutingStrategy, split: Split) -> Self {
        let Split {
            prefill,
            mixed,
            decode,
        } = split;
        Self {
            name: format!("{name}, static {prefill}p {mixed}m {decode}d"),
            policy: Policy::routing_only(strategy),
            split,
            manual_roles: ManualRoles::Off,
            baseline: true,
        }
    }

    /// Returns `experiment` with this variant's policy and roles.
    #[must_use]
    pub fn apply_to(&self, experiment: &Experiment) -> Experiment {
        Experiment {
            policy: self.policy.clone(),
            split: self.split,
            manual_roles: self.manual_roles,
            ..experiment.clone()
        }
    }

    /// The default policy, the default policy with manually set roles, ablations that change one
    /// mechanism at a time, and the baselines with static roles.
    #[must_use]
    pub fn all(experiment: &Experiment) -> Vec<Self> {
        let ours =
            |name: &str, change: fn(&mut Policy)| Self::with_policy(experiment, name, change);
        let mut variants = vec![
            ours("ours", |_| {}),
            Self {
                manual_roles: ManualRoles::EachPhase,
                ..ours("ours, roles by hand", |p| p.plan = false)
            },
            ours("without role changes", |p| p.plan = false),
            ours("without admission", |p| p.admit = false),
            ours("without priorities", |p| p.priorities = false),
            ours("without prefix view", |p| p.cache = false),
            ours("without own work", |p| p.own_requests = false),
            ours("without limits", |p| p.limits = false),
            ours("without shares", |p| p.shares = false),
            ours("without cost weight", |p| p.cost_weight = 0.0),
            ours("by first token", |p| {
                p.strategy = RoutingStrategy::FirstToken
            }),
            ours("best of 2", |p| (p.sample, p.scan_max) = (2, 0)),
            ours("best of 3", |p| (p.sample, p.scan_max) = (3, 0)),
        ];
        for split in experiment.profile.candidate_splits() {
            variants.push(Self::baseline(
                "round robin",
                RoutingStrategy::RoundRobin,
                split,
            ));
            variants.push(Self::baseline(
                "least load",
                RoutingStrategy::LeastLoaded,
                split,
            ));
        }
        variants
    }
}

/// Runs every variant on the arrivals of `experiment`, in virtual time.
#[must_use]
pub fn compare(experiment: &Experiment, variants: &[Variant]) -> Comparison {
    let run = |variant: &Variant| RunResult {
        name: variant.name.clone(),
        ..run_virtual(&variant.apply_to(experiment))
    };
    let mut runs: Vec<Option<RunResult>> = vec![None; variants.len()];
    std::thread::scope(|scope| {
        let chunk_len = variants.len().div_ceil(THREADS).max(1);
        for (variants, runs) in variants.chunks(chunk_len).zip(runs.chunks_mut(chunk_len)) {
            scope.spawn(move || {
                for (variant, slot) in variants.iter().zip(runs) {
                    *slot = Some(run(variant));
                }
            });
        }
    });
    let runs: Vec<RunResult> = runs.into_iter().flatten().collect();
    let baselines = variants.iter().enumerate().filter(|(_, v)| v.baseline);
    let best = baselines
        .max_by_key(|(i, _)| runs[*i].total.good)
        .map_or(0, |(i, _)| i);
    Comparison {
        profile: experiment.profile.name.to_owned(),
        load: experiment.load,
        seed: experiment.seed,
        runs,
        best,
    }
}
