//! Which target gets a call.
//!
//! The decision is made in this order:
//!
//! 1. The candidates are the available targets of the call's service, except those where an earlier
//!    dispatch of the call was not sent, was rejected, stalled or broke. A stream that has begun may
//!    only go on at the same version of their software. Engines must also have loaded the model, and
//!    not be changing their role.
//! 2. Each candidate gets a cost in milliseconds. An engine costs what [`EngineScorer`] estimates
//!    for the prompt, plus penalties if it is unhealthy or has no free slot or memory. A plain
//!    target costs its load, plus penalties if it is unhealthy or in another data centre.
//! 3. The candidate with the lowest cost is chosen; jitter breaks ties.
//! 4. The first dispatch of a call and each retry take place only if the estimated start of the
//!    response meets the caller's deadline.
//! 5. A prefill engine only prefills the prompt. Once it has finished, [`Placer::choose_decode`]
//!    chooses the engine that decodes, by its penalties, load and prefill queue.
//!
//! The expected workload consists of prompts of very different length with shared beginnings, on
//! engines that run one prefill at a time. The estimated time until the first event of a stream is
//! the sum of the prefill work queued on the target, the part of the prompt that is not in its
//! prefix cache, and the transfer of the KV cache if another engine decodes.

use crate::{
    EngineSpec, Gate, Prompt, Service, Target, WorkKind,
    call_state::CallState,
    engine_scorer::{CacheHolder, EngineScorer},
    placement::{BASE_MS, Placement},
    prefill_ranks::PrefillRanks,
    scheduling::EngineGroups,
};
use rw_types::{Millis, Role};

/// Weight of the prefill queue of an engine that is to decode a prompt prefilled elsewhere.
const DECODE_QUEUE_WEIGHT: f64 = 1.0;
/// Cost of an unhealthy target, in milliseconds; high enough that it is chosen only if no other
/// target is left.
const UNHEALTHY_COST_MS: f64 = 20_000.0;
/// Cost of a target whose software version is new, in milliseconds; as high, for the same reason.
const SETTLING_COST_MS: f64 = 20_000.0;
/// Cost of a target without free slots or memory, or beyond the concurrency that it handles well, in
/// milliseconds.
const FULL_COST_MS: f64 = 300.0;
/// Fraction of an engine's KV cache that running calls may fill.
const KV_FRACTION: f64 = 0.8;
/// Cost of a fully loaded decode engine, in milliseconds; it grows in proportion to the load.
const DECODE_LOAD_COST_MS: f64 = 50.0;
/// Cost of a fully loaded plain target, in milliseconds; it grows in proportion to the load.
const PLAIN_LOAD_COST_MS: f64 = 100.0;
/// Cost of a KV cache transfer to another data centre, in milliseconds.
const REMOTE_TRANSFER_MS: f64 = 10.0;
/// Cost of a plain call to another data centre, in milliseconds.
const REMOTE_CALL_MS: f64 = 2.0;
/// Age up to which a reported load is used, in milliseconds.
const MAX_LOAD_AGE_MS: u64 = 400;

/// Chooses targets for calls, based on the state at the time `now`.
#[derive(Debug)]
pub(crate) struct Placer<'a> {
    pub(crate) gate: &'a Gate,
    pub(crate) now: Millis,
    /// Group of engines that alone are considered; `None` for all.
    pub(crate) scope: Option<(&'a EngineGroups, u32)>,
}

