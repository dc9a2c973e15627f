//! Admission control: a request is sent to a target that is estimated to meet its deadline, or
//! rejected at once.

use crate::{
    AttemptOutcome, Call, Demand, Estimate, Node, Operation, RolePlans, SentRequest, ShareUsage,
    estimate::kv_blocks,
    route::{Choice, RouteError, RouteRequest, choose_target},
};
use rw_types::{Millis, RefusalKind, RequestId, TargetKind};

/// Weight of the latest decision in the moving average of the rejection rate.
const REJECT_RATE_WEIGHT: f64 = 0.02;
/// Rejection rate above which the fleet counts as contended and accounts' shares are enforced.
const CONTENDED_REJECT_RATE: f64 = 0.05;
/// Fraction of the latest allowed time to first token that a caller over its share may wait.
const OVER_SHARE_WAIT_RATIO: f64 = 0.5;
/// Minimum and maximum retry delay that a late request is given, in milliseconds.
const RETRY_DELAY_MS: (f64, f64) = (100.0, 30_000.0);

/// State that admission and routing decisions keep between requests.
#[derive(Debug, Clone)]
pub(crate) struct DecisionState {
    pub(crate) rng: fastrand::Rng,
    decision_count: u64,
    /// Moving average of the rejection rate.
    reject_rate: f64,
    shares: ShareUsage,
    /// Highest priority of any generation request so far.
    top_priority: u8,
    pub(crate) demand: Demand,
    pub(crate) role_plans: RolePlans,
}

impl DecisionState {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            rng: fastrand::Rng::with_seed(seed),
            decision_count: 0,
            reject_rate: 0.0,
            shares: ShareUsage::default(),
            top_priority: 0,
            demand: Demand::default(),
            role_plans: RolePlans::default(),
        }
    }

    /// Whether `caller` is over its share under contention and would have to queue for long.
    fn exceeds_share(&self, now: Millis, caller: &str, choice: &Choice, remaining_ms: f64) -> bool {
        let waits_long = |e: Estimate| {
            e.first_token_ms > OVER_SHARE_WAIT_RATIO * e.latest_first_token(remaining_ms)
        };
        self.reject_rate > CONTENDED_REJECT_RATE
            && choice.estimate.is_some_and(waits_long)
            && self.shares.is_over(now, caller)
    }

    fn record_decision(&mut self, rejected: bool) {
        self.reject_rate += REJECT_RATE_WEIGHT * (f64::from(u8::from(rejected)) - self.reject_rate);
    }
}

fn too_late(choice: &Choice, remaining_ms: f64) -> Rejection {
    let late_ms = choice.estimate.map_or(0.0, |e| e.total_ms) - remaining_ms;
    Rejection {
        kind: RefusalKind::TooLate,
        retry_ms: late_ms.clamp(RETRY_DELAY_MS.0, RETRY_DELAY_MS.1) as u64,
    }
}

/// Why a request is rejected, and after how many milliseconds it may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Rejection {
    pub(crate) kind: RefusalKind,
    pub(crate) retry_ms: u64,
}

impl Node {
    /// Chooses a target for the request at position `i`, or rejects the request.
    pub(crate) fn choose(&mut self, now: Millis, i: usize) -> Result<Choice, Rejection> {
        let request = &self.requests[i];
        let first = request.attempts == 0;
        let priority = self
            .config
            .kind(&request.call.kind)
            .map_or(0, |k| k.priority);
        let route_request = RouteRequest {
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
            decisions.top_priority = decisions.top_priority.max(priority);
        }
        decisions.decision_count += 1;
        let (count, rng) = (decisions.decision_count, &mut decisions.rng);
        let chosen = choose_target(&self.targets, &route_request, policy, now, count, |n| {
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
        // A stream that has started is resumed even if it will miss its deadline.
        let enforced = policy.admit && request.call.explicit_deadline && route_request.resume == 0;
        let result = match chosen {
            Err(RouteError::AtLimit) => Err(overloaded),
            Err(RouteError::NoTarget | RouteError::Unavailable) => Err(Rejection {
                kind: RefusalKind::NoTarget,
                retry_ms,
            }),
            Ok(choice) if enforced && !choice.on_time => {
                Err(too_late(&choice, route_request.remaining_ms))
            }
            Ok(choice) => Ok(choice),
        };
        let caller = &request.call.caller;
        if let Ok(choice) = &result
            && policy.shares
            && first
            && decisions.exceeds_share(now, caller, choice, route_request.remaining_ms)
        {
            // Not counted in the rejection rate: enforcing shares would otherwise sustain the
            // contention that triggers it.
            return Err(overloaded);
        }
        decisions.record_decision(result.is_err());
        result.map_err(|rejection| self.with_pause(now, i, rejection))
    }

    /// Extends the retry time of a request that no target can take to the end of the first pause.
    fn with_pause(&self, now: Millis, i: usize, rejection: Rejection) -> Rejection {
        if rejection.kind != RefusalKind::NoTarget {
            return rejection;
        }
        let left_ms = self.pause_left_ms(now, &self.requests[i].call.operation);
        let retry_ms = left_ms.unwrap_or(0).max(rejection.retry_ms);
        Rejection {
            retry_ms,
            ..rejection
        }
    }

    /// Whether no generation request so far had a higher priority.
    fn urgent(&self, priority: u8) -> bool {
        priority >= self.decisions.top_priority
    }

    /// Accounts for the request at position `i` on its chosen target.
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

    /// Updates the target `name` after a request ended there; `outcome` is `None` if the caller
    /// disconnected.
    pub(crate) fn record_ended(
        &mut self,
        now: Millis,
        name: &str,
        id: RequestId,
        outcome: Option<&AttemptOutcome>,
    ) {
        let backoff_ms = self.settings.backoff_ms;
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
                let took_ms = now.since(sent.sent_at) as f64;
                target.limit.on_response(took_ms, sent.estimate_ms, running);
            }
            Some(AttemptOutcome::NotSent | AttemptOutcome::Broken { .. }) => {
                let factor = target.limit.on_failure();
                target.backoff_until = now.plus(backoff_ms * factor);
            }
            // An engine also rejects requests without a failure, for example while it drains for a
            // role change. A plain service may reject one call and accept the next.
            Some(AttemptOutcome::Rejected) if target.spec.kind == TargetKind::Engine => {
                target.backoff_until = now.plus(backoff_ms / 2);
            }
            _ => {}
        }
    }
}

fn count_demand(
    demand: &mut Demand,
    now: Millis,
    window_ms: u64,
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
    let prefill_tokens = estimate.map_or(*prompt, |e| e.prefill_tokens);
    demand.record(now, window_ms, model, &call.kind, prefill_tokens, *output);
}
