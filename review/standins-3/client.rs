//! Clients that read streams and take up those that break off.

use crate::http::{read_chunk, read_head};
use crate::node::Node;
use crate::record::Record;
use crate::runner::EVENTS;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Pause of a client before its next stream.
const BETWEEN_STREAMS: Duration = Duration::from_millis(50);

/// An event as a client got it: its number, the runner and the version of that runner's software.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Piece {
    pub number: u64,
    pub runner: String,
    pub version: String,
}

/// A stream as its client got it, over all its tries.
#[derive(Debug, Clone, Default)]
pub struct Stream {
    pub name: String,
    pub pieces: Vec<Piece>,
    pub is_whole: bool,
    /// Whether it ended as complete before its last event.
    pub is_short: bool,
}

impl Stream {
    /// Whether it holds events from runners of two software versions.
    pub fn is_mixed(&self) -> bool {
        let versions = self.pieces.iter().map(|p| &p.version);
        versions.clone().min() != versions.max()
    }

    /// The runs that it holds events of, in order, for the record.
    pub fn runs(&self) -> String {
        let mut runs: Vec<(String, u64, u64)> = Vec::new();
        for piece in &self.pieces {
            let name = format!("{} {}", piece.runner, piece.version);
            match runs.last_mut().filter(|r| r.0 == name) {
                Some(run) => run.2 = piece.number,
                None => runs.push((name, piece.number, piece.number)),
            }
        }
        let runs = runs
            .iter()
            .map(|(n, from, to)| format!("{from}-{to} from {n}"));
        runs.collect::<Vec<_>>().join(", ")
    }
}

/// Reads one stream; a client retries once, on a new connection to another node, and goes on after
/// the last event that it got.
pub fn read_stream(name: &str, fronts: &[SocketAddr], record: &Record) -> Stream {
    let mut stream = Stream {
        name: name.to_owned(),
        ..Stream::default()
    };
    for (n, front) in fronts.iter().take(2).enumerate() {
        let call = format!("{name}{n:02x}");
        let last = stream.pieces.last().map(|p| p.number);
        let resumes = last.map_or(String::new(), |last| {
            format!("Resumes: {name}00\r\nLast-Event-Id: {last}\r\n")
        });
        record.note(&format!(
            "client sends {call} to {front}, last event {last:?}"
        ));
        let status = try_once((name, &call), *front, &resumes, &mut stream);
        record.note(&format!(
            "client has {call}: status {status}, whole {}",
            stream.is_whole
        ));
        if stream.is_whole || stream.is_short {
            break;
        }
        thread::sleep(Duration::from_millis(20));
    }
    stream
}

fn try_once(
    (name, call): (&str, &str),
    front: SocketAddr,
    resumes: &str,
    stream: &mut Stream,
) -> u16 {
    let Ok(mut out) = TcpStream::connect(front) else {
        return 0;
    };
    let _ = out.set_nodelay(true);
    let _ = out.set_read_timeout(Some(Duration::from_secs(10)));
    let request = format!(
        "POST /brief/{name} HTTP/1.1\r\nHost: a.example\r\nRedwingweir-Attempt-Id: {call}\r\nRedwingweir-Deadline-Ms: 10000\r\n{resumes}Content-Length: {}\r\n\r\n{name}",
        name.len()
    );
    if out.write_all(request.as_bytes()).is_err() {
        return 0;
    }
    let mut from = BufReader::new(out);
    let Some(head) = read_head(&mut from) else {
        return 0;
    };
    if head.status() != 200 || head.header("transfer-encoding").is_none() {
        return head.status();
    }
    let mut text = String::new();
    loop {
        match read_chunk(&mut from) {
            Some(Some(chunk)) => text.push_str(&String::from_utf8_lossy(&chunk)),
            Some(None) => {
                stream.is_whole = stream.pieces.last().is_some_and(|p| p.number == EVENTS);
                stream.is_short = !stream.is_whole;
                return 200;
            }
            None => return 200,
        }
        while let Some(end) = text.find("\n\n") {
            let event: String = text.drain(..end + 2).collect();
            stream.pieces.extend(parse(&event));
        }
    }
}

fn parse(event: &str) -> Option<Piece> {
    let mut lines = event.lines();
    let number = lines.next()?.strip_prefix("id: ")?.parse().ok()?;
    let (runner, version) = lines.next()?.strip_prefix("data: ")?.split_once(' ')?;
    Some(Piece {
        number,
        runner: runner.to_owned(),
        version: version.to_owned(),
    })
}

/// Clients that read one stream after the other.
#[derive(Debug)]
pub struct Crowd {
    ending: Arc<AtomicBool>,
    clients: Vec<JoinHandle<Vec<Stream>>>,
}

impl Crowd {
    /// Starts `count` clients, one each `interval`; half of them begin at each of two nodes.
    pub fn start(count: usize, interval: Duration, nodes: &[Node], record: &Record) -> Self {
        let ending = Arc::new(AtomicBool::new(false));
        let start = |c: usize| {
            let (ending, record) = (ending.clone(), record.clone());
            let mut fronts: Vec<SocketAddr> = nodes.iter().map(|n| n.front).collect();
            fronts.rotate_left(c % nodes.len());
            thread::spawn(move || {
                thread::sleep(interval * c as u32);
                let mut streams = Vec::new();
                while !ending.load(Ordering::Relaxed) {
                    let name = format!("{c:04x}{:04x}", streams.len());
                    streams.push(read_stream(&name, &fronts, &record));
                    thread::sleep(BETWEEN_STREAMS);
                }
                streams
            })
        };
        let clients = (0..count).map(start).collect();
        Self { ending, clients }
    }

    /// Waits until the clients have read their last streams, and returns all.
    pub fn finish(self) -> Vec<Stream> {
        self.ending.store(true, Ordering::Relaxed);
        let streams = self
            .clients
            .into_iter()
            .map(|c| c.join().expect("a client"));
        streams.flatten().collect()
    }
}
