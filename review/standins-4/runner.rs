//! Stand-in of a runner: an engine that streams, or a plain service.

use crate::{
    http::{Conn, Head, serve},
    json::Json,
    record::Record,
};
use std::{
    io::{self, Write},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

/// What a runner is, and how it answers.
#[derive(Debug, Clone)]
pub struct Spec {
    pub id: String,
    pub service: String,
    pub zone: String,
    /// Version of its software.
    pub version: String,
    /// `prefill` or `decode`; empty for a plain service.
    pub stage: String,
    pub slots: u32,
    /// Events of a stream, and the pause between two of them.
    pub events: u64,
    pub gap: Duration,
    /// Time that a role change takes.
    pub switch: Duration,
    /// Whether answers have no length and end with their connection.
    pub unframed: bool,
    /// Pause in the middle of the answer of a plain service.
    pub pause: Duration,
}

struct State {
    stage: String,
    /// The stage to come, and when.
    change: Option<(String, Instant)>,
    /// Number of orders accepted.
    orders: u64,
    leaving: bool,
    beats: u64,
}

#[derive(Clone)]
pub struct Runner {
    pub spec: Spec,
    pub addr: SocketAddr,
    born: u128,
    state: Arc<Mutex<State>>,
    record: Record,
}

impl Runner {
    pub fn start(spec: Spec, addr: SocketAddr, record: Record) -> io::Result<Self> {
        let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let state = State {
            stage: spec.stage.clone(),
            change: None,
            orders: 0,
            leaving: false,
            beats: 0,
        };
        let mut runner = Self {
            spec,
            addr,
            born: since.map_or(0, |d| d.as_millis()),
            state: Arc::new(Mutex::new(state)),
            record,
        };
        let served = runner.clone();
        runner.addr = serve(addr, move |conn| drop(served.connection(conn)))?;
        Ok(runner)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((stage, at)) = state.change.clone() {
            if Instant::now() >= at {
                state.stage = stage;
                state.change = None;
            }
        }
        state
    }

    pub fn stage(&self) -> String {
        self.lock().stage.clone()
    }

    pub fn leave(&self) {
        self.lock().leaving = true;
    }

    /// The runner's entry in the store.
    pub fn entry(&self) -> String {
        let mut state = self.lock();
        state.beats += 1;
        let (spec, name) = (&self.spec, if state.leaving { "draining" } else { "ready" });
        let stage = match state.stage.as_str() {
            "" => String::new(),
            stage => format!(
                "\"stage\":\"{stage}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],"
            ),
        };
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\"slots\":{},\
             \"state\":\"{name}\",\"cold-remaining-ms\":0,{stage}\"born\":{},\"sequence\":{}}}",
            spec.service, self.addr, spec.zone, spec.version, spec.slots, self.born, state.beats
        )
    }

    fn connection(&self, mut conn: Conn) -> io::Result<()> {
        while let Some(head) = conn.head()? {
            let body = conn.body(&head)?;
            if !self.answer(&mut conn, &head, &body)? {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Answers a request; false if the connection ends with the answer.
    fn answer(&self, conn: &mut Conn, head: &Head, body: &[u8]) -> io::Result<bool> {
        let id = &self.spec.id;
        if let Some(expected) = head.header("redwingweir-expected-instance") {
            if expected != id {
                let headers = format!("redwingweir-instance-id: {id}\r\n");
                conn.respond(421, &headers, "")?;
                return Ok(true);
            }
        }
        match (head.method(), head.path()) {
            ("GET", "/redwingweir/report") => {
                let text = {
                    let state = self.lock();
                    format!(
                        "{{\"stage\":\"{}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
                         \"busy\":{},\"sequence\":{},\"queued-count\":0,\"active-count\":0,\"kv-used\":0,\
                         \"kv-capacity\":400394,\"handles\":0}}",
                        state.stage,
                        state.change.is_some(),
                        state.orders
                    )
                };
                conn.respond(200, "content-type: application/json\r\n", &text)?;
                Ok(true)
            }
            ("POST", "/redwingweir/order") => {
                let status = self.order(&String::from_utf8_lossy(body));
                conn.respond(status, "content-type: application/json\r\n", "{}")?;
                Ok(true)
            }
            ("GET", "/health") => {
                let headers = format!("redwingweir-instance-id: {id}\r\n");
                conn.respond(200, &headers, "")?;
                Ok(true)
            }
            ("DELETE", _) => {
                conn.respond(200, "", "")?;
                Ok(true)
            }
            _ => self.run(conn, head),
        }
    }

    /// Takes an order. Fencing tokens are not checked (`require-fencing` is false).
    fn order(&self, body: &str) -> u16 {
        let Some(order) = Json::parse(body) else {
            return 400;
        };
        let (holder, token) = (order.text("holder"), order.number("fencing-token"));
        let stage = order.text("stage");
        let Some(token) = token.filter(|_| !holder.is_empty() && !stage.is_empty()) else {
            return 400;
        };
        let mut state = self.lock();
        let expected = order.number("expected-revision");
        let status = if state.change.is_some() || expected.is_some_and(|n| n != state.orders) {
            409
        } else if state.stage == stage {
            200
        } else {
            state.orders += 1;
            state.change = Some((stage.to_owned(), Instant::now() + self.spec.switch));
            202
        };
        self.record.line(&format!(
            "order at {}: stage {stage}, holder {holder}, fencing-token {token}, answered {status}",
            self.spec.id
        ));
        status
    }

    fn run(&self, conn: &mut Conn, head: &Head) -> io::Result<bool> {
        let attempt = head.header("redwingweir-attempt-id").unwrap_or_default().to_owned();
        let common = format!(
            "redwingweir-attempt-id: {attempt}\r\nredwingweir-server-signature: {}.{attempt}\r\n",
            self.spec.id
        );
        let stage = self.stage();
        let wants_prefill = head.header("redwingweir-stage") == Some("prefill");
        if !stage.is_empty() && wants_prefill != (stage == "prefill") {
            conn.respond(421, "redwingweir-not-executed: 1\r\n", "")?;
            return Ok(true);
        }
        if wants_prefill {
            let headers = format!("redwingweir-attempt-id: {attempt}\r\n");
            let body = format!("{{\"handle\":\"h{attempt}\",\"tokens\":100,\"version\":1}}");
            conn.respond(200, &headers, &body)?;
            return Ok(true);
        }
        if self.spec.stage.is_empty() {
            return self.run_plain(conn, &attempt, &common);
        }
        let last = head.header("last-event-id").and_then(|l| l.parse::<u64>().ok());
        let first = last.map_or(1, |l| l + 1);
        self.record.line(&format!(
            "run of {attempt} at {} (software {}) from event {first}",
            self.spec.id, self.spec.version
        ));
        self.stream(conn, &common, first)
    }

    fn stream(&self, conn: &mut Conn, common: &str, first: u64) -> io::Result<bool> {
        let framing = match self.spec.unframed {
            true => "connection: close\r\n",
            false => "transfer-encoding: chunked\r\n",
        };
        let text = format!("HTTP/1.1 200 OK\r\n{common}content-type: text/event-stream\r\n{framing}\r\n");
        conn.stream.write_all(text.as_bytes())?;
        for id in first..=self.spec.events {
            let event = format!("id: {id}\ndata: {} {}\n\n", self.spec.version, self.spec.id);
            let text = match self.spec.unframed {
                true => event,
                false => format!("{:x}\r\n{event}\r\n", event.len()),
            };
            conn.stream.write_all(text.as_bytes())?;
            thread::sleep(self.spec.gap);
        }
        if !self.spec.unframed {
            conn.stream.write_all(b"0\r\n\r\n")?;
        }
        Ok(!self.spec.unframed)
    }

    fn run_plain(&self, conn: &mut Conn, attempt: &str, common: &str) -> io::Result<bool> {
        self.record.line(&format!("run of {attempt} at {}", self.spec.id));
        let body = plain_body(attempt);
        let framing = match self.spec.unframed {
            true => "connection: close\r\n".to_owned(),
            false => format!("content-length: {}\r\n", body.len()),
        };
        let (begin, rest) = body.split_at(body.len() / 2);
        let text = format!("HTTP/1.1 200 OK\r\n{common}{framing}\r\n{begin}");
        conn.stream.write_all(text.as_bytes())?;
        thread::sleep(self.spec.pause);
        conn.stream.write_all(rest.as_bytes())?;
        self.record.line(&format!("whole answer to {attempt} written by {}", self.spec.id));
        Ok(!self.spec.unframed)
    }
}

/// The whole body of a plain answer: 800 bytes.
pub fn plain_body(attempt: &str) -> String {
    let mut body = format!("answer to {attempt} ");
    while body.len() < 796 {
        body.push('.');
    }
    body.push_str("end\n");
    body
}
