//! Simulated engine with continuous batching: a step generates one token for each running call and
//! prefills one chunk of prompt tokens. Started prompts go first, the others by priority and then
//! by arrival.

use super::deployment::EngineModel;
use rw_gate::{PrefixCache, PromptPart, Role, TargetLoad};
use rw_types::Millis;

/// Microseconds in a millisecond.
const US_PER_MS: f64 = 1e3;
/// Factor by which prefill takes longer on an engine that also decodes.
const DECODE_PREFILL_FACTOR: f64 = 2.0;
/// An engine that also decodes prefills this fraction (1/4) of a chunk per step.
const DECODE_CHUNK_DIVISOR: u64 = 4;

/// A prompt that waits for prefill or is being prefilled.
#[derive(Debug, Clone)]
pub(crate) struct Prompt {
    pub(crate) call: usize,
    pub(crate) priority: u8,
    pub(crate) parts: Vec<PromptPart>,
    /// Tokens still to be prefilled.
    pub(crate) remaining: u64,
    /// Tokens already in the KV cache.
    pub(crate) context: u64,
    /// Output tokens; `None` if only the prefill runs here.
    pub(crate) output: Option<u32>,
    pub(crate) started: bool,
    /// Whether another engine prefilled it.
    pub(crate) imported: bool,
}

/// A call in the decode stage.
#[derive(Debug, Clone)]
struct RunningCall {
    call: usize,
    /// Tokens generated so far.
    tokens: u32,
    output: u32,
    context: u64,
}

/// Something that a step completed; numbers are indices of calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StepResult {
    /// A prompt is prefilled; its KV cache is kept for another engine.
    Prefilled(usize),
    /// A prompt is prefilled and its response begins.
    First {
        call: usize,
        /// Whether another engine prefilled it.
        imported: bool,
    },
    /// An event of a response.
    Event(usize),
    /// The last event of a response.
    Last(usize),
}

/// State of one engine.
#[derive(Debug, Clone)]
pub(crate) struct Engine {
    pub(crate) role: Role,
    pub(crate) cache: PrefixCache,
    /// Total prompt tokens prefilled here.
    pub(crate) prefilled_tokens: u64,
    /// Total prompt tokens found in the prefix cache or fetched from another engine.
    pub(crate) cached_tokens: u64,
    /// Whether a step is in progress.
    in_step: bool,
    step_factor: f64,
    model: EngineModel,
    /// Prompts that are not prefilled yet, in order of arrival.
    waiting: Vec<Prompt>,
    running: Vec<RunningCall>,
    /// Prompt tokens in the current step, by call.
    chunk: Vec<(usize, u64)>,
    /// Time at which the link becomes free.
    link_free_us: u64,
}

impl Engine {
    pub(crate) fn new(model: &EngineModel, index: usize) -> Self {
        Self {
            role: Role::Decode,
            cache: PrefixCache::default(),
            prefilled_tokens: 0,
            cached_tokens: 0,
            in_step: false,
            step_factor: model.step_factors[index % model.step_factors.len()],
            model: model.clone(),
            waiting: Vec::new(),
            running: Vec::new(),
            chunk: Vec::new(),
            link_free_us: 0,
        }
    }

    pub(crate) fn submit(&mut self, prompt: Prompt) {
        if !prompt.imported {
            self.cached_tokens += prompt.context;
            self.prefilled_tokens += prompt.remaining;
        }
        self.waiting.push(prompt);
    }

    /// Queues a transfer of the KV cache of `tokens` at `now`. Returns the time at which it
    /// completes; both times are in microseconds.
    pub(crate) fn transfer(&mut self, now: u64, tokens: u64) -> u64 {
        let bits = (tokens * self.model.token_bytes * 8) as f64;
        let us = self.model.transfer_setup_ms * US_PER_MS + bits / self.model.link_mbps;
        self.link_free_us = self.link_free_us.max(now) + us as u64;
        self.link_free_us
    }

    /// Load that a response reports.
    pub(crate) fn load(&self, pace: Option<u32>) -> TargetLoad {
        TargetLoad {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            slots: self.model.slots,
            pace,
        }
    }

