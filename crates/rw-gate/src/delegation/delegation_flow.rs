//! Calls that are passed to other nodes, and the probes that tell when that is needed.

use super::{DelegatedCall, Delegation, DelegationOutcome, ProbeTarget, reachability::SILENCE_MS};
use crate::{Effect, Gate, Refusal, RefusalKind, SoftwareId, Target, TargetIncarnation};
use rw_types::{Millis, RequestId};

/// Maximum number of nodes that one call is passed to.
const MAX_DELEGATIONS: usize = 2;
/// Number of failed connections of one call after which it is passed to another node rather than
/// sent to a further target.
const MAX_UNSENT: u32 = 2;
/// Number of witnesses that follow a target by name.
const NEXT_WITNESSES: usize = 2;

impl Gate {
    /// Passes a call to another node, unless it was itself passed to this one; returns whether a node
    /// was found.
    pub(crate) fn delegate(&mut self, now: Millis, i: usize, effects: &mut Vec<Effect>) -> bool {
        let call = &self.calls[i];
        let is_over = call.delegates.len() >= MAX_DELEGATIONS || call.left_ms(now) == 0;
        if call.request.delegated.is_some() || is_over {
            return false;
        }
        if self.poisoned_ms(now, &call.request).is_some() {
            return false;
        }
        let chosen = self.delegates.choose(
            now,
            &call.service,
            &self.settings.centre,
            &call.delegates,
            &mut self.rng,
        );
        let Some(vm) = chosen else {
            return false;
        };
        let is_counted = call.arrivals > 0;
        if is_counted && !self.take_retry(now, i) {
            return false;
        }
        if !is_counted && self.calls[i].delegates.is_empty() {
            // The delegate counts it, and its retries draw on the delegate's part of the budget.
            self.budget.withdraw_call(&self.calls[i].service);
        }
        let call = &mut self.calls[i];
        effects.extend(call.handle.take().map(Effect::ReleaseHandle));
        call.delegates.push(vm.clone());
        call.delegate = Some(vm.clone());
        self.delegates.begun(&vm);
        let delegation = Delegation {
            vm,
            call: DelegatedCall {
                service: call.service.clone(),
                left_ms: call.left_ms(now),
                version: self.routing.version,
                is_counted,
                runs: call.runs,
                software: call.software,
                resume_after: call.resume_after(),
            },
            stream: call.retry_policy.is_stream(),
            resumable: call.retry_policy.is_resumable(),
        };
        let id = call.id;
        effects.push(Effect::Delegate { id, delegation });
        true
    }

    /// Passes on a call whose service this node doesn't reach, or refuses it at once.
    pub(crate) fn delegate_or_refuse(&mut self, now: Millis, i: usize, effects: &mut Vec<Effect>) {
        if self.delegate(now, i, effects) {
            return;
        }
        let kind = self.failure_kind(i, RefusalKind::Unreachable);
        let retry_ms = self.retry_ms(0.0);
        self.refuse(i, self.refusal(kind, retry_ms), effects);
    }

    /// Whether a call whose dispatch failed goes to another node rather than to a further target.
    pub(crate) fn prefers_delegate(&self, i: usize) -> bool {
        let call = &self.calls[i];
        call.unsent >= MAX_UNSENT || self.reachability.is_unreachable(&call.service)
    }

    /// Whether targets with the version of a call are in doubt here although this node's own links may be
    /// the cause, so that another node may know better.
    pub(crate) fn may_doubt_wrongly(&self, i: usize) -> bool {
        let call = &self.calls[i];
        self.targets.all().iter().any(|t| {
            let is_meant = t.spec.service == call.service && t.doubt.is_unwitnessed();
            is_meant && call.software == Some(SoftwareId::of_target(&t.spec))
        })
    }

    pub(crate) fn end_delegation(
        &mut self,
        now: Millis,
        id: RequestId,
        outcome: DelegationOutcome,
        effects: &mut Vec<Effect>,
    ) {
        let Some(i) = self.call_index(id) else {
            return;
        };
        let Some(vm) = self.calls[i].delegate.take() else {
            return;
        };
        self.delegates.ended(&vm);
        match outcome {
            DelegationOutcome::Complete => self.deliver(i, effects),
            DelegationOutcome::Delivered => self.finish(i, effects),
            DelegationOutcome::NotSent => {
                self.delegates.failed(now, &vm);
                self.delegate_or_refuse(now, i, effects);
            }
            DelegationOutcome::Refused(refusal) => {
                self.delegation_refused(now, i, &vm, refusal, effects);
            }
            DelegationOutcome::Broken { delivered } => {
                self.delegates.failed(now, &vm);
                self.calls[i].arrivals += 1;
                self.calls[i].runs += 1;
                self.calls[i].outcome_unknown = true;
                self.retry_broken(now, i, delivered, effects);
            }
            DelegationOutcome::TimedOut { delivered } => self.refuse_late(i, delivered, effects),
        }
    }

