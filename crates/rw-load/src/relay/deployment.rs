//! Parameters of simulated deployments: engine timing and the calls that callers send.

use super::scaling::ScalingModel;
use serde::{Deserialize, Serialize};

/// Size and timing parameters of the engines of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineModel {
    /// Number of engines.
    pub count: usize,
    /// Maximum calls that one engine runs concurrently.
    pub slots: u32,
    /// KV cache capacity of one engine, in tokens.
    pub kv_tokens: u64,
    /// Base duration of a step, in milliseconds.
    pub step_ms: f64,
    /// Time that each running call adds to a step, in milliseconds.
    pub slot_ms: f64,
    /// Time that each 1,000 context tokens of running calls add to a step, in milliseconds.
    pub context_ms: f64,
    /// Prefill throughput in tokens per millisecond, without the cost of attention.
    pub prefill_rate: f64,
    /// Attention cost of prefill: milliseconds per million pairs of a prompt token and an earlier
    /// one.
    pub attention_ms: f64,
    /// Time from the end of prefill to the first event, in milliseconds.
    pub first_token_ms: f64,
    /// Output tokens per event.
    pub event_tokens: u32,
    /// Maximum prompt tokens per step of a prefill engine.
    pub chunk_tokens: u64,
    /// KV cache size of a token, in bytes.
    pub token_bytes: u64,
    /// Bandwidth of an engine's link, in Mbit/s.
    pub link_mbps: f64,
    /// Fixed setup time of a transfer, in milliseconds.
    pub transfer_setup_ms: f64,
    /// Factors applied to the step duration, assigned to the engines in rotation.
    pub step_factors: Vec<f64>,
}

/// Prompt parts shared between the calls of a kind, of which each call includes one.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SharedPart {
    /// Mean number of tokens.
    pub mean_tokens: f64,
    /// Standard deviation of the logarithm of the number of tokens.
    pub sigma: f64,
    /// Number of distinct parts.
    pub distinct: u64,
    /// Exponent of their popularity: the n-th most popular part is used n^-`skew` times as often as
    /// the most popular one. Zero if all are equally popular.
    #[serde(default)]
    pub skew: f64,
}

/// Arrival, response and prompt parameters of a kind of call.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallKind {
    /// Name.
    pub name: String,
    /// Calls per second.
    pub rate: f64,
    /// Latency objective for the first event, in milliseconds.
    pub objective_ms: u64,
    /// Maximum pause between events of a response that is on time, in milliseconds.
    pub max_gap_ms: u64,
    /// Maximum time that callers wait in total, in milliseconds.
    pub deadline_ms: u64,
    /// Priority; zero is the most urgent.
    pub priority: u8,
    /// Value of a late response relative to one on time.
    pub late_value: f64,
    /// Mean number of events in a response.
    pub mean_events: f64,
    /// Standard deviation of the logarithm of the number of events.
    pub event_sigma: f64,
    /// Mean number of tokens in the unshared part of the prompt.
    pub mean_tokens: f64,
    /// Standard deviation of the logarithm of that number.
    pub token_sigma: f64,
    /// Maximum number of tokens in the unshared part.
    pub max_tokens: f64,
    /// Shared parts at the start of the prompt, in order.
    pub shared_parts: Vec<SharedPart>,
}

/// A period in which the rate of a kind is multiplied by a factor.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Surge {
    /// Index into [`Deployment::kinds`].
    pub kind: usize,
    /// Start of the period, inclusive, in seconds from the first possible arrival.
    pub from_s: f64,
    /// End of the period, exclusive, in seconds from the first possible arrival.
    pub to_s: f64,
    /// Factor applied to the kind's rate.
    pub factor: f64,
}

/// A simulated deployment and its load.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Name.
    pub name: String,
    /// Number of nodes.
    pub nodes: usize,
    /// Bytes of digests that a node may send per second.
    pub digest_bytes_per_s: u32,
    /// Parameters of the engines.
    pub engine: EngineModel,
    /// Kinds of call.
    pub kinds: Vec<CallKind>,
    /// Rate changes of a fault-free day; overlapping ones multiply.
    pub surges: Vec<Surge>,
    /// Prices of the engines, and how many can be ordered.
    #[serde(default)]
    pub scaling: ScalingModel,
}

/// Bytes of digests per second on a link of 1,000 Mbit/s.
const DIGEST_BYTES_PER_S: u32 = 5_000_000;

const fn shared_part(mean_tokens: f64, sigma: f64, distinct: u64) -> SharedPart {
    SharedPart {
        mean_tokens,
        sigma,
        distinct,
        skew: 0.0,
    }
}

/// Duration of the short surges, which follow one another without a gap.
const SURGE_S: f64 = 2.8;

/// Alternating surges of two kinds: 14 s of the first, then 14 s of the second, with short surges
/// that alternate throughout. While one kind surges, the rate of the other is reduced.
fn alternating_surges(first: usize, second: usize) -> Vec<Surge> {
    let surge = |kind, from_s, to_s, factor| Surge {
        kind,
        from_s,
        to_s,
        factor,
    };
    let mut surges = vec![
        surge(first, 3.0, 17.0, 1.65),
        surge(second, 3.0, 17.0, 0.43),
        surge(second, 18.0, 32.0, 1.75),
        surge(first, 18.0, 32.0, 0.41),
    ];
    for n in 0..11 {
        let from_s = 1.0 + f64::from(n) * SURGE_S;
        let (up, down) = if n % 2 == 0 {
            (first, second)
        } else {
            (second, first)
        };
        surges.push(surge(up, from_s, from_s + SURGE_S, 1.8));
        surges.push(surge(down, from_s, from_s + SURGE_S, 0.59));
    }
    surges
}

