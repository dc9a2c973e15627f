//! The fake platform: table service, object store, VM list and weight store.

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

/// Maximum size of a request body.
const MAX_BODY_BYTES: u64 = 16 << 20;

/// Settings of the fake platform.
#[derive(Debug, Clone)]
pub struct PlatformSettings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Maximum age of the VM list that is returned, in milliseconds.
    pub list_lag_ms: u64,
    /// Throughput of the weight store over all fetches, in bytes per second.
    pub weight_rate: u64,
}

/// Body of a request to the weight store.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct FetchRequest {
    /// Number of bytes to fetch.
    pub bytes: u64,
}

#[derive(Debug, Default)]
struct State {
    table: TableState,
    objects: Vec<(String, Vec<u8>)>,
    vms: Vec<Vm>,
    listed: Vec<Vm>,
    listed_at: Option<Instant>,
    weights_free_at: Option<Instant>,
}

/// The fake platform, bound but not yet serving.
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
    /// Any error of the operating system.
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
        let inner = self.inner;
        self.listener
            .run(move |request| {
                let inner = inner.clone();
                async move { inner.respond(request).await }
            })
            .await;
    }
}

impl Inner {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn respond(&self, mut request: Request) -> Response {
        let body = match read_body(&mut request, MAX_BODY_BYTES).await {
            Ok(body) => body,
            Err(status) => return raw(status.into(), Vec::new(), "text/plain"),
        };
        let path = request.url().path().to_owned();
        if path == "/fault" {
            return with_body(&body, |armed: Vec<ArmedFault>| {
                self.faults.set(armed);
                json(200, &())
            });
        }
        let faults = self.faults.on_call(&path);
        Faults::delay(&faults).await;
        if faults
            .iter()
            .any(|f| matches!(f, Fault::Outage | Fault::Reject))
        {
            return raw(503, Vec::new(), "text/plain");
        }
        let response = self.handle(request.method(), &path, &body).await;
        Faults::delay_response(&faults).await;
        if faults.contains(&Fault::DropResponse) {
            // The client treats this status as a lost response.
            return raw(500, Vec::new(), "text/plain");
        }
        response
    }

    async fn handle(&self, method: Method, path: &str, body: &[u8]) -> Response {
        match (method, path) {
            (Method::Post, "/table/txn") => {
                with_body(body, |txn: Txn| json(200, &self.lock().table.txn(&txn)))
            }
            (Method::Post, "/table/get") => with_body(body, |get: Get| {
                let mut state = self.lock();
                state.table.reads += get.keys.len() as u64;
                let rows = get.keys.iter().map(|k| state.table.row(k)).collect();
                json(200, &Rows { rows })
            }),
            (Method::Post, "/table/scan") => with_body(body, |scan: Scan| {
                let mut state = self.lock();
                state.table.reads += 1;
                let rows = state.table.scan(&scan.prefix, scan.since);
                json(200, &Rows { rows })
            }),
            (Method::Get, "/table/stats") => {
                let state = self.lock();
                json(200, &(state.table.writes, state.table.reads))
            }
            (Method::Get, "/vms") => json(200, &self.vm_list()),
            (Method::Put, "/vms") => with_body(body, |vms: Vec<Vm>| {
                self.lock().vms = vms;
                json(200, &())
            }),
            (Method::Post, "/weights/fetch") => self.fetch_weights(body).await,
            (Method::Get, path) if path.starts_with("/objects/") => self.get_object(path),
            (Method::Put, path) if path.starts_with("/objects/") => self.put_object(path, body),
            _ => raw(404, Vec::new(), "text/plain"),
        }
    }

    /// The VM list as of at most `list_lag_ms` ago.
    fn vm_list(&self) -> Vec<Vm> {
        let mut state = self.lock();
        let lag = Duration::from_millis(self.settings.list_lag_ms);
        if state.listed_at.is_none_or(|at| at.elapsed() >= lag) {
            state.listed = state.vms.clone();
            state.listed_at = Some(Instant::now());
        }
        state.listed.clone()
    }

    /// Responds when the weight store has transferred the bytes; it serves one fetch at a time.
    async fn fetch_weights(&self, body: &[u8]) -> Response {
        let Ok(fetch) = serde_json::from_slice::<FetchRequest>(body) else {
            return raw(400, Vec::new(), "text/plain");
        };
        let rate = self.settings.weight_rate.max(1);
        let duration = Duration::from_secs_f64(fetch.bytes as f64 / rate as f64);
        let done = {
            let mut state = self.lock();
            let now = Instant::now();
            let done = state.weights_free_at.map_or(now, |free| free.max(now)) + duration;
            state.weights_free_at = Some(done);
            done
        };
        smol::Timer::at(done).await;
        json(200, &())
    }

    fn get_object(&self, key: &str) -> Response {
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

fn with_body<T: DeserializeOwned>(body: &[u8], handle: impl FnOnce(T) -> Response) -> Response {
    match serde_json::from_slice(body) {
        Ok(value) => handle(value),
        Err(error) => json(400, &error.to_string()),
    }
}