    /// A delegate refused a call. Another one is tried if the reason concerns that node alone.
    fn delegation_refused(
        &mut self,
        now: Millis,
        i: usize,
        vm: &str,
        refusal: Refusal,
        effects: &mut Vec<Effect>,
    ) {
        match refusal.kind {
            RefusalKind::NotReady
            | RefusalKind::StaleConfig
            | RefusalKind::NoRoute
            | RefusalKind::ShuttingDown
            | RefusalKind::Unreachable
            | RefusalKind::NoCapacity => {
                self.delegates.failed(now, vm);
                self.delegate_or_refuse(now, i, effects);
            }
            RefusalKind::NoTarget
            | RefusalKind::TooLate
            | RefusalKind::Overloaded
            | RefusalKind::Poison
            | RefusalKind::UnknownKey
            | RefusalKind::UnknownOrigin => {
                let kind = self.failure_kind(i, refusal.kind);
                self.refuse(i, Refusal { kind, ..refusal }, effects);
            }
            RefusalKind::ResponseLost | RefusalKind::TimedOut | RefusalKind::Truncated => {
                self.refuse(i, refusal, effects);
            }
        }
    }

    /// An event of a stream that a delegate passes on is about to be delivered, the first one of this
    /// delegation.
    pub(crate) fn delegated_stream_begun(
        &mut self,
        now: Millis,
        id: RequestId,
        software: SoftwareId,
    ) {
        if let Some(i) = self.call_index(id) {
            self.record_origin(now, i, software);
        }
    }

    /// Whether a connection to a target could be opened.
    pub(crate) fn target_probed(
        &mut self,
        now: Millis,
        target: &TargetIncarnation,
        is_reached: bool,
        effects: &mut Vec<Effect>,
    ) {
        let found = self
            .targets
            .find_incarnation(&target.name, target.incarnation);
        let Some(service) = found.map(|t| t.spec.service.clone()) else {
            return;
        };
        match is_reached {
            true => self.service_reached(now, &service, effects),
            false => self.connect_failed(now, &service, &target.name, effects),
        }
    }

    /// A target responded to a dispatch that was sent at `sent_at`.
    pub(crate) fn target_responded(
        &mut self,
        now: Millis,
        service: &str,
        sent_at: Millis,
        effects: &mut Vec<Effect>,
    ) {
        // An older connection may live on while new ones fail.
        if self.reachability.failed_at(service) <= sent_at {
            self.service_reached(now, service, effects);
        }
    }

    pub(crate) fn connect_failed(
        &mut self,
        now: Millis,
        service: &str,
        target: &str,
        effects: &mut Vec<Effect>,
    ) {
        let targets = self.targets.all().iter();
        let targets = targets.filter(|t| t.spec.service == service && t.is_staying(now));
        let count = targets.count();
        if self
            .reachability
            .connect_failed(now, service, target, count)
        {
            self.publish_reachability(effects);
        }
    }

    fn service_reached(&mut self, now: Millis, service: &str, effects: &mut Vec<Effect>) {
        if self.reachability.reached(now, service) {
            self.publish_reachability(effects);
        }
    }

    fn publish_reachability(&mut self, effects: &mut Vec<Effect>) {
        self.publication.set_urgent();
        effects.push(Effect::PublishDigest);
    }

    /// Requests a probe of one target of each service that is unreachable or may be.
    pub(crate) fn check_reachability(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        let mut services = self.reachability.suspects(now);
        services.extend(self.silent_services(now));
        services.sort_unstable();
        services.dedup();
        for service in services {
            let targets = self.targets.all().iter();
            let targets = targets.filter(|t| t.spec.service == service && t.is_staying(now));
            let targets: Vec<ProbeTarget> = targets.map(probe_target).collect();
            let next = self.reachability.next_probe(&service, &targets);
            effects.extend(next.map(Effect::ProbeTarget));
        }
    }

    /// Other targets of the service of `target` that aren't known to be down, at most `max`: if none of
    /// them can be connected to either, `target` need not have crashed. The next two by name come first,
    /// then others at equal distances, as neighbours may crash together.
    #[must_use]
    pub fn witnesses(&self, now: Millis, target: &str, max: usize) -> Vec<ProbeTarget> {
        let Some(service) = self.targets.find(target).map(|t| &t.spec.service) else {
            return Vec::new();
        };
        let all = self.targets.all();
        let start = all.partition_point(|t| t.spec.name.as_str() <= target);
        let following = all[start..].iter().chain(&all[..start]);
        let others = following.filter(|t| {
            let is_other = t.spec.service == *service && t.spec.name != target;
            is_other && !t.health.is_down() && t.is_staying(now)
        });
        let others: Vec<&Target> = others.collect();
        let (next, rest) = others.split_at(others.len().min(NEXT_WITNESSES));
        let stride = rest.len().div_ceil(max.saturating_sub(next.len()).max(1));
        let spread = rest.iter().step_by(stride.max(1));
        let chosen = next.iter().chain(spread).take(max);
        chosen.map(|t| probe_target(t)).collect()
    }

    /// Services with a dispatch that has had no response for a while, and without a sign of any of
    /// their targets since it was sent.
    fn silent_services(&self, now: Millis) -> Vec<String> {
        let is_silent = |sent_at: Millis, service: &str| {
            now.since(sent_at) >= SILENCE_MS && self.reachability.reached_at(service) < sent_at
        };
        let calls = self.calls.iter();
        let silent = calls.filter(|c| {
            let active = c.active.as_ref();
            active.is_some_and(|a| is_silent(a.sent_at, &c.service))
        });
        silent.map(|c| c.service.clone()).collect()
    }
}

fn probe_target(target: &Target) -> ProbeTarget {
    ProbeTarget {
        name: target.spec.name.clone(),
        incarnation: target.spec.incarnation,
        addr: target.spec.addr.clone(),
    }
}
