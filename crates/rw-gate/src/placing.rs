//! Which target gets a call.
//!
//! The load it answers: prompts of very different length that share their beginnings, on engines
//! that fill one prompt after another. The time until a stream's first event is the prompt work
//! ahead of it on the target, what the cache doesn't hold of the prompt itself, and the way of the
//! KV cache where another engine fills it.

use crate::{
    EngineSpec, Gate, PrefillSize, Prompt, Service, Target,
    call_state::CallState,
    engine_look::{EngineScorer, Holder},
};
use rw_types::{Millis, Role};
use std::fmt;

/// Milliseconds of an engine's step and of the way there and back.
pub(crate) const BASE_MS: f64 = 10.0;
/// Weight of the prompt work on an engine that is to decode a prompt filled elsewhere.
const DECODE_WAIT: f64 = 1.0;
/// Cost of a target that fails calls, in milliseconds; it is taken when no other is left.
const SICK_MS: f64 = 20_000.0;
/// Cost of an engine whose slots are taken, in milliseconds.
const FULL_MS: f64 = 300.0;
/// Part of an engine's memory that running calls may fill.
const MEMORY_SHARE: f64 = 0.8;
/// Cost of a decode engine whose slots are all taken, in milliseconds, before it is full.
const DECODE_TAKEN_MS: f64 = 50.0;
/// Cost of a plain target whose slots are all taken, in milliseconds.
const PLAIN_TAKEN_MS: f64 = 100.0;
/// Cost of moving a KV cache to another data centre, in milliseconds.
const FAR_TRANSFER_MS: f64 = 10.0;
/// Cost of a plain call to another data centre, in milliseconds.
const FAR_CALL_MS: f64 = 2.0;
/// Age up to which a told load is believed, in milliseconds.
const LOAD_MS: u64 = 400;

/// A target for a call.
#[derive(Debug, Clone)]
pub(crate) struct Placement {
    pub(crate) target: String,
    /// Whether it only fills the prompt.
    pub(crate) prefill: bool,
    /// What it is to fill.
    pub(crate) fill: PrefillSize,
    /// `ip:port` of a target from which it fetches the beginning of the prompt.
    pub(crate) fetch: Option<String>,
    /// Milliseconds for which the target is busy with it.
    pub(crate) work: f64,
    /// Milliseconds until the prompt is filled there.
    pub(crate) filled: f64,
    /// Milliseconds until the answer begins.
    pub(crate) first: f64,
    /// Whether no other prompt work is known there.
    pub(crate) alone: bool,
    /// Tokens of the prompt.
    pub(crate) tokens: u32,
    pub(crate) cost: f64,
}

impl Placement {
    /// A target that has no prompt to fill for the call.
    fn bare(t: &Target, cost: f64) -> Self {
        Self {
            target: t.spec.name.clone(),
            prefill: false,
            fill: PrefillSize::default(),
            fetch: None,
            work: 0.0,
            filled: 0.0,
            first: BASE_MS,
            alone: false,
            tokens: 0,
            cost,
        }
    }
}

impl fmt::Display for Placement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { fill, first, .. } = self;
        let fill = fill.tokens;
        write!(
            f,
            "fill {fill} first {first:.0} alone {} tokens {}",
            self.alone, self.tokens
        )
    }
}

/// One look at all targets.
#[derive(Debug)]
pub(crate) struct Placer<'a> {
    pub(crate) gate: &'a Gate,
    pub(crate) now: Millis,
}

