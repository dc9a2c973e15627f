//! The engine stand-in: prefill and decode at set speeds, with orders and load reports.

use crate::{Armed, Fault, Faults, OrderBook};
use rw_http::{Limits, Listener, Method, Request, Response, events, json, raw, read_body};
use rw_types::{LoadReport, Order, OrderKind, Role};
use serde::{Deserialize, Serialize};
use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

/// Largest request body taken, in bytes.
const MAX_BODY: u64 = 64 << 20;
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
    /// Prefill speed, tokens a second.
    pub prefill_rate: u64,
    /// Decode speed of one stream, tokens a second.
    pub decode_rate: u64,
    /// Streams taken at once.
    pub slots: u32,
    /// Whether it refuses an order with an old fencing token.
    pub checks_fence: bool,
    /// Milliseconds that a role change takes it away.
    pub change_ms: u64,
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
}

#[derive(Debug)]
struct State {
    models: Vec<String>,
    role: Role,
    queued: u64,
    running: u32,
    book: OrderBook,
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
            role: settings.role,
            queued: 0,
            running: 0,
            book: OrderBook::new(settings.checks_fence),
        };
        let inner = Inner {
            settings,
            state: Mutex::new(state),
            faults: Faults::default(),
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
        let inner = self.inner;
        self.listener
            .run(move |request| {
                let inner = inner.clone();
                async move { inner.answer(request).await }
            })
            .await;
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
            let Ok(armed) = serde_json::from_slice::<Vec<Armed>>(&body) else {
                return raw(400, Vec::new(), "text/plain");
            };
            self.faults.set(armed);
            return json(200, &());
        }
        if path == "/calls" {
            return json(200, &self.faults.calls());
        }
        self.faults.crash_on(&body);
        let struck = self.faults.strike(&path);
        if struck.contains(&Fault::Refuse) {
            let mut answer = raw(503, Vec::new(), "text/plain");
            answer.insert_header("x-outcome", "not-run");
            return answer;
        }
        Faults::wait(&struck).await;
        match (request.method(), path.as_str()) {
            (Method::Post, "/generate") => match serde_json::from_slice(&body) {
                Ok(generate) => self.generate(generate, struck),
                Err(_) => raw(400, Vec::new(), "text/plain"),
            },
            (Method::Get, "/load") => json(200, &self.load()),
            (Method::Get, "/held") => json(200, &self.lock().book.held()),
            (Method::Get, "/order") => json(200, self.lock().book.latest()),
            (Method::Post, "/order") => match serde_json::from_slice(&body) {
                Ok(order) => self.order(order),
                Err(_) => raw(400, Vec::new(), "text/plain"),
            },
            _ => raw(404, Vec::new(), "text/plain"),
        }
    }

    fn generate(self: Arc<Self>, generate: Generate, struck: Vec<Fault>) -> Response {
        {
            let mut state = self.lock();
            let holds = state.models.binary_search(&generate.model).is_ok();
            if !holds || state.book.closed() || state.running >= self.settings.slots {
                drop(state);
                let mut answer = raw(503, Vec::new(), "text/plain");
                answer.insert_header("x-outcome", "not-run");
                return answer;
            }
            state.running += 1;
            state.queued += generate.prompt;
        }
        let (tx, rx) = async_channel::bounded(64);
        smol::spawn(async move {
            self.stream(&generate, &struck, &tx).await;
            let mut state = self.lock();
            state.running -= 1;
        })
        .detach();
        events(rx)
    }

    async fn stream(
        &self,
        generate: &Generate,
        struck: &[Fault],
        tx: &async_channel::Sender<io::Result<Vec<u8>>>,
    ) {
        let prefill = generate.prompt as f64 / self.settings.prefill_rate.max(1) as f64;
        pause(prefill).await;
        self.lock().queued -= generate.prompt;
        let crossed = u64::from(struck.contains(&Fault::CrossAnswer));
        let attempt = generate.attempt + crossed;
        let seed = rw_types::fingerprint(generate.text.as_bytes()).wrapping_add(crossed);
        let cut = struck
            .iter()
            .any(|f| matches!(f, Fault::CutAnswer | Fault::LoseAnswer));
        for n in generate.resume..generate.output {
            if cut && n >= generate.output / 2 {
                let _ = tx.send(Err(io::ErrorKind::ConnectionReset.into())).await;
                return;
            }
            pause(1.0 / self.settings.decode_rate.max(1) as f64).await;
            if n >= generate.output / 2 && struck.contains(&Fault::NoEnd) {
                return;
            }
            if n >= generate.output / 2 && struck.contains(&Fault::Stall) {
                std::future::pending::<()>().await;
            }
            let n = Faults::number(struck, n, generate.output);
            let token = seed.wrapping_add(n) % 1_000;
            let event =
                format!("data: {{\"attempt\":{attempt},\"n\":{n},\"text\":\"t{token} \"}}\n\n");
            if tx.send(Ok(event.into_bytes())).await.is_err() {
                return;
            }
        }
        let total = generate.output;
        let end = format!("data: {{\"attempt\":{attempt},\"n\":{total},\"end\":true}}\n\n");
        let _ = tx.send(Ok(end.into_bytes())).await;
    }

    fn load(&self) -> LoadReport {
        let state = self.lock();
        LoadReport {
            queued: state.queued,
            running: state.running,
            slots: self.settings.slots,
            pieces: 0,
            role: state.role,
            models: state.models.clone(),
            prefill_rate: self.settings.prefill_rate,
            decode_rate: self.settings.decode_rate,
            age_ms: 0,
            draining: state.book.closed(),
            loads: state.book.loads().to_vec(),
        }
    }

    fn order(self: Arc<Self>, order: Order) -> Response {
        let mut state = self.lock();
        let streams = state.running;
        let (reply, begin) = state.book.take(&order, streams);
        drop(state);
        if begin {
            smol::spawn(async move { self.carry_out(order).await }).detach();
        }
        json(200, &reply)
    }

    async fn carry_out(&self, order: Order) {
        pause(self.settings.change_ms as f64 / 1_000.0).await;
        // A drain ends with the last stream.
        while order.kind == OrderKind::Drain && self.lock().running > 0 {
            pause(DRAIN_PAUSE).await;
        }
        let mut state = self.lock();
        let State {
            models, role, book, ..
        } = &mut *state;
        book.finish(order, models, role);
    }
}

async fn pause(seconds: f64) {
    if seconds > 0.0 {
        smol::Timer::after(Duration::from_secs_f64(seconds)).await;
    }
}
