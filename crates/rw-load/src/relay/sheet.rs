//! What a deployment's sheet tells of engines and of what callers send.

/// Engines of one service.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineModel {
    /// How many.
    pub count: usize,
    /// Calls that one runs at once.
    pub slots: u32,
    /// Tokens that fit into its memory.
    pub kv_tokens: u64,
    /// Milliseconds of a step.
    pub step_ms: f64,
    /// Milliseconds that each running call adds to a step.
    pub slot_ms: f64,
    /// Milliseconds that each 1,000 tokens of running calls add to a step.
    pub context_ms: f64,
    /// Prompt tokens filled in a millisecond.
    pub prefill_rate: f64,
    /// Milliseconds for a million pairs of a prompt token and one before it.
    pub attention_ms: f64,
    /// Milliseconds from a filled prompt to the first event.
    pub first_token_ms: f64,
    /// Tokens in an event.
    pub event_tokens: u32,
    /// Most prompt tokens of a step.
    pub chunk_tokens: u64,
    /// Bytes of a token's KV cache.
    pub token_bytes: u64,
    /// Bandwidth of a link in Mbit/s.
    pub link_mbps: f64,
    /// Milliseconds until a transfer begins.
    pub transfer_setup_ms: f64,
    /// Factors on the time of a step, in turn over the engines.
    pub step_factors: Vec<f64>,
}

/// A part that prompts of a kind share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SharedPart {
    /// Mean tokens.
    pub mean_tokens: f64,
    /// Spread of the logarithm of the tokens.
    pub sigma: f64,
    /// Different parts.
    pub distinct: u64,
}

/// A kind of call.
#[derive(Debug, Clone, PartialEq)]
pub struct CallKind {
    /// Name.
    pub name: &'static str,
    /// Calls a second.
    pub rate: f64,
    /// Milliseconds to the first event that are on time.
    pub objective_ms: u64,
    /// Longest pause between events that is on time, in milliseconds.
    pub max_gap_ms: u64,
    /// Milliseconds that callers wait in all.
    pub deadline_ms: u64,
    /// Rank; zero is the most urgent.
    pub priority: u8,
    /// Worth of a late answer against one on time.
    pub late_value: f64,
    /// Mean events of an answer.
    pub mean_events: f64,
    /// Spread of the logarithm of the events.
    pub event_sigma: f64,
    /// Mean tokens of a call's own part of the prompt.
    pub mean_tokens: f64,
    /// Spread of the logarithm of these tokens.
    pub token_sigma: f64,
    /// Most of these tokens.
    pub max_tokens: f64,
    /// Shared parts, in order.
    pub shared_parts: Vec<SharedPart>,
}

/// A time in which a kind comes more or less often.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Surge {
    /// Position of the kind.
    pub kind: usize,
    /// Seconds from the start.
    pub from_s: f64,
    /// Seconds from the start.
    pub to_s: f64,
    /// Factor on the kind's rate.
    pub factor: f64,
}

/// A deployment.
#[derive(Debug, Clone, PartialEq)]
pub struct Deployment {
    /// Name.
    pub name: &'static str,
    /// Nodes.
    pub nodes: usize,
    /// Engines.
    pub engine: EngineModel,
    /// Kinds of call.
    pub kinds: Vec<CallKind>,
    /// Surges of a quiet day.
    pub surges: Vec<Surge>,
}

const fn shared_part(mean_tokens: f64, sigma: f64, distinct: u64) -> SharedPart {
    SharedPart {
        mean_tokens,
        sigma,
        distinct,
    }
}

/// Seconds between the starts of the short surges of a quiet day.
const SURGE_S: f64 = 2.8;

/// Two kinds that surge by turns: one for 14 s, then the other, and short surges within.
fn turns(first: usize, second: usize) -> Vec<Surge> {
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
    /// Nilebell's head office.
    #[must_use]
    pub fn nilebell() -> Self {
        let long = shared_part(4_870.0, 0.7, 187);
        let kind = |name, rate, objective_ms, deadline_ms, priority| CallKind {
            name,
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
            name: "nilebell",
            nodes: 8,
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
            surges: turns(1, 2),
        }
    }

    /// Khabar Saar's summary desk.
    #[must_use]
    pub fn khabar_saar() -> Self {
        let kind = |name, rate, objective_ms, deadline_ms, priority| CallKind {
            name,
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
            name: "khabar-saar",
            nodes: 6,
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
            surges: turns(1, 2),
        }
    }
}
