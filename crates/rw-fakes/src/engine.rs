//! The engine stand-in: continuous batching in real time, with orders and load reports.

use crate::{ArmedFault, Batch, BatchSettings, Fault, Faults, Job, OrderTracker, TokenEvent};
use rw_http::{Limits, Listener, Method, Request, Response, event_stream, json, raw, read_body};
use rw_types::{IterationCosts, LoadReport, Order, OrderKind, Role, prefix_hashes};
use serde::{Deserialize, Serialize};
use std::{
    collections::VecDeque,
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

/// Largest request body taken, in bytes.
const MAX_BODY: u64 = 64 << 20;
/// Reports kept, from which a lagging one is chosen.
const REPORTS: usize = 256;
/// Prompt tokens in one iteration of a mixed engine.
const CHUNK: u64 = 1_024;
/// Part of an iteration's fixed time that each decoding stream adds.
const STREAM_PART: f64 = 0.006;
/// Seconds between looks at whether a drain has ended.
const DRAIN_PAUSE: f64 = 0.005;

/// Settings of the engine stand-in.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// Address to bind.
    pub listen: SocketAddr,
    /// Models held at the start, sorted.
    pub models: Vec<String>,
    /// Role at the start.
    pub role: Role,
    /// Prefill speed without other work, tokens a second.
    pub prefill_rate: u64,
    /// Decode speed of a stream that runs alone, tokens a second.
    pub decode_rate: u64,
    /// Streams taken at once in the mixed role.
    pub slots: u32,
    /// KV cache, in pieces of about a thousand tokens.
    pub blocks: u32,
    /// Whether it refuses an order with an old fencing token.
    pub checks_fence: bool,
    /// Milliseconds that a role change takes it away.
    pub change_ms: u64,
    /// Milliseconds by which load reports lag.
    pub lag_ms: u64,
    /// Factor by which its time runs faster than the clock.
    pub speed: f64,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0),
            models: Vec::new(),
            role: Role::Mixed,
            prefill_rate: 100_000,
            decode_rate: 1_000,
            slots: 64,
            blocks: 1_000,
            checks_fence: true,
            change_ms: 2_000,
            lag_ms: 0,
            speed: 1.0,
        }
    }
}

impl EngineSettings {
    fn batch(&self) -> BatchSettings {
        let base_us = 1e6 / self.decode_rate.max(1) as f64;
        BatchSettings {
            role: self.role,
            base_us,
            token_us: 1e6 / self.prefill_rate.max(1) as f64,
            stream_us: base_us * STREAM_PART,
            slots: self.slots,
            chunk: CHUNK,
            blocks: self.blocks,
            change_us: self.change_ms * 1_000,
        }
    }
}

/// A request to an engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Generate {
    /// Attempt, echoed in every event.
    pub attempt: u64,
    /// Model.
    pub model: String,
    /// Prompt tokens.
    pub prompt: u64,
    /// Text of the prompt.
    pub text: String,
    /// Tokens to generate.
    pub output: u64,
    /// First token wanted, after those the caller has.
    pub resume: u64,
    /// Higher goes first.
    pub priority: u8,
    /// Engine that holds the KV cache of the prompt, which is then moved instead of computed.
    #[serde(default)]
    pub import: Option<String>,
}

#[derive(Debug)]
struct State {
    models: Vec<String>,
    batch: Batch,
    book: OrderTracker,
    /// Open streams, sorted by job.
    streams: Vec<(u64, async_channel::Sender<TokenEvent>)>,
    next_job: u64,
    /// Reports with the engine's time of each, oldest first.
    reports: VecDeque<(u64, LoadReport)>,
}

/// The engine stand-in, bound but not yet serving.
#[derive(Debug)]
pub struct FakeEngine {
    listener: Listener,
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    settings: EngineSettings,
    state: Mutex<State>,
    faults: Faults,
    started: Instant,
    wake: async_channel::Sender<()>,
    woken: async_channel::Receiver<()>,
}

impl FakeEngine {
    /// Binds the listener.
    ///
    /// # Errors
    ///
    /// The error of the operating system.
    pub fn bind(settings: EngineSettings) -> io::Result<Self> {
        let listener = Listener::bind(settings.listen, Limits::default())?;
        let state = State {
            models: settings.models.clone(),
            batch: Batch::new(settings.batch()),
            book: OrderTracker::new(settings.checks_fence),
            streams: Vec::new(),
            next_job: 1,
            reports: VecDeque::new(),
        };
        let (wake, woken) = async_channel::bounded(1);
        let inner = Inner {
            settings,
            state: Mutex::new(state),
            faults: Faults::default(),
            started: Instant::now(),
            wake,
            woken,
        };
        Ok(Self {
            listener,
            inner: Arc::new(inner),
        })
    }

