//! Continuous batching of one engine, as a state machine on a clock given from outside.
//!
//! An iteration takes a fixed time, a time for each prompt token in it and a time for each stream
//! that decodes in it. A prompt chunk therefore delays all streams that decode beside it.

use crate::PrefixCache;
use rw_types::{Backlog, IterationCosts, LoadReport, Role, RoleLimit};

/// Tokens in one piece of KV cache.
const PIECE: u64 = 1_000;
/// Streams that may wait; more are declined.
const QUEUE: usize = 256;
/// Weight of the newest iteration in the reported rates.
const NEWEST: f64 = 0.1;
/// Part of the prefill time that moving the same KV cache from another engine takes.
const TRANSFER: f64 = 0.1;

/// What an iteration costs and what memory holds.
#[derive(Debug, Clone)]
pub struct BatchSettings {
    /// Role at the start.
    pub role: Role,
    /// Fixed time of an iteration, in microseconds.
    pub base_us: f64,
    /// Time of one prompt token, in microseconds.
    pub token_us: f64,
    /// Time of one decoding stream, in microseconds.
    pub stream_us: f64,
    /// Streams of a mixed engine; a prefill engine takes half, a decode engine twice as many.
    pub slots: u32,
    /// Prompt tokens in an iteration of a mixed engine; a prefill engine takes four times as many,
    /// a decode engine a quarter.
    pub chunk: u64,
    /// KV cache, in pieces.
    pub blocks: u32,
    /// Absence at a role change, in microseconds.
    pub change_us: u64,
}

impl BatchSettings {
    /// Streams that an engine of `role` takes.
    #[must_use]
    pub fn slots_of(&self, role: Role) -> u32 {
        match role {
            Role::Prefill => (self.slots / 2).max(1),
            Role::Mixed => self.slots,
            Role::Decode => self.slots * 2,
        }
    }

    /// Prompt tokens in one iteration of an engine of `role`.
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

/// One stream to run.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Job {
    /// Identity, unique at this engine.
    pub id: u64,
    /// Prompt tokens.
    pub prompt: u64,
    /// Tokens of the whole output.
    pub output: u64,
    /// First token wanted.
    pub resume: u64,
    /// Higher goes first.
    pub priority: u8,
    /// Hashes of the prompt's prefixes, one per piece.
    pub blocks: Vec<u64>,
    /// Whether its KV cache comes from another engine.
    pub imported: bool,
}

/// One token, or the end of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenEvent {
    /// Stream.
    pub id: u64,
    /// Token number.
    pub n: u64,
    /// Whether the stream ended before this number.
    pub end: bool,
}

#[derive(Debug, Clone)]
struct Stream {
    job: Job,
    /// Prompt work left, in tokens.
    left: f64,
    /// Prompt work in the iteration under way.
    taken: f64,
    next: u64,
    begun: u64,
}

#[derive(Debug, Clone)]
enum Phase {
    Up,
    Draining(Role),
    Away(Role, u64),
}

/// The state of one engine.
#[derive(Debug, Clone)]
pub struct Batch {
    settings: BatchSettings,
    role: Role,
    phase: Phase,
    cache: PrefixCache,
    /// Sorted by priority, highest first, then by arrival.
    queue: Vec<Job>,
    streams: Vec<Stream>,
    /// End of the iteration under way.
    until: Option<u64>,
    token_us: f64,
    iteration_us: f64,
    slot_us: f64,
    /// Prompt tokens found in the cache.
    pub cached_tokens: u64,
    /// Prompt tokens looked up.
    pub lookup_tokens: u64,
    /// Tokens given out.
    pub output_tokens: u64,
}

