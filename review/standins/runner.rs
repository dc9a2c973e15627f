//! Runners: they register in the store, and answer as the handler of a case says.

use crate::{
    http::{Conn, Head, small_window},
    record,
    store::Store,
};
use std::{
    net::{SocketAddr, TcpListener},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

/// Interval at which a runner writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// What a runner says of itself in its entry.
#[derive(Clone)]
pub struct Entry {
    pub service: String,
    pub slots: u32,
    /// `ready` or `draining`.
    pub state: String,
    /// Set for model runners.
    pub stage: Option<String>,
}

#[derive(Clone)]
pub struct Runner {
    pub id: String,
    pub addr: SocketAddr,
    pub entry: Arc<Mutex<Entry>>,
    born: u64,
    sequence: Arc<AtomicU64>,
    /// Address that the entry names, if it isn't the runner's own.
    via: Option<SocketAddr>,
}

/// Handles a request whose head has been read; false if the connection is to be closed.
pub type Handler = Arc<dyn Fn(&Runner, &mut Conn, &Head) -> bool + Send + Sync>;

impl Runner {
    /// Starts a runner that isn't registered yet. `window` limits the bytes that it takes unread.
    pub fn start(id: &str, entry: Entry, window: Option<i32>, handler: Handler) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        if let Some(bytes) = window {
            small_window(&listener, bytes);
        }
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .expect("a time")
            .as_millis();
        let runner = Self {
            id: id.to_owned(),
            addr: listener.local_addr().expect("an address"),
            entry: Arc::new(Mutex::new(entry)),
            born: born as u64,
            sequence: Arc::default(),
            via: None,
        };
        let serving = runner.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (runner, handler) = (serving.clone(), handler.clone());
                thread::spawn(move || runner.serve(Conn::new(stream), &handler));
            }
        });
        runner
    }

    /// The same runner, registered under the address of a way to it.
    pub fn via(mut self, addr: SocketAddr) -> Self {
        self.via = Some(addr);
        self
    }

    fn serve(&self, mut conn: Conn, handler: &Handler) {
        while let Ok(head) = conn.read_head() {
            let expected = head.header("redwingweir-expected-instance");
            if expected.is_some_and(|id| id != self.id) {
                let _ = conn.read_body(&head);
                let answer = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nRedwingweir-Instance-Id: {}\r\nRedwingweir-Attempt-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id,
                    head.call_id()
                );
                if conn.write(answer.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            if !handler(self, &mut conn, &head) {
                return;
            }
        }
    }

    /// Writes the entry to the store.
    pub fn write_entry(&self, store: &Store) -> bool {
        let entry = self.entry.lock().expect("the entry").clone();
        let stage = entry.stage.map_or_else(String::new, |stage| {
            format!(",\"stage\":\"{stage}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}]")
        });
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"vidzeme-a\",\"version\":\"v1\",\"slots\":{},\"state\":\"{}\",\"cold-remaining-ms\":0,\"born\":{}{stage},\"sequence\":{sequence}}}",
            entry.service,
            self.via.unwrap_or(self.addr),
            entry.slots,
            entry.state,
            self.born
        );
        store.put("servers", &self.id, &body)
    }

    /// Registers the runner, and writes its entry at each heartbeat from now on.
    pub fn register(&self, store: &Store) {
        self.write_entry(store);
        record!(
            "runner {}: registered at {}",
            self.id,
            self.via.unwrap_or(self.addr)
        );
        let (runner, store) = (self.clone(), store.clone());
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                runner.write_entry(&store);
            }
        });
    }
}

/// Head of a runner's answer, up to where the framing goes.
pub fn answer_head(status: u16, call_id: &str) -> String {
    format!(
        "HTTP/1.1 {status} X\r\nRedwingweir-Attempt-Id: {call_id}\r\nRedwingweir-Server-Signature: 3e1b.07.5a2.{status}.0.c9f2a4d1\r\n"
    )
}

/// A complete answer with a length.
pub fn answer(status: u16, call_id: &str, body: &str) -> Vec<u8> {
    let head = answer_head(status, call_id);
    format!("{head}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// Head of an event stream in chunks.
pub fn stream_head(call_id: &str) -> Vec<u8> {
    let head = answer_head(200, call_id);
    format!("{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
        .into_bytes()
}

/// An event as a chunk.
pub fn event(id: u64) -> Vec<u8> {
    let text = format!("id: {id}\ndata: token{id}\n\n");
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}

pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
