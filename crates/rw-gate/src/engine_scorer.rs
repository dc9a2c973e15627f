//! Cost estimate for running a prompt on one engine.
//!
//! The cost is the sum of the time until the response starts, the weighted time for which the
//! prefill occupies the engine, the delay that this causes to other calls, and the penalties for
//! the state of the engine, which [`Placer`](crate::placer::Placer) passes in.
//!
//! The expected workload consists of prompts of a few hundred to fifty thousand tokens, and a few
//! long prompts make up a third of the work. Engines do not preempt a running prefill. Therefore
//! the longest prompts are kept on some of the prefill engines, the fastest ones, and away from
//! engines that decode prompts prefilled elsewhere.

use crate::{
    EngineSpec, PrefillSize, Prompt, Target,
    call_state::CallState,
    engine_estimates::{EngineEstimates, prefill_factor},
    placement::{BASE_MS, Placement},
    prefill_ranks::PrefillRanks,
};
use rw_types::{Millis, Role};

/// Minimum number of additional cached tokens for which a fetch from another engine pays off.
const MIN_FETCH_TOKENS: u64 = 100;
/// Age from which a prompt that was sent to an engine is assumed to be in its prefix cache, in
/// milliseconds.
const CACHE_READY_MS: u64 = 400;
/// Milliseconds to set up a transfer.
const TRANSFER_SETUP_MS: f64 = 5.0;
/// Weight of the engine time that a prompt takes, relative to the time until its first event.
const BUSY_WEIGHT: f64 = 1.5;
/// Weight of the delay that a prefill causes to each stream running on the same engine, relative to
/// the time until its own first event.
const STREAM_WEIGHT: f64 = 0.08;
/// Weight of the engine time that a prompt takes from a prefill engine meant for shorter prompts.
/// It is multiplied by the difference between the rank of the prompt by size and the rank of the
/// engine, both of which range from 0 to 1.
const SIZE_WEIGHT: f64 = 6.0;
/// Cost per square millisecond of a prefill on a decode engine: the number of calls that arrive
/// there for decoding meanwhile grows with the time, and so does the wait of each.
const DECODE_ARRIVAL_WEIGHT: f64 = 0.003;

/// Estimates the cost of one prompt on any engine, from what is the same for all engines.
#[derive(Debug)]
pub(crate) struct EngineScorer<'a> {
    pub(crate) now: Millis,
    pub(crate) call: &'a CallState,
    pub(crate) engine: &'a EngineSpec,
    pub(crate) prompt: &'a Prompt,
    pub(crate) estimates: EngineEstimates,
    /// Which prefill engines are meant for long prompts.
    pub(crate) prefill_ranks: PrefillRanks<'a>,
    /// The engine that holds the longest cached prefix of the prompt.
    pub(crate) cache_holder: Option<CacheHolder<'a>>,
    /// Whether a prefill engine may prefill the prompt for another engine that decodes it.
    pub(crate) allow_prefill_only: bool,
}

impl EngineScorer<'_> {
    /// The placement of the call on `t`, where `state_cost` are the penalties for the state of `t`;
    /// `None` if `t` only prefills and the call must be decoded where it is prefilled.
    pub(crate) fn placement(&self, t: &Target, state_cost: f64) -> Option<Placement> {
        let prefill_only = t.spec.role == Role::Prefill;
        if prefill_only && !self.allow_prefill_only {
            return None;
        }
        let local = t.prefill_size(self.prompt);
        let fetch = self.fetch_source(local);
        let size = fetch.map_or(local, |h| h.remaining_prefill(self.prompt));
        let busy_ms = self.estimates.busy_ms(t, size);
        let fetch_ms = fetch.map_or(0.0, |h| transfer_ms(self.engine, h.tokens - local.cached));
        let queue_ms = self.estimates.wait_ms(self.now, self.call, t);
        let work_ms = queue_ms + busy_ms;
        let momentary_ms = t.speed.momentary_delay_ms(self.now, work_ms);
        let overhead_ms = fetch_ms + self.estimates.cost_model.fixed_ms(t.spec.role);
        let prefill_ms = work_ms + overhead_ms;
        let start_ms = prefill_ms + self.transfer_delay_ms(prefill_only);
        Some(Placement {
            target: t.spec.name.clone(),
            prefill_only,
            size,
            fetch_from: fetch.map(|h| h.addr.to_owned()),
            busy_ms,
            prefill_ms,
            model_ms: work_ms / prefill_factor(t),
            overhead_ms,
            start_ms,
            queue_empty: t.queue.is_empty(),
            prompt_tokens: self.prompt.tokens,
            cost: start_ms
                + momentary_ms
                + busy_ms * BUSY_WEIGHT
                + self.interference(t, busy_ms)
                + state_cost,
        })
    }

    /// The engine to fetch the cached prefix from, if that pays off for an engine that has `local`
    /// to prefill.
    fn fetch_source(&self, local: PrefillSize) -> Option<&CacheHolder<'_>> {
        let holder = self.cache_holder.as_ref();
        holder.filter(|h| h.tokens >= local.cached + MIN_FETCH_TOKENS)
    }

    /// Milliseconds to transfer the prefilled prompt to the engine that decodes it; zero if the
    /// prompt is decoded where it is prefilled.
    fn transfer_delay_ms(&self, prefill_only: bool) -> f64 {
        if prefill_only {
            transfer_ms(self.engine, u64::from(self.prompt.tokens)) + BASE_MS
        } else {
            0.0
        }
    }

    /// Cost of `busy_ms` milliseconds of prefill to other calls on `t`.
    fn interference(&self, t: &Target, busy_ms: f64) -> f64 {
        if t.spec.role == Role::Prefill {
            // The rank of the prompt is the fraction of all work that comes from shorter prompts.
            let fraction = self.estimates.histogram.fraction_below(busy_ms);
            let rank = self.prefill_ranks.rank(&t.spec.name);
            return busy_ms * SIZE_WEIGHT * (fraction - rank).max(0.0);
        }
        // Each stream on this engine waits for the chunks of the prefill, and each call that is to
        // be decoded here waits until the prefill has finished.
        busy_ms * (f64::from(t.running_calls()) * STREAM_WEIGHT + busy_ms * DECODE_ARRIVAL_WEIGHT)
    }
}

/// A target whose prefix cache holds the beginning of a prompt.
#[derive(Debug)]
pub(crate) struct CacheHolder<'a> {
    addr: &'a str,
    /// Number of cached tokens of the prompt.
    tokens: u64,
    /// Whether it is a prefill engine. It keeps cached prefixes longer, because no streams fill its
    /// memory.
    is_prefill: bool,
}

impl<'a> CacheHolder<'a> {
    /// The healthy engine among `candidates` that holds the longest prefix of the shared segments
    /// of `prompt`.
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

    /// Prefill work that is left after the cached tokens have been fetched.
    fn remaining_prefill(&self, prompt: &Prompt) -> PrefillSize {
        PrefillSize {
            tokens: u64::from(prompt.tokens).saturating_sub(self.tokens).max(1),
            cached: self.tokens,
        }
    }
}

/// Milliseconds to transfer the KV cache of `tokens` tokens.
fn transfer_ms(engine: &EngineSpec, tokens: u64) -> f64 {
    let bits = tokens as f64 * engine.token_bytes as f64 * 8.0;
    let per_ms = (engine.link_mbps * 1e3).max(1.0);
    TRANSFER_SETUP_MS + bits / per_ms
}
