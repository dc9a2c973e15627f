//! Admission: a request is sent where it is expected in time, or turned away at once.

use crate::{
    AttemptOutcome, Call, Demand, Estimate, Node, Operation, Plans, SentRequest, ShareUsage,
    estimate::kv_blocks,
    route::{Choice, RouteError, RouteRequest, choose_target},
};
use rw_types::{Millis, RefusalKind, RequestId, TargetKind};

/// Weight of the newest decision in the part turned away.
const NEWEST: f64 = 0.02;
/// Part turned away from which callers are held to their shares.
const CONTENDED: f64 = 0.05;
/// Part of the time to spare that a caller over its share may wait.
const OVER_PART: f64 = 0.5;
/// Bounds of the time to come back, in milliseconds.
const RETRY_MS: (f64, f64) = (100.0, 30_000.0);

/// What decisions remember from one request to the next.
#[derive(Debug, Clone)]
pub(crate) struct DecisionState {
    rng: fastrand::Rng,
    turn: u64,
    /// Part of the requests turned away lately.
    turned: f64,
    shares: ShareUsage,
    /// Highest priority seen of generated text.
    top: u8,
    pub(crate) demand: Demand,
    pub(crate) plans: Plans,
}

impl DecisionState {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            rng: fastrand::Rng::with_seed(seed),
            turn: 0,
            turned: 0.0,
            shares: ShareUsage::default(),
            top: 0,
            demand: Demand::default(),
            plans: Plans::default(),
        }
    }

    /// Whether `caller` is over its share under contention and would take the last of the room.
    fn crowds_out(&self, now: Millis, caller: &str, choice: &Choice, left: f64) -> bool {
        let waits = |e: Estimate| e.first_token_ms > OVER_PART * e.latest_first_token(left);
        self.turned > CONTENDED
            && choice.estimate.is_some_and(waits)
            && self.shares.is_over(now, caller)
    }

    fn note(&mut self, turned: bool) {
        self.turned += NEWEST * (f64::from(u8::from(turned)) - self.turned);
    }
}

fn too_late(choice: &Choice, left: f64) -> Rejection {
    let late = choice.estimate.map_or(0.0, |e| e.total_ms) - left;
    Rejection {
        kind: RefusalKind::TooLate,
        retry_ms: late.clamp(RETRY_MS.0, RETRY_MS.1) as u64,
    }
}

/// Why a request is turned away, and when to come back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Rejection {
    pub(crate) kind: RefusalKind,
    pub(crate) retry_ms: u64,
}

impl Node {
    /// Chooses a target for the request at position `i`, or turns the request away.
    pub(crate) fn choose(&mut self, now: Millis, i: usize) -> Result<Choice, Rejection> {
        let request = &self.requests[i];
        let first = request.attempts == 0;
        let priority = self
            .config
            .kind(&request.call.kind)
            .map_or(0, |k| k.priority);
        let wanted = RouteRequest {
            operation: &request.call.operation,
            resume: request.tokens,
            priority,
            tried: &request.tried,
            remaining_ms: request.call.deadline.since(now) as f64,
            centre: &self.settings.centre,
            urgent: self.urgent(priority),
            nodes: self.members.active_count(),
        };
        let policy = &self.settings.policy;
        let decisions = &mut self.decisions;
        if matches!(request.call.operation, Operation::Generate { .. }) {
            decisions.top = decisions.top.max(priority);
        }
        decisions.turn += 1;
        let (turn, rng) = (decisions.turn, &mut decisions.rng);
        let chosen = choose_target(&self.targets, &wanted, policy, now, turn, |n| {
            rng.usize(..n)
        });
        if first {
            count_demand(
                &mut decisions.demand,
                now,
                policy.window_ms,
                &request.call,
                &chosen,
            );
        }
        let retry_ms = self.settings.retry_ms;
        let overloaded = Rejection {
            kind: RefusalKind::Overloaded,
            retry_ms,
        };
        // What has begun is finished even if it is late.
        let bound = policy.admit && request.call.explicit_deadline && wanted.resume == 0;
        let result = match chosen {
            Err(RouteError::AtLimit) => Err(overloaded),
            Err(RouteError::NoTarget | RouteError::Unavailable) => Err(Rejection {
                kind: RefusalKind::NoTarget,
                retry_ms,
            }),
            Ok(choice) if bound && !choice.on_time => Err(too_late(&choice, wanted.remaining_ms)),
            Ok(choice) => Ok(choice),
        };
        let caller = &request.call.caller;
        if let Ok(choice) = &result
            && policy.shares
            && first
            && decisions.crowds_out(now, caller, choice, wanted.remaining_ms)
        {
            // Not counted as turned away, or the contention would feed itself.
            return Err(overloaded);
        }
        decisions.note(result.is_err());
        result
    }

