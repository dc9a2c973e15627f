//! Estimated latency and cost of one request at one target.

use crate::{Policy, TargetState};
use rw_types::{LoadReport, Millis, Role};

/// Tokens in one KV block of the prefix cache.
const BLOCK_TOKENS: u64 = 1_000;
/// Prefill rate assumed for an engine that has not reported one, in tokens per second.
const DEFAULT_PREFILL_RATE: f64 = 10_000.0;
/// Decode rate assumed for an engine that has not reported one, in tokens per second per stream.
const DEFAULT_DECODE_RATE: f64 = 25.0;

/// Fraction of the slots and of the KV cache that is reserved for urgent requests.
const RESERVED_RATIO: f64 = 0.125;
/// Minimum fraction of an engine's time assumed to remain for requests of lower priority.
const MIN_TIME_RATIO: f64 = 0.05;

/// The properties of a generation request that an estimate depends on.
#[derive(Debug, Clone, Copy)]
pub struct EstimateRequest<'a> {
    /// Prompt tokens, including output tokens that the caller has already received.
    pub prompt: u64,
    /// Output tokens still to be generated.
    pub output: u64,
    /// Hashes of the prompt's prefixes, one per KV block.
    pub blocks: &'a [u64],
    /// Higher priorities are served first.
    pub priority: u8,
    /// Whether no request so far had a higher priority. Other requests may not use the reserved
    /// slots and KV blocks.
    pub urgent: bool,
    /// Number of nodes that send to the target; each is assumed to send as much as this one.
    pub nodes: f64,
}

/// Expected latency and cost of a request at one target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    /// Milliseconds until the first token.
    pub first_token_ms: f64,
    /// Milliseconds until the complete response.
    pub total_ms: f64,
    /// Engine time in milliseconds that the request takes from others.
    pub engine_ms: f64,
    /// Prompt tokens that need prefill because they are not cached.
    pub prefill_tokens: u64,
}

impl Estimate {
    /// Latest time to first token, in milliseconds, with which a response is complete within
    /// `remaining_ms`.
    #[must_use]
    pub fn latest_first_token(&self, remaining_ms: f64) -> f64 {
        remaining_ms - (self.total_ms - self.first_token_ms)
    }
}

/// Estimates latency and cost of `request` at `target`.
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
    let prefill_tokens = request
        .prompt
        .saturating_sub(hits as u64 * BLOCK_TOKENS)
        .max(1);
    let rate = or_default(report.prefill_rate as f64, DEFAULT_PREFILL_RATE) / 1e3;
    let iteration_ms = iteration_ms(report);
    let decode_ms = request.output as f64 * iteration_ms;
    let age_ms = now.since(target.reported_at) as f64;
    let ahead = ahead(target, request.priority, policy);
    let tokens = (ahead.tokens as f64 - rate * age_ms).max(0.0);
    let slot_ms = or_default(report.slot_ms as f64, decode_ms);
    let slots = usable(f64::from(report.slots), request, policy);
    let streams = f64::from(report.running + ahead.streams);
    let slot_wait = wait_ms(
        streams + 1.0,
        slots,
        f64::from(report.running),
        slot_ms,
        age_ms,
    );
    let usable_blocks = usable(f64::from(report.max_blocks), request, policy);
    let held = f64::from(report.blocks + ahead.blocks);
    let needed = kv_blocks(request.prompt, request.output);
    let memory_wait = match report.max_blocks {
        0 => 0.0,
        _ => self::wait_ms(
            held + f64::from(needed),
            usable_blocks,
            f64::from(report.blocks),
            slot_ms,
            age_ms,
        ),
    };
    // Requests of higher priority that arrive later are served first as well.
    let above = target.usage.fraction_above(now, request.priority) * request.nodes;
    let time_ratio = if policy.priorities {
        (1.0 - above).max(MIN_TIME_RATIO)
    } else {
        1.0
    };
    let queue_ms = slot_wait.max(memory_wait).max(tokens / rate);
    let first_token_ms = (queue_ms + prefill_tokens as f64 / rate) / time_ratio + iteration_ms;
    Estimate {
        first_token_ms,
        total_ms: first_token_ms + decode_ms,
        engine_ms: engine_time(
            report,
            report.role,
            prefill_tokens as f64,
            request.output as f64,
        ),
        prefill_tokens,
    }
}

