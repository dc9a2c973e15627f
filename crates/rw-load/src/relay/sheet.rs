//! What a deployment's sheet tells of engines and of what callers send.

/// Engines of one service.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineSheet {
    /// How many.
    pub count: usize,
    /// Calls that one runs at once.
    pub slots: u32,
    /// Tokens that fit into its memory.
    pub memory: u64,
    /// Milliseconds of a step.
    pub step_ms: f64,
    /// Milliseconds that each running call adds to a step.
    pub slot_ms: f64,
    /// Milliseconds that each 1,000 tokens of running calls add to a step.
    pub context_ms: f64,
    /// Prompt tokens filled in a millisecond.
    pub prompt_rate: f64,
    /// Milliseconds for a million pairs of a prompt token and one before it.
    pub pairs_ms: f64,
    /// Milliseconds from a filled prompt to the first event.
    pub first_ms: f64,
    /// Tokens in an event.
    pub stride: u32,
    /// Most prompt tokens of a step.
    pub chunk: u64,
    /// Bytes of a token's KV cache.
    pub token_bytes: u64,
    /// Bandwidth of a link in Mbit/s.
    pub link_mbps: f64,
    /// Milliseconds until a transfer begins.
    pub setup_ms: f64,
    /// Factors on the time of a step, in turn over the engines.
    pub slowness: Vec<f64>,
}

/// A part that prompts of a kind share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ChainSheet {
    /// Mean tokens.
    pub tokens: f64,
    /// Spread of the logarithm of the tokens.
    pub spread: f64,
    /// Different parts.
    pub things: u64,
}

/// A kind of call.
#[derive(Debug, Clone, PartialEq)]
pub struct KindSheet {
    /// Name.
    pub name: &'static str,
    /// Calls a second.
    pub rate: f64,
    /// Milliseconds to the first event that are on time.
    pub objective_ms: u64,
    /// Longest pause between events that is on time, in milliseconds.
    pub gap_ms: u64,
    /// Milliseconds that callers wait in all.
    pub deadline_ms: u64,
    /// Rank; zero is the most urgent.
    pub priority: u8,
    /// Worth of a late answer against one on time.
    pub late_worth: f64,
    /// Mean events of an answer.
    pub events: f64,
    /// Spread of the logarithm of the events.
    pub event_spread: f64,
    /// Mean tokens of a call's own part of the prompt.
    pub tokens: f64,
    /// Spread of the logarithm of these tokens.
    pub token_spread: f64,
    /// Most of these tokens.
    pub most_tokens: f64,
    /// Shared parts, in order.
    pub chain: Vec<ChainSheet>,
}

/// A time in which a kind comes more or less often.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Surge {
    /// Position of the kind.
    pub kind: usize,
    /// Seconds from the start.
    pub from: f64,
    /// Seconds from the start.
    pub to: f64,
    /// Factor on the kind's rate.
    pub times: f64,
}

/// A deployment.
#[derive(Debug, Clone, PartialEq)]
pub struct Sheet {
    /// Name.
    pub name: &'static str,
    /// Nodes.
    pub nodes: usize,
    /// Engines.
    pub engine: EngineSheet,
    /// Kinds of call.
    pub kinds: Vec<KindSheet>,
    /// Surges of a quiet day.
    pub surges: Vec<Surge>,
}

const fn chain(tokens: f64, spread: f64, things: u64) -> ChainSheet {
    ChainSheet {
        tokens,
        spread,
        things,
    }
}

/// Seconds between the starts of the short surges of a quiet day.
const SURGE_S: f64 = 2.8;

/// Two kinds that surge by turns: one for 14 s, then the other, and short surges within.
fn turns(first: usize, second: usize) -> Vec<Surge> {
    let surge = |kind, from, to, times| Surge {
        kind,
        from,
        to,
        times,
    };
    let mut surges = vec![
        surge(first, 3.0, 17.0, 1.65),
        surge(second, 3.0, 17.0, 0.43),
        surge(second, 18.0, 32.0, 1.75),
        surge(first, 18.0, 32.0, 0.41),
    ];
    for n in 0..11 {
        let from = 1.0 + f64::from(n) * SURGE_S;
        let (up, down) = if n % 2 == 0 {
            (first, second)
        } else {
            (second, first)
        };
        surges.push(surge(up, from, from + SURGE_S, 1.8));
        surges.push(surge(down, from, from + SURGE_S, 0.59));
    }
    surges
}

