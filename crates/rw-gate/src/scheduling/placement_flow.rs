//! A node's side of placement by schedulers: it requests a place and falls back to its own estimate.

use super::{
    Bound, PlacementGrant, PlacementOutcome, PlacementReply, PlacementRequest, SchedulerMessage,
    SchedulerNode, WorkEnd, load_fields,
};
use crate::{
    Effect, Gate, KvHandle, Prompt, Refusal, RefusalKind, TargetLoad, account_usage::Decision,
    call_state::ActiveDispatch, placement::Placement, placer::Placer,
};
use rw_types::{Millis, RequestId};

/// Wait for queued prefills beyond which the second group of a prompt is asked, in milliseconds.
/// The other group must prefill the shared beginning again, which takes about as long.
const MAX_WAIT_MS: u64 = 40;

/// How far the placement of a call by a scheduler has come.
#[derive(Debug, Clone, Default)]
pub(crate) struct Placing {
    /// Number of requests so far.
    pub(crate) number: u32,
    /// Scheduler whose answer is awaited.
    pub(crate) asked: Option<String>,
    /// Group in which the call was or is to be placed.
    pub(crate) group: Option<u32>,
    /// Step among the groups of the prompt: the first, the second, the first again.
    step: u32,
    /// Handle of the prefilled prompt that waits for an engine which decodes it, with the data
    /// centre of the prefill.
    prefilled: Option<(KvHandle, String)>,
    /// Scheduler that granted the open dispatch.
    granted_by: Option<String>,
}

impl Placing {
    /// The open dispatch of the call is not one that a scheduler granted.
    pub(crate) fn leave(&mut self) {
        self.granted_by = None;
    }

    /// Handle of the prefilled prompt that no engine has got.
    pub(crate) fn into_handle(self) -> Option<KvHandle> {
        self.prefilled.map(|(handle, _)| handle)
    }
}

impl Gate {
    /// Replaces the nodes that can be schedulers.
    pub(crate) fn set_schedulers(&mut self, nodes: Vec<SchedulerNode>) {
        self.scheduling.schedulers.set(nodes);
    }

    pub(super) fn refresh_groups(&mut self, now: Millis) {
        let Self {
            scheduling,
            routing,
            targets,
            ..
        } = self;
        scheduling.groups.refresh(now, routing, targets.all());
    }

