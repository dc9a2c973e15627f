//! A call's way from target to target.

use crate::{
    CacheInsert, Dispatch, DispatchMode, DispatchOutcome, Effect, Gate, KvHandle, Refusal,
    RefusalKind, SentPrefill, TargetLoad,
    call_state::{ActiveDispatch, CallState},
    placing::Placement,
    prefix_cache::chains,
};
use rw_types::{Millis, RequestId};

/// Most dispatches of one call, declined ones included.
const MOST_SENDS: u32 = 4;
/// Time after which a prompt is taken to hang: times the expected, and milliseconds beside it.
const STALL: (f64, f64) = (2.0, 500.0);
/// Part of a target's connections that the nodes use together.
const CONNECTION_SHARE: f64 = 0.8;
/// Fewest connections that one node may open to a target.
const LEAST_CONNECTIONS: u32 = 4;

impl Gate {
    pub(crate) fn send_first(&mut self, now: Millis, id: RequestId, effects: &mut Vec<Effect>) {
        let Some(i) = self.call_index(id) else {
            return;
        };
        let Some(choice) = self.placing(now).choose(&self.calls[i]) else {
            return self.refuse_wait(i, RefusalKind::NoTarget, 0.0, effects);
        };
        let begins = self.begins_in(&self.calls[i], &choice);
        match self.in_time(now, &self.calls[i], begins) {
            true => self.dispatch(now, i, choice, effects),
            false => self.refuse_wait(i, RefusalKind::TooLate, begins, effects),
        }
    }

    /// An answer began: its target is alive, and told its load.
    pub(crate) fn began(&mut self, now: Millis, id: RequestId, load: Option<TargetLoad>) {
        let Some(current) = self.current(id) else {
            return;
        };
        let (name, life) = (current.target.clone(), current.life);
        if let (Some(load), Some(target)) = (load, self.targets.find_incarnation(&name, life)) {
            target.load = Some((now, load));
        }
    }

    /// A prompt is filled: what waits behind it moves up, and its time tells of the speed.
    pub(crate) fn filled(&mut self, now: Millis, id: RequestId) {
        let Some(i) = self.call_index(id) else {
            return;
        };
        let service = self.calls[i].service.clone();
        let priority = self.calls[i].priority;
        let Some(current) = self.calls[i].current.clone() else {
            return;
        };
        let Some(target) = self.targets.find_incarnation(&current.target, current.life) else {
            return;
        };
        if !target.queue.finish(now, id) {
            return;
        }
        let role = target.spec.role;
        let took = now.since(current.sent) as f64;
        target.health.record_latency(took, current.expected);
        self.overrun
            .record(&service, priority, took, current.expected);
        if current.alone {
            self.learnt_mut(&service)
                .rate
                .record(role, current.fill, took);
        }
    }

    pub(crate) fn end_dispatch(
        &mut self,
        now: Millis,
        id: RequestId,
        end: DispatchOutcome,
        effects: &mut Vec<Effect>,
    ) {
        let Some(i) = self.call_index(id) else {
            return;
        };
        if matches!(end, DispatchOutcome::Prefilled(_)) {
            self.filled(now, id);
        }
        let Some(current) = self.calls[i].current.take() else {
            return;
        };
        self.release(now, id, &current);
        self.judge(now, i, &current, &end, effects);
        match end {
            DispatchOutcome::Complete { status } => self.end_whole(now, i, status, effects),
            DispatchOutcome::Delivered => self.finish(i, effects),
            DispatchOutcome::Prefilled(handle) => {
                self.end_prefill(now, i, handle, &current, effects)
            }
            DispatchOutcome::NotSent
            | DispatchOutcome::Rejected { .. }
            | DispatchOutcome::Stalled => {
                self.calls[i].tried.push(current.target.clone());
                self.again(now, i, effects);
            }
            DispatchOutcome::Broken { delivered, .. } => {
                self.end_broken(now, i, &current, delivered, effects);
            }
            DispatchOutcome::TimedOut { delivered } => {
                let kind = match delivered {
                    true => RefusalKind::Truncated,
                    false => RefusalKind::TimedOut,
                };
                self.refuse(i, self.refusal(kind, 0), effects);
            }
        }
    }

    /// The caller has gone; nothing more is done for it.
    pub(crate) fn drop_call(&mut self, now: Millis, id: RequestId, effects: &mut Vec<Effect>) {
        let Some(i) = self.call_index(id) else {
            return;
        };
        if let Some(current) = self.calls[i].current.take() {
            self.note_left(now, i, &current);
            self.release(now, id, &current);
        }
        self.finish(i, effects);
    }

    /// A caller left: what it waited for took longer than that.
    fn note_left(&mut self, now: Millis, i: usize, current: &ActiveDispatch) {
        let call = &self.calls[i];
        let waits = self.targets.find_incarnation(&current.target, current.life);
        let took = now.since(current.sent) as f64;
        if took > current.expected && waits.is_some_and(|t| t.queue.contains(call.id)) {
            self.overrun
                .record(&call.service, call.priority, took, current.expected);
        }
    }