    /// The address bound.
    ///
    /// # Errors
    ///
    /// The error of the operating system.
    pub fn addr(&self) -> io::Result<SocketAddr> {
        self.listener.addr()
    }

    /// Serves until the future is dropped.
    pub async fn run(self) {
        let inner = self.inner.clone();
        let serving = self.listener.run(move |request| {
            let inner = inner.clone();
            async move { inner.answer(request).await }
        });
        smol::future::or(serving, self.inner.iterate()).await;
    }
}

impl Inner {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn answer(self: Arc<Self>, mut request: Request) -> Response {
        let body = match read_body(&mut request, MAX_BODY).await {
            Ok(body) => body,
            Err(status) => return raw(status.into(), Vec::new(), "text/plain"),
        };
        let path = request.url().path().to_owned();
        if path == "/fault" {
            let Ok(armed) = serde_json::from_slice::<Vec<ArmedFault>>(&body) else {
                return raw(400, Vec::new(), "text/plain");
            };
            self.faults.set(armed);
            return json(200, &());
        }
        if path == "/calls" {
            return json(200, &self.faults.calls());
        }
        self.faults.crash_on(&body);
        let struck = self.faults.on_call(&path);
        if struck.contains(&Fault::Reject) {
            let mut answer = raw(503, Vec::new(), "text/plain");
            answer.insert_header("x-outcome", "not-run");
            return answer;
        }
        Faults::delay(&struck).await;
        match (request.method(), path.as_str()) {
            (Method::Post, "/generate") => match serde_json::from_slice(&body) {
                Ok(generate) => self.generate(generate, struck),
                Err(_) => raw(400, Vec::new(), "text/plain"),
            },
            (Method::Get, "/load") => json(200, &self.load()),
            (Method::Get, "/held") => json(200, &self.lock().book.accepted()),
            (Method::Get, "/order") => json(200, self.lock().book.latest()),
            (Method::Post, "/order") => match serde_json::from_slice(&body) {
                Ok(order) => self.order(order),
                Err(_) => raw(400, Vec::new(), "text/plain"),
            },
            _ => raw(404, Vec::new(), "text/plain"),
        }
    }

    /// Time of the engine, in microseconds.
    fn now(&self) -> u64 {
        (self.started.elapsed().as_secs_f64() * self.settings.speed * 1e6) as u64
    }

    /// Runs iterations as they fall due, forever.
    async fn iterate(&self) {
        loop {
            let now = self.now();
            let due = {
                let mut state = self.lock();
                for emitted in state.batch.advance(now) {
                    state.pass_on(emitted);
                }
                state.batch.next_deadline()
            };
            match due {
                Some(due) => {
                    let wait = due.saturating_sub(now) as f64 / 1e6 / self.settings.speed;
                    let timer = pause(wait);
                    smol::future::or(timer, self.woken()).await;
                }
                None => self.woken().await,
            }
        }
    }

    async fn woken(&self) {
        let _ = self.woken.recv().await;
    }

    fn generate(self: Arc<Self>, generate: Generate, struck: Vec<Fault>) -> Response {
        let now = self.now();
        let (job, tokens) = {
            let mut state = self.lock();
            let holds = state.models.binary_search(&generate.model).is_ok();
            let id = state.next_job;
            let job = Job {
                id,
                prompt: generate.prompt,
                output: generate.output,
                resume: generate.resume,
                priority: generate.priority,
                blocks: prefix_hashes(&generate.text),
                imported: generate.import.is_some(),
            };
            if !holds || state.book.is_closed() || !state.batch.submit(now, job) {
                drop(state);
                let mut answer = raw(503, Vec::new(), "text/plain");
                answer.insert_header("x-outcome", "not-run");
                return answer;
            }
            state.next_job += 1;
            let (tx, rx) = async_channel::unbounded();
            state.streams.push((id, tx));
            (id, rx)
        };
        let _ = self.wake.try_send(());
        let (tx, rx) = async_channel::bounded(64);
        smol::spawn(async move {
            self.stream(&generate, &struck, &tokens, &tx).await;
            let mut state = self.lock();
            state.batch.cancel(job);
            state.streams.retain(|s| s.0 != job);
        })
        .detach();
        event_stream(rx)
    }

