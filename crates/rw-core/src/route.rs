//! Choice of a target.

use crate::{Ask, Estimate, Pick, Policy, TargetState, Targets, Work, estimate};
use rw_types::Millis;

/// Extra milliseconds until the first token from another data centre.
const CENTRE_MS: f64 = 3.0;
/// Targets that a prefix is sent to first, so that it is cached in few places.
const HOMES: u64 = 2;
/// Odd multiplier that spreads a prefix over the targets.
const SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;

/// One request for a target.
#[derive(Debug, Clone, Copy)]
pub struct Wanted<'a> {
    /// What is to be run.
    pub work: &'a Work,
    /// Tokens that the caller has already.
    pub resume: u64,
    /// Higher goes first.
    pub priority: u8,
    /// Targets to leave out where another is open.
    pub tried: &'a [String],
    /// Milliseconds left until the deadline.
    pub left: f64,
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
    pub timely: bool,
}

/// Why no target was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoChoice {
    /// None can run the work at all.
    Unserved,
    /// None is open.
    Closed,
    /// All that are open have as many requests as they may.
    Full,
}

/// Chooses a target for `wanted`; `turn` counts choices and `draw` gives random numbers.
///
/// # Errors
///
/// Any [`NoChoice`].
pub fn choose(
    targets: &Targets,
    wanted: &Wanted<'_>,
    policy: &Policy,
    now: Millis,
    turn: u64,
    draw: impl FnMut(usize) -> usize,
) -> Result<Choice, NoChoice> {
    let serving = targets.serving(wanted.work);
    if serving.is_empty() {
        return Err(NoChoice::Unserved);
    }
    if policy.pick == Pick::RoundRobin {
        return in_turn(targets, serving, now, turn);
    }
    let mut best: Option<(Rank, Choice)> = None;
    let mut none = NoChoice::Closed;
    for index in candidates(serving, wanted, policy, draw) {
        let target = &targets.all()[index];
        if !target.is_open(now) {
            continue;
        }
        if policy.limits && !target.limit.allows(target.running) {
            none = NoChoice::Full;
            continue;
        }
        let (rank, choice) = weigh(index, target, wanted, policy, now);
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
    wanted: &Wanted<'_>,
    policy: &Policy,
    now: Millis,
) -> (Rank, Choice) {
    let again = wanted.tried.contains(&target.spec.name);
    let away = f64::from(u8::from(target.spec.centre != wanted.centre)) * CENTRE_MS;
    let Some(ask) = ask(wanted) else {
        let score = f64::from(target.running) + away;
        let choice = Choice {
            index,
            estimate: None,
            timely: true,
        };
        return ((again, false, score), choice);
    };
    let expected = estimate(target, &ask, policy, now);
    let timely = expected.whole + away <= wanted.left * policy.margin;
    let score = match policy.pick {
        Pick::FirstToken => expected.first + away,
        Pick::WholeAnswer => expected.whole + away + policy.cost_weight * expected.cost,
        _ => {
            let report = &target.report;
            let waiting: u32 = report.backlog.iter().map(|b| b.streams).sum();
            f64::from(report.running + waiting)
        }
    };
    let late = policy.admit && !timely;
    let choice = Choice {
        index,
        estimate: Some(expected),
        timely,
    };
    ((again, late, score), choice)
}

/// The part of `wanted` that estimates need; `None` for a plain service.
fn ask<'a>(wanted: &Wanted<'a>) -> Option<Ask<'a>> {
    match wanted.work {
        Work::Service { .. } => None,
        Work::Generate {
            prompt,
            output,
            pieces,
            ..
        } => Some(Ask {
            prompt: prompt + wanted.resume,
            output: output.saturating_sub(wanted.resume),
            pieces,
            priority: wanted.priority,
            urgent: wanted.urgent,
            nodes: wanted.nodes,
        }),
    }
}

/// Positions of the targets to be looked at.
fn candidates<'a>(
    serving: &'a [u32],
    wanted: &'a Wanted<'_>,
    policy: &'a Policy,
    mut draw: impl FnMut(usize) -> usize + 'a,
) -> impl Iterator<Item = usize> + 'a {
    let all = policy.sample == 0 || serving.len() <= policy.scan;
    let prefix = match wanted.work {
        Work::Generate { pieces, .. } if policy.cache => pieces.first().copied(),
        _ => None,
    };
    let homes = prefix
        .into_iter()
        .flat_map(|piece| (0..HOMES).map(move |n| (piece ^ n).wrapping_mul(SPREAD) >> 16));
    let homes = homes.map(|hash| (hash % serving.len() as u64) as usize);
    let drawn = std::iter::repeat_with(move || draw(serving.len())).take(policy.sample);
    let some = homes.chain(drawn).take(if all { 0 } else { usize::MAX });
    let each = 0..if all { serving.len() } else { 0 };
    each.chain(some).map(|i| serving[i] as usize)
}

fn in_turn(targets: &Targets, serving: &[u32], now: Millis, turn: u64) -> Result<Choice, NoChoice> {
    let order = (0..serving.len() as u64).map(|n| ((turn + n) % serving.len() as u64) as usize);
    let open = order.map(|i| serving[i] as usize);
    let index = open.into_iter().find(|i| targets.all()[*i].is_open(now));
    let index = index.ok_or(NoChoice::Closed)?;
    Ok(Choice {
        index,
        estimate: None,
        timely: true,
    })
}