    fn current(&self, id: RequestId) -> Option<&ActiveDispatch> {
        self.calls[self.call_index(id)?].current.as_ref()
    }

    fn dispatch(&mut self, now: Millis, i: usize, choice: Placement, effects: &mut Vec<Effect>) {
        let mode = if choice.prefill {
            DispatchMode::Prefill
        } else {
            DispatchMode::Run
        };
        self.dispatch_as(now, i, &choice, mode, effects);
    }

    fn dispatch_as(
        &mut self,
        now: Millis,
        i: usize,
        choice: &Placement,
        mode: DispatchMode,
        effects: &mut Vec<Effect>,
    ) {
        let max_connections = self.connections(&self.calls[i].service);
        let engine = self.routing.clone();
        let engine = engine.service(&self.calls[i].service);
        let memory = engine.and_then(|s| s.engine.as_ref()).map(|e| e.kv_tokens);
        let call = &mut self.calls[i];
        let Some(target) = self.targets.find_mut(&choice.target) else {
            return;
        };
        let mut counted = None;
        let prompt = call.ask.prompt.as_ref();
        let held = prompt.map_or(0, |p| u64::from(p.tokens + p.max_output));
        target.open_calls += 1;
        target.open_tokens += held;
        if let (Some(prompt), Some(memory)) = (prompt, memory) {
            if choice.fill.tokens > 0 && call.sends == 0 {
                let busy = choice.work;
                counted = Some((call.service.clone(), busy));
            }
            if choice.fill.tokens > 0 {
                target.queue.add(SentPrefill {
                    id: call.id,
                    sent_at: now,
                    priority: call.priority,
                    size: choice.fill,
                });
            }
            let shared = &prompt.parts[..prompt.parts.len().saturating_sub(1)];
            target.cache.insert(now, shared, memory);
            if !shared.is_empty() {
                let tokens = shared.iter().map(|p| p.tokens);
                self.reads.push(CacheInsert {
                    target: choice.target.clone(),
                    prefix_hashes: chains(shared).zip(tokens).collect(),
                });
            }
        }
        call.sends += 1;
        call.current = Some(ActiveDispatch {
            target: choice.target.clone(),
            life: target.spec.incarnation,
            mode: mode.clone(),
            sent: now,
            fill: choice.fill,
            held,
            alone: choice.alone,
            expected: choice.filled,
        });
        let stall_timeout_ms =
            (mode == DispatchMode::Prefill).then_some((choice.filled * STALL.0 + STALL.1) as u64);
        let dispatch = Dispatch {
            target: choice.target.clone(),
            incarnation: target.spec.incarnation,
            addr: target.spec.addr.clone(),
            mode,
            fetch_from: choice.fetch.clone(),
            left_ms: call.due.since(now),
            stall_timeout_ms,
            priority: call.priority,
            resume_after: call.resume,
            generation: call.ask.prompt.is_some(),
            stream: call.repeat.is_stream(),
            resumable: call.repeat.is_stream() && call.repeat.is_retryable(),
            max_connections,
            reason: choice.to_string(),
        };
        let id = call.id;
        effects.push(Effect::Dispatch { id, dispatch });
        if let Some((service, busy)) = counted {
            self.learnt_mut(&service).mix.record(busy);
        }
    }

    fn connections(&self, service: &str) -> u32 {
        let all = self
            .routing
            .service(service)
            .map_or(0, |s| s.max_connections);
        let mine = f64::from(all) * CONNECTION_SHARE / self.nodes.max(1) as f64;
        (mine as u32).max(LEAST_CONNECTIONS)
    }

    fn release(&mut self, now: Millis, id: RequestId, current: &ActiveDispatch) {
        if let Some(target) = self.targets.find_incarnation(&current.target, current.life) {
            target.open_calls = target.open_calls.saturating_sub(1);
            target.open_tokens = target.open_tokens.saturating_sub(current.held);
            target.queue.finish(now, id);
        }
    }

