//! Dispatches of a call and their outcomes.

use crate::{
    CacheInsert, Delivered, Dispatch, DispatchMode, DispatchOutcome, Effect, Gate, KvHandle,
    Prompt, RefusalKind, SentPrefill, TargetLoad, account_usage::Decision,
    call_state::ActiveDispatch, placement::Placement, prefix_cache::prefix_hashes,
    refusal_status::is_refusal_status,
};
use rw_types::{Millis, RequestId};

/// Stall timeout of a prefill: factor on the expected time, and milliseconds added to it.
const STALL_TIMEOUT: (f64, f64) = (2.0, 500.0);
/// Fraction of a target's connections that all nodes together use.
const CONNECTION_FRACTION: f64 = 0.8;
/// Minimum number of connections that one node may open to a target.
const MIN_CONNECTIONS: u32 = 4;

impl Gate {
    pub(crate) fn dispatch_first(&mut self, now: Millis, id: RequestId, effects: &mut Vec<Effect>) {
        let Some(i) = self.call_index(id) else {
            return;
        };
        if self.reachability.is_unreachable(&self.calls[i].service) {
            return self.delegate_or_refuse(now, i, effects);
        }
        if !self.place_by_scheduler(now, i, effects) {
            self.choose_first(now, i, effects);
        }
    }

    /// Places a new call by this node's own estimate.
    pub(crate) fn choose_first(&mut self, now: Millis, i: usize, effects: &mut Vec<Effect>) {
        let placement = self.placer(now).choose(&self.calls[i]);
        self.record_demand(now, i, placement.as_ref());
        let Some(placement) = placement else {
            return self.refuse_without_target(now, i, RefusalKind::NoTarget, effects);
        };
        let start_ms = self.start_estimate_ms(&self.calls[i], &placement);
        match self.decide(now, i, start_ms, placement.busy_ms) {
            Decision::Sent => self.dispatch(now, i, placement, effects),
            Decision::Late => self.refuse_with_estimate(i, RefusalKind::TooLate, start_ms, effects),
            Decision::OverShare => {
                self.refuse_with_estimate(i, RefusalKind::Overloaded, start_ms, effects)
            }
        }
    }

    /// A target started to respond: records the load that it reported.
    pub(crate) fn response_started(
        &mut self,
        now: Millis,
        id: RequestId,
        load: Option<TargetLoad>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(call) = self.call_index(id).map(|i| &self.calls[i]) else {
            return;
        };
        let Some(current) = &call.active else {
            return;
        };
        let (name, incarnation) = (current.target.clone(), current.incarnation);
        let (service, sent_at) = (call.service.clone(), current.sent_at);
        self.target_responded(now, &service, sent_at, effects);
        self.pace_reported |= load.is_some_and(|l| l.pace.is_some());
        let learns_speeds = self.learns_speeds();
        if let (Some(load), Some(target)) =
            (load, self.targets.find_incarnation(&name, incarnation))
        {
            target.load = Some((now, load));
            if learns_speeds {
                target.speed.record_load(now, &load);
            }
        }
    }

    /// The first event of a stream arrived: its prompt is prefilled, and the decode engine has taken
    /// the KV cache that its handle names.
    pub(crate) fn first_event(&mut self, now: Millis, id: RequestId) {
        if let Some(i) = self.call_index(id) {
            self.calls[i].handle = None;
            if let Some(current) = &mut self.calls[i].active {
                current.began_at.get_or_insert(now);
                self.count_run(now, i);
            }
        }
        self.prefill_finished(now, id);
    }

    /// A prompt is prefilled: removes it from the queue of the target and updates the speed
    /// estimates with its time.
    pub(crate) fn prefill_finished(&mut self, now: Millis, id: RequestId) {
        let Some(i) = self.call_index(id) else {
            return;
        };
        let service = self.calls[i].service.clone();
        let priority = self.calls[i].priority;
        let Some(current) = self.calls[i].active.clone() else {
            return;
        };
        let Some(target) = self
            .targets
            .find_incarnation(&current.target, current.incarnation)
        else {
            return;
        };
        if !target.queue.finish(now, id) {
            return;
        }
        let role = target.spec.role;
        let took_ms = now.since(current.sent_at) as f64;
        target.health.record_latency(took_ms, current.expected_ms);
        self.overrun
            .record(&service, priority, took_ms, current.expected_ms);
        self.report_end(now, id, &current, true);
        if current.queue_empty {
            let model_ms = took_ms - self.excess_ms(&service, &current, took_ms);
            self.estimates_mut(&service)
                .cost_model
                .record(role, current.size, model_ms);
        }
        self.record_prefill_speed(now, &service, &current, false);
    }