impl Placer<'_> {
    /// The best target for a call without a prefilled prompt.
    pub(crate) fn choose(&self, call: &CallState) -> Option<Placement> {
        let service = self.gate.routing.service(&call.service)?;
        match (&service.engine, &call.request.prompt) {
            (Some(engine), Some(prompt)) => self.choose_engine(call, service, engine, prompt),
            _ => self.choose_plain(call, service),
        }
    }

    /// The best decode engine for a prompt that was prefilled in the data centre `prefill_centre`.
    pub(crate) fn choose_decode(
        &self,
        call: &CallState,
        prefill_centre: &str,
    ) -> Option<Placement> {
        let service = self.gate.routing.service(&call.service)?;
        let engine = service.engine.as_ref()?;
        let prompt = call.request.prompt.as_ref()?;
        let estimates = self.gate.estimates(&service.name);
        let decode = self
            .candidates(call, service, prompt)
            .filter(|t| t.spec.role != Role::Prefill);
        let placements = decode.map(|t| {
            let remote = if t.spec.centre == prefill_centre {
                0.0
            } else {
                REMOTE_TRANSFER_MS
            };
            let running = t.running_calls();
            let load = t.speed.scaled_load(WorkKind::Decode, running, t.spec.slots);
            let state_cost = self.state_cost(t, engine, prompt) + self.settling_cost(call, t);
            let cost = state_cost + load * DECODE_LOAD_COST_MS + remote;
            let queue_ms = estimates.wait_ms(self.now, call, t) * DECODE_QUEUE_WEIGHT;
            let momentary_ms = t.speed.momentary_delay_ms(self.now, queue_ms + BASE_MS);
            Placement::without_prefill(t, cost + queue_ms + momentary_ms)
        });
        cheapest(placements)
    }

    fn choose_engine(
        &self,
        call: &CallState,
        service: &Service,
        engine: &EngineSpec,
        prompt: &Prompt,
    ) -> Option<Placement> {
        let candidates = || self.candidates(call, service, prompt);
        let has_decode =
            candidates().any(|t| t.spec.role != Role::Prefill && !t.health.is_unhealthy(self.now));
        let scorer = EngineScorer {
            now: self.now,
            call,
            engine,
            prompt,
            estimates: self.gate.estimates(&service.name),
            prefill_ranks: self.prefill_ranks(service),
            cache_holder: CacheHolder::find(self.now, candidates(), prompt),
            allow_prefill_only: call.resume_after().is_none() && !call.prefilled && has_decode,
        };
        let placements = candidates().filter_map(|t| {
            let state_cost = self.state_cost(t, engine, prompt) + self.settling_cost(call, t);
            let state_cost = state_cost + self.jitter(t);
            scorer.placement(t, state_cost)
        });
        cheapest(placements)
    }

    fn choose_plain(&self, call: &CallState, service: &Service) -> Option<Placement> {
        let listed = self.gate.targets.all().iter().filter(|t| {
            t.spec.service == service.name
                && t.is_available(self.now)
                && !call.excluded.contains(&t.spec.name)
                && call.accepts_version(t)
        });
        let estimates = self.gate.estimates(&service.name);
        let usual_ms = estimates.baselines[WorkKind::Plain.index()].mean().exp();
        let placements = listed.map(|t| {
            let reported = t
                .load
                .filter(|(at, _)| self.now.since(*at) < MAX_LOAD_AGE_MS);
            let reported = reported.map_or(0, |(_, l)| l.running.saturating_add(l.waiting));
            let running = t.open_calls.max(reported);
            let load = t.speed.scaled_load(WorkKind::Plain, running, t.spec.slots);
            let saturation = t.speed.saturation(t.spec.slots);
            let is_saturated = saturation.is_some_and(|limit| running >= limit);
            let saturated = if is_saturated { FULL_COST_MS } else { 0.0 };
            let unhealthy = if t.health.is_unhealthy(self.now) {
                UNHEALTHY_COST_MS
            } else {
                0.0
            };
            let remote = if t.spec.centre == self.gate.settings.centre {
                0.0
            } else {
                REMOTE_CALL_MS
            };
            Placement::without_prefill(
                t,
                load * PLAIN_LOAD_COST_MS
                    + t.speed.momentary_delay_ms(self.now, usual_ms)
                    + saturated
                    + unhealthy
                    + remote
                    + self.settling_cost(call, t)
                    + self.jitter(t),
            )
        });
        cheapest(placements)
    }

    fn candidates<'b>(
        &'b self,
        call: &'b CallState,
        service: &'b Service,
        prompt: &'b Prompt,
    ) -> impl Iterator<Item = &'b Target> {
        self.gate.targets.all().iter().filter(move |t| {
            t.spec.service == service.name
                && self.is_in_scope(t)
                && t.is_available(self.now)
                && !t.is_changing_role(self.now)
                && t.has_model(&prompt.model)
                && !call.excluded.contains(&t.spec.name)
                && call.accepts_version(t)
        })
    }

    fn is_in_scope(&self, t: &Target) -> bool {
        let scope = self.scope;
        scope.is_none_or(|(groups, group)| groups.contains(&t.spec.name, group))
    }

    /// Penalties for an engine that is unhealthy, has no free slot, or has no memory for the call,
    /// in milliseconds. The prefill queue is not included.
    fn state_cost(&self, t: &Target, engine: &EngineSpec, prompt: &Prompt) -> f64 {
        let unhealthy = if t.health.is_unhealthy(self.now) {
            UNHEALTHY_COST_MS
        } else {
            0.0
        };
        let reported = t
            .load
            .filter(|(at, _)| self.now.since(*at) < MAX_LOAD_AGE_MS);
        let reported = reported.map_or(0, |(_, l)| l.running.saturating_add(l.waiting));
        let saturation = t.speed.saturation(engine.slots);
        let slots = saturation.map_or(engine.slots, |limit| limit.min(engine.slots));
        let no_slot = if t.running_calls().max(reported) >= slots {
            FULL_COST_MS
        } else {
            0.0
        };
        let needed = t.running_tokens().saturating_add(prompt.max_tokens());
        let usable = engine.kv_tokens as f64 * KV_FRACTION;
        let no_memory = if needed as f64 > usable {
            FULL_COST_MS
        } else {
            0.0
        };
        unhealthy + no_slot + no_memory
    }

    /// Cost of beginning a stream that may be resumed at a software version that isn't known, here or at
    /// other nodes.
    fn settling_cost(&self, call: &CallState, t: &Target) -> f64 {
        let begins = call.software.is_none() && call.retry_policy.is_resumable();
        let software = &self.gate.software;
        let is_settling = software.is_settling(self.now, &t.spec.service, &t.spec.software);
        match begins && (is_settling || t.doubt.is_open()) {
            true => SETTLING_COST_MS,
            false => 0.0,
        }
    }

    fn prefill_ranks(&self, service: &Service) -> PrefillRanks<'_> {
        let all = self.gate.targets.all().iter();
        let engines = all
            .filter(|t| t.spec.service == service.name && t.spec.role == Role::Prefill)
            .filter(|t| self.is_in_scope(t))
            .filter(|t| t.is_available(self.now))
            .map(|t| (t.spec.name.as_str(), t.speed.factor(WorkKind::Prefill)));
        PrefillRanks::new(engines)
    }

    /// Jitter of less than one millisecond that breaks ties, different on each node so that nodes
    /// do not all choose the same target.
    fn jitter(&self, t: &Target) -> f64 {
        let seed = rw_core::mix(
            self.gate.settings.seed ^ self.now.0,
            rw_core::hash(&t.spec.name),
        );
        (seed % 1_000) as f64 / 1_000.0
    }
}

fn cheapest(placements: impl Iterator<Item = Placement>) -> Option<Placement> {
    placements.min_by(|a, b| a.cost.total_cmp(&b.cost))
}
