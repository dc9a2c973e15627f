//! Estimated times of one request at one target.

use crate::{Policy, TargetState};
use rw_types::{LoadReport, Millis, Role};

/// Tokens in one piece of the prefix cache.
const PIECE: u64 = 1_000;
/// Prefill speed assumed of an engine that has not reported one, in tokens a second.
const PREFILL_RATE: f64 = 10_000.0;
/// Decode speed assumed of an engine that has not reported one, in tokens a second.
const DECODE_RATE: f64 = 25.0;

/// Part of the slots and of the KV cache that is kept for urgent work.
const KEPT: f64 = 0.125;
/// Least part of an engine that is left for work below the highest priority.
const LEAST_SHARE: f64 = 0.05;

/// A generation request as estimates need it.
#[derive(Debug, Clone, Copy)]
pub struct EstimateRequest<'a> {
    /// Prompt tokens, with those of the output that the caller has already.
    pub prompt: u64,
    /// Tokens still to come.
    pub output: u64,
    /// Hashes of the prompt's prefixes.
    pub blocks: &'a [u64],
    /// Higher goes first.
    pub priority: u8,
    /// Whether no kind of work has a higher priority; the others leave some slots free.
    pub urgent: bool,
    /// Entry nodes, which send as much as this one.
    pub nodes: f64,
}

/// What one target is expected to do with a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    /// Milliseconds until the first token.
    pub first_token_ms: f64,
    /// Milliseconds until the whole answer.
    pub total_ms: f64,
    /// Milliseconds of the engine that the request takes from others.
    pub engine_ms: f64,
    /// Prompt tokens that must be filled.
    pub prefill_tokens: u64,
}

impl Estimate {
    /// Latest first token, in milliseconds, after which `left` is not met.
    #[must_use]
    pub fn latest_first_token(&self, left: f64) -> f64 {
        left - (self.total_ms - self.first_token_ms)
    }
}

/// Estimates `ask` at `target`.
#[must_use]
pub fn estimate(
    target: &TargetState,
    request: &EstimateRequest<'_>,
    policy: &Policy,
    now: Millis,
) -> Estimate {
    let report = &target.report;
    let hits = if policy.cache {
        target.cache.hits(now, request.blocks)
    } else {
        0
    };
    let prefill_tokens = request.prompt.saturating_sub(hits as u64 * PIECE).max(1);
    let rate = or(report.prefill_rate as f64, PREFILL_RATE) / 1e3;
    let iteration = iteration(report);
    let decode = request.output as f64 * iteration;
    let age = now.since(target.reported_at) as f64;
    let ahead = ahead(target, request.priority, policy);
    let tokens = (ahead.tokens as f64 - rate * age).max(0.0);
    let slot = or(report.slot_ms as f64, decode);
    let slots = usable(f64::from(report.slots), request, policy);
    let taken = f64::from(report.running + ahead.streams);
    let wait = wait(taken + 1.0, slots, f64::from(report.running), slot, age);
    let room = usable(f64::from(report.max_blocks), request, policy);
    let held = f64::from(report.blocks + ahead.pieces);
    let need = kv_blocks(request.prompt, request.output);
    let memory = match report.max_blocks {
        0 => 0.0,
        _ => self::wait(
            held + f64::from(need),
            room,
            f64::from(report.blocks),
            slot,
            age,
        ),
    };
    // What arrives later with a higher priority goes first too.
    let above = target.usage.fraction_above(now, request.priority) * request.nodes;
    let share = if policy.priorities {
        (1.0 - above).max(LEAST_SHARE)
    } else {
        1.0
    };
    let queue = wait.max(memory).max(tokens / rate);
    let first_token_ms = (queue + prefill_tokens as f64 / rate) / share + iteration;
    Estimate {
        first_token_ms,
        total_ms: first_token_ms + decode,
        engine_ms: engine_time(
            report,
            report.role,
            prefill_tokens as f64,
            request.output as f64,
        ),
        prefill_tokens,
    }
}

/// Milliseconds of one iteration when the engine is full, as it will be while an answer runs.
fn iteration(report: &LoadReport) -> f64 {
    let seen = 1e3 / or(report.decode_rate as f64, DECODE_RATE);
    let limit = report.limits.iter().find(|l| l.role == report.role);
    let full = limit.map_or(0.0, |l| {
        let costs = &report.costs;
        let us =
            costs.base_us + costs.token_us * l.chunk as f64 + costs.stream_us * f64::from(l.slots);
        us / 1e3
    });
    seen.max(full)
}

/// Milliseconds of an engine of `role` that filling and decoding so many tokens take from others.
#[must_use]
pub fn engine_time(report: &LoadReport, role: Role, prefill: f64, output: f64) -> f64 {
    let Some(limit) = report.limits.iter().find(|l| l.role == role) else {
        return 0.0;
    };
    let chunks = prefill / limit.chunk.max(1) as f64;
    let turns = output / f64::from(limit.slots.max(1));
    let costs = &report.costs;
    let us =
        costs.base_us * chunks.max(turns) + costs.token_us * prefill + costs.stream_us * output;
    us / 1e3
}

/// KV cache pieces that a request holds.
#[must_use]
pub fn kv_blocks(prompt: u64, output: u64) -> u32 {
    (prompt + output).div_ceil(PIECE) as u32
}

/// The part of `all` that `ask` may use; the last is kept for urgent work.
fn usable(all: f64, request: &EstimateRequest<'_>, policy: &Policy) -> f64 {
    if request.urgent || !policy.priorities {
        all.max(1.0)
    } else {
        (all * (1.0 - KEPT)).floor().max(1.0)
    }
}

/// Milliseconds until `wanted` of `all` can be had, when `used` are given back once in `hold`.
fn wait(wanted: f64, all: f64, used: f64, hold: f64, age: f64) -> f64 {
    let rate = used.max(1.0) / hold.max(1.0);
    ((wanted - all) / rate - age).max(0.0)
}

struct Ahead {
    tokens: u64,
    streams: u32,
    pieces: u32,
}

/// Work that an engine does before a request of `priority`.
fn ahead(target: &TargetState, priority: u8, policy: &Policy) -> Ahead {
    let first = |p: u8| !policy.priorities || p >= priority;
    let mut ahead = Ahead {
        tokens: 0,
        streams: 0,
        pieces: 0,
    };
    for waiting in target.report.backlog.iter().filter(|b| first(b.priority)) {
        ahead.tokens += waiting.tokens;
        ahead.streams += waiting.streams;
        ahead.pieces += waiting.blocks;
    }
    if policy.own_requests {
        let unreported = target
            .in_flight
            .iter()
            .filter(|s| s.sent_at > target.reported_at);
        for sent in unreported.filter(|s| first(s.priority)) {
            ahead.tokens += sent.prefill_tokens;
            ahead.streams += 1;
            ahead.pieces += sent.blocks;
        }
    }
    ahead
}

fn or(value: f64, default: f64) -> f64 {
    if value > 0.0 { value } else { default }
}
