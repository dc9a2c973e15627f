//! What one engine would make of a prompt.
//!
//! The load it answers: prompts of a few hundred to fifty thousand tokens, a third of the work in a
//! few of them. No engine interrupts one that it has begun, so the longest keep to some of the
//! engines, and off those that take streams over.

use crate::{
    EngineSpec, PrefillSize, Prompt, Target,
    call_state::CallState,
    learnt::EngineEstimates,
    placing::{BASE_MS, Placement},
};
use rw_types::{Millis, Role};

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

/// A prompt, and what is common to all engines that might fill it.
#[derive(Debug)]
pub(crate) struct EngineScorer<'a> {
    pub(crate) now: Millis,
    pub(crate) call: &'a CallState,
    pub(crate) engine: &'a EngineSpec,
    pub(crate) prompt: &'a Prompt,
    pub(crate) learnt: EngineEstimates,
    /// Names of the engines that fill prompts, sorted.
    pub(crate) lanes: Vec<&'a str>,
    /// The engine that holds most of the prompt's beginning.
    pub(crate) holder: Option<Holder<'a>>,
    /// Whether an engine may fill the prompt for another that decodes.
    pub(crate) fills: bool,
}

impl EngineScorer<'_> {
    /// The call on `t`, whose state costs `beside`; `None` if it must not go there.
    pub(crate) fn choice(&self, t: &Target, beside: f64) -> Option<Placement> {
        let prefill = t.spec.role == Role::Prefill;
        if prefill && !self.fills {
            return None;
        }
        let own = t.prefill_size(self.prompt);
        let fetch = self.fetch(own);
        let fill = fetch.map_or(own, |h| h.fill(self.prompt));
        let work = self.learnt.busy(t, fill);
        let fetched = fetch.map_or(0.0, |h| transfer_ms(self.engine, h.tokens - own.cached));
        let wait = self.learnt.wait(self.now, self.call, t);
        let filled = wait + fetched + work + self.learnt.rate.fixed_ms(t.spec.role);
        let first = filled + self.way(prefill);
        Some(Placement {
            target: t.spec.name.clone(),
            prefill,
            fill,
            fetch: fetch.map(|h| h.addr.to_owned()),
            work,
            filled,
            first,
            alone: t.queue.is_empty(),
            tokens: self.prompt.tokens,
            cost: first + work * COST_WEIGHT + self.harm(t, work) + beside,
        })
    }

    /// The holder, if a fetch from it pays for an engine that has `own` to fill.
    fn fetch(&self, own: PrefillSize) -> Option<&Holder<'_>> {
        let holder = self.holder.as_ref();
        holder.filter(|h| h.tokens >= own.cached + FETCH_TOKENS)
    }

    /// Milliseconds of the filled prompt's way to the engine that decodes it.
    fn way(&self, prefill: bool) -> f64 {
        if prefill {
            transfer_ms(self.engine, u64::from(self.prompt.tokens)) + BASE_MS
        } else {
            0.0
        }
    }

    /// Cost of `work` milliseconds to other calls on `t`.
    fn harm(&self, t: &Target, work: f64) -> f64 {
        if t.spec.role == Role::Prefill {
            let share = self.learnt.mix.fraction_below(work);
            return work * LANE_WEIGHT * (share - self.lane(t)).max(0.0);
        }
        // Each stream that runs beside it waits for its chunks, and each that is taken over
        // meanwhile for its end.
        work * (f64::from(t.running_calls()) * STREAM_WEIGHT + work * TAKE_WEIGHT)
    }

    /// Place of an engine among those that fill prompts, from 0 to 1: the higher, the longer the
    /// prompts that it is meant for.
    fn lane(&self, t: &Target) -> f64 {
        let name = t.spec.name.as_str();
        let i = self.lanes.partition_point(|other| *other < name);
        (i + 1) as f64 / self.lanes.len().max(1) as f64
    }
}

/// A target that holds the beginning of a prompt.
#[derive(Debug)]
pub(crate) struct Holder<'a> {
    addr: &'a str,
    /// Tokens that it holds.
    tokens: u64,
    /// Whether it fills prompts: memory that streams don't fill keeps them longer.
    fills: bool,
}

impl<'a> Holder<'a> {
    /// The sound engine of `open` that holds most of the shared beginning of `prompt`.
    pub(crate) fn find(
        now: Millis,
        open: impl Iterator<Item = &'a Target>,
        prompt: &Prompt,
    ) -> Option<Self> {
        let shared = &prompt.parts[..prompt.parts.len().saturating_sub(1)];
        let then = Millis(now.0.saturating_sub(READ_MS));
        let sound = open.filter(|t| !t.health.is_unhealthy(now));
        let holders = sound.map(|t| Self {
            addr: &t.spec.addr,
            tokens: t.cache.tokens_cached_before(then, shared),
            fills: t.spec.role == Role::Prefill,
        });
        holders.max_by_key(|h| (h.tokens, h.fills))
    }

    /// What is left to fill once its tokens are fetched.
    fn fill(&self, prompt: &Prompt) -> PrefillSize {
        PrefillSize {
            tokens: u64::from(prompt.tokens).saturating_sub(self.tokens).max(1),
            cached: self.tokens,
        }
    }
}

/// Milliseconds to move the KV cache of `tokens`.
fn transfer_ms(engine: &EngineSpec, tokens: u64) -> f64 {
    let bits = tokens as f64 * engine.token_bytes as f64 * 8.0;
    let per_ms = (engine.link_mbps * 1e3).max(1.0);
    TRANSFER_MS + bits / per_ms
}
