//! The fake plain service, which records the calls that it runs.

use crate::{ArmedFault, Fault, Faults, wire::send_response};
use async_h1::server::decode;
use rw_http::{Request, Response, json, raw, read_body};
use serde::{Deserialize, Serialize};
use smol::{
    Async,
    net::{TcpListener, TcpStream},
};
use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

/// Maximum size of a request body.
const MAX_BODY_BYTES: u64 = 16 << 20;

/// A call that was run, as `GET /held` returns it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedCall {
    /// Method and path, separated by a space.
    pub call: String,
    /// Idempotency key, empty if there was none.
    pub key: String,
    /// Body as text.
    pub body: String,
}

/// The fake plain service, bound but not yet serving.
#[derive(Debug)]
pub struct FakeService {
    listener: TcpListener,
    inner: Arc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    calls: Mutex<Vec<RecordedCall>>,
    faults: Faults,
}

impl FakeService {
    /// Binds the listener.
    ///
    /// # Errors
    ///
    /// Any error of the operating system.
    pub fn bind(listen: SocketAddr) -> io::Result<Self> {
        let listener = Async::<std::net::TcpListener>::bind(listen)?.into();
        Ok(Self {
            listener,
            inner: Arc::default(),
        })
    }

    /// The bound address.
    ///
    /// # Errors
    ///
    /// Any error of the operating system.
    pub fn addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves until the future is dropped.
    pub async fn run(self) {
        loop {
            let Ok((stream, _)) = self.listener.accept().await else {
                continue;
            };
            let inner = self.inner.clone();
            smol::spawn(async move { inner.serve(stream).await }).detach();
        }
    }
}

impl Inner {
    fn lock(&self) -> MutexGuard<'_, Vec<RecordedCall>> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn serve(&self, mut stream: TcpStream) {
        while let Ok(Some((mut request, _))) = decode(stream.clone()).await {
            let (response, faults) = self.respond(&mut request).await;
            let sent = send_response(&mut stream, request.method(), response, &faults).await;
            if !matches!(sent, Ok(true)) {
                return;
            }
        }
    }

    async fn respond(&self, request: &mut Request) -> (Response, Vec<Fault>) {
        let empty = |status| (raw(status, Vec::new(), "text/plain"), Vec::new());
        let body = match read_body(request, MAX_BODY_BYTES).await {
            Ok(body) => body,
            Err(status) => return empty(status.into()),
        };
        let path = request.url().path().to_owned();
        match path.as_str() {
            "/held" => return (json(200, &*self.lock()), Vec::new()),
            "/calls" => return (json(200, &self.faults.calls()), Vec::new()),
            "/fault" => {
                let Ok(armed) = serde_json::from_slice::<Vec<ArmedFault>>(&body) else {
                    return empty(400);
                };
                self.faults.set(armed);
                return (json(200, &()), Vec::new());
            }
            _ => {}
        }
        let faults = self.faults.on_call(&path);
        let attempt = request.header("x-attempt").map(|v| v.last().to_string());
        let mut response = match Faults::rejection(&faults) {
            Some(rejection) => rejection,
            None => {
                let response = self.run_call(request, &path, &body);
                self.faults.crash_on(&body);
                response
            }
        };
        Faults::delay(&faults).await;
        if let Some(attempt) = attempt {
            let wrong_attempt = faults.contains(&Fault::WrongAttempt);
            if wrong_attempt {
                response = json(200, &serde_json::json!({ "crossed": true }));
            }
            response.insert_header("x-attempt", if wrong_attempt { "0" } else { &attempt });
        }
        Faults::mark_leaving(&faults, &mut response);
        (response, faults)
    }

    /// Records the call and returns its response; that of `/echo` has the body of the request.
    fn run_call(&self, request: &Request, path: &str, body: &[u8]) -> Response {
        let header = |name: &str| request.header(name).map(|v| v.last().to_string());
        let call = RecordedCall {
            call: format!("{} {path}", request.method()),
            key: header("idempotency-key").unwrap_or_default(),
            body: String::from_utf8_lossy(body).into_owned(),
        };
        let run = {
            let mut all = self.lock();
            all.push(call.clone());
            all.len()
        };
        if path == "/echo" {
            let content_type = header("content-type").unwrap_or_default();
            return raw(201, body.to_vec(), &content_type);
        }
        let value = serde_json::json!({ "run": run, "call": call.call, "echo": call.body });
        json(200, &value)
    }
}
