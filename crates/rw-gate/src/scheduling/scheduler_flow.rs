//! A scheduler's side of placement: it grants places on the engines of its groups.

use super::{
    Bound, PlacementGrant, PlacementOutcome, PlacementReply, PlacementRequest, Placing,
    Reservation, SchedulerMessage, WorkEnd, load_of,
};
use crate::{
    CallRequest, Delivered, Effect, Gate, Prompt, PromptPart, RetryPolicy, call_state::CallState,
    placement::Placement,
};
use rw_types::{Millis, RequestId};

/// Time after which a reserved prefill that was not reported as finished is taken to be: factor on
/// the expected time, and milliseconds added to it.
const PREFILL_EXPIRY: (f64, f64) = (2.0, 500.0);

impl Gate {
    /// A node reported ended work or requests a placement.
    pub(crate) fn scheduler_message(
        &mut self,
        now: Millis,
        message: SchedulerMessage,
        effects: &mut Vec<Effect>,
    ) {
        for end in &message.ends {
            self.work_ended(now, &message.vm, end);
        }
        let Some(request) = message.request else {
            return;
        };
        let reply = PlacementReply {
            vm: self.settings.vm.clone(),
            id: request.id,
            number: request.number,
            outcome: self.schedule(now, &message.vm, request),
        };
        let vm = message.vm;
        effects.push(Effect::AnswerPlacement { vm, reply });
    }

    fn schedule(&mut self, now: Millis, vm: &str, request: PlacementRequest) -> PlacementOutcome {
        self.refresh_groups(now);
        let (group, bound) = (request.group, request.bound);
        let centre = request.prefilled_in.clone();
        let call = requested_call(now, request);
        let placer = self.group_placer(now, group);
        let placement = match &centre {
            Some(centre) => placer.choose_decode(&call, centre),
            None => placer.choose(&call),
        };
        let Some(placement) = placement else {
            return PlacementOutcome::NoTarget;
        };
        if !placement.meets(bound) {
            return PlacementOutcome::Exceeds(placement.cost as u64);
        }
        if centre.is_none() {
            let start_ms = self.scheduled_estimate_ms(&call, &placement);
            if !self.meets_deadline(now, &call, start_ms) {
                return PlacementOutcome::TooLate(start_ms as u64);
            }
        }
        match self.reserve(now, vm, &call, &placement) {
            Some(incarnation) => PlacementOutcome::Granted(placement.into_grant(incarnation)),
            None => PlacementOutcome::NoTarget,
        }
    }

    /// Counts a granted placement as work of its target; returns the incarnation of the target.
    fn reserve(
        &mut self,
        now: Millis,
        vm: &str,
        call: &CallState,
        placement: &Placement,
    ) -> Option<u64> {
        let prompt = call.request.prompt.as_ref()?;
        let routing = self.routing.clone();
        let engine = routing.service(&call.service)?.engine.as_ref()?;
        let target = self.targets.find_mut(&placement.target)?;
        let reservation = Reservation {
            vm: vm.to_owned(),
            id: call.id.0,
            tokens: prompt.max_tokens(),
            until: call.deadline,
            priority: call.priority,
            size: placement.size,
            queue_empty: placement.queue_empty,
            expected_ms: placement.prefill_ms,
        };
        if placement.size.tokens > 0 {
            let expiry_ms = placement.prefill_ms * PREFILL_EXPIRY.0 + PREFILL_EXPIRY.1;
            let until = now.plus(expiry_ms as u64);
            target.queue.reserve(now, until, &reservation);
        }
        target.reservations.push(reservation);
        let shared = &prompt.parts[..prompt.parts.len().saturating_sub(1)];
        target.cache.insert(now, shared, engine.kv_tokens);
        let incarnation = target.spec.incarnation;
        if placement.size.tokens > 0 {
            let histogram = &mut self.estimates_mut(&call.service).histogram;
            histogram.record(placement.busy_ms);
        }
        Some(incarnation)
    }

    fn work_ended(&mut self, now: Millis, vm: &str, end: &WorkEnd) {
        let Some(target) = self.targets.find_mut(&end.target) else {
            return;
        };
        if let Some(load) = end.load {
            target.load = Some((now, load_of(load)));
        }
        let was_queued = target.queue.finish_reserved(now, vm, end.id);
        let is_reserved = |r: &Reservation| r.vm == vm && r.id == end.id;
        let Some(i) = target.reservations.iter().position(is_reserved) else {
            return;
        };
        let reservation = target.reservations[i].clone();
        if end.ended {
            target.reservations.remove(i);
        }
        let Some(took_ms) = end.prefill_ms.filter(|_| was_queued) else {
            return;
        };
        let (role, service) = (target.spec.role, target.spec.service.clone());
        let (took_ms, expected_ms) = (took_ms as f64, reservation.expected_ms);
        target.health.record_latency(took_ms, expected_ms);
        self.overrun
            .record(&service, reservation.priority, took_ms, expected_ms);
        if reservation.queue_empty {
            let model = &mut self.estimates_mut(&service).cost_model;
            model.record(role, reservation.size, took_ms);
        }
    }
}

impl Placement {
    /// Whether the placement is within `bound`.
    pub(super) fn meets(&self, bound: Bound) -> bool {
        match bound {
            Bound::Wait(ms) => self.prefill_ms - self.busy_ms <= ms as f64,
            Bound::Cost(ms) => self.cost < ms as f64,
            Bound::Open => true,
        }
    }

    fn into_grant(self, incarnation: u64) -> PlacementGrant {
        PlacementGrant {
            target: self.target,
            incarnation,
            prefill_only: self.prefill_only,
            size: self.size,
            fetch_from: self.fetch_from,
            busy_ms: self.busy_ms.ceil() as u64,
            prefill_ms: self.prefill_ms.ceil() as u64,
            start_ms: self.start_ms.ceil() as u64,
            queue_empty: self.queue_empty,
        }
    }
}

/// The call of another node as far as its placement needs it.
fn requested_call(now: Millis, request: PlacementRequest) -> CallState {
    let parts = request.parts.iter();
    let prompt = Prompt {
        model: request.model,
        tokens: request.tokens,
        max_output: request.max_output,
        parts: parts
            .map(|&(id, tokens)| PromptPart { id, tokens })
            .collect(),
    };
    CallState {
        id: RequestId(request.id),
        request: CallRequest {
            prompt: Some(prompt),
            ..CallRequest::default()
        },
        service: request.service,
        retry_policy: RetryPolicy::Stream {
            resumable: request.resumable,
        },
        priority: request.priority,
        account: None,
        hides_credential: false,
        is_counted: false,
        max_attempts: 1,
        deadline: now.plus(request.left_ms),
        client_timeout_ms: request.wait_ms,
        client_deadline: now.plus(request.wait_ms),
        runs: 0,
        dispatches: 0,
        arrivals: 0,
        unsent: 0,
        delegate: None,
        delegates: Vec::new(),
        excluded: Vec::new(),
        outcome_unknown: false,
        kept_response: false,
        prefilled: request.prefilled_in.is_some(),
        active: None,
        handle: None,
        delivered: Delivered::Nothing,
        software: None,
        placing: Placing::default(),
    }
}