    pub(crate) fn end_dispatch(
        &mut self,
        now: Millis,
        id: RequestId,
        outcome: DispatchOutcome,
        effects: &mut Vec<Effect>,
    ) {
        let Some(i) = self.call_index(id) else {
            return;
        };
        if matches!(outcome, DispatchOutcome::Prefilled(_)) {
            self.prefill_finished(now, id);
        }
        let Some(current) = self.calls[i].active.take() else {
            return;
        };
        self.release(now, id, &current);
        self.charge_slot(now, i, &current);
        self.record_run(now, i, &current, &outcome);
        self.record_target_outcome(now, i, &current, &outcome, effects);
        self.record_speed(now, i, &current, &outcome);
        let is_sent = !matches!(
            outcome,
            DispatchOutcome::NotSent | DispatchOutcome::Withheld
        );
        self.calls[i].arrivals += u32::from(is_sent);
        self.count_plain_run(now, i, &outcome);
        match outcome {
            DispatchOutcome::Complete { status } => self.end_complete(now, i, status, effects),
            DispatchOutcome::Delivered => {
                self.calls[i].handle = None;
                self.finish(i, effects);
            }
            DispatchOutcome::Prefilled(handle) => {
                self.end_prefill(now, i, handle, &current, effects)
            }
            DispatchOutcome::NotSent => {
                self.calls[i].unsent += 1;
                self.calls[i].excluded.push(current.target.clone());
                let service = self.calls[i].service.clone();
                self.connect_failed(now, &service, &current.target, effects);
                self.retry_or_refuse(now, i, effects);
            }
            DispatchOutcome::Withheld
            | DispatchOutcome::Rejected { .. }
            | DispatchOutcome::Stalled => {
                self.calls[i].excluded.push(current.target.clone());
                self.retry_or_refuse(now, i, effects);
            }
            DispatchOutcome::Broken { delivered, .. } => {
                self.end_broken(now, i, &current, delivered, effects);
            }
            DispatchOutcome::TimedOut { delivered } => self.refuse_late(i, delivered, effects),
        }
    }

    /// The caller disconnected: ends the call without a response.
    pub(crate) fn cancel_call(&mut self, now: Millis, id: RequestId, effects: &mut Vec<Effect>) {
        let Some(i) = self.call_index(id) else {
            return;
        };
        if let Some(current) = self.calls[i].active.take() {
            self.record_abandoned(now, i, &current);
            self.release(now, id, &current);
            self.charge_slot(now, i, &current);
        }
        self.finish(i, effects);
    }

    /// Records a prefill that had not finished when the caller disconnected. It takes at least the
    /// time until now, which is recorded if it exceeds the expected time.
    fn record_abandoned(&mut self, now: Millis, i: usize, current: &ActiveDispatch) {
        let call = &self.calls[i];
        let target = self
            .targets
            .find_incarnation(&current.target, current.incarnation);
        let took_ms = now.since(current.sent_at) as f64;
        if took_ms > current.expected_ms && target.is_some_and(|t| t.queue.contains(call.id)) {
            self.overrun
                .record(&call.service, call.priority, took_ms, current.expected_ms);
            let service = call.service.clone();
            self.record_prefill_speed(now, &service, current, true);
        }
    }

    pub(crate) fn active_dispatch(&self, id: RequestId) -> Option<&ActiveDispatch> {
        self.calls[self.call_index(id)?].active.as_ref()
    }

    pub(crate) fn dispatch(
        &mut self,
        now: Millis,
        i: usize,
        placement: Placement,
        effects: &mut Vec<Effect>,
    ) {
        let mode = if placement.prefill_only {
            DispatchMode::Prefill
        } else {
            DispatchMode::Run
        };
        self.dispatch_as(now, i, &placement, mode, effects);
    }

