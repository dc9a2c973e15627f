//! Continuous batching of one engine, as a state machine whose clock is passed in by the caller.
//!
//! The duration of an iteration has a fixed part, a part for each prompt token and a part for each
//! decoding stream in it. A prompt chunk therefore delays all streams that decode in the same
//! iteration. All times are in microseconds.

use crate::PrefixCache;
use rw_types::{Backlog, IterationCosts, LoadReport, Role, RoleLimit};

/// Tokens in one block of KV cache.
const BLOCK_TOKENS: u64 = 1_000;
/// Maximum number of queued streams; further ones are rejected.
const MAX_QUEUED: usize = 256;
/// Weight of the newest sample in the moving averages of the load report.
const NEWEST_WEIGHT: f64 = 0.1;
/// Time to transfer KV cache from another engine, as a fraction of the time to compute it.
const TRANSFER_RATIO: f64 = 0.1;

/// Iteration costs and limits of an engine.
#[derive(Debug, Clone)]
pub struct BatchSettings {
    /// Initial role.
    pub role: Role,
    /// Fixed part of the duration of an iteration, in microseconds.
    pub base_us: f64,
    /// Additional duration for each prompt token, in microseconds.
    pub token_us: f64,
    /// Additional duration for each decoding stream, in microseconds.
    pub stream_us: f64,
    /// Maximum concurrent streams in the mixed role; half as many in the prefill role and twice as
    /// many in the decode role.
    pub slots: u32,
    /// Maximum prompt tokens of an iteration in the mixed role; four times as many in the prefill
    /// role and a quarter in the decode role.
    pub chunk: u64,
    /// Size of the KV cache, in blocks.
    pub blocks: u32,
    /// Time for which the engine is unavailable during a role change, in microseconds.
    pub change_us: u64,
}

impl BatchSettings {
    /// Maximum number of concurrent streams in `role`.
    #[must_use]
    pub fn slots_of(&self, role: Role) -> u32 {
        match role {
            Role::Prefill => (self.slots / 2).max(1),
            Role::Mixed => self.slots,
            Role::Decode => self.slots * 2,
        }
    }

    /// Maximum number of prompt tokens of an iteration in `role`.
    #[must_use]
    pub fn chunk_of(&self, role: Role) -> u64 {
        match role {
            Role::Prefill => self.chunk * 4,
            Role::Mixed => self.chunk,
            Role::Decode => (self.chunk / 4).max(1),
        }
    }

    fn cost(&self, tokens: f64, streams: usize) -> f64 {
        self.base_us + tokens * self.token_us + streams as f64 * self.stream_us
    }
}

/// A generation request to run as one stream.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Job {
    /// Identifier, unique at this engine.
    pub id: u64,
    /// Number of prompt tokens.
    pub prompt: u64,
    /// Number of tokens of the complete output.
    pub output: u64,
    /// Number of the first token to emit; the caller already has the tokens before it.
    pub resume: u64,
    /// Priority; higher values run first.
    pub priority: u8,
    /// Hashes of the prompt's prefixes, one per block.
    pub blocks: Vec<u64>,
    /// Whether the KV cache of the prompt is transferred from another engine.
    pub imported: bool,
}

/// One token of a stream, or its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenEvent {
    /// Identifier of the stream.
    pub id: u64,
    /// Token number.
    pub n: u64,
    /// Whether this is the end of the stream; `n` is then the number of tokens of the complete
    /// output.
    pub end: bool,
}

#[derive(Debug, Clone)]
struct Stream {
    job: Job,
    /// Remaining prefill work, in tokens.
    prefill_left: f64,
    /// Prefill work in the current iteration, in tokens.
    scheduled: f64,
    next_token: u64,
    admitted_at: u64,
}

#[derive(Debug, Clone)]
enum Phase {
    Active,
    /// Finishing the accepted streams before changing to the role.
    Draining(Role),
    /// Changing to the role until the given time.
    Unavailable(Role, u64),
}

/// State of one engine.
#[derive(Debug, Clone)]
pub struct Batch {
    settings: BatchSettings,
    role: Role,
    phase: Phase,
    cache: PrefixCache,
    /// Sorted by priority, highest first, then by arrival.
    queue: Vec<Job>,
    streams: Vec<Stream>,
    /// End of the current iteration.
    iteration_end: Option<u64>,
    /// Moving average of the time per prompt token in an iteration with a full chunk.
    token_us: f64,
    /// Moving average of the duration of an iteration.
    iteration_us: f64,
    /// Moving average of the time that a stream occupies its slot.
    slot_us: f64,
    /// Prompt tokens found in the prefix cache so far.
    pub cached_tokens: u64,
    /// Prompt tokens looked up in the prefix cache so far.
    pub lookup_tokens: u64,
    /// Tokens emitted so far.
    pub output_tokens: u64,
}