impl Deployment {
    /// The deployment of Nilebell's head office.
    #[must_use]
    pub fn nilebell() -> Self {
        let long = shared_part(4_870.0, 0.7, 187);
        let kind = |name: &str, rate, objective_ms, deadline_ms, priority| CallKind {
            name: name.to_owned(),
            rate,
            objective_ms,
            max_gap_ms: 250,
            deadline_ms,
            priority,
            late_value: 0.1,
            mean_events: 27.3,
            event_sigma: 0.44,
            mean_tokens: 6_610.0,
            token_sigma: 1.4,
            max_tokens: 54_600.0,
            shared_parts: vec![shared_part(512.0, 0.4, 1), long],
        };
        Self {
            name: "nilebell".to_owned(),
            nodes: 8,
            digest_bytes_per_s: DIGEST_BYTES_PER_S,
            engine: EngineModel {
                count: 12,
                slots: 48,
                kv_tokens: 444_000,
                step_ms: 2.2,
                slot_ms: 0.0,
                context_ms: 0.0175,
                prefill_rate: 140.0,
                attention_ms: 0.295,
                first_token_ms: 53.0,
                event_tokens: 14,
                chunk_tokens: 1_024,
                token_bytes: 131_072,
                link_mbps: 950_000.0,
                transfer_setup_ms: 2.7,
                step_factors: vec![1.0],
            },
            kinds: vec![
                kind("score-check", 27.6, 500, 8_000, 2),
                CallKind {
                    mean_events: 20.8,
                    event_sigma: 0.69,
                    mean_tokens: 628.0,
                    token_sigma: 1.0,
                    max_tokens: 3_310.0,
                    shared_parts: vec![shared_part(119.0, 0.4, 40), shared_part(79.4, 0.7, 356)],
                    ..kind("listing-summary", 52.4, 250, 6_000, 1)
                },
                CallKind {
                    mean_events: 1.61,
                    event_sigma: 1.4,
                    mean_tokens: 1_800.0,
                    token_sigma: 1.3,
                    max_tokens: 6_870.0,
                    shared_parts: vec![shared_part(341.0, 0.4, 20), shared_part(227.0, 0.7, 201)],
                    ..kind("swap-verdict", 66.6, 300, 2_000, 0)
                },
            ],
            surges: alternating_surges(1, 2),
            scaling: ScalingModel::default(),
        }
    }

    /// The deployment of Khabar Saar's summary desk.
    #[must_use]
    pub fn khabar_saar() -> Self {
        let kind = |name: &str, rate, objective_ms, deadline_ms, priority| CallKind {
            name: name.to_owned(),
            rate,
            objective_ms,
            max_gap_ms: 200,
            deadline_ms,
            priority,
            late_value: 0.3,
            mean_events: 42.5,
            event_sigma: 0.44,
            mean_tokens: 6_610.0,
            token_sigma: 1.4,
            max_tokens: 54_600.0,
            shared_parts: vec![shared_part(512.0, 0.4, 1), shared_part(4_870.0, 0.7, 192)],
        };
        Self {
            name: "khabar-saar".to_owned(),
            nodes: 6,
            digest_bytes_per_s: DIGEST_BYTES_PER_S,
            engine: EngineModel {
                count: 18,
                slots: 64,
                kv_tokens: 514_590,
                step_ms: 4.23,
                slot_ms: 0.000_767,
                context_ms: 0.008_57,
                prefill_rate: 64.2,
                attention_ms: 0.647,
                first_token_ms: 0.67,
                event_tokens: 9,
                chunk_tokens: 1_024,
                token_bytes: 163_840,
                link_mbps: 1_200_000.0,
                transfer_setup_ms: 2.7,
                step_factors: vec![1.0, 1.0, 1.3],
            },
            kinds: vec![
                kind("dossier-digest", 28.4, 800, 10_000, 2),
                CallKind {
                    mean_events: 32.4,
                    event_sigma: 0.69,
                    mean_tokens: 628.0,
                    token_sigma: 1.0,
                    max_tokens: 3_310.0,
                    shared_parts: vec![shared_part(119.0, 0.4, 20), shared_part(79.4, 0.7, 251)],
                    ..kind("headline-brief", 55.5, 300, 10_000, 0)
                },
                CallKind {
                    mean_events: 2.51,
                    event_sigma: 1.4,
                    mean_tokens: 1_800.0,
                    token_sigma: 1.3,
                    max_tokens: 6_870.0,
                    shared_parts: vec![shared_part(341.0, 0.4, 40), shared_part(227.0, 0.7, 220)],
                    ..kind("story-tag", 48.8, 400, 2_500, 1)
                },
            ],
            surges: alternating_surges(1, 2),
            scaling: ScalingModel::default(),
        }
    }
}