impl Placer<'_> {
    /// The best target for a call that has no prefilled prompt.
    pub(crate) fn choose(&self, call: &CallState) -> Option<Placement> {
        let service = self.gate.routing.service(&call.service)?;
        match (&service.engine, &call.ask.prompt) {
            (Some(engine), Some(prompt)) => self.choose_engine(call, service, engine, prompt),
            _ => self.choose_plain(call, service),
        }
    }

    /// The decode engine that goes on from a prompt filled elsewhere.
    pub(crate) fn choose_decode(&self, call: &CallState, filled_in: &str) -> Option<Placement> {
        let service = self.gate.routing.service(&call.service)?;
        let engine = service.engine.as_ref()?;
        let prompt = call.ask.prompt.as_ref()?;
        let learnt = self.gate.learnt(&service.name);
        let decode = self
            .open(call, service, prompt)
            .filter(|t| t.spec.role != Role::Prefill);
        let choices = decode.map(|t| {
            let far = if t.spec.centre == filled_in {
                0.0
            } else {
                FAR_TRANSFER_MS
            };
            let taken = f64::from(t.running_calls()) / f64::from(t.spec.slots.max(1));
            let cost = self.burden(t, engine, prompt) + taken * DECODE_TAKEN_MS + far;
            let wait = learnt.wait(self.now, call, t) * DECODE_WAIT;
            Placement::bare(t, cost + wait)
        });
        least(choices)
    }

    fn choose_engine(
        &self,
        call: &CallState,
        service: &Service,
        engine: &EngineSpec,
        prompt: &Prompt,
    ) -> Option<Placement> {
        let open = || self.open(call, service, prompt);
        let with_decode =
            open().any(|t| t.spec.role != Role::Prefill && !t.health.is_unhealthy(self.now));
        let look = EngineScorer {
            now: self.now,
            call,
            engine,
            prompt,
            learnt: self.gate.learnt(&service.name),
            lanes: self.lanes(service),
            holder: Holder::find(self.now, open(), prompt),
            fills: call.resume.is_none()
                && call.ask.last_event.is_none()
                && !call.prefilled
                && with_decode,
        };
        let choices = open().filter_map(|t| {
            let beside = self.burden(t, engine, prompt) + self.noise(t);
            look.choice(t, beside)
        });
        least(choices)
    }

    fn choose_plain(&self, call: &CallState, service: &Service) -> Option<Placement> {
        let listed = self.gate.targets.all().iter().filter(|t| {
            t.spec.service == service.name
                && t.is_available(self.now)
                && !call.tried.contains(&t.spec.name)
        });
        let choices = listed.map(|t| {
            let slots = f64::from(t.spec.slots.max(1));
            let told = t.load.filter(|(at, _)| self.now.since(*at) < LOAD_MS);
            let told = told.map_or(0, |(_, l)| l.running + l.waiting);
            let taken = f64::from(t.open_calls.max(told)) / slots;
            let sick = if t.health.is_unhealthy(self.now) {
                SICK_MS
            } else {
                0.0
            };
            let far = if t.spec.centre == self.gate.settings.centre {
                0.0
            } else {
                FAR_CALL_MS
            };
            Placement::bare(t, taken * PLAIN_TAKEN_MS + sick + far + self.noise(t))
        });
        least(choices)
    }

    fn open<'b>(
        &'b self,
        call: &'b CallState,
        service: &'b Service,
        prompt: &'b Prompt,
    ) -> impl Iterator<Item = &'b Target> {
        self.gate.targets.all().iter().filter(move |t| {
            t.spec.service == service.name
                && t.is_available(self.now)
                && !t.is_changing_role(self.now)
                && t.has_model(&prompt.model)
                && !call.tried.contains(&t.spec.name)
        })
    }

    /// Milliseconds that a target's state adds beside its prompt work.
    fn burden(&self, t: &Target, engine: &EngineSpec, prompt: &Prompt) -> f64 {
        let sick = if t.health.is_unhealthy(self.now) {
            SICK_MS
        } else {
            0.0
        };
        let told = t.load.filter(|(at, _)| self.now.since(*at) < LOAD_MS);
        let told = told.map_or(0, |(_, l)| l.running + l.waiting);
        let full = if t.running_calls().max(told) >= engine.slots {
            FULL_MS
        } else {
            0.0
        };
        let need = t.running_tokens() + u64::from(prompt.tokens + prompt.max_output);
        let room = engine.kv_tokens as f64 * MEMORY_SHARE;
        let short = if need as f64 > room { FULL_MS } else { 0.0 };
        sick + full + short
    }

    /// Names of the engines that fill prompts, sorted.
    fn lanes(&self, service: &Service) -> Vec<&str> {
        let all = self.gate.targets.all().iter();
        let mut lanes: Vec<&str> = all
            .filter(|t| t.spec.service == service.name && t.spec.role == Role::Prefill)
            .filter(|t| t.is_available(self.now))
            .map(|t| t.spec.name.as_str())
            .collect();
        lanes.sort_unstable();
        lanes
    }

    /// Parts equals alike on no two nodes.
    fn noise(&self, t: &Target) -> f64 {
        let seed = rw_core::mix(
            self.gate.settings.seed ^ self.now.0,
            rw_core::hash(&t.spec.name),
        );
        (seed % 1_000) as f64 / 1_000.0
    }
}

fn least(choices: impl Iterator<Item = Placement>) -> Option<Placement> {
    choices.min_by(|a, b| a.cost.total_cmp(&b.cost))
}