impl Batch {
    /// Creates an idle engine.
    #[must_use]
    pub fn new(settings: BatchSettings) -> Self {
        let role = settings.role;
        let mut batch = Self {
            settings,
            role,
            phase: Phase::Active,
            cache: PrefixCache::default(),
            queue: Vec::new(),
            streams: Vec::new(),
            iteration_end: None,
            token_us: 0.0,
            iteration_us: 0.0,
            slot_us: 0.0,
            cached_tokens: 0,
            lookup_tokens: 0,
            output_tokens: 0,
        };
        batch.reset_rates();
        batch
    }

    /// Current role.
    #[must_use]
    pub fn role(&self) -> Role {
        self.role
    }

    /// Whether new streams are accepted; false during a role change.
    #[must_use]
    pub fn is_accepting(&self) -> bool {
        matches!(self.phase, Phase::Active)
    }

    /// Number of queued and running streams.
    #[must_use]
    pub fn open_streams(&self) -> usize {
        self.queue.len() + self.streams.len()
    }

    /// Queues a stream; false if it is rejected, in which case no part of it runs.
    pub fn submit(&mut self, now: u64, job: Job) -> bool {
        if !self.is_accepting() || self.queue.len() >= MAX_QUEUED {
            return false;
        }
        let i = self.queue.partition_point(|q| q.priority >= job.priority);
        self.queue.insert(i, job);
        if self.iteration_end.is_none() {
            self.start_iteration(now);
        }
        true
    }

    /// Cancels a stream; unknown identifiers are ignored.
    pub fn cancel(&mut self, id: u64) {
        self.queue.retain(|j| j.id != id);
        self.streams.retain(|s| s.job.id != id);
    }

    /// Starts a role change: accepted streams are finished, then the engine is unavailable for
    /// `change_us` and resumes in `role`.
    pub fn change_role(&mut self, now: u64, role: Role) {
        self.phase = Phase::Draining(role);
        if self.iteration_end.is_none() {
            self.start_iteration(now);
        }
    }

    /// Time at which to call [`Batch::advance`] next; `None` if the engine is idle.
    #[must_use]
    pub fn next_deadline(&self) -> Option<u64> {
        match self.phase {
            Phase::Unavailable(_, until) => Some(until),
            _ => self.iteration_end,
        }
    }

    /// Finishes the iteration or role change that is over at `now`, starts the next iteration and
    /// returns the emitted tokens.
    pub fn advance(&mut self, now: u64) -> Vec<TokenEvent> {
        let mut out = Vec::new();
        if let Phase::Unavailable(role, until) = self.phase
            && until <= now
        {
            self.role = role;
            self.phase = Phase::Active;
            self.reset_rates();
        }
        if self.iteration_end.is_some_and(|end| end <= now) {
            self.finish_iteration(now, &mut out);
            self.start_iteration(now);
        }
        out
    }

    /// Current load, without the models and the age, which the caller adds.
    #[must_use]
    pub fn report(&self) -> LoadReport {
        let mut backlog: Vec<Backlog> = Vec::new();
        let waiting = self.queue.iter().map(|j| {
            (
                j.priority,
                self.prefill_work(j, self.peek(j)),
                1,
                needed_blocks(j),
            )
        });
        let prefilling = self
            .streams
            .iter()
            .map(|s| (s.job.priority, s.prefill_left, 0, 0))
            .filter(|(_, left, ..)| *left > 0.0);
        for (priority, tokens, streams, blocks) in waiting.chain(prefilling) {
            let i = backlog.partition_point(|b| b.priority > priority);
            if backlog.get(i).is_none_or(|b| b.priority != priority) {
                backlog.insert(
                    i,
                    Backlog {
                        priority,
                        ..Default::default()
                    },
                );
            }
            backlog[i].tokens += tokens as u64;
            backlog[i].streams += streams;
            backlog[i].blocks += blocks;
        }
        LoadReport {
            queued: backlog.iter().map(|b| b.tokens).sum(),
            running: self.streams.len() as u32,
            slots: self.settings.slots_of(self.role),
            blocks: self.used_blocks(),
            max_blocks: self.settings.blocks,
            role: self.role,
            prefill_rate: (1e6 / self.token_us) as u64,
            decode_rate: (1e6 / self.iteration_us).max(1.0) as u64,
            draining: !self.is_accepting(),
            slot_ms: (self.slot_us / 1e3) as u64,
            costs: IterationCosts {
                base_us: self.settings.base_us,
                token_us: self.settings.token_us,
                stream_us: self.settings.stream_us,
            },
            limits: [Role::Mixed, Role::Prefill, Role::Decode]
                .map(|role| RoleLimit {
                    role,
                    slots: self.settings.slots_of(role),
                    chunk: self.settings.chunk_of(role),
                })
                .to_vec(),
            backlog,
            cache: self.cache.events().to_vec(),
            ..LoadReport::default()
        }
    }