    async fn stream(
        &self,
        generate: &Generate,
        struck: &[Fault],
        tokens: &async_channel::Receiver<TokenEvent>,
        tx: &async_channel::Sender<io::Result<Vec<u8>>>,
    ) {
        let crossed = u64::from(struck.contains(&Fault::WrongAttempt));
        let attempt = generate.attempt + crossed;
        let seed = rw_types::fingerprint(generate.text.as_bytes()).wrapping_add(crossed);
        let cut = struck
            .iter()
            .any(|f| matches!(f, Fault::TruncateResponse | Fault::DropResponse));
        while let Ok(TokenEvent { n, end, .. }) = tokens.recv().await {
            if cut && n >= generate.output / 2 {
                let _ = tx.send(Err(io::ErrorKind::ConnectionReset.into())).await;
                return;
            }
            if n >= generate.output / 2 && struck.contains(&Fault::NoEnd) {
                return;
            }
            if n >= generate.output / 2 && struck.contains(&Fault::Stall) {
                std::future::pending::<()>().await;
            }
            let event = if end {
                format!("data: {{\"attempt\":{attempt},\"n\":{n},\"end\":true}}\n\n")
            } else {
                let n = Faults::token_number(struck, n, generate.output);
                let token = seed.wrapping_add(n) % 1_000;
                format!("data: {{\"attempt\":{attempt},\"n\":{n},\"text\":\"t{token} \"}}\n\n")
            };
            if tx.send(Ok(event.into_bytes())).await.is_err() || end {
                return;
            }
        }
    }

    /// The load now, by the clock of its readers.
    fn report(&self, state: &State) -> LoadReport {
        let speed = self.settings.speed;
        let report = state.batch.report();
        LoadReport {
            models: state.models.clone(),
            draining: report.draining || state.book.is_closed(),
            loaded: state.book.loaded().to_vec(),
            prefill_rate: (report.prefill_rate as f64 * speed) as u64,
            decode_rate: (report.decode_rate as f64 * speed) as u64,
            slot_ms: (report.slot_ms as f64 / speed) as u64,
            costs: IterationCosts {
                base_us: report.costs.base_us / speed,
                token_us: report.costs.token_us / speed,
                stream_us: report.costs.stream_us / speed,
            },
            ..report
        }
    }

    /// The newest report that is old enough.
    fn load(&self) -> LoadReport {
        let now = self.now();
        let lag = (self.settings.lag_ms as f64 * 1e3 * self.settings.speed) as u64;
        let mut state = self.lock();
        let report = self.report(&state);
        if state.reports.len() == REPORTS {
            state.reports.pop_front();
        }
        state.reports.push_back((now, report));
        let old = state.reports.iter().rev().find(|r| r.0 + lag <= now);
        let Some((made, report)) = old.or(state.reports.front()) else {
            return LoadReport::default();
        };
        let age = (now - made) as f64 / 1e3 / self.settings.speed;
        LoadReport {
            age_ms: age as u64,
            ..report.clone()
        }
    }

    fn order(self: Arc<Self>, order: Order) -> Response {
        let now = self.now();
        let mut state = self.lock();
        let streams = state.batch.open_streams() as u32;
        let (reply, begin) = state.book.accept(&order, streams);
        if let (true, OrderKind::Role { role }) = (begin, &order.kind) {
            state.batch.change_role(now, *role);
        }
        drop(state);
        if begin {
            let _ = self.wake.try_send(());
            smol::spawn(async move { self.carry_out(order).await }).detach();
        }
        json(200, &reply)
    }

    async fn carry_out(&self, order: Order) {
        match order.kind {
            OrderKind::Role { .. } => {
                // The streams taken end first; then the engine is away.
                while !self.lock().batch.is_accepting() {
                    pause(DRAIN_PAUSE).await;
                }
            }
            _ => pause(self.settings.change_ms as f64 / 1e3 / self.settings.speed).await,
        }
        // A drain ends with the last stream.
        while order.kind == OrderKind::Drain && self.lock().batch.open_streams() > 0 {
            pause(DRAIN_PAUSE).await;
        }
        let mut state = self.lock();
        let mut role = state.batch.role();
        let State { models, book, .. } = &mut *state;
        book.finish(order, models, &mut role);
    }
}

impl State {
    /// Hands a token to its stream.
    fn pass_on(&mut self, emitted: TokenEvent) {
        let Ok(i) = self.streams.binary_search_by_key(&emitted.id, |s| s.0) else {
            return;
        };
        // The channel has no bound; it is closed only once the caller is gone.
        let _ = self.streams[i].1.try_send(emitted);
        if emitted.end {
            self.streams.remove(i);
        }
    }
}

async fn pause(seconds: f64) {
    if seconds > 0.0 {
        smol::Timer::after(Duration::from_secs_f64(seconds)).await;
    }
}
