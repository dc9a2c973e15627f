//! Load profiles: the fleets and request mixes of two deployments.

use rw_core::Split;
use rw_fakes::BatchSettings;
use rw_types::{Role, WorkKind};

/// Candidate splits give each role a multiple of 1/4 of the fleet.
const SPLIT_STEPS: u32 = 4;

/// Form of the requests of one kind.
#[derive(Debug, Clone, PartialEq)]
pub enum RequestShape {
    /// A text generation request to an engine.
    Generate {
        /// Minimum and maximum prompt tokens.
        prompt: (u64, u64),
        /// Minimum and maximum output tokens.
        output: (u64, u64),
        /// Number of prefixes shared between prompts; zero for none.
        prefixes: u64,
        /// Length of a shared prefix, in KV blocks.
        shared_blocks: u64,
    },
    /// A call to the plain service.
    Call {
        /// Whether running it more than once has the same effect as running it once.
        idempotent: bool,
    },
}

/// One kind of work in a profile.
#[derive(Debug, Clone, PartialEq)]
pub struct KindProfile {
    /// Name, priority, deadline and objective.
    pub kind: WorkKind,
    /// Form of its requests.
    pub shape: RequestShape,
}

/// A period with a constant request mix, apart from the ramp at its start.
#[derive(Debug, Clone, PartialEq)]
pub struct PhaseProfile {
    /// Duration in seconds.
    pub seconds: f64,
    /// Requests per second, indexed like [`Profile::kinds`].
    pub rates: Vec<f64>,
    /// Split with the highest mean goodput for this mix, as found by `load --find-splits`.
    pub best_split: Split,
}

/// A fleet and its workload.
#[derive(Debug, Clone, PartialEq)]
pub struct Profile {
    /// Name on the command line.
    pub name: &'static str,
    /// Number of engines.
    pub engines: usize,
    /// Number of plain service targets.
    pub services: usize,
    /// Number of data centres.
    pub centres: usize,
    /// One-way latency between data centres, in milliseconds.
    pub hop_ms: f64,
    /// Cost of a role change, in seconds of one engine's goodput.
    pub change_weight: f64,
    /// Kinds of work.
    pub kinds: Vec<KindProfile>,
    /// Phases, in order.
    pub phases: Vec<PhaseProfile>,
}

impl Profile {
    /// Built-in profile called `name`; `None` if there is none.
    #[must_use]
    pub fn named(name: &str) -> Option<Self> {
        match name {
            "nilebell" => Some(nilebell()),
            "khabar-saar" => Some(khabar_saar()),
            _ => None,
        }
    }

    /// Batching settings of one engine of this fleet, in the mixed role.
    #[must_use]
    pub fn engine(&self) -> BatchSettings {
        BatchSettings {
            role: Role::Mixed,
            base_us: 40_000.0,
            token_us: 50.0,
            stream_us: 250.0,
            slots: 16,
            chunk: 1_024,
            blocks: 256,
            change_us: 4_000_000,
        }
    }

    /// Total duration of all phases, in seconds.
    #[must_use]
    pub fn seconds(&self) -> f64 {
        self.phases.iter().map(|p| p.seconds).sum()
    }

    /// All splits in which each role has a multiple of a quarter of the fleet.
    #[must_use]
    pub fn candidate_splits(&self) -> Vec<Split> {
        let n = self.engines as u32;
        let pairs = (0..=SPLIT_STEPS).flat_map(|p| (0..=SPLIT_STEPS - p).map(move |d| (p, d)));
        pairs
            .map(|(p, d)| {
                let prefill = n * p / SPLIT_STEPS;
                let decode = n * d / SPLIT_STEPS;
                Split {
                    prefill,
                    mixed: n - prefill - decode,
                    decode,
                }
            })
            .collect()
    }