    fn dispatch_as(
        &mut self,
        now: Millis,
        i: usize,
        placement: &Placement,
        mode: DispatchMode,
        effects: &mut Vec<Effect>,
    ) {
        let max_connections = self.connection_limit(&self.calls[i].service);
        let engine = self.routing.clone();
        let engine = engine.service(&self.calls[i].service);
        let kv_tokens = engine.and_then(|s| s.engine.as_ref()).map(|e| e.kv_tokens);
        let call = &mut self.calls[i];
        let Some(target) = self.targets.find_mut(&placement.target) else {
            return;
        };
        let mut first_prefill = None;
        let prompt = call.request.prompt.as_ref();
        let held_tokens = prompt.map_or(0, Prompt::max_tokens);
        let running = target.running_calls();
        target.open_calls += 1;
        target.open_tokens += held_tokens;
        if let (Some(prompt), Some(kv_tokens)) = (prompt, kv_tokens) {
            if placement.size.tokens > 0 && call.dispatches == 0 {
                let busy_ms = placement.busy_ms;
                first_prefill = Some((call.service.clone(), busy_ms));
            }
            if placement.size.tokens > 0 {
                target.queue.add(SentPrefill {
                    id: call.id,
                    sent_at: now,
                    priority: call.priority,
                    size: placement.size,
                });
            }
            let shared = &prompt.parts[..prompt.parts.len().saturating_sub(1)];
            target.cache.insert(now, shared, kv_tokens);
            if !shared.is_empty() {
                let tokens = shared.iter().map(|p| p.tokens);
                self.publication.push_insert(CacheInsert {
                    target: placement.target.clone(),
                    prefix_hashes: prefix_hashes(shared).zip(tokens).collect(),
                });
            }
        }
        let incarnation = target.spec.incarnation;
        let addr = target.spec.addr.clone();
        let software = target.spec.software.clone();
        let software_id = target.software_id();
        self.targets.record_request(now, &placement.target);
        call.dispatches += 1;
        call.active = Some(ActiveDispatch {
            target: placement.target.clone(),
            incarnation,
            mode: mode.clone(),
            software: software_id,
            sent_at: now,
            began_at: None,
            size: placement.size,
            held_tokens,
            queue_empty: placement.queue_empty,
            expected_ms: placement.prefill_ms,
            model_ms: placement.model_ms,
            overhead_ms: placement.overhead_ms,
            running,
        });
        let stall_timeout_ms = (mode == DispatchMode::Prefill)
            .then_some((placement.prefill_ms * STALL_TIMEOUT.0 + STALL_TIMEOUT.1) as u64);
        let dispatch = Dispatch {
            target: placement.target.clone(),
            incarnation,
            addr,
            software,
            mode,
            fetch_from: placement.fetch_from.clone(),
            left_ms: call.deadline.since(now),
            stall_timeout_ms,
            priority: call.priority,
            account: call.account.clone(),
            hides_credential: call.hides_credential || self.routing.has_accounts,
            resume_after: call.resume_after(),
            generation: call.request.prompt.is_some(),
            stream: call.retry_policy.is_stream(),
            resumable: call.retry_policy.is_stream() && call.retry_policy.is_retryable(),
            max_connections,
            reason: placement.to_string(),
        };
        let id = call.id;
        effects.push(Effect::Dispatch { id, dispatch });
        self.charge_account(now, i, placement.busy_ms);
        if let Some((service, busy_ms)) = first_prefill {
            self.estimates_mut(&service).histogram.record(busy_ms);
        }
    }

    fn connection_limit(&self, service: &str) -> u32 {
        let all = self
            .routing
            .service(service)
            .map_or(0, |s| s.max_connections);
        let local = f64::from(all) * CONNECTION_FRACTION / self.nodes.max(1) as f64;
        (local as u32).max(MIN_CONNECTIONS)
    }

    pub(crate) fn release(&mut self, now: Millis, id: RequestId, current: &ActiveDispatch) {
        self.report_end(now, id, current, false);
        if let Some(target) = self
            .targets
            .find_incarnation(&current.target, current.incarnation)
        {
            target.open_calls = target.open_calls.saturating_sub(1);
            target.open_tokens = target.open_tokens.saturating_sub(current.held_tokens);
            target.queue.finish(now, id);
        }
    }

    /// Updates the health of the target and records a request that crashed it.
    fn record_target_outcome(
        &mut self,
        now: Millis,
        i: usize,
        current: &ActiveDispatch,
        outcome: &DispatchOutcome,
        effects: &mut Vec<Effect>,
    ) {
        let request = &self.calls[i].request;
        let fingerprint = request.fingerprint;
        let parts = request.prompt.as_ref().map_or(&[][..], |p| &p.parts);
        let Some(target) = self
            .targets
            .find_incarnation(&current.target, current.incarnation)
        else {
            return;
        };
        match outcome {
            DispatchOutcome::Complete { status } => {
                target.health.record_outcome(now, false);
                target.doubt.call_completed(current.sent_at);
                if (200..300).contains(status) {
                    self.part_suspects.record_completion(now, parts);
                }
            }
            DispatchOutcome::Delivered => {
                target.health.record_outcome(now, false);
                target.doubt.call_completed(current.sent_at);
                self.part_suspects.record_completion(now, parts);
            }
            DispatchOutcome::Prefilled(_) => target.health.record_outcome(now, false),
            DispatchOutcome::Withheld | DispatchOutcome::Rejected { .. } => {}
            DispatchOutcome::NotSent | DispatchOutcome::Broken { crashed: false, .. } => {
                target.health.record_outcome(now, true)
            }
            DispatchOutcome::TimedOut { .. } | DispatchOutcome::Stalled => {
                target.health.record_outcome(now, true)
            }
            DispatchOutcome::Broken { crashed: true, .. } => {
                target.health.mark_down(now);
                self.suspects
                    .record_crash(now, fingerprint, &current.target);
                self.suspects.prune(now, self.settings.poison_ms);
                self.publication.note_crash(fingerprint);
                // A prefill generates nothing, so it is not the cause.
                if current.mode != DispatchMode::Prefill {
                    self.part_suspects.record_crash(
                        now,
                        parts,
                        &current.target,
                        current.incarnation,
                    );
                }
                effects.push(Effect::PublishDigest);
            }
        }
    }

