//! Which target gets a call.
//!
//! The load it answers: prompts of very different length that share their beginnings, on engines
//! that fill one prompt after another. The time until a stream's first event is the prompt work
//! ahead of it on the target, what the cache doesn't hold of the prompt itself, and the way of the
//! KV cache where another engine fills it.

use crate::{EngineSpec, Fill, Gate, Prompt, Service, Target, call_state::CallState};
use rw_types::{Millis, Role};
use std::fmt;

/// Milliseconds of an engine's step and of the way there and back.
const BASE_MS: f64 = 10.0;
/// Fewest tokens that are worth a fetch from another engine.
const FETCH_TOKENS: u64 = 100;
/// Age from which a prompt that was sent to an engine is taken to be read there, in milliseconds.
const READ_MS: u64 = 400;
/// Milliseconds that a transfer takes to begin.
const TRANSFER_MS: f64 = 5.0;
/// Weight of the engine's time that a prompt takes, against the time until its first event.
const COST_WEIGHT: f64 = 1.5;
/// Weight of the time that a prompt takes from each stream beside it, against the time until its
/// own first event.
const STREAM_WEIGHT: f64 = 0.08;
/// Weight of the time that a prompt takes from an engine meant for shorter ones, for the whole way
/// between the lanes.
const LANE_WEIGHT: f64 = 6.0;
/// Cost of filling on an engine that decodes, for each square millisecond: the calls that it could
/// take over meanwhile grow with the time, and so does the wait of each.
const TAKE_WEIGHT: f64 = 0.003;
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
pub(crate) struct Choice {
    pub(crate) target: String,
    /// Whether it only fills the prompt.
    pub(crate) prefill: bool,
    /// What it is to fill.
    pub(crate) fill: Fill,
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
    tokens: u32,
    cost: f64,
}

impl Choice {
    /// A target that has no prompt to fill for the call.
    fn bare(t: &Target, cost: f64) -> Self {
        Self {
            target: t.spec.name.clone(),
            prefill: false,
            fill: Fill::default(),
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

impl fmt::Display for Choice {
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

/// A target that holds the beginning of a prompt.
#[derive(Debug)]
struct Holder<'a> {
    addr: &'a str,
    /// Tokens that it holds.
    tokens: u64,
    /// Whether it fills prompts: memory that streams don't fill keeps them longer.
    fills: bool,
}

impl Holder<'_> {
    /// What is left to fill once its tokens are fetched.
    fn fill(&self, prompt: &Prompt) -> Fill {
        Fill {
            tokens: u64::from(prompt.tokens).saturating_sub(self.tokens).max(1),
            cached: self.tokens,
        }
    }
}

/// One look at all targets.
#[derive(Debug)]
pub(crate) struct Placing<'a> {
    pub(crate) gate: &'a Gate,
    pub(crate) now: Millis,
}

impl Placing<'_> {
    /// The best target for a call that has no prefilled prompt.
    pub(crate) fn choose(&self, call: &CallState) -> Option<Choice> {
        let service = self.gate.routing.service(&call.service)?;
        match (&service.engine, &call.ask.prompt) {
            (Some(engine), Some(prompt)) => self.choose_engine(call, service, engine, prompt),
            _ => self.choose_plain(call, service),
        }
    }

    /// The decode engine that goes on from a prompt filled elsewhere.
    pub(crate) fn choose_decode(&self, call: &CallState, filled_in: &str) -> Option<Choice> {
        let service = self.gate.routing.service(&call.service)?;
        let engine = service.engine.as_ref()?;
        let prompt = call.ask.prompt.as_ref()?;
        let decode = self
            .open(call, service, prompt)
            .filter(|t| t.spec.role != Role::Prefill);
        let choices = decode.map(|t| {
            let far = if t.spec.centre == filled_in {
                0.0
            } else {
                FAR_TRANSFER_MS
            };
            let taken = f64::from(t.running()) / f64::from(t.spec.slots.max(1));
            let cost = self.burden(t, engine, prompt) + taken * DECODE_TAKEN_MS + far;
            let wait = self.wait(call, t, service) * DECODE_WAIT;
            Choice::bare(t, cost + wait)
        });
        least(choices)
    }

    fn choose_engine(
        &self,
        call: &CallState,
        service: &Service,
        engine: &EngineSpec,
        prompt: &Prompt,
    ) -> Option<Choice> {
        let with_decode = self
            .open(call, service, prompt)
            .any(|t| t.spec.role != Role::Prefill && !t.health.is_sick(self.now));
        let may_prefill = call.resume.is_none() && call.ask.last_event.is_none() && with_decode;
        let transfer = transfer_ms(engine, u64::from(prompt.tokens));
        let holder = self.holder(call, service, prompt);
        let lanes = self.lanes(service);
        let mix = self.gate.mix(&service.name);
        let open = self.open(call, service, prompt);
        let choices = open.filter_map(|t| {
            let prefill = t.spec.role == Role::Prefill;
            if prefill && (call.prefilled || !may_prefill) {
                return None;
            }
            let own = t.fill(prompt);
            let fetch = holder
                .as_ref()
                .filter(|h| h.tokens >= own.cached + FETCH_TOKENS);
            let (fill, fetched_ms) = match fetch {
                Some(h) => (h.fill(prompt), transfer_ms(engine, h.tokens - own.cached)),
                None => (own, 0.0),
            };
            let wait = self.wait(call, t, service);
            let work = self.busy(t, service, fill);
            let fixed = self.gate.rate(&service.name).fixed(t.spec.role);
            let way = if prefill { transfer + BASE_MS } else { 0.0 };
            let filled = wait + fetched_ms + work + fixed;
            let first = filled + way;
            let burden = self.burden(t, engine, prompt);
            let harm = if prefill {
                let share = mix.map_or(0.0, |m| m.below(work));
                work * LANE_WEIGHT * (share - lane(&lanes, t)).max(0.0)
            } else {
                // Each stream that runs beside it waits for its chunks, and each that is taken over
                // meanwhile for its end.
                work * (f64::from(t.running()) * STREAM_WEIGHT + work * TAKE_WEIGHT)
            };
            Some(Choice {
                target: t.spec.name.clone(),
                prefill,
                fill,
                fetch: fetch.map(|h| h.addr.to_owned()),
                work,
                filled,
                first,
                alone: t.work.is_empty(),
                tokens: prompt.tokens,
                cost: first + work * COST_WEIGHT + harm + burden + self.noise(t),
            })
        });
        least(choices)
    }