impl Sheet {
    /// Nilebell's head office.
    #[must_use]
    pub fn nilebell() -> Self {
        let long = chain(4_870.0, 0.7, 187);
        let kind = |name, rate, objective_ms, deadline_ms, priority| KindSheet {
            name,
            rate,
            objective_ms,
            gap_ms: 250,
            deadline_ms,
            priority,
            late_worth: 0.1,
            events: 27.3,
            event_spread: 0.44,
            tokens: 6_610.0,
            token_spread: 1.4,
            most_tokens: 54_600.0,
            chain: vec![chain(512.0, 0.4, 1), long],
        };
        Self {
            name: "nilebell",
            nodes: 8,
            engine: EngineSheet {
                count: 12,
                slots: 48,
                memory: 444_000,
                step_ms: 2.2,
                slot_ms: 0.0,
                context_ms: 0.0175,
                prompt_rate: 140.0,
                pairs_ms: 0.295,
                first_ms: 53.0,
                stride: 14,
                chunk: 1_024,
                token_bytes: 131_072,
                link_mbps: 950_000.0,
                setup_ms: 2.7,
                slowness: vec![1.0],
            },
            kinds: vec![
                kind("score-check", 27.6, 500, 8_000, 2),
                KindSheet {
                    events: 20.8,
                    event_spread: 0.69,
                    tokens: 628.0,
                    token_spread: 1.0,
                    most_tokens: 3_310.0,
                    chain: vec![chain(119.0, 0.4, 40), chain(79.4, 0.7, 356)],
                    ..kind("listing-summary", 52.4, 250, 6_000, 1)
                },
                KindSheet {
                    events: 1.61,
                    event_spread: 1.4,
                    tokens: 1_800.0,
                    token_spread: 1.3,
                    most_tokens: 6_870.0,
                    chain: vec![chain(341.0, 0.4, 20), chain(227.0, 0.7, 201)],
                    ..kind("swap-verdict", 66.6, 300, 2_000, 0)
                },
            ],
            surges: turns(1, 2),
        }
    }

    /// Khabar Saar's summary desk.
    #[must_use]
    pub fn khabar_saar() -> Self {
        let kind = |name, rate, objective_ms, deadline_ms, priority| KindSheet {
            name,
            rate,
            objective_ms,
            gap_ms: 200,
            deadline_ms,
            priority,
            late_worth: 0.3,
            events: 42.5,
            event_spread: 0.44,
            tokens: 6_610.0,
            token_spread: 1.4,
            most_tokens: 54_600.0,
            chain: vec![chain(512.0, 0.4, 1), chain(4_870.0, 0.7, 192)],
        };
        Self {
            name: "khabar-saar",
            nodes: 6,
            engine: EngineSheet {
                count: 18,
                slots: 64,
                memory: 514_590,
                step_ms: 4.23,
                slot_ms: 0.000_767,
                context_ms: 0.008_57,
                prompt_rate: 64.2,
                pairs_ms: 0.647,
                first_ms: 0.67,
                stride: 9,
                chunk: 1_024,
                token_bytes: 163_840,
                link_mbps: 1_200_000.0,
                setup_ms: 2.7,
                slowness: vec![1.0, 1.0, 1.3],
            },
            kinds: vec![
                kind("dossier-digest", 28.4, 800, 10_000, 2),
                KindSheet {
                    events: 32.4,
                    event_spread: 0.69,
                    tokens: 628.0,
                    token_spread: 1.0,
                    most_tokens: 3_310.0,
                    chain: vec![chain(119.0, 0.4, 20), chain(79.4, 0.7, 251)],
                    ..kind("headline-brief", 55.5, 300, 10_000, 0)
                },
                KindSheet {
                    events: 2.51,
                    event_spread: 1.4,
                    tokens: 1_800.0,
                    token_spread: 1.3,
                    most_tokens: 6_870.0,
                    chain: vec![chain(341.0, 0.4, 40), chain(227.0, 0.7, 220)],
                    ..kind("story-tag", 48.8, 400, 2_500, 1)
                },
            ],
            surges: turns(1, 2),
        }
    }
}