    /// What an end tells of its target, and of a call that ended it.
    fn judge(
        &mut self,
        now: Millis,
        i: usize,
        current: &ActiveDispatch,
        end: &DispatchOutcome,
        effects: &mut Vec<Effect>,
    ) {
        let fingerprint = self.calls[i].ask.fingerprint;
        let Some(target) = self.targets.find_incarnation(&current.target, current.life) else {
            return;
        };
        match end {
            DispatchOutcome::Complete { .. }
            | DispatchOutcome::Delivered
            | DispatchOutcome::Prefilled(_) => {
                target.health.record_outcome(now, false);
            }
            DispatchOutcome::Rejected { .. } => {}
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
                effects.push(Effect::PublishDigest);
            }
        }
    }

    fn end_whole(&mut self, now: Millis, i: usize, status: u16, effects: &mut Vec<Effect>) {
        let call = &mut self.calls[i];
        call.runs += 1;
        let id = call.id;
        // A failure of the target's own may not happen elsewhere; if nothing else can be tried,
        // it is the answer.
        let failed = status >= 500 && call.repeat.is_retryable() && call.runs < call.attempts;
        call.kept = failed;
        if failed && self.repeat(now, i, effects) {
            return;
        }
        effects.push(Effect::Deliver { id });
        self.finish(i, effects);
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
        let centre = self.targets.find(&current.target);
        let centre = centre.map_or_else(String::new, |t| t.spec.centre.clone());
        let choice = self.placing(now).choose_decode(&self.calls[i], &centre);
        match choice {
            Some(choice) => {
                self.calls[i].handle = Some(handle.clone());
                self.dispatch_as(now, i, &choice, DispatchMode::Decode(handle), effects);
            }
            None => {
                effects.push(Effect::ReleaseHandle(handle));
                self.refuse_wait(i, RefusalKind::NoTarget, 0.0, effects);
            }
        }
    }

    fn end_broken(
        &mut self,
        now: Millis,
        i: usize,
        current: &ActiveDispatch,
        delivered: Option<u64>,
        effects: &mut Vec<Effect>,
    ) {
        let call = &mut self.calls[i];
        call.tried.push(current.target.clone());
        // A prompt that is only filled is not a run.
        if current.mode != DispatchMode::Prefill {
            call.runs += 1;
            call.unknown = true;
        }
        if delivered.is_some() {
            call.resume = delivered;
            call.first_due = now.plus(call.patience);
        }
        let may = !call.unknown || (call.repeat.is_retryable() && call.runs < call.attempts);
        if may && self.repeat(now, i, effects) {
            return;
        }
        let kind = match delivered {
            Some(_) => RefusalKind::Truncated,
            None if self.calls[i].unknown => RefusalKind::ResponseLost,
            None => RefusalKind::NoTarget,
        };
        let retry = self.retry_ms(0.0);
        self.refuse(i, self.refusal(kind, retry), effects);
    }

    /// Sends a call that was not run to another target, or refuses it.
    fn again(&mut self, now: Millis, i: usize, effects: &mut Vec<Effect>) {
        if self.repeat(now, i, effects) {
            return;
        }
        let call = &self.calls[i];
        let kind = match (call.resume == call.ask.last_event, call.unknown) {
            (false, _) => RefusalKind::Truncated,
            (true, true) => RefusalKind::ResponseLost,
            (true, false) => RefusalKind::Overloaded,
        };
        self.refuse_wait(i, kind, 0.0, effects);
    }

    /// Sends a call once more if time, budget and targets allow; true if it went.
    fn repeat(&mut self, now: Millis, i: usize, effects: &mut Vec<Effect>) -> bool {
        let call = &self.calls[i];
        if call.sends >= MOST_SENDS + u32::from(call.prefilled) || call.left(now) == 0 {
            return false;
        }
        let Some(choice) = self.placing(now).choose(call) else {
            return false;
        };
        let begins = self.begins_in(call, &choice);
        if !self.in_time(now, call, begins) {
            return false;
        }
        let service = self.calls[i].service.clone();
        let s = &self.settings;
        let (rates, window) = ((s.retry_ratio, s.retry_slack), s.retry_window_ms);
        if !self.budget.allows(now, &service, rates, self.nodes, window) {
            return false;
        }
        self.budget.record_retry(now, &service);
        if let Some(handle) = self.calls[i].handle.take() {
            effects.push(Effect::ReleaseHandle(handle));
        }
        self.dispatch(now, i, choice, effects);
        true
    }

    fn refuse_wait(&mut self, i: usize, kind: RefusalKind, wait: f64, effects: &mut Vec<Effect>) {
        let retry_ms = self.retry_ms(wait);
        let refusal = Refusal {
            kind,
            retry_ms,
            estimate_ms: wait as u64,
        };
        self.refuse(i, refusal, effects);
    }

    fn refuse(&mut self, i: usize, refusal: Refusal, effects: &mut Vec<Effect>) {
        let id = self.calls[i].id;
        // It has run, and a target's own answer says more than a refusal.
        let deliver = self.calls[i].kept && refusal.kind != RefusalKind::Truncated;
        effects.push(match deliver {
            true => Effect::Deliver { id },
            false => Effect::Refuse { id, refusal },
        });
        self.finish(i, effects);
    }

    /// Forgets a call that has its final answer.
    fn finish(&mut self, i: usize, effects: &mut Vec<Effect>) {
        let call: CallState = self.calls.remove(i);
        // A handle that was taken is freed once more at no harm; one that wasn't holds memory.
        let untaken = call.handle.filter(|_| call.unknown);
        effects.extend(untaken.map(Effect::ReleaseHandle));
    }
}
