//! The fake engine: continuous batching in real time, with orders and load reports.

use crate::{ArmedFault, Batch, BatchSettings, Fault, Faults, Job, OrderTracker, TokenEvent};
use rw_http::{
    Limits, Listener, Method, Request, Response, StreamPart, event_stream, json, raw, read_body,
};
use rw_types::{IterationCosts, LoadReport, Order, OrderKind, Role, prefix_hashes};
use serde::{Deserialize, Serialize};
use std::{
    collections::VecDeque,
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

/// Maximum size of a request body.
const MAX_BODY_BYTES: u64 = 64 << 20;
/// Maximum number of load reports kept, from which a delayed one is chosen.
const MAX_REPORTS: usize = 256;
/// Maximum prompt tokens of an iteration in the mixed role.
const CHUNK_TOKENS: u64 = 1_024;
/// Duration that each decoding stream adds to an iteration, relative to its fixed part.
const STREAM_COST_RATIO: f64 = 0.006;
/// Interval between checks whether the accepted streams have ended, in seconds.
const DRAIN_POLL_S: f64 = 0.005;

/// Settings of the fake engine.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Names of the initially loaded models, sorted.
    pub models: Vec<String>,
    /// Initial role.
    pub role: Role,
    /// Prefill rate without other work, in tokens per second.
    pub prefill_rate: u64,
    /// Decode rate of a stream that runs alone, in tokens per second.
    pub decode_rate: u64,
    /// Maximum number of concurrent streams in the mixed role.
    pub slots: u32,
    /// Size of the KV cache, in blocks of about a thousand tokens.
    pub blocks: u32,
    /// Whether orders with an outdated fencing token are rejected.
    pub checks_fence: bool,
    /// Duration of an order, in milliseconds of engine time. A role change begins when the accepted
    /// streams have ended, and the engine is unavailable meanwhile.
    pub change_ms: u64,
    /// Delay of the load reports, in milliseconds.
    pub lag_ms: u64,
    /// Factor by which the engine's time runs faster than the clock.
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
            stream_us: base_us * STREAM_COST_RATIO,
            slots: self.slots,
            chunk: CHUNK_TOKENS,
            blocks: self.blocks,
            change_us: self.change_ms * 1_000,
        }
    }
}

/// Body of a request to generate tokens.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Generate {
    /// Attempt number, repeated in every event.
    pub attempt: u64,
    /// Model name.
    pub model: String,
    /// Number of prompt tokens.
    pub prompt: u64,
    /// Text of the prompt.
    pub text: String,
    /// Number of tokens of the complete output.
    pub output: u64,
    /// Number of the first token to send; the caller already has the tokens before it.
    pub resume: u64,
    /// Priority; higher values run first.
    pub priority: u8,
    /// Engine that has the KV cache of the prompt, which is then transferred instead of computed.
    #[serde(default)]
    pub import: Option<String>,
}

#[derive(Debug)]
struct State {
    models: Vec<String>,
    batch: Batch,
    orders: OrderTracker,
    /// Open streams, sorted by job identifier.
    streams: Vec<(u64, async_channel::Sender<TokenEvent>)>,
    next_job: u64,
    /// Load reports with the engine time of each in microseconds, oldest first.
    reports: VecDeque<(u64, LoadReport)>,
}