    /// The profile reduced to one phase.
    #[must_use]
    pub fn single_phase(&self, phase: usize) -> Self {
        Self {
            phases: vec![self.phases[phase].clone()],
            ..self.clone()
        }
    }
}

/// Roles of the engines in a split: prefill first, then mixed, then decode.
pub(crate) fn roles(split: &Split) -> Vec<Role> {
    [Role::Prefill, Role::Mixed, Role::Decode]
        .into_iter()
        .flat_map(|r| std::iter::repeat_n(r, split.count(r) as usize))
        .collect()
}

fn generate(
    name: &str,
    priority: u8,
    deadline_ms: u64,
    prompt: (u64, u64),
    output: (u64, u64),
) -> KindProfile {
    KindProfile {
        kind: kind(name, priority, deadline_ms),
        shape: RequestShape::Generate {
            prompt,
            output,
            prefixes: 0,
            shared_blocks: 0,
        },
    }
}

fn with_shared_prefixes(mut profile: KindProfile, count: u64, blocks: u64) -> KindProfile {
    if let RequestShape::Generate {
        prefixes,
        shared_blocks,
        ..
    } = &mut profile.shape
    {
        *prefixes = count;
        *shared_blocks = blocks;
    }
    profile
}

fn call(name: &str, priority: u8, idempotent: bool) -> KindProfile {
    KindProfile {
        kind: kind(name, priority, 2_000),
        shape: RequestShape::Call { idempotent },
    }
}

fn kind(name: &str, priority: u8, deadline_ms: u64) -> WorkKind {
    WorkKind {
        name: name.to_owned(),
        priority,
        deadline_ms,
        objective: 0.99,
    }
}

fn phase(seconds: f64, rates: &[f64], best_split: (u32, u32, u32)) -> PhaseProfile {
    let (prefill, mixed, decode) = best_split;
    PhaseProfile {
        seconds,
        rates: rates.to_vec(),
        best_split: Split {
            prefill,
            mixed,
            decode,
        },
    }
}

fn nilebell() -> Profile {
    Profile {
        name: "nilebell",
        engines: 12,
        services: 3,
        centres: 3,
        hop_ms: 1.5,
        change_weight: 1.0,
        kinds: vec![
            with_shared_prefixes(
                generate("full-score", 3, 15_000, (8_000, 24_000), (12, 28)),
                60,
                6,
            ),
            generate("listing", 3, 30_000, (1_000, 3_000), (200, 400)),
            generate("quick", 7, 2_500, (300, 900), (2, 6)),
            call("reservation", 8, false),
            call("trade", 8, false),
        ],
        phases: vec![
            phase(120.0, &[9.0, 2.0, 20.0, 4.0, 2.0], (9, 0, 3)),
            phase(120.0, &[1.5, 16.0, 20.0, 4.0, 2.0], (3, 0, 9)),
            phase(120.0, &[9.0, 2.0, 20.0, 4.0, 2.0], (9, 0, 3)),
        ],
    }
}

fn khabar_saar() -> Profile {
    Profile {
        name: "khabar-saar",
        engines: 20,
        services: 3,
        centres: 3,
        hop_ms: 0.5,
        change_weight: 30.0,
        kinds: vec![
            with_shared_prefixes(
                generate("dossier", 3, 120_000, (12_000, 28_000), (300, 500)),
                40,
                4,
            ),
            generate("headline", 8, 15_000, (800, 1_600), (60, 120)),
            generate("tagging", 5, 20_000, (600, 1_200), (4, 12)),
            call("alert", 8, false),
            call("lookup", 5, true),
        ],
        phases: vec![
            phase(120.0, &[6.0, 8.0, 40.0, 6.0, 20.0], (0, 10, 10)),
            phase(120.0, &[3.5, 30.0, 30.0, 6.0, 20.0], (0, 5, 15)),
            phase(120.0, &[6.0, 8.0, 40.0, 6.0, 20.0], (0, 10, 10)),
        ],
    }
}