    /// A placer that considers the engines of `group` alone.
    pub(super) fn group_placer(&self, now: Millis, group: u32) -> Placer<'_> {
        Placer {
            scope: Some((&self.scheduling.groups, group)),
            ..self.placer(now)
        }
    }

    /// Starts the placement of a new call by a scheduler; false if the call is to be placed by this
    /// node's own estimate.
    pub(crate) fn place_by_scheduler(
        &mut self,
        now: Millis,
        i: usize,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let call = &self.calls[i];
        let is_new = call.software.is_none() && call.excluded.is_empty();
        let is_active = self.scheduling.schedulers.is_active(self.nodes);
        if !is_active || call.request.prompt.is_none() || !is_new {
            return false;
        }
        self.refresh_groups(now);
        self.request_place(now, i, Bound::Wait(MAX_WAIT_MS), effects)
    }

    /// Requests an engine that decodes a prompt from the scheduler of its group; gives the handle
    /// back if this node is to choose.
    pub(crate) fn place_decode(
        &mut self,
        now: Millis,
        i: usize,
        handle: KvHandle,
        centre: &str,
        effects: &mut Vec<Effect>,
    ) -> Option<KvHandle> {
        let call = &mut self.calls[i];
        if call.placing.granted_by.is_none() || !call.excluded.is_empty() {
            return Some(handle);
        }
        call.placing.prefilled = Some((handle, centre.to_owned()));
        if self.request_place(now, i, Bound::Open, effects) {
            return None;
        }
        let prefilled = self.calls[i].placing.prefilled.take();
        prefilled.map(|(handle, _)| handle)
    }

    /// A scheduler answered a request.
    pub(crate) fn placement_answered(
        &mut self,
        now: Millis,
        reply: PlacementReply,
        effects: &mut Vec<Effect>,
    ) {
        self.scheduling.schedulers.answered(&reply.vm);
        let id = RequestId(reply.id);
        let waits = |i: &usize| {
            let placing = &self.calls[*i].placing;
            placing.number == reply.number && placing.asked.as_deref() == Some(reply.vm.as_str())
        };
        let Some(i) = self.call_index(id).filter(waits) else {
            return self.return_place(&reply);
        };
        self.calls[i].placing.asked = None;
        match reply.outcome {
            PlacementOutcome::Granted(ref grant) => {
                if !self.take_grant(now, i, grant, &reply.vm, effects) {
                    self.return_place(&reply);
                    self.place_locally(now, i, effects);
                }
            }
            PlacementOutcome::Exceeds(cost) => self.ask_next_group(now, i, cost, effects),
            PlacementOutcome::TooLate(start_ms) => {
                self.refuse_by_queue(now, i, start_ms as f64, effects);
            }
            PlacementOutcome::NoTarget => self.place_locally(now, i, effects),
        }
    }

    /// The time for an answer to the request with this `number` is over.
    pub(crate) fn placement_expired(
        &mut self,
        now: Millis,
        id: RequestId,
        number: u32,
        effects: &mut Vec<Effect>,
    ) {
        let Some(i) = self.call_index(id) else {
            return;
        };
        let placing = &mut self.calls[i].placing;
        if placing.number != number {
            return;
        }
        if let Some(vm) = placing.asked.take() {
            self.scheduling.schedulers.timed_out(now, &vm);
            self.place_locally(now, i, effects);
        }
    }

    /// Reports that the prompt of a call is prefilled, or that its dispatch has ended, to the
    /// scheduler that placed it.
    pub(crate) fn report_end(
        &mut self,
        now: Millis,
        id: RequestId,
        current: &ActiveDispatch,
        is_prefill: bool,
    ) {
        let Some(i) = self.call_index(id) else {
            return;
        };
        let granted_by = self.calls[i].placing.granted_by.clone();
        let Some(vm) = granted_by.filter(|vm| *vm != self.settings.vm) else {
            return;
        };
        let load = self.targets.find(&current.target).and_then(|t| t.load);
        let load = load.filter(|(at, _)| *at >= current.sent_at);
        let end = WorkEnd {
            id: id.0,
            target: current.target.clone(),
            prefill_ms: is_prefill.then(|| now.since(current.sent_at)),
            ended: !is_prefill,
            load: load.map(|(_, load): (Millis, TargetLoad)| load_fields(load)),
        };
        self.scheduling.push_end(&vm, end);
    }

    /// Adds the reports of ended work that no request carries to `effects`.
    pub(crate) fn flush_ends(&mut self, effects: &mut Vec<Effect>) {
        while let Some((vm, _)) = self.scheduling.ends.first() {
            let vm = vm.clone();
            let message = SchedulerMessage {
                vm: self.settings.vm.clone(),
                ends: self.scheduling.take_ends(&vm),
                request: None,
            };
            effects.push(Effect::ReportEnds { vm, message });
        }
    }

    fn request_place(
        &mut self,
        now: Millis,
        i: usize,
        bound: Bound,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let Some(group) = self.next_group(i) else {
            return false;
        };
        let service = &self.calls[i].service;
        let scheduler = self.scheduling.schedulers.scheduler(now, service, group);
        let Some(vm) = scheduler.map(str::to_owned) else {
            return false;
        };
        self.calls[i].placing.group = Some(group);
        if vm == self.settings.vm {
            return self.place_in_own_group(now, i, group, bound, effects);
        }
        let placing = &mut self.calls[i].placing;
        placing.number += 1;
        placing.asked = Some(vm.clone());
        let (id, number) = (self.calls[i].id, self.calls[i].placing.number);
        let Some(request) = self.placement_request(now, i, group, bound) else {
            return false;
        };
        let message = SchedulerMessage {
            vm: self.settings.vm.clone(),
            ends: self.scheduling.take_ends(&vm),
            request: Some(request),
        };
        effects.push(Effect::RequestPlacement {
            id,
            number,
            vm,
            message,
        });
        true
    }

    /// Group to ask now.
    fn next_group(&self, i: usize) -> Option<u32> {
        let call = &self.calls[i];
        if call.placing.prefilled.is_some() {
            return call.placing.group;
        }
        let count = self.scheduling.groups.count(&call.service);
        let prompt = call.request.prompt.as_ref()?;
        let key = prefix_key(prompt, call.request.fingerprint);
        let score = |group: &u32| rw_core::mix(key, u64::from(*group));
        let first = (0..count).max_by_key(score)?;
        let second = (0..count).filter(|g| *g != first).max_by_key(score);
        match call.placing.step {
            1 => second.or(Some(first)),
            _ => Some(first),
        }
    }

    fn placement_request(
        &self,
        now: Millis,
        i: usize,
        group: u32,
        bound: Bound,
    ) -> Option<PlacementRequest> {
        let call = &self.calls[i];
        let prompt = call.request.prompt.as_ref()?;
        let prefilled = call.placing.prefilled.as_ref();
        let parts = match prefilled {
            Some(_) => &[][..],
            None => &prompt.parts,
        };
        Some(PlacementRequest {
            id: call.id.0,
            number: call.placing.number,
            service: call.service.clone(),
            group,
            model: prompt.model.clone(),
            tokens: prompt.tokens,
            max_output: prompt.max_output,
            parts: parts.iter().map(|p| (p.id, p.tokens)).collect(),
            priority: call.priority,
            resumable: call.retry_policy.is_resumable(),
            wait_ms: call.client_deadline.since(now),
            left_ms: call.left_ms(now),
            prefilled_in: prefilled.map(|(_, centre)| centre.clone()),
            bound,
        })
    }

    /// Places a call in a group that this node schedules itself.
    fn place_in_own_group(
        &mut self,
        now: Millis,
        i: usize,
        group: u32,
        bound: Bound,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let placer = self.group_placer(now, group);
        let call = &self.calls[i];
        let placement = match &call.placing.prefilled {
            Some((_, centre)) => placer.choose_decode(call, centre),
            None => placer.choose(call),
        };
        let Some(placement) = placement else {
            return false;
        };
        if !placement.meets(bound) {
            self.ask_next_group(now, i, placement.cost as u64, effects);
            return true;
        }
        if self.calls[i].placing.prefilled.is_none() {
            let start_ms = self.scheduled_estimate_ms(&self.calls[i], &placement);
            if !self.meets_deadline(now, &self.calls[i], start_ms) {
                self.refuse_by_queue(now, i, start_ms, effects);
                return true;
            }
        }
        let own = self.settings.vm.clone();
        self.dispatch_granted(now, i, placement, own, effects);
        true
    }

    /// Asks the second group of the prompt or, if its cost is no lower than `cost`, the first again.
    fn ask_next_group(&mut self, now: Millis, i: usize, cost: u64, effects: &mut Vec<Effect>) {
        let call = &mut self.calls[i];
        call.placing.step += 1;
        let is_only = self.scheduling.groups.count(&call.service) < 2;
        if is_only {
            call.placing.step = 2;
        }
        let bound = match call.placing.step {
            1 => Bound::Cost(cost),
            _ => Bound::Open,
        };
        if !self.request_place(now, i, bound, effects) {
            self.place_locally(now, i, effects);
        }
    }

    fn take_grant(
        &mut self,
        now: Millis,
        i: usize,
        grant: &PlacementGrant,
        vm: &str,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let found = self
            .targets
            .find_incarnation(&grant.target, grant.incarnation);
        if !found.is_some_and(|t| t.is_available(now)) {
            return false;
        }
        let prompt = self.calls[i].request.prompt.as_ref();
        let placement = Placement {
            target: grant.target.clone(),
            prefill_only: grant.prefill_only,
            size: grant.size,
            fetch_from: grant.fetch_from.clone(),
            busy_ms: grant.busy_ms as f64,
            prefill_ms: grant.prefill_ms as f64,
            // The scheduler does not tell the parts of its estimate.
            model_ms: grant.prefill_ms as f64,
            overhead_ms: 0.0,
            start_ms: grant.start_ms as f64,
            queue_empty: grant.queue_empty,
            prompt_tokens: prompt.map_or(0, |p| p.tokens),
            cost: 0.0,
        };
        self.dispatch_granted(now, i, placement, vm.to_owned(), effects);
        true
    }

    fn dispatch_granted(
        &mut self,
        now: Millis,
        i: usize,
        placement: Placement,
        vm: String,
        effects: &mut Vec<Effect>,
    ) {
        if let Some((handle, _)) = self.calls[i].placing.prefilled.take() {
            self.calls[i].placing.granted_by = Some(vm);
            return self.dispatch_decode(now, i, &placement, handle, effects);
        }
        self.record_demand(now, i, Some(&placement));
        let start_ms = placement.start_ms;
        let decision = self.decide(now, i, start_ms, placement.busy_ms);
        if matches!(decision, Decision::OverShare) {
            self.release_place(&vm, self.calls[i].id.0, placement.target);
            return self.refuse_with_estimate(i, RefusalKind::Overloaded, start_ms, effects);
        }
        self.calls[i].placing.granted_by = Some(vm);
        self.dispatch(now, i, placement, effects);
    }

    /// Places a call that waited for a scheduler by this node's own estimate.
    fn place_locally(&mut self, now: Millis, i: usize, effects: &mut Vec<Effect>) {
        let placing = &mut self.calls[i].placing;
        placing.granted_by = None;
        match placing.prefilled.take() {
            Some((handle, centre)) => self.choose_decode(now, i, handle, &centre, effects),
            None => self.choose_first(now, i, effects),
        }
    }

    /// Refuses a call whose response would start in `start_ms` milliseconds, with the time in which the
    /// queue drains enough for it.
    fn refuse_by_queue(&mut self, now: Millis, i: usize, start_ms: f64, effects: &mut Vec<Effect>) {
        if !self.calls[i].prefilled {
            self.record_demand(now, i, None);
            // Counted for the shares of the client accounts; the scheduler has refused the call.
            let _refused = self.decide(now, i, start_ms, 0.0);
        }
        let allowed_ms = self.allowed_start_ms(now, &self.calls[i]);
        let retry_ms = self.drain_retry_ms(start_ms - allowed_ms);
        let refusal = Refusal {
            kind: RefusalKind::TooLate,
            retry_ms,
            estimate_ms: start_ms as u64,
        };
        self.refuse(i, refusal, effects);
    }

    /// Tells a scheduler that a place which it granted is not used.
    fn return_place(&mut self, reply: &PlacementReply) {
        if let PlacementOutcome::Granted(grant) = &reply.outcome {
            self.release_place(&reply.vm, reply.id, grant.target.clone());
        }
    }

    fn release_place(&mut self, vm: &str, id: u64, target: String) {
        if vm == self.settings.vm {
            return;
        }
        let end = WorkEnd {
            id,
            target,
            prefill_ms: None,
            ended: true,
            load: None,
        };
        self.scheduling.push_end(vm, end);
    }
}

/// Hash of the shared beginning of a prompt, or `fallback` if it has none.
fn prefix_key(prompt: &Prompt, fallback: u64) -> u64 {
    let shared = &prompt.parts[..prompt.parts.len().saturating_sub(1)];
    match shared.is_empty() {
        true => rw_core::mix(1, fallback),
        false => shared
            .iter()
            .fold(0, |key, part| rw_core::mix(key, part.id)),
    }
}