    /// Number of running calls, and of slots.
    pub(crate) fn occupancy(&self) -> (usize, u32) {
        (self.running.len(), self.model.slots)
    }

    /// Factor on the time of its steps by the deployment.
    pub(crate) fn step_factor(&self) -> f64 {
        self.step_factor
    }

    /// Whether a prompt is not prefilled yet.
    pub(crate) fn is_waiting(&self, call: usize) -> bool {
        self.waiting.iter().any(|p| p.call == call)
    }

    /// Drops a call whose caller has disconnected.
    pub(crate) fn cancel(&mut self, call: usize) {
        self.waiting.retain(|p| p.call != call);
        self.running.retain(|r| r.call != call);
    }

    /// Whether no call waits or runs.
    pub(crate) fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }

    /// Starts a step if there is work and none is in progress. Returns its duration in
    /// microseconds, with a `factor` on the usual time.
    pub(crate) fn start_step(&mut self, factor: f64) -> Option<u64> {
        if self.in_step || (self.waiting.is_empty() && self.running.is_empty()) {
            return None;
        }
        self.in_step = true;
        let context: u64 = self.running.iter().map(|r| r.context).sum();
        let mut ms = self.model.step_ms
            + self.model.slot_ms * self.running.len() as f64
            + self.model.context_ms * context as f64 / 1e3;
        ms += self.schedule_prefill();
        Some((ms * self.step_factor * factor * US_PER_MS) as u64)
    }

    /// Chooses the prompt tokens of the step. Returns the time that they take, in milliseconds.
    fn schedule_prefill(&mut self) -> f64 {
        let (factor, mut budget) = match self.role {
            Role::Prefill => (1.0, self.model.chunk_tokens),
            Role::Decode | Role::Mixed => (
                DECODE_PREFILL_FACTOR,
                self.model.chunk_tokens / DECODE_CHUNK_DIVISOR,
            ),
        };
        let mut slots = (self.model.slots as usize).saturating_sub(self.running.len());
        let mut order: Vec<usize> = (0..self.waiting.len()).collect();
        order.sort_by_key(|i| (!self.waiting[*i].started, self.waiting[*i].priority, *i));
        let mut ms = 0.0;
        for i in order {
            if budget == 0 || slots == 0 {
                break;
            }
            slots -= 1;
            let prompt = &mut self.waiting[i];
            prompt.started = true;
            let tokens = prompt.remaining.min(budget);
            budget -= tokens;
            let pairs = tokens as f64 * (prompt.context as f64 + tokens as f64 / 2.0) / 1e6;
            ms += tokens as f64 / self.model.prefill_rate + pairs * self.model.attention_ms;
            self.chunk.push((prompt.call, tokens));
        }
        ms * factor
    }

    /// Ends the current step.
    pub(crate) fn end_step(&mut self, now: Millis) -> Vec<StepResult> {
        self.in_step = false;
        let mut results = Vec::new();
        for run in &mut self.running {
            run.tokens += 1;
            run.context += 1;
            if run.tokens >= run.output {
                results.push(StepResult::Last(run.call));
            } else if run.tokens % self.model.event_tokens == 0 {
                results.push(StepResult::Event(run.call));
            }
        }
        self.running.retain(|r| r.tokens < r.output);
        for (call, tokens) in std::mem::take(&mut self.chunk) {
            let Some(i) = self.waiting.iter().position(|p| p.call == call) else {
                continue;
            };
            let prompt = &mut self.waiting[i];
            prompt.remaining -= tokens;
            prompt.context += tokens;
            if prompt.remaining == 0 {
                let prompt = self.waiting.remove(i);
                results.push(self.finish_prefill(now, &prompt));
            }
        }
        results
    }

    fn finish_prefill(&mut self, now: Millis, prompt: &Prompt) -> StepResult {
        self.cache.insert(now, &prompt.parts, self.model.kv_tokens);
        let Some(output) = prompt.output else {
            return StepResult::Prefilled(prompt.call);
        };
        self.running.push(RunningCall {
            call: prompt.call,
            tokens: 1,
            output: output.max(2),
            context: prompt.context,
        });
        StepResult::First {
            call: prompt.call,
            imported: prompt.imported,
        }
    }
}