/// Milliseconds of one iteration of a full engine, since it may fill up while a response runs.
fn iteration_ms(report: &LoadReport) -> f64 {
    let reported_ms = 1e3 / or_default(report.decode_rate as f64, DEFAULT_DECODE_RATE);
    let limit = report.limits.iter().find(|l| l.role == report.role);
    let full_ms = limit.map_or(0.0, |l| {
        let costs = &report.costs;
        let us =
            costs.base_us + costs.token_us * l.chunk as f64 + costs.stream_us * f64::from(l.slots);
        us / 1e3
    });
    reported_ms.max(full_ms)
}

/// Engine time in milliseconds that prefill and decode of so many tokens take in `role`; zero if the
/// engine reports no limits for that role.
#[must_use]
pub fn engine_time(report: &LoadReport, role: Role, prefill: f64, output: f64) -> f64 {
    let Some(limit) = report.limits.iter().find(|l| l.role == role) else {
        return 0.0;
    };
    let chunks = prefill / limit.chunk.max(1) as f64;
    let iterations = output / f64::from(limit.slots.max(1));
    let costs = &report.costs;
    let us = costs.base_us * chunks.max(iterations)
        + costs.token_us * prefill
        + costs.stream_us * output;
    us / 1e3
}

/// Number of KV blocks that a request holds.
#[must_use]
pub fn kv_blocks(prompt: u64, output: u64) -> u32 {
    (prompt + output).div_ceil(BLOCK_TOKENS) as u32
}

/// The part of `all` that `request` may use; the rest is reserved for urgent requests.
fn usable(all: f64, request: &EstimateRequest<'_>, policy: &Policy) -> f64 {
    if request.urgent || !policy.priorities {
        all.max(1.0)
    } else {
        (all * (1.0 - RESERVED_RATIO)).floor().max(1.0)
    }
}

/// Milliseconds until there is capacity for `needed` units, if the ones in use are released evenly
/// within `hold_ms`. The report that counts them is `age_ms` old.
fn wait_ms(needed: f64, capacity: f64, in_use: f64, hold_ms: f64, age_ms: f64) -> f64 {
    let rate = in_use.max(1.0) / hold_ms.max(1.0);
    ((needed - capacity) / rate - age_ms).max(0.0)
}

struct Ahead {
    tokens: u64,
    streams: u32,
    blocks: u32,
}

/// Work that an engine does before a new request of `priority`.
fn ahead(target: &TargetState, priority: u8, policy: &Policy) -> Ahead {
    let is_ahead = |p: u8| !policy.priorities || p >= priority;
    let mut ahead = Ahead {
        tokens: 0,
        streams: 0,
        blocks: 0,
    };
    for waiting in target
        .report
        .backlog
        .iter()
        .filter(|b| is_ahead(b.priority))
    {
        ahead.tokens += waiting.tokens;
        ahead.streams += waiting.streams;
        ahead.blocks += waiting.blocks;
    }
    if policy.own_requests {
        let unreported = target
            .in_flight
            .iter()
            .filter(|s| s.sent_at > target.reported_at);
        for sent in unreported.filter(|s| is_ahead(s.priority)) {
            ahead.tokens += sent.prefill_tokens;
            ahead.streams += 1;
            ahead.blocks += sent.blocks;
        }
    }
    ahead
}

fn or_default(value: f64, default: f64) -> f64 {
    if value > 0.0 { value } else { default }
}