    fn choose_plain(&self, call: &CallState, service: &Service) -> Option<Choice> {
        let listed = self.gate.targets.all().iter().filter(|t| {
            t.spec.service == service.name
                && t.is_listed(self.now)
                && !call.tried.contains(&t.spec.name)
        });
        let choices = listed.map(|t| {
            let slots = f64::from(t.spec.slots.max(1));
            let told = t.load.filter(|(at, _)| self.now.since(*at) < LOAD_MS);
            let told = told.map_or(0, |(_, l)| l.running + l.waiting);
            let taken = f64::from(t.open.max(told)) / slots;
            let sick = if t.health.is_sick(self.now) {
                SICK_MS
            } else {
                0.0
            };
            let far = if t.spec.centre == self.gate.settings.centre {
                0.0
            } else {
                FAR_CALL_MS
            };
            Choice::bare(t, taken * PLAIN_TAKEN_MS + sick + far + self.noise(t))
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
                && t.is_listed(self.now)
                && !t.is_changing(self.now)
                && t.holds(&prompt.model)
                && !call.tried.contains(&t.spec.name)
        })
    }

    /// Milliseconds that a target's state adds beside its prompt work.
    fn burden(&self, t: &Target, engine: &EngineSpec, prompt: &Prompt) -> f64 {
        let sick = if t.health.is_sick(self.now) {
            SICK_MS
        } else {
            0.0
        };
        let told = t.load.filter(|(at, _)| self.now.since(*at) < LOAD_MS);
        let told = told.map_or(0, |(_, l)| l.running + l.waiting);
        let full = if t.running().max(told) >= engine.slots {
            FULL_MS
        } else {
            0.0
        };
        let need = t.held() + u64::from(prompt.tokens + prompt.output);
        let room = engine.memory as f64 * MEMORY_SHARE;
        let short = if need as f64 > room { FULL_MS } else { 0.0 };
        sick + full + short
    }

    /// The target that holds most of the shared beginning of a prompt.
    fn holder<'b>(
        &'b self,
        call: &'b CallState,
        service: &'b Service,
        prompt: &'b Prompt,
    ) -> Option<Holder<'b>> {
        let shared = &prompt.parts[..prompt.parts.len().saturating_sub(1)];
        let then = Millis(self.now.0.saturating_sub(READ_MS));
        let sound = self
            .open(call, service, prompt)
            .filter(|t| !t.health.is_sick(self.now));
        let holders = sound.map(|t| Holder {
            addr: &t.spec.addr,
            tokens: t.cache.held_since(then, shared),
            fills: t.spec.role == Role::Prefill,
        });
        holders.max_by_key(|h| (h.tokens, h.fills))
    }

    /// Names of the engines that fill prompts, sorted.
    fn lanes(&self, service: &Service) -> Vec<&str> {
        let all = self.gate.targets.all().iter();
        let mut lanes: Vec<&str> = all
            .filter(|t| t.spec.service == service.name && t.spec.role == Role::Prefill)
            .filter(|t| t.is_listed(self.now))
            .map(|t| t.spec.name.as_str())
            .collect();
        lanes.sort_unstable();
        lanes
    }

    /// Milliseconds for which a target is busy with `fill`.
    fn busy(&self, t: &Target, service: &Service, fill: Fill) -> f64 {
        self.gate.rate(&service.name).busy(t.spec.role, fill) * t.health.slowness()
    }

    /// Milliseconds until a target begins with the call's prompt.
    fn wait(&self, call: &CallState, t: &Target, service: &Service) -> f64 {
        let rate = self.gate.rate(&service.name);
        let slowness = t.health.slowness();
        let busy = |fill| rate.busy(t.spec.role, fill) * slowness;
        t.work.wait(self.now, call.priority, busy)
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

/// Milliseconds to move the KV cache of `tokens`.
fn transfer_ms(engine: &EngineSpec, tokens: u64) -> f64 {
    let bits = tokens as f64 * engine.token_bytes as f64 * 8.0;
    let per_ms = (engine.link_mbps * 1e3).max(1.0);
    TRANSFER_MS + bits / per_ms
}

/// Place of an engine among those that fill prompts, from 0 to 1: the higher, the longer the
/// prompts that it is meant for.
fn lane(lanes: &[&str], t: &Target) -> f64 {
    let i = lanes.partition_point(|name| *name < t.spec.name.as_str());
    (i + 1) as f64 / lanes.len().max(1) as f64
}

fn least(choices: impl Iterator<Item = Choice>) -> Option<Choice> {
    choices.min_by(|a, b| a.cost.total_cmp(&b.cost))
}
