//! An engine as its sheet tells: steps that carry one token of each running call and one chunk of
//! prompts. A prompt that is begun goes on before others, which go by rank and then by arrival.

use super::sheet::EngineModel;
use rw_gate::{PrefixCache, PromptPart, Role};
use rw_types::Millis;

/// Microseconds in a millisecond.
const MS: f64 = 1e3;
/// Times longer that a decoding engine takes for prompt tokens.
const DECODE_SLOWER: f64 = 2.0;
/// Part of a chunk that a decoding engine fills in a step.
const DECODE_CHUNK: u64 = 4;

/// A prompt that waits or is being filled.
#[derive(Debug, Clone)]
pub(crate) struct Prompt {
    pub(crate) call: usize,
    pub(crate) rank: u8,
    pub(crate) parts: Vec<PromptPart>,
    /// Tokens that are left to fill.
    pub(crate) left: u64,
    /// Tokens before them.
    pub(crate) before: u64,
    /// Tokens of the answer; `None` where the prompt is only filled.
    pub(crate) output: Option<u32>,
    pub(crate) begun: bool,
    /// Whether another engine filled it.
    pub(crate) taken: bool,
}

/// A call whose answer is being made.
#[derive(Debug, Clone)]
struct Run {
    call: usize,
    tokens: u32,
    output: u32,
    context: u64,
}

/// What a step brought.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Made {
    /// A prompt is filled and kept.
    Filled(usize),
    /// A prompt is filled and its answer begins.
    First {
        call: usize,
        /// Whether another engine filled it.
        taken: bool,
    },
    /// An event of an answer.
    Event(usize),
    /// The last event of an answer.
    Last(usize),
}

/// One engine.
#[derive(Debug, Clone)]
pub(crate) struct Engine {
    pub(crate) role: Role,
    pub(crate) cache: PrefixCache,
    /// Prompt tokens filled and found.
    pub(crate) filled: u64,
    pub(crate) kept: u64,
    /// Whether a step is under way.
    stepping: bool,
    slowness: f64,
    sheet: EngineModel,
    /// Waiting prompts, in order of arrival.
    prompts: Vec<Prompt>,
    runs: Vec<Run>,
    /// Prompt tokens of the step under way, by call.
    chunk: Vec<(usize, u64)>,
    /// Microsecond at which the link is free.
    link_free: u64,
}

impl Engine {
    pub(crate) fn new(sheet: &EngineModel, index: usize) -> Self {
        Self {
            role: Role::Decode,
            cache: PrefixCache::default(),
            filled: 0,
            kept: 0,
            stepping: false,
            slowness: sheet.step_factors[index % sheet.step_factors.len()],
            sheet: sheet.clone(),
            prompts: Vec::new(),
            runs: Vec::new(),
            chunk: Vec::new(),
            link_free: 0,
        }
    }

    pub(crate) fn submit(&mut self, prompt: Prompt) {
        if !prompt.taken {
            self.kept += prompt.before;
            self.filled += prompt.left;
        }
        self.prompts.push(prompt);
    }

    /// Microsecond at which a transfer of `tokens` that is asked for at `now` is done.
    pub(crate) fn transfer(&mut self, now: u64, tokens: u64) -> u64 {
        let bits = (tokens * self.sheet.token_bytes * 8) as f64;
        let us = self.sheet.transfer_setup_ms * MS + bits / self.sheet.link_mbps;
        self.link_free = self.link_free.max(now) + us as u64;
        self.link_free
    }

    /// Drops a call whose connection closed.
    pub(crate) fn drop_call(&mut self, call: usize) {
        self.prompts.retain(|p| p.call != call);
        self.runs.retain(|r| r.call != call);
    }

    /// Begins a step if there is work and none is under way; returns its microseconds.
    pub(crate) fn begin_step(&mut self) -> Option<u64> {
        if self.stepping || (self.prompts.is_empty() && self.runs.is_empty()) {
            return None;
        }
        self.stepping = true;
        let context: u64 = self.runs.iter().map(|r| r.context).sum();
        let mut ms = self.sheet.step_ms
            + self.sheet.slot_ms * self.runs.len() as f64
            + self.sheet.context_ms * context as f64 / 1e3;
        ms += self.take_chunk();
        Some((ms * self.slowness * MS) as u64)
    }

    /// Takes prompt tokens into the step; returns their milliseconds.
    fn take_chunk(&mut self) -> f64 {
        let (slower, mut budget) = match self.role {
            Role::Prefill => (1.0, self.sheet.chunk_tokens),
            Role::Decode | Role::Mixed => (DECODE_SLOWER, self.sheet.chunk_tokens / DECODE_CHUNK),
        };
        let mut slots = (self.sheet.slots as usize).saturating_sub(self.runs.len());
        let mut order: Vec<usize> = (0..self.prompts.len()).collect();
        order.sort_by_key(|i| (!self.prompts[*i].begun, self.prompts[*i].rank, *i));
        let mut ms = 0.0;
        for i in order {
            if budget == 0 || slots == 0 {
                break;
            }
            slots -= 1;
            let prompt = &mut self.prompts[i];
            prompt.begun = true;
            let tokens = prompt.left.min(budget);
            budget -= tokens;
            let pairs = tokens as f64 * (prompt.before as f64 + tokens as f64 / 2.0) / 1e6;
            ms += tokens as f64 / self.sheet.prefill_rate + pairs * self.sheet.attention_ms;
            self.chunk.push((prompt.call, tokens));
        }
        ms * slower
    }

    /// Ends the step under way.
    pub(crate) fn end_step(&mut self, now: Millis) -> Vec<Made> {
        self.stepping = false;
        let mut made = Vec::new();
        for run in &mut self.runs {
            run.tokens += 1;
            run.context += 1;
            if run.tokens >= run.output {
                made.push(Made::Last(run.call));
            } else if run.tokens % self.sheet.event_tokens == 0 {
                made.push(Made::Event(run.call));
            }
        }
        self.runs.retain(|r| r.tokens < r.output);
        for (call, tokens) in std::mem::take(&mut self.chunk) {
            let Some(i) = self.prompts.iter().position(|p| p.call == call) else {
                continue;
            };
            let prompt = &mut self.prompts[i];
            prompt.left -= tokens;
            prompt.before += tokens;
            if prompt.left == 0 {
                let prompt = self.prompts.remove(i);
                made.push(self.filled(now, &prompt));
            }
        }
        made
    }

    fn filled(&mut self, now: Millis, prompt: &Prompt) -> Made {
        self.cache.insert(now, &prompt.parts, self.sheet.kv_tokens);
        let Some(output) = prompt.output else {
            return Made::Filled(prompt.call);
        };
        self.runs.push(Run {
            call: prompt.call,
            tokens: 1,
            output: output.max(2),
            context: prompt.before,
        });
        Made::First {
            call: prompt.call,
            taken: prompt.taken,
        }
    }
}
