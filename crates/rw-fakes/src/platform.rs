//! The platform stand-in: table service, object store, VM list and weight store.

use crate::{ArmedFault, Fault, Faults, TableState};
use rw_http::{Limits, Listener, Method, Request, Response, json, raw, read_body};
use rw_platform::{Get, Rows, Scan, Txn};
use rw_types::Vm;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

/// Largest request body taken, in bytes.
const MAX_BODY: u64 = 16 << 20;

/// Settings of the platform stand-in.
#[derive(Debug, Clone)]
pub struct PlatformSettings {
    /// Address to bind.
    pub listen: SocketAddr,
    /// Milliseconds by which the VM list lags.
    pub list_lag_ms: u64,
    /// Bytes a second that the weight store gives out.
    pub weight_rate: u64,
}

/// A fetch from the weight store.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct FetchRequest {
    /// Bytes wanted.
    pub bytes: u64,
}

#[derive(Debug, Default)]
struct State {
    table: TableState,
    objects: Vec<(String, Vec<u8>)>,
    vms: Vec<Vm>,
    listed: Vec<Vm>,
    listed_at: Option<Instant>,
    weights_free: Option<Instant>,
}

/// The platform stand-in, bound but not yet serving.
#[derive(Debug)]
pub struct FakePlatform {
    listener: Listener,
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    settings: PlatformSettings,
    state: Mutex<State>,
    faults: Faults,
}

impl FakePlatform {
    /// Binds the listener.
    ///
    /// # Errors
    ///
    /// The error of the operating system.
    pub fn bind(settings: PlatformSettings) -> io::Result<Self> {
        let listener = Listener::bind(settings.listen, Limits::default())?;
        let inner = Inner {
            settings,
            state: Mutex::default(),
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

    async fn answer(&self, mut request: Request) -> Response {
        let body = match read_body(&mut request, MAX_BODY).await {
            Ok(body) => body,
            Err(status) => return raw(status.into(), Vec::new(), "text/plain"),
        };
        let path = request.url().path().to_owned();
        if path == "/fault" {
            return with(&body, |armed: Vec<ArmedFault>| {
                self.faults.set(armed);
                json(200, &())
            });
        }
        let struck = self.faults.on_call(&path);
        Faults::delay(&struck).await;
        if struck
            .iter()
            .any(|f| matches!(f, Fault::Outage | Fault::Reject))
        {
            return raw(503, Vec::new(), "text/plain");
        }
        let answer = self.act(request.method(), &path, &body).await;
        Faults::delay_response(&struck).await;
        if struck.contains(&Fault::DropResponse) {
            // A status that the client takes for a lost answer.
            return raw(500, Vec::new(), "text/plain");
        }
        answer
    }

    async fn act(&self, method: Method, path: &str, body: &[u8]) -> Response {
        match (method, path) {
            (Method::Post, "/table/txn") => {
                with(body, |txn: Txn| json(200, &self.lock().table.txn(&txn)))
            }
            (Method::Post, "/table/get") => with(body, |get: Get| {
                let mut state = self.lock();
                state.table.reads += get.keys.len() as u64;
                let rows = get.keys.iter().map(|k| state.table.row(k)).collect();
                json(200, &Rows { rows })
            }),
            (Method::Post, "/table/scan") => with(body, |scan: Scan| {
                let mut state = self.lock();
                state.table.reads += 1;
                let rows = state.table.scan(&scan.prefix, scan.since);
                json(200, &Rows { rows })
            }),
            (Method::Get, "/table/stats") => {
                let state = self.lock();
                json(200, &(state.table.writes, state.table.reads))
            }
            (Method::Get, "/vms") => json(200, &self.listed()),
            (Method::Put, "/vms") => with(body, |vms: Vec<Vm>| {
                self.lock().vms = vms;
                json(200, &())
            }),
            (Method::Post, "/weights/fetch") => self.fetch(body).await,
            (Method::Get, path) if path.starts_with("/objects/") => self.object(path),
            (Method::Put, path) if path.starts_with("/objects/") => self.put_object(path, body),
            _ => raw(404, Vec::new(), "text/plain"),
        }
    }

    /// The list as it was up to a lag ago.
    fn listed(&self) -> Vec<Vm> {
        let mut state = self.lock();
        let lag = Duration::from_millis(self.settings.list_lag_ms);
        if state.listed_at.is_none_or(|at| at.elapsed() >= lag) {
            state.listed = state.vms.clone();
            state.listed_at = Some(Instant::now());
        }
        state.listed.clone()
    }

    /// Waits until the weight store has given out the bytes, one fetch after the other.
    async fn fetch(&self, body: &[u8]) -> Response {
        let Ok(fetch) = serde_json::from_slice::<FetchRequest>(body) else {
            return raw(400, Vec::new(), "text/plain");
        };
        let rate = self.settings.weight_rate.max(1);
        let takes = Duration::from_secs_f64(fetch.bytes as f64 / rate as f64);
        let done = {
            let mut state = self.lock();
            let now = Instant::now();
            let done = state.weights_free.map_or(now, |free| free.max(now)) + takes;
            state.weights_free = Some(done);
            done
        };
        smol::Timer::at(done).await;
        json(200, &())
    }

    fn object(&self, key: &str) -> Response {
        let state = self.lock();
        match state.objects.binary_search_by(|o| o.0.as_str().cmp(key)) {
            Ok(i) => raw(200, state.objects[i].1.clone(), "application/octet-stream"),
            Err(_) => raw(404, Vec::new(), "text/plain"),
        }
    }

    fn put_object(&self, key: &str, body: &[u8]) -> Response {
        let mut state = self.lock();
        match state.objects.binary_search_by(|o| o.0.as_str().cmp(key)) {
            Ok(i) => state.objects[i].1 = body.to_vec(),
            Err(i) => state.objects.insert(i, (key.to_owned(), body.to_vec())),
        }
        json(200, &())
    }
}

fn with<T: DeserializeOwned>(body: &[u8], act: impl FnOnce(T) -> Response) -> Response {
    match serde_json::from_slice(body) {
        Ok(value) => act(value),
        Err(error) => json(400, &error.to_string()),
    }
}