    fn end_complete(&mut self, now: Millis, i: usize, status: u16, effects: &mut Vec<Effect>) {
        let call = &mut self.calls[i];
        call.runs += 1;
        call.handle = None;
        if is_refusal_status(status) && !call.retry_policy.is_retryable() {
            // The target doesn't say that it has not run the call.
            call.outcome_unknown = true;
            let retry_ms = self.retry_ms(0.0);
            let refusal = self.refusal(RefusalKind::ResponseLost, retry_ms);
            return self.refuse(i, refusal, effects);
        }
        // The call may succeed when it is retried; unlike after a broken connection, the same
        // target may be chosen again. If the call can't be retried, this response is delivered.
        let failed =
            status >= 500 && call.retry_policy.is_retryable() && call.runs < call.max_attempts;
        call.kept_response = failed;
        if failed && self.retry(now, i, effects) {
            return;
        }
        self.deliver(i, effects);
    }

    fn end_prefill(
        &mut self,
        now: Millis,
        i: usize,
        handle: KvHandle,
        current: &ActiveDispatch,
        effects: &mut Vec<Effect>,
    ) {
        self.calls[i].prefilled = true;
        if let Some(left_ms) = self.poisoned_ms(now, &self.calls[i].request) {
            effects.push(Effect::ReleaseHandle(handle));
            return self.refuse_poisoned(i, left_ms, effects);
        }
        let centre = self.targets.find(&current.target);
        let centre = centre.map_or_else(String::new, |t| t.spec.centre.clone());
        if let Some(handle) = self.place_decode(now, i, handle, &centre, effects) {
            self.choose_decode(now, i, handle, &centre, effects);
        }
    }

    /// Sends a prefilled prompt to an engine that decodes it, by this node's own estimate.
    pub(crate) fn choose_decode(
        &mut self,
        now: Millis,
        i: usize,
        handle: KvHandle,
        centre: &str,
        effects: &mut Vec<Effect>,
    ) {
        let placement = self.placer(now).choose_decode(&self.calls[i], centre);
        match placement {
            Some(placement) => self.dispatch_decode(now, i, &placement, handle, effects),
            None => {
                effects.push(Effect::ReleaseHandle(handle));
                self.refuse_without_target(now, i, RefusalKind::NoTarget, effects);
            }
        }
    }

    pub(crate) fn dispatch_decode(
        &mut self,
        now: Millis,
        i: usize,
        placement: &Placement,
        handle: KvHandle,
        effects: &mut Vec<Effect>,
    ) {
        self.calls[i].handle = Some(handle.clone());
        self.dispatch_as(now, i, placement, DispatchMode::Decode(handle), effects);
    }

    fn end_broken(
        &mut self,
        now: Millis,
        i: usize,
        current: &ActiveDispatch,
        delivered: Delivered,
        effects: &mut Vec<Effect>,
    ) {
        let call = &mut self.calls[i];
        call.excluded.push(current.target.clone());
        // A prefill does not count as a run.
        if current.mode != DispatchMode::Prefill {
            call.runs += 1;
            call.outcome_unknown = true;
        }
        self.retry_broken(now, i, delivered, effects);
    }

    /// Retries a call whose response broke off when the caller had got `delivered`, or refuses it.
    pub(crate) fn retry_broken(
        &mut self,
        now: Millis,
        i: usize,
        delivered: Delivered,
        effects: &mut Vec<Effect>,
    ) {
        let call = &mut self.calls[i];
        call.delivered = delivered;
        if delivered != Delivered::Nothing {
            call.client_deadline = now.plus(call.client_timeout_ms);
        }
        let may_run = !call.outcome_unknown
            || (call.retry_policy.is_retryable() && call.runs < call.max_attempts);
        let can_go_on = delivered != Delivered::Part;
        if may_run && can_go_on && self.retry_anywhere(now, i, effects) {
            return;
        }
        let kind = self.failure_kind(i, RefusalKind::NoTarget);
        let retry = self.retry_ms(0.0);
        self.refuse(i, self.refusal(kind, retry), effects);
    }
}