impl Batch {
    /// An idle engine.
    #[must_use]
    pub fn new(settings: BatchSettings) -> Self {
        let role = settings.role;
        let mut batch = Self {
            settings,
            role,
            phase: Phase::Up,
            cache: PrefixCache::default(),
            queue: Vec::new(),
            streams: Vec::new(),
            until: None,
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

    /// Role in force.
    #[must_use]
    pub fn role(&self) -> Role {
        self.role
    }

    /// Whether it takes new streams.
    #[must_use]
    pub fn is_accepting(&self) -> bool {
        matches!(self.phase, Phase::Up)
    }

    /// Streams taken that have not ended.
    #[must_use]
    pub fn open_streams(&self) -> usize {
        self.queue.len() + self.streams.len()
    }

    /// Takes a stream, or declines it without running any part of it.
    pub fn submit(&mut self, now: u64, job: Job) -> bool {
        if !self.is_accepting() || self.queue.len() >= QUEUE {
            return false;
        }
        let i = self.queue.partition_point(|q| q.priority >= job.priority);
        self.queue.insert(i, job);
        if self.until.is_none() {
            self.begin(now);
        }
        true
    }

    /// Drops a stream.
    pub fn cancel(&mut self, id: u64) {
        self.queue.retain(|j| j.id != id);
        self.streams.retain(|s| s.job.id != id);
    }

    /// Finishes the streams taken, goes away and comes back in `role`.
    pub fn change_role(&mut self, now: u64, role: Role) {
        self.phase = Phase::Draining(role);
        if self.until.is_none() {
            self.begin(now);
        }
    }

    /// When [`Batch::advance`] is due, in microseconds.
    #[must_use]
    pub fn next_deadline(&self) -> Option<u64> {
        match self.phase {
            Phase::Away(_, until) => Some(until),
            _ => self.until,
        }
    }

    /// Ends what is due at `now` and begins the next iteration.
    pub fn advance(&mut self, now: u64) -> Vec<TokenEvent> {
        let mut out = Vec::new();
        if let Phase::Away(role, until) = self.phase
            && until <= now
        {
            self.role = role;
            self.phase = Phase::Up;
            self.reset_rates();
        }
        if self.until.is_some_and(|until| until <= now) {
            self.finish(now, &mut out);
            self.begin(now);
        }
        out
    }

    /// Load as the engine sees it now; the age is left to the caller.
    #[must_use]
    pub fn report(&self) -> LoadReport {
        let mut backlog: Vec<Backlog> = Vec::new();
        let waiting = self
            .queue
            .iter()
            .map(|j| (j.priority, self.work(j, self.peek(j)), 1, blocks(j)));
        let filling = self
            .streams
            .iter()
            .map(|s| (s.job.priority, s.left, 0, 0))
            .filter(|(_, left, ..)| *left > 0.0);
        for (priority, tokens, streams, blocks) in waiting.chain(filling) {
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
            blocks: self.held(),
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

    /// Prompt work of a stream whose first `hits` pieces are cached, in tokens.
    fn work(&self, job: &Job, hits: usize) -> f64 {
        let all = job.prompt + job.resume;
        let left = all.saturating_sub(hits as u64 * PIECE).max(1) as f64;
        if job.imported { left * TRANSFER } else { left }
    }

    fn finish(&mut self, now: u64, out: &mut Vec<TokenEvent>) {
        self.until = None;
        let room = self.room();
        let mut kept = Vec::with_capacity(self.streams.len());
        for mut stream in std::mem::take(&mut self.streams) {
            let filled = stream.left > 0.0;
            stream.left -= stream.taken;
            stream.taken = 0.0;
            if stream.left > 0.0 {
                kept.push(stream);
                continue;
            }
            if filled {
                self.cache.store(&stream.job.blocks, room);
            }
            let id = stream.job.id;
            if stream.next < stream.job.output {
                out.push(TokenEvent {
                    id,
                    n: stream.next,
                    end: false,
                });
                stream.next += 1;
                self.output_tokens += 1;
            }
            if stream.next >= stream.job.output {
                let held = (now - stream.begun) as f64;
                self.slot_us += NEWEST * (held - self.slot_us);
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

    fn begin(&mut self, now: u64) {
        self.admit(now);
        if self.streams.is_empty() {
            if let Phase::Draining(role) = self.phase {
                self.phase = Phase::Away(role, now + self.settings.change_us);
            }
            return;
        }
        let mut budget = self.settings.chunk_of(self.role) as f64;
        let mut tokens = 0.0;
        let mut decoding = 0;
        for stream in &mut self.streams {
            if stream.left <= 0.0 {
                decoding += 1;
                continue;
            }
            stream.taken = stream.left.min(budget);
            budget -= stream.taken;
            tokens += stream.taken;
        }
        let cost = self.settings.cost(tokens, decoding);
        self.until = Some(now + cost as u64);
        self.iteration_us += NEWEST * (cost - self.iteration_us);
        if tokens > 0.0 {
            let full = budget <= 0.0;
            let chunk = self.settings.chunk_of(self.role) as f64;
            let shape = if full {
                cost
            } else {
                self.settings.cost(chunk, decoding)
            };
            self.token_us += NEWEST * (shape / chunk - self.token_us);
        }
    }

    fn admit(&mut self, now: u64) {
        let slots = self.settings.slots_of(self.role) as usize;
        while self.streams.len() < slots && !self.queue.is_empty() {
            let need = blocks(&self.queue[0]);
            if self.held() + need > self.settings.blocks && !self.streams.is_empty() {
                return;
            }
            let job = self.queue.remove(0);
            let hits = self.cache.lookup(&job.blocks);
            self.lookup_tokens += job.prompt;
            self.cached_tokens += (hits as u64 * PIECE).min(job.prompt);
            let left = self.work(&job, hits);
            let next = job.resume;
            // Prompts of higher priority are filled first.
            let i = self
                .streams
                .partition_point(|s| s.job.priority >= job.priority);
            self.streams.insert(
                i,
                Stream {
                    job,
                    left,
                    taken: 0.0,
                    next,
                    begun: now,
                },
            );
            let room = self.room();
            self.cache.evict_to(room);
        }
    }

    fn held(&self) -> u32 {
        self.streams.iter().map(|s| blocks(&s.job)).sum()
    }

    fn room(&self) -> usize {
        self.settings.blocks.saturating_sub(self.held()) as usize
    }

    fn reset_rates(&mut self) {
        let chunk = self.settings.chunk_of(self.role) as f64;
        self.token_us = self.settings.cost(chunk, 0) / chunk;
        self.iteration_us = self.settings.cost(0.0, 1);
        self.slot_us = 0.0;
    }
}

fn blocks(job: &Job) -> u32 {
    (job.prompt + job.output).div_ceil(PIECE) as u32
}
