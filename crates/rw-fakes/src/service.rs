//! The plain-service stand-in, which counts what it ran.

use crate::{ArmedFault, Fault, Faults, wire::send_answer};
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

/// Largest request body taken, in bytes.
const MAX_BODY: u64 = 16 << 20;

/// One run, as the target saw it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedCall {
    /// Method and path.
    pub call: String,
    /// Idempotency key, empty if there was none.
    pub key: String,
    /// Body as text.
    pub body: String,
}

/// The plain-service stand-in, bound but not yet serving.
#[derive(Debug)]
pub struct FakeService {
    listener: TcpListener,
    inner: Arc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    held: Mutex<Vec<RecordedCall>>,
    faults: Faults,
}

impl FakeService {
    /// Binds the listener.
    ///
    /// # Errors
    ///
    /// The error of the operating system.
    pub fn bind(listen: SocketAddr) -> io::Result<Self> {
        let listener = Async::<std::net::TcpListener>::bind(listen)?.into();
        Ok(Self {
            listener,
            inner: Arc::default(),
        })
    }

    /// The address bound.
    ///
    /// # Errors
    ///
    /// The error of the operating system.
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
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn serve(&self, mut stream: TcpStream) {
        while let Ok(Some((mut request, _))) = decode(stream.clone()).await {
            let (answer, struck) = self.answer(&mut request).await;
            let sent = send_answer(&mut stream, request.method(), answer, &struck).await;
            if !matches!(sent, Ok(true)) {
                return;
            }
        }
    }

    async fn answer(&self, request: &mut Request) -> (Response, Vec<Fault>) {
        let plain = |status| (raw(status, Vec::new(), "text/plain"), Vec::new());
        let body = match read_body(request, MAX_BODY).await {
            Ok(body) => body,
            Err(status) => return plain(status.into()),
        };
        let path = request.url().path().to_owned();
        match path.as_str() {
            "/held" => return (json(200, &*self.lock()), Vec::new()),
            "/calls" => return (json(200, &self.faults.calls()), Vec::new()),
            "/fault" => {
                let Ok(armed) = serde_json::from_slice::<Vec<ArmedFault>>(&body) else {
                    return plain(400);
                };
                self.faults.set(armed);
                return (json(200, &()), Vec::new());
            }
            _ => {}
        }
        let struck = self.faults.on_call(&path);
        let attempt = request.header("x-attempt").map(|v| v.last().to_string());
        let mut answer = if struck.contains(&Fault::Reject) {
            let mut refused = raw(503, Vec::new(), "text/plain");
            refused.insert_header("x-outcome", "not-run");
            refused
        } else {
            let answer = self.act(request, &path, &body);
            self.faults.crash_on(&body);
            answer
        };
        Faults::delay(&struck).await;
        if let Some(attempt) = attempt {
            let crossed = struck.contains(&Fault::WrongAttempt);
            if crossed {
                answer = json(200, &serde_json::json!({ "crossed": true }));
            }
            answer.insert_header("x-attempt", if crossed { "0" } else { &attempt });
        }
        (answer, struck)
    }

    /// Runs the call; `/echo` answers the body as it came.
    fn act(&self, request: &Request, path: &str, body: &[u8]) -> Response {
        let header = |name: &str| request.header(name).map(|v| v.last().to_string());
        let held = RecordedCall {
            call: format!("{} {path}", request.method()),
            key: header("idempotency-key").unwrap_or_default(),
            body: String::from_utf8_lossy(body).into_owned(),
        };
        let runs = {
            let mut all = self.lock();
            all.push(held.clone());
            all.len()
        };
        if path == "/echo" {
            let kind = header("content-type").unwrap_or_default();
            return raw(201, body.to_vec(), &kind);
        }
        let value = serde_json::json!({ "run": runs, "call": held.call, "echo": held.body });
        json(200, &value)
    }
}
