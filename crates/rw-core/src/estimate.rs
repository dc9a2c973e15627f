//! Estimated times of one request at one target.

use crate::{Policy, TargetState};
use rw_types::{LoadReport, Millis, Role};

/// Tokens in one piece of the prefix cache.
const PIECE: u64 = 1_000;
/// Prefill speed assumed of an engine that has not reported one, in tokens a second.
const PREFILL_RATE: f64 = 10_000.0;
/// Decode speed assumed of an engine that has not reported one, in tokens a second.
const DECODE_RATE: f64 = 25.0;

/// A generation request as estimates need it.
#[derive(Debug, Clone, Copy)]
pub struct Ask<'a> {
    /// Prompt tokens, with those of the output that the caller has already.
    pub prompt: u64,
    /// Tokens still to come.
    pub output: u64,
    /// Hashes of the prompt's prefixes.
    pub pieces: &'a [u64],
    /// Higher goes first.
    pub priority: u8,
}

/// What one target is expected to do with a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    /// Milliseconds until the first token.
    pub first: f64,
    /// Milliseconds until the whole answer.
    pub whole: f64,
    /// Milliseconds of the engine that the request takes from others.
    pub cost: f64,
    /// Prompt tokens that must be filled.
    pub fill: u64,
}

/// Estimates `ask` at `target`.
#[must_use]
pub fn estimate(target: &TargetState, ask: &Ask<'_>, policy: &Policy, now: Millis) -> Estimate {
    let report = &target.report;
    let hits = if policy.cache {
        target.view.hits(now, ask.pieces)
    } else {
        0
    };
    let fill = ask.prompt.saturating_sub(hits as u64 * PIECE).max(1);
    let rate = or(report.prefill_rate as f64, PREFILL_RATE) / 1e3;
    let iteration = 1e3 / or(report.decode_rate as f64, DECODE_RATE);
    let decode = ask.output as f64 * iteration;
    let age = now.since(target.reported) as f64;
    let ahead = ahead(target, ask.priority, policy);
    let tokens = (ahead.tokens as f64 - rate * age).max(0.0);
    let slots = f64::from(report.slots).max(1.0);
    let slot = or(report.slot_ms as f64, decode);
    let freed = if slot > 0.0 { age * slots / slot } else { 0.0 };
    let taken = f64::from(report.running + ahead.streams) - freed;
    let wait = (taken + 1.0 - slots).max(0.0) * slot / slots;
    let first = wait.max(tokens / rate) + fill as f64 / rate + iteration;
    Estimate {
        first,
        whole: first + decode,
        cost: engine_time(report, report.role, fill as f64, ask.output as f64),
        fill,
    }
}

/// Milliseconds of an engine of `role` that filling and decoding so many tokens take from others.
#[must_use]
pub fn engine_time(report: &LoadReport, role: Role, fill: f64, output: f64) -> f64 {
    let Some(limit) = report.limits.iter().find(|l| l.role == role) else {
        return 0.0;
    };
    let chunks = fill / limit.chunk.max(1) as f64;
    let turns = output / f64::from(limit.slots.max(1));
    let costs = &report.costs;
    let us = costs.base_us * chunks.max(turns) + costs.token_us * fill + costs.stream_us * output;
    us / 1e3
}

struct Ahead {
    tokens: u64,
    streams: u32,
}

/// Work that an engine does before a request of `priority`.
fn ahead(target: &TargetState, priority: u8, policy: &Policy) -> Ahead {
    let first = |p: u8| !policy.priorities || p >= priority;
    let mut ahead = Ahead {
        tokens: 0,
        streams: 0,
    };
    for waiting in target.report.backlog.iter().filter(|b| first(b.priority)) {
        ahead.tokens += waiting.tokens;
        ahead.streams += waiting.streams;
    }
    if policy.own {
        let unreported = target.sent.iter().filter(|s| s.at > target.reported);
        for sent in unreported.filter(|s| first(s.priority)) {
            ahead.tokens += sent.fill;
            ahead.streams += 1;
        }
    }
    ahead
}

fn or(value: f64, default: f64) -> f64 {
    if value > 0.0 { value } else { default }
}
