//! Stand-ins of runners: they register in the store, send streams of events, crash, and start again
//! under the identifier and at the address that they had.

use crate::http::{Message, read_message, respond};
use crate::record::Record;
use crate::store::Store;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Interval at which a runner writes to the store, as `heartbeat-ms` says.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Events of a stream, and the pause between two of them.
pub const EVENTS: u64 = 60;
pub const GAP: Duration = Duration::from_millis(50);

#[derive(Debug)]
struct Life {
    /// Number of the incarnation; none is running if it is odd.
    number: u64,
    born: u128,
    version: String,
    open: Vec<TcpStream>,
}

#[derive(Debug, Clone)]
pub struct Runner {
    pub id: String,
    pub addr: SocketAddr,
    service: String,
    /// Share of the streams that it spoils, in percent.
    pub spoiled: Arc<AtomicU64>,
    /// Share of the streams that it ends with their connections, in percent.
    pub unframed: Arc<AtomicU64>,
    life: Arc<Mutex<Life>>,
    /// Number of its heartbeats so far.
    beats: Arc<AtomicU64>,
    store: Store,
    record: Record,
}

impl Runner {
    pub fn start(id: &str, service: &str, store: &Store, record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let life = Life {
            number: 0,
            born: unix_ms(),
            version: "v1".to_owned(),
            open: Vec::new(),
        };
        let runner = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            spoiled: Arc::default(),
            unframed: Arc::default(),
            addr: listener.local_addr().expect("an address"),
            life: Arc::new(Mutex::new(life)),
            beats: Arc::default(),
            store: store.clone(),
            record: record.clone(),
        };
        runner.serve(listener, 0);
        let beating = runner.clone();
        thread::spawn(move || beating.beat());
        runner
    }

    /// The process ends at once: its connections and its listener close.
    pub fn crash(&self) {
        let mut life = self.life.lock().unwrap();
        life.number += 1;
        self.record
            .note(&format!("runner {} {} crashes", self.id, life.version));
        for stream in life.open.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// It starts again under its identifier and at its address, with a version of its software.
    pub fn start_again(&self, version: &str) {
        let listener = loop {
            match TcpListener::bind(self.addr) {
                Ok(listener) => break listener,
                Err(_) => thread::sleep(Duration::from_millis(5)),
            }
        };
        let mut life = self.life.lock().unwrap();
        life.number += 1;
        life.born = unix_ms();
        life.version = version.to_owned();
        let number = life.number;
        drop(life);
        self.record
            .note(&format!("runner {} starts again with {version}", self.id));
        self.serve(listener, number);
        self.write_entry();
    }

    /// Waits for its next heartbeat.
    pub fn await_beat(&self) {
        let before = self.beats.load(Ordering::Relaxed);
        while self.beats.load(Ordering::Relaxed) == before {
            thread::sleep(Duration::from_millis(1));
        }
    }

    /// Writes the entry now and at each heartbeat; the row changes when more than `sequence` changes.
    fn beat(&self) {
        loop {
            self.write_entry();
            self.beats.fetch_add(1, Ordering::Relaxed);
            thread::sleep(HEARTBEAT);
        }
    }

    fn write_entry(&self) {
        let life = self.life.lock().unwrap();
        if life.number % 2 == 1 {
            return;
        }
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"zone-a\",\"version\":\"{}\",\"slots\":64,\"state\":\"ready\",\"cold-remaining-ms\":0,\"sequence\":1,\"born\":{}}}",
            self.service, self.addr, life.version, life.born
        );
        drop(life);
        self.store.write("servers", &self.id, Some(&entry));
    }

    fn serve(&self, listener: TcpListener, number: u64) {
        let runner = self.clone();
        listener.set_nonblocking(true).expect("a listener");
        thread::spawn(move || {
            while runner.life.lock().unwrap().number == number {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = (stream.set_nonblocking(false), stream.set_nodelay(true));
                let mut life = runner.life.lock().unwrap();
                if life.number != number {
                    return;
                }
                life.open.extend(stream.try_clone());
                let version = life.version.clone();
                drop(life);
                let runner = runner.clone();
                thread::spawn(move || runner.serve_connection(stream, &version));
            }
        });
    }

    fn serve_connection(&self, stream: TcpStream, version: &str) {
        let Ok(mut out) = stream.try_clone() else {
            return;
        };
        let mut from = BufReader::new(stream);
        while let Some(request) = read_message(&mut from) {
            if !self.answer(&mut out, &request, version) {
                let _ = out.shutdown(Shutdown::Both);
                return;
            }
        }
    }

    fn answer(&self, out: &mut TcpStream, request: &Message, version: &str) -> bool {
        let call = request.header("redwingweir-attempt-id").unwrap_or("");
        if call.is_empty() {
            return respond(out, "200 OK", "", b"");
        }
        let expected = request.header("redwingweir-expected-instance");
        if expected.is_some_and(|id| id != self.id) {
            let headers = format!("Redwingweir-Attempt-Id: {call}\r\n");
            return respond(out, "421 Misdirected Request", &headers, b"");
        }
        if !request.word(1).starts_with("/brief/") {
            self.record.note(&format!("runner {} runs {call}", self.id));
            thread::sleep(Duration::from_millis(15));
            let headers = format!(
                "Redwingweir-Attempt-Id: {call}\r\nRedwingweir-Server-Signature: {}.{call}\r\n",
                self.id
            );
            return respond(out, "200 OK", &headers, &[b'x'; 800]);
        }
        let after = request.header("last-event-id").unwrap_or("0");
        let after: u64 = after.parse().unwrap_or(0);
        self.record.note(&format!(
            "runner {} {version} runs {call} from event {}",
            self.id,
            after + 1
        ));
        let drawn = draw(call);
        let is_unframed = drawn < self.unframed.load(Ordering::Relaxed);
        let framing = if is_unframed {
            "Connection: close"
        } else {
            "Transfer-Encoding: chunked"
        };
        if is_unframed {
            self.record
                .note(&format!("runner {} sends {call} without a length", self.id));
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{framing}\r\nRedwingweir-Attempt-Id: {call}\r\nRedwingweir-Server-Signature: {}.{call}\r\n\r\n",
            self.id
        );
        if out.write_all(head.as_bytes()).is_err() {
            return false;
        }
        if drawn < self.spoiled.load(Ordering::Relaxed) {
            self.record.note(&format!(
                "runner {} sends {call} an event without end",
                self.id
            ));
            return self.send_endless(out);
        }
        for n in after + 1..=EVENTS {
            thread::sleep(GAP);
            let event = format!("id: {n}\ndata: {} {version}\n\n", self.id);
            let chunk = match is_unframed {
                true => event,
                false => format!("{:x}\r\n{event}\r\n", event.len()),
            };
            if out.write_all(chunk.as_bytes()).is_err() {
                return false;
            }
        }
        // The connection ends with the stream if that has no other end.
        !is_unframed && out.write_all(b"0\r\n\r\n").is_ok()
    }
}

/// A number below 100 that follows from the identifier of a call.
fn draw(call: &str) -> u64 {
    let mix = |h: u64, b| {
        (h ^ u64::from(b))
            .wrapping_mul(0x9e37_79b9_7f4a_7c15)
            .rotate_left(23)
    };
    call.bytes().fold(7, mix) % 100
}

impl Runner {
    /// Sends an event that never ends, a byte in each chunk, until the caller closes.
    fn send_endless(&self, out: &mut TcpStream) -> bool {
        let begin = b"6\r\ndata: \r\n";
        let part = b"1\r\nx\r\n".repeat(1_000);
        let mut sent = out.write_all(begin);
        while sent.is_ok() {
            sent = out.write_all(&part);
        }
        false
    }
}

fn unix_ms() -> u128 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| d.as_millis())
}
