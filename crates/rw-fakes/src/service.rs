//! The plain-service stand-in, which counts what it ran.

use crate::{Armed, Fault, Faults};
use rw_http::{Limits, Listener, Request, Response, json, raw, read_body};
use serde::{Deserialize, Serialize};
use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

/// Largest request body taken, in bytes.
const MAX_BODY: u64 = 16 << 20;

/// One run, as the target saw it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
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
    listener: Listener,
    inner: Arc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    held: Mutex<Vec<Held>>,
    faults: Faults,
}

impl FakeService {
    /// Binds the listener.
    ///
    /// # Errors
    ///
    /// The error of the operating system.
    pub fn bind(listen: SocketAddr) -> io::Result<Self> {
        let listener = Listener::bind(listen, Limits::default())?;
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
    fn lock(&self) -> MutexGuard<'_, Vec<Held>> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn answer(&self, mut request: Request) -> Response {
        let body = match read_body(&mut request, MAX_BODY).await {
            Ok(body) => body,
            Err(status) => return raw(status.into(), Vec::new(), "text/plain"),
        };
        let path = request.url().path().to_owned();
        match path.as_str() {
            "/held" => return json(200, &*self.lock()),
            "/fault" => {
                let Ok(armed) = serde_json::from_slice::<Vec<Armed>>(&body) else {
                    return raw(400, Vec::new(), "text/plain");
                };
                self.faults.set(armed);
                return json(200, &());
            }
            _ => {}
        }
        let struck = self.faults.strike(&path);
        if struck.contains(&Fault::Refuse) {
            let mut answer = raw(503, Vec::new(), "text/plain");
            answer.insert_header("x-outcome", "not-run");
            return answer;
        }
        let key = request
            .header("idempotency-key")
            .map(|v| v.last().to_string());
        let held = Held {
            call: format!("{} {path}", request.method()),
            key: key.unwrap_or_default(),
            body: String::from_utf8_lossy(&body).into_owned(),
        };
        let runs = {
            let mut all = self.lock();
            all.push(held.clone());
            all.len()
        };
        Faults::wait(&struck).await;
        let attempt = request.header("x-attempt").map(|v| v.last().to_string());
        let mut answer = json(
            200,
            &serde_json::json!({ "run": runs, "call": held.call, "echo": held.body }),
        );
        if let Some(attempt) = attempt {
            let crossed = struck.contains(&Fault::CrossAnswer);
            answer.insert_header("x-attempt", if crossed { "0" } else { &attempt });
        }
        spoil(answer, &struck)
    }
}

/// Applies the faults that concern how an answer is sent.
pub(crate) fn spoil(mut answer: Response, struck: &[Fault]) -> Response {
    if struck
        .iter()
        .any(|f| matches!(f, Fault::LoseAnswer | Fault::CutAnswer | Fault::WrongLength))
    {
        // The body ends before its length, then the connection is closed.
        let (tx, rx) = async_channel::bounded(1);
        let _ = tx.try_send(Err(io::ErrorKind::ConnectionReset.into()));
        let mut cut = rw_http::events(rx);
        cut.insert_header("content-type", "application/json");
        return cut;
    }
    if struck.contains(&Fault::NoLength) {
        answer.remove_header("content-length");
    }
    answer
}