/// The fake engine, bound but not yet serving.
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
    /// Any error of the operating system.
    pub fn bind(settings: EngineSettings) -> io::Result<Self> {
        let listener = Listener::bind(settings.listen, Limits::default())?;
        let state = State {
            models: settings.models.clone(),
            batch: Batch::new(settings.batch()),
            orders: OrderTracker::new(settings.checks_fence),
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

    /// The bound address.
    ///
    /// # Errors
    ///
    /// Any error of the operating system.
    pub fn addr(&self) -> io::Result<SocketAddr> {
        self.listener.addr()
    }

    /// Serves until the future is dropped.
    pub async fn run(self) {
        let inner = self.inner.clone();
        let serving = self.listener.run(move |request| {
            let inner = inner.clone();
            async move { inner.respond(request).await }
        });
        smol::future::or(serving, self.inner.run_iterations()).await;
    }
}

impl Inner {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn respond(self: Arc<Self>, mut request: Request) -> Response {
        let body = match read_body(&mut request, MAX_BODY_BYTES).await {
            Ok(body) => body,
            Err(status) => return raw(status.into(), Vec::new(), "text/plain"),
        };
        let path = request.url().path().to_owned();
        let attempt = request.header("x-attempt").map(|v| v.last().to_string());
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
        if self.faults.crash_on(&body) {
            return broken();
        }
        let faults = self.faults.on_call(&path);
        let mut response = match Faults::rejection(&faults) {
            Some(rejection) => rejection,
            None => {
                Faults::delay(&faults).await;
                self.run_call(request.method(), &path, &body, &faults)
            }
        };
        Faults::mark_leaving(&faults, &mut response);
        if let Some(attempt) = attempt {
            response.insert_header("x-attempt", attempt);
        }
        response
    }

    fn run_call(
        self: Arc<Self>,
        method: Method,
        path: &str,
        body: &[u8],
        faults: &[Fault],
    ) -> Response {
        match (method, path) {
            (Method::Post, "/generate") => match serde_json::from_slice(body) {
                Ok(generate) => self.generate(generate, faults.to_vec()),
                Err(_) => raw(400, Vec::new(), "text/plain"),
            },
            (Method::Get, "/load") => json(200, &self.load()),
            (Method::Get, "/held") => json(200, &self.lock().orders.accepted()),
            (Method::Get, "/order") => json(200, self.lock().orders.latest()),
            (Method::Post, "/order") => match serde_json::from_slice(body) {
                Ok(order) => self.order(order),
                Err(_) => raw(400, Vec::new(), "text/plain"),
            },
            _ => raw(404, Vec::new(), "text/plain"),
        }
    }

    /// Engine time since the start, in microseconds.
    fn now(&self) -> u64 {
        (self.started.elapsed().as_secs_f64() * self.settings.speed * 1e6) as u64
    }

    /// Runs the iterations of the batch at their times, forever.
    async fn run_iterations(&self) {
        loop {
            let now = self.now();
            let deadline = {
                let mut state = self.lock();
                for event in state.batch.advance(now) {
                    state.forward(event);
                }
                state.batch.next_deadline()
            };
            match deadline {
                Some(deadline) => {
                    let wait = deadline.saturating_sub(now) as f64 / 1e6 / self.settings.speed;
                    let timer = sleep(wait);
                    smol::future::or(timer, self.woken()).await;
                }
                None => self.woken().await,
            }
        }
    }

    async fn woken(&self) {
        let _ = self.woken.recv().await;
    }

    fn generate(self: Arc<Self>, generate: Generate, faults: Vec<Fault>) -> Response {
        let now = self.now();
        let (job, tokens) = {
            let mut state = self.lock();
            let has_model = state.models.binary_search(&generate.model).is_ok();
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
            if !has_model || state.orders.is_closed() || !state.batch.submit(now, job) {
                drop(state);
                let mut response = raw(503, Vec::new(), "text/plain");
                response.insert_header("x-outcome", "not-run");
                return response;
            }
            state.next_job += 1;
            let (tx, rx) = async_channel::unbounded();
            state.streams.push((id, tx));
            (id, rx)
        };
        let _ = self.wake.try_send(());
        let (tx, rx) = async_channel::bounded(64);
        smol::spawn(async move {
            self.stream(&generate, &faults, &tokens, &tx).await;
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
        faults: &[Fault],
        tokens: &async_channel::Receiver<TokenEvent>,
        tx: &async_channel::Sender<StreamPart>,
    ) {
        let offset = u64::from(faults.contains(&Fault::WrongAttempt));
        let attempt = generate.attempt + offset;
        let seed = rw_types::fingerprint(generate.text.as_bytes()).wrapping_add(offset);
        let truncated = faults
            .iter()
            .any(|f| matches!(f, Fault::TruncateResponse | Fault::DropResponse));
        while let Ok(TokenEvent { n, end, .. }) = tokens.recv().await {
            if truncated && n >= generate.output / 2 {
                return;
            }
            if n >= generate.output / 2 && faults.contains(&Fault::NoEnd) {
                let _ = tx.send(StreamPart::End).await;
                return;
            }
            if n >= generate.output / 2 && faults.contains(&Fault::Stall) {
                std::future::pending::<()>().await;
            }
            let event = if end {
                format!("data: {{\"attempt\":{attempt},\"n\":{n},\"end\":true}}\n\n")
            } else {
                let n = Faults::token_number(faults, n, generate.output);
                let token = seed.wrapping_add(n) % 1_000;
                format!("data: {{\"attempt\":{attempt},\"n\":{n},\"text\":\"t{token} \"}}\n\n")
            };
            if tx.send(StreamPart::Data(event.into_bytes())).await.is_err() {
                return;
            }
            if end {
                let _ = tx.send(StreamPart::End).await;
                return;
            }
        }
    }

    /// Current load, converted from engine time to real time.
    fn report(&self, state: &State) -> LoadReport {
        let speed = self.settings.speed;
        let report = state.batch.report();
        LoadReport {
            models: state.models.clone(),
            draining: report.draining || state.orders.is_closed(),
            loaded: state.orders.loaded().to_vec(),
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

    /// Records a load report, and returns the newest one that is at least `lag_ms` old, or the
    /// oldest if none is.
    fn load(&self) -> LoadReport {
        let now = self.now();
        let lag = (self.settings.lag_ms as f64 * 1e3 * self.settings.speed) as u64;
        let mut state = self.lock();
        let report = self.report(&state);
        if state.reports.len() == MAX_REPORTS {
            state.reports.pop_front();
        }
        state.reports.push_back((now, report));
        let old_enough = state.reports.iter().rev().find(|r| r.0 + lag <= now);
        let Some((created, report)) = old_enough.or(state.reports.front()) else {
            return LoadReport::default();
        };
        let age = (now - created) as f64 / 1e3 / self.settings.speed;
        LoadReport {
            age_ms: age as u64,
            ..report.clone()
        }
    }

    fn order(self: Arc<Self>, order: Order) -> Response {
        let now = self.now();
        let mut state = self.lock();
        let streams = state.batch.open_streams() as u32;
        let (response, is_new) = state.orders.accept(&order, streams);
        if let (true, OrderKind::Role { role }) = (is_new, &order.kind) {
            state.batch.change_role(now, *role);
        }
        drop(state);
        if is_new {
            let _ = self.wake.try_send(());
            smol::spawn(async move { self.execute(order).await }).detach();
        }
        json(200, &response)
    }

    async fn execute(&self, order: Order) {
        match order.kind {
            OrderKind::Role { .. } => {
                // The batch accepts streams again once the accepted ones have ended and the role
                // change is over.
                while !self.lock().batch.is_accepting() {
                    sleep(DRAIN_POLL_S).await;
                }
            }
            _ => sleep(self.settings.change_ms as f64 / 1e3 / self.settings.speed).await,
        }
        // A drain is complete when the last stream has ended.
        while order.kind == OrderKind::Drain && self.lock().batch.open_streams() > 0 {
            sleep(DRAIN_POLL_S).await;
        }
        let mut state = self.lock();
        let mut role = state.batch.role();
        let State { models, orders, .. } = &mut *state;
        orders.finish(order, models, &mut role);
    }
}

impl State {
    /// Sends a token to its stream.
    fn forward(&mut self, event: TokenEvent) {
        let Ok(i) = self.streams.binary_search_by_key(&event.id, |s| s.0) else {
            return;
        };
        // The channel is unbounded, so this fails only if the task of the stream has ended, for
        // example because the caller disconnected.
        let _ = self.streams[i].1.try_send(event);
        if event.end {
            self.streams.remove(i);
        }
    }
}

/// A response that breaks off before its first byte of body.
fn broken() -> Response {
    let (_dropped, rx) = async_channel::bounded(1);
    event_stream(rx)
}

async fn sleep(seconds: f64) {
    if seconds > 0.0 {
        smol::Timer::after(Duration::from_secs_f64(seconds)).await;
    }
}
