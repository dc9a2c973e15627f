//! Choice of a target.

use crate::{
    Estimate, EstimateRequest, Operation, Policy, RoutingStrategy, TargetState, Targets, estimate,
};
use rw_types::Millis;

/// Extra milliseconds until the first token from another data centre.
const CENTRE_MS: f64 = 3.0;
/// Targets that a prefix is sent to first, so that it is cached in few places.
const HOMES: u64 = 2;
/// Odd multiplier that spreads a prefix over the targets.
const SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;

/// One request for a target.
#[derive(Debug, Clone, Copy)]
pub struct RouteRequest<'a> {
    /// What is to be run.
    pub operation: &'a Operation,
    /// Tokens that the caller has already.
    pub resume: u64,
    /// Higher goes first.
    pub priority: u8,
    /// Targets to leave out where another is open.
    pub tried: &'a [String],
    /// Milliseconds left until the deadline.
    pub remaining_ms: f64,
    /// Data centre of this VM.
    pub centre: &'a str,
    /// Whether no kind of work has a higher priority.
    pub urgent: bool,
    /// Entry nodes.
    pub nodes: f64,
}

/// The best target found.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Choice {
    /// Position in [`Targets::all`].
    pub index: usize,
    /// What it is expected to do; `None` for a plain service.
    pub estimate: Option<Estimate>,
    /// Whether it is expected to answer in time.
    pub on_time: bool,
}

/// Why no target was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteError {
    /// None can run the work at all.
    NoTarget,
    /// None is open.
    Unavailable,
    /// All that are open have as many requests as they may.
    AtLimit,
}

/// Chooses a target for `wanted`; `turn` counts choices and `draw` gives random numbers.
///
/// # Errors
///
/// Any [`RouteError`].
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
        return in_turn(targets, serving, now, turn);
    }
    let mut best: Option<(Rank, Choice)> = None;
    let mut none = RouteError::Unavailable;
    for index in candidates(serving, request, policy, draw) {
        let target = &targets.all()[index];
        if !target.is_open(now) {
            continue;
        }
        if policy.limits && !target.limit.allows(target.running) {
            none = RouteError::AtLimit;
            continue;
        }
        let (rank, choice) = weigh(index, target, request, policy, now);
        if best.as_ref().is_none_or(|(other, _)| rank < *other) {
            best = Some((rank, choice));
        }
    }
    best.map(|(_, choice)| choice).ok_or(none)
}

/// Lower goes first: tried before, late, score.
type Rank = (bool, bool, f64);

fn weigh(
    index: usize,
    target: &TargetState,
    request: &RouteRequest<'_>,
    policy: &Policy,
    now: Millis,
) -> (Rank, Choice) {
    let again = request.tried.contains(&target.spec.name);
    let away = f64::from(u8::from(target.spec.centre != request.centre)) * CENTRE_MS;
    let Some(work) = estimate_request(request) else {
        let score = f64::from(target.running) + away;
        let choice = Choice {
            index,
            estimate: None,
            on_time: true,
        };
        return ((again, false, score), choice);
    };
    let expected = estimate(target, &work, policy, now);
    let on_time = expected.total_ms + away <= request.remaining_ms * policy.margin;
    let score = match policy.strategy {
        RoutingStrategy::FirstToken => expected.first_token_ms + away,
        RoutingStrategy::TotalTime => {
            expected.total_ms + away + policy.cost_weight * expected.engine_ms
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
    ((again, late, score), choice)
}

/// The part of `wanted` that estimates need; `None` for a plain service.
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

/// Positions of the targets to be looked at.
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
    let homes = prefix
        .into_iter()
        .flat_map(|block| (0..HOMES).map(move |n| (block ^ n).wrapping_mul(SPREAD) >> 16));
    let homes = homes.map(|hash| (hash % serving.len() as u64) as usize);
    let drawn = std::iter::repeat_with(move || draw(serving.len())).take(policy.sample);
    let some = homes.chain(drawn).take(if all { 0 } else { usize::MAX });
    let each = 0..if all { serving.len() } else { 0 };
    each.chain(some).map(|i| serving[i] as usize)
}

fn in_turn(
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