    fn peek(&self, job: &Job) -> usize {
        self.cache.peek(&job.blocks)
    }

    /// Prefill work of a stream whose first `hits` blocks are cached, in tokens.
    fn prefill_work(&self, job: &Job, hits: usize) -> f64 {
        let all = job.prompt + job.resume;
        let left = all.saturating_sub(hits as u64 * BLOCK_TOKENS).max(1) as f64;
        if job.imported {
            left * TRANSFER_RATIO
        } else {
            left
        }
    }

    fn finish_iteration(&mut self, now: u64, out: &mut Vec<TokenEvent>) {
        self.iteration_end = None;
        let capacity = self.cache_capacity();
        let mut kept = Vec::with_capacity(self.streams.len());
        for mut stream in std::mem::take(&mut self.streams) {
            let was_prefilling = stream.prefill_left > 0.0;
            stream.prefill_left -= stream.scheduled;
            stream.scheduled = 0.0;
            if stream.prefill_left > 0.0 {
                kept.push(stream);
                continue;
            }
            if was_prefilling {
                self.cache.store(&stream.job.blocks, capacity);
            }
            let id = stream.job.id;
            if stream.next_token < stream.job.output {
                out.push(TokenEvent {
                    id,
                    n: stream.next_token,
                    end: false,
                });
                stream.next_token += 1;
                self.output_tokens += 1;
            }
            if stream.next_token >= stream.job.output {
                let occupied = (now - stream.admitted_at) as f64;
                self.slot_us += NEWEST_WEIGHT * (occupied - self.slot_us);
                out.push(TokenEvent {
                    id,
                    n: stream.job.output,
                    end: true,
                });
                continue;
            }
            kept.push(stream);
        }
        self.streams = kept;
    }

    fn start_iteration(&mut self, now: u64) {
        self.admit(now);
        if self.streams.is_empty() {
            if let Phase::Draining(role) = self.phase {
                self.phase = Phase::Unavailable(role, now + self.settings.change_us);
            }
            return;
        }
        let mut budget = self.settings.chunk_of(self.role) as f64;
        let mut tokens = 0.0;
        let mut decoding = 0;
        for stream in &mut self.streams {
            if stream.prefill_left <= 0.0 {
                decoding += 1;
                continue;
            }
            stream.scheduled = stream.prefill_left.min(budget);
            budget -= stream.scheduled;
            tokens += stream.scheduled;
        }
        let cost = self.settings.cost(tokens, decoding);
        self.iteration_end = Some(now + cost as u64);
        self.iteration_us += NEWEST_WEIGHT * (cost - self.iteration_us);
        if tokens > 0.0 {
            let full = budget <= 0.0;
            let chunk = self.settings.chunk_of(self.role) as f64;
            let chunk_cost = if full {
                cost
            } else {
                self.settings.cost(chunk, decoding)
            };
            self.token_us += NEWEST_WEIGHT * (chunk_cost / chunk - self.token_us);
        }
    }

    fn admit(&mut self, now: u64) {
        let slots = self.settings.slots_of(self.role) as usize;
        while self.streams.len() < slots && !self.queue.is_empty() {
            let needed = needed_blocks(&self.queue[0]);
            if self.used_blocks() + needed > self.settings.blocks && !self.streams.is_empty() {
                return;
            }
            let job = self.queue.remove(0);
            let hits = self.cache.lookup(&job.blocks);
            self.lookup_tokens += job.prompt;
            self.cached_tokens += (hits as u64 * BLOCK_TOKENS).min(job.prompt);
            let prefill_left = self.prefill_work(&job, hits);
            let next_token = job.resume;
            // Prompts of higher priority are prefilled first.
            let i = self
                .streams
                .partition_point(|s| s.job.priority >= job.priority);
            self.streams.insert(
                i,
                Stream {
                    job,
                    prefill_left,
                    scheduled: 0.0,
                    next_token,
                    admitted_at: now,
                },
            );
            let capacity = self.cache_capacity();
            self.cache.evict_to(capacity);
        }
    }

    fn used_blocks(&self) -> u32 {
        self.streams.iter().map(|s| needed_blocks(&s.job)).sum()
    }

    fn cache_capacity(&self) -> usize {
        self.settings.blocks.saturating_sub(self.used_blocks()) as usize
    }

    fn reset_rates(&mut self) {
        let chunk = self.settings.chunk_of(self.role) as f64;
        self.token_us = self.settings.cost(chunk, 0) / chunk;
        self.iteration_us = self.settings.cost(0.0, 1);
        self.slot_us = 0.0;
    }
}

fn needed_blocks(job: &Job) -> u32 {
    (job.prompt + job.output).div_ceil(BLOCK_TOKENS) as u32
}