    /// Whether no kind of generated text has a higher priority.
    fn urgent(&self, priority: u8) -> bool {
        priority >= self.decisions.top
    }

    /// The request at position `i` goes to the target chosen.
    pub(crate) fn record_sent(&mut self, now: Millis, i: usize, choice: &Choice) {
        let call = &self.requests[i].call;
        let priority = self.config.kind(&call.kind).map_or(0, |k| k.priority);
        let sent = SentRequest {
            id: self.requests[i].id,
            sent_at: now,
            priority,
            prefill_tokens: choice.estimate.map_or(0, |e| e.prefill_tokens),
            blocks: match call.operation {
                Operation::Generate { prompt, output, .. } => kv_blocks(prompt, output),
                Operation::Service { .. } => 0,
            },
            estimate_ms: choice.estimate.map_or(0.0, |e| e.total_ms),
        };
        let target = self.targets.at_mut(choice.index);
        target.running += 1;
        if let Err(at) = target.in_flight.binary_search_by_key(&sent.id, |s| s.id) {
            target.in_flight.insert(at, sent);
        }
        if let Operation::Generate { blocks, .. } = &call.operation {
            target.cache.record_sent(now, blocks);
        }
        if let Some(estimate) = choice.estimate {
            target.usage.record(now, priority, estimate.engine_ms);
            let share = self.config.account(&call.caller).map_or(1, |a| a.share);
            self.decisions
                .shares
                .charge(now, &call.caller, share, estimate.engine_ms);
        }
    }

    /// A request no longer runs on the target of that name; `outcome` is absent if its caller left.
    pub(crate) fn record_ended(
        &mut self,
        now: Millis,
        name: &str,
        id: RequestId,
        outcome: Option<&AttemptOutcome>,
    ) {
        let rest = self.settings.cooldown_ms;
        let limits = self.settings.policy.limits;
        let Some(target) = self.targets.find_mut(name) else {
            return;
        };
        let running = target.running;
        target.running = running.saturating_sub(1);
        let Ok(i) = target.in_flight.binary_search_by_key(&id, |s| s.id) else {
            return;
        };
        let sent = target.in_flight.remove(i);
        match outcome {
            Some(AttemptOutcome::Complete { .. }) if limits && sent.estimate_ms > 0.0 => {
                let took = now.since(sent.sent_at) as f64;
                target.limit.on_response(took, sent.estimate_ms, running);
            }
            Some(AttemptOutcome::NotSent | AttemptOutcome::Broken { .. }) => {
                let factor = target.limit.on_failure();
                target.backoff_until = now.plus(rest * factor);
            }
            // An engine closes without a failure, for example before a role change; a plain
            // service may decline one call and take the next.
            Some(AttemptOutcome::Rejected) if target.spec.kind == TargetKind::Engine => {
                target.backoff_until = now.plus(rest / 2);
            }
            _ => {}
        }
    }
}

fn count_demand(
    demand: &mut Demand,
    now: Millis,
    window: u64,
    call: &Call,
    chosen: &Result<Choice, RouteError>,
) {
    let Operation::Generate {
        model,
        prompt,
        output,
        ..
    } = &call.operation
    else {
        return;
    };
    let estimate = chosen.as_ref().ok().and_then(|c| c.estimate);
    let fill = estimate.map_or(*prompt, |e| e.prefill_tokens);
    demand.record(now, window, model, &call.kind, fill, *output);
}
