//! Choice of the target for a request.

use crate::{
    Estimate, EstimateRequest, Operation, Policy, RoutingStrategy, TargetState, Targets, estimate,
};
use rw_types::Millis;

/// Additional time to first token from a target in another data centre.
const REMOTE_CENTRE_MS: f64 = 3.0;
/// Number of preferred targets for a prefix, so that it is cached in few places.
const PREFERRED_TARGETS: u64 = 2;
/// Odd multiplier that hashes a prefix to its preferred targets.
const HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// The properties of a request that routing depends on.
#[derive(Debug, Clone, Copy)]
pub struct RouteRequest<'a> {
    /// What the target is to run.
    pub operation: &'a Operation,
    /// Number of tokens that the caller has already received.
    pub resume: u64,
    /// Higher priorities are served first.
    pub priority: u8,
    /// Names of targets already tried; chosen again only if no other is available.
    pub tried: &'a [String],
    /// Milliseconds until the deadline.
    pub remaining_ms: f64,
    /// Data centre of this VM.
    pub centre: &'a str,
    /// Whether no request so far had a higher priority.
    pub urgent: bool,
    /// Number of nodes that send to the target; each is assumed to send as much as this one.
    pub nodes: f64,
}

/// The best target found.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Choice {
    /// Position in [`Targets::all`].
    pub index: usize,
    /// Expected latency and cost; `None` for a plain service.
    pub estimate: Option<Estimate>,
    /// Whether it is expected to respond before the deadline.
    pub on_time: bool,
}

/// Why no target was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteError {
    /// No target can run the operation at all.
    NoTarget,
    /// No target accepts new requests at present.
    Unavailable,
    /// All targets that accept requests are at their concurrency limits.
    AtLimit,
}

/// Chooses a target for `request`; `turn` counts decisions, for round robin, and `draw(n)` returns a
/// random number below `n`.
///
/// # Errors
///
/// Why no target can take the request now, as a [`RouteError`].
pub fn choose_target(
    targets: &Targets,
    request: &RouteRequest<'_>,
    policy: &Policy,
    now: Millis,
    turn: u64,
    draw: impl FnMut(usize) -> usize,
) -> Result<Choice, RouteError> {
    let serving = targets.serving(request.operation);
    if serving.is_empty() {
        return Err(RouteError::NoTarget);
    }
    if policy.strategy == RoutingStrategy::RoundRobin {
        return round_robin(targets, serving, now, turn);
    }
    let mut best: Option<(Rank, Choice)> = None;
    let mut error = RouteError::Unavailable;
    for index in candidates(serving, request, policy, draw) {
        let target = &targets.all()[index];
        if !target.is_open(now) {
            continue;
        }
        if policy.limits && !target.limit.allows(target.running) {
            error = RouteError::AtLimit;
            continue;
        }
        let (rank, choice) = rank(index, target, request, policy, now);
        if best.as_ref().is_none_or(|(other, _)| rank < *other) {
            best = Some((rank, choice));
        }
    }
    best.map(|(_, choice)| choice).ok_or(error)
}

/// Sort key of a candidate, lowest first: already tried, late, score.
type Rank = (bool, bool, f64);

fn rank(
    index: usize,
    target: &TargetState,
    request: &RouteRequest<'_>,
    policy: &Policy,
    now: Millis,
) -> (Rank, Choice) {
    let already_tried = request.tried.contains(&target.spec.name);
    let distance_ms = f64::from(u8::from(target.spec.centre != request.centre)) * REMOTE_CENTRE_MS;
    let Some(input) = estimate_request(request) else {
        let score = f64::from(target.running) + distance_ms;
        let choice = Choice {
            index,
            estimate: None,
            on_time: true,
        };
        return ((already_tried, false, score), choice);
    };
    let expected = estimate(target, &input, policy, now);
    let on_time = expected.total_ms + distance_ms <= request.remaining_ms * policy.margin;
    let score = match policy.strategy {
        RoutingStrategy::FirstToken => expected.first_token_ms + distance_ms,
        RoutingStrategy::TotalTime => {
            expected.total_ms + distance_ms + policy.cost_weight * expected.engine_ms
        }
        _ => {
            let report = &target.report;
            let waiting: u32 = report.backlog.iter().map(|b| b.streams).sum();
            f64::from(report.running + waiting)
        }
    };
    let late = policy.admit && !on_time;
    let choice = Choice {
        index,
        estimate: Some(expected),
        on_time,
    };
    ((already_tried, late, score), choice)
}

/// The part of `request` that an estimate depends on; `None` for a plain service.
fn estimate_request<'a>(request: &RouteRequest<'a>) -> Option<EstimateRequest<'a>> {
    match request.operation {
        Operation::Service { .. } => None,
        Operation::Generate {
            prompt,
            output,
            blocks,
            ..
        } => Some(EstimateRequest {
            prompt: prompt + request.resume,
            output: output.saturating_sub(request.resume),
            blocks,
            priority: request.priority,
            urgent: request.urgent,
            nodes: request.nodes,
        }),
    }
}

/// Positions of the targets to be compared: all, or a prefix's preferred ones and a random sample.
fn candidates<'a>(
    serving: &'a [u32],
    request: &'a RouteRequest<'_>,
    policy: &'a Policy,
    mut draw: impl FnMut(usize) -> usize + 'a,
) -> impl Iterator<Item = usize> + 'a {
    let all = policy.sample == 0 || serving.len() <= policy.scan_max;
    let prefix = match request.operation {
        Operation::Generate { blocks, .. } if policy.cache => blocks.first().copied(),
        _ => None,
    };
    let preferred = prefix.into_iter().flat_map(|block| {
        (0..PREFERRED_TARGETS).map(move |n| (block ^ n).wrapping_mul(HASH_MULTIPLIER) >> 16)
    });
    let preferred = preferred.map(|hash| (hash % serving.len() as u64) as usize);
    let drawn = std::iter::repeat_with(move || draw(serving.len())).take(policy.sample);
    let sampled = preferred
        .chain(drawn)
        .take(if all { 0 } else { usize::MAX });
    let every = 0..if all { serving.len() } else { 0 };
    every.chain(sampled).map(|i| serving[i] as usize)
}

fn round_robin(
    targets: &Targets,
    serving: &[u32],
    now: Millis,
    turn: u64,
) -> Result<Choice, RouteError> {
    let order = (0..serving.len() as u64).map(|n| ((turn + n) % serving.len() as u64) as usize);
    let open = order.map(|i| serving[i] as usize);
    let index = open.into_iter().find(|i| targets.all()[*i].is_open(now));
    let index = index.ok_or(RouteError::Unavailable)?;
    Ok(Choice {
        index,
        estimate: None,
        on_time: true,
    })
}
