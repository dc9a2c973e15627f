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
const MIN_FETCH_TOKENS: u64 = 100;
/// Age from which a prompt that was sent to an engine is taken to be read there, in milliseconds.
const CACHE_READY_MS: u64 = 400;
/// Milliseconds that a transfer takes to begin.
const TRANSFER_SETUP_MS: f64 = 5.0;
/// Weight of the engine's time that a prompt takes, against the time until its first event.
const BUSY_WEIGHT: f64 = 1.5;
/// Weight of the time that a prompt takes from each stream beside it, against the time until its
/// own first event.
const STREAM_WEIGHT: f64 = 0.08;
/// Weight of the time that a prompt takes from an engine meant for shorter ones, for the whole way
/// between the lanes.
const SIZE_WEIGHT: f64 = 6.0;
/// Cost of filling on an engine that decodes, for each square millisecond: the calls that it could
/// take over meanwhile grow with the time, and so does the wait of each.
const TAKEOVER_WEIGHT: f64 = 0.003;

/// A prompt, and what is common to all engines that might fill it.
#[derive(Debug)]
pub(crate) struct EngineScorer<'a> {
    pub(crate) now: Millis,
    pub(crate) call: &'a CallState,
    pub(crate) engine: &'a EngineSpec,
    pub(crate) prompt: &'a Prompt,
    pub(crate) estimates: EngineEstimates,
    /// Names of the engines that fill prompts, sorted.
    pub(crate) prefill_engines: Vec<&'a str>,
    /// The engine that holds most of the prompt's beginning.
    pub(crate) cache_holder: Option<CacheHolder<'a>>,
    /// Whether an engine may fill the prompt for another that decodes.
    pub(crate) allow_prefill: bool,
}

impl EngineScorer<'_> {
    /// The call on `t`, whose state costs `beside`; `None` if it must not go there.
    pub(crate) fn placement(&self, t: &Target, state_cost: f64) -> Option<Placement> {
        let is_prefill = t.spec.role == Role::Prefill;
        if is_prefill && !self.allow_prefill {
            return None;
        }
        let local = t.prefill_size(self.prompt);
        let fetch = self.fetch_source(local);
        let size = fetch.map_or(local, |h| h.remaining_prefill(self.prompt));
        let busy_ms = self.estimates.busy_ms(t, size);
        let fetch_ms = fetch.map_or(0.0, |h| transfer_ms(self.engine, h.tokens - local.cached));
        let queue_ms = self.estimates.wait_ms(self.now, self.call, t);
        let prefill_ms =
            queue_ms + fetch_ms + busy_ms + self.estimates.cost_model.fixed_ms(t.spec.role);
        let start_ms = prefill_ms + self.transfer_delay_ms(is_prefill);
        Some(Placement {
            target: t.spec.name.clone(),
            is_prefill,
            size,
            fetch_from: fetch.map(|h| h.addr.to_owned()),
            busy_ms,
            prefill_ms,
            start_ms,
            queue_empty: t.queue.is_empty(),
            prompt_tokens: self.prompt.tokens,
            cost: start_ms + busy_ms * BUSY_WEIGHT + self.interference(t, busy_ms) + state_cost,
        })
    }

    /// The holder, if a fetch from it pays for an engine that has `own` to fill.
    fn fetch_source(&self, local: PrefillSize) -> Option<&CacheHolder<'_>> {
        let holder = self.cache_holder.as_ref();
        holder.filter(|h| h.tokens >= local.cached + MIN_FETCH_TOKENS)
    }

    /// Milliseconds of the filled prompt's way to the engine that decodes it.
    fn transfer_delay_ms(&self, is_prefill: bool) -> f64 {
        if is_prefill {
            transfer_ms(self.engine, u64::from(self.prompt.tokens)) + BASE_MS
        } else {
            0.0
        }
    }

    /// Cost of `work` milliseconds to other calls on `t`.
    fn interference(&self, t: &Target, busy_ms: f64) -> f64 {
        if t.spec.role == Role::Prefill {
            let fraction = self.estimates.histogram.fraction_below(busy_ms);
            return busy_ms * SIZE_WEIGHT * (fraction - self.size_rank(t)).max(0.0);
        }
        // Each stream that runs beside it waits for its chunks, and each that is taken over
        // meanwhile for its end.
        busy_ms * (f64::from(t.running_calls()) * STREAM_WEIGHT + busy_ms * TAKEOVER_WEIGHT)
    }

    /// Place of an engine among those that fill prompts, from 0 to 1: the higher, the longer the
    /// prompts that it is meant for.
    fn size_rank(&self, t: &Target) -> f64 {
        let name = t.spec.name.as_str();
        let i = self.prefill_engines.partition_point(|other| *other < name);
        (i + 1) as f64 / self.prefill_engines.len().max(1) as f64
    }
}

/// A target that holds the beginning of a prompt.
#[derive(Debug)]
pub(crate) struct CacheHolder<'a> {
    addr: &'a str,
    /// Tokens that it holds.
    tokens: u64,
    /// Whether it fills prompts: memory that streams don't fill keeps them longer.
    is_prefill: bool,
}

impl<'a> CacheHolder<'a> {
    /// The sound engine of `open` that holds most of the shared beginning of `prompt`.
    pub(crate) fn find(
        now: Millis,
        candidates: impl Iterator<Item = &'a Target>,
        prompt: &Prompt,
    ) -> Option<Self> {
        let shared = &prompt.parts[..prompt.parts.len().saturating_sub(1)];
        let cutoff = Millis(now.0.saturating_sub(CACHE_READY_MS));
        let healthy = candidates.filter(|t| !t.health.is_unhealthy(now));
        let holders = healthy.map(|t| Self {
            addr: &t.spec.addr,
            tokens: t.cache.tokens_cached_before(cutoff, shared),
            is_prefill: t.spec.role == Role::Prefill,
        });
        holders.max_by_key(|h| (h.tokens, h.is_prefill))
    }

    /// What is left to fill once its tokens are fetched.
    fn remaining_prefill(&self, prompt: &Prompt) -> PrefillSize {
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
    TRANSFER_SETUP_MS + bits / per_ms
}
