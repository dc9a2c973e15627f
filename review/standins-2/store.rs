//! Stand-in of the platform's table store. Each machine reaches it at a port of its own, so that an answer
//! to one machine can be lost.

use crate::{http::{self, Conn, Message, response}, json::Json};
use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

#[derive(Debug, Clone)]
struct Row {
    version: u64,
    /// Base64; `None` once it is dropped.
    value: Option<String>,
}

#[derive(Default)]
struct State {
    version: u64,
    rows: BTreeMap<(String, String), Row>,
    /// Machines of which the next answer to a feed call of the table that has rows is lost.
    losing: HashMap<(usize, String), ()>,
    /// When such an answer was lost.
    lost: Vec<(usize, String, Instant)>,
    /// Whether no call is answered and no connection kept.
    is_away: bool,
    era: u64,
}

/// A copy of all rows.
#[derive(Clone)]
pub struct Copy {
    version: u64,
    rows: BTreeMap<(String, String), Row>,
}

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    started: Instant,
}

impl Store {
    pub fn new() -> Self {
        let store = Self { state: Arc::default(), started: Instant::now() };
        store.lock().era = 1;
        store
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap()
    }

    /// Opens the port for the machine with this number.
    pub fn open(&self, machine: usize) -> SocketAddr {
        let (listener, addr) = http::listen();
        let store = self.clone();
        http::serve(listener, move |conn| store.connection(machine, conn));
        addr
    }

    /// Writes a row as the operator or a runner does; returns once it is acknowledged.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut state = self.lock();
        state.version += 1;
        let row = Row { version: state.version, value: Some(base64(value.as_bytes())) };
        state.rows.insert((table.to_owned(), key.to_owned()), row);
        self.state.1.notify_all();
    }

    /// Drops a row as a runner does that leaves; returns once that is acknowledged.
    pub fn drop_row(&self, table: &str, key: &str) {
        let mut state = self.lock();
        state.version += 1;
        let row = Row { version: state.version, value: None };
        state.rows.insert((table.to_owned(), key.to_owned()), row);
        self.state.1.notify_all();
    }

    pub fn copy(&self) -> Copy {
        let state = self.lock();
        Copy { version: state.version, rows: state.rows.clone() }
    }

    /// The number of its first era.
    pub fn begin_in_era(&self, era: u64) {
        self.lock().era = era;
    }

    /// Other writers' transactions, which concern no table of these cases, use up versions.
    pub fn use_versions(&self, count: u64) {
        self.lock().version += count;
    }

    pub fn version(&self) -> u64 {
        self.lock().version
    }

    /// The store goes away: its connections end.
    pub fn leave(&self) {
        self.lock().is_away = true;
        self.state.1.notify_all();
    }

    /// The store comes back from a copy: what was written since is gone, and its era rises.
    pub fn come_back(&self, copy: Copy) {
        let mut state = self.lock();
        state.rows = copy.rows;
        state.version = copy.version;
        state.era += 1;
        state.is_away = false;
    }

    fn is_away(&self) -> bool {
        self.lock().is_away
    }

    /// The next answer to `machine` that tells of changes in `table` is lost.
    pub fn lose_next(&self, machine: usize, table: &str) {
        self.lock().losing.insert((machine, table.to_owned()), ());
    }

    pub fn lost(&self) -> Vec<(usize, String, Instant)> {
        self.lock().lost.clone()
    }

    /// The value of a row, if there is one.
    pub fn keys(&self, table: &str) -> Vec<String> {
        let state = self.lock();
        let rows = state.rows.iter().filter(|((t, _), r)| t == table && r.value.is_some());
        rows.map(|((_, key), _)| key.clone()).collect()
    }

    fn connection(&self, machine: usize, mut conn: Conn) {
        while let Ok(Some(request)) = conn.read() {
            if self.is_away() {
                return;
            }
            let era = self.lock().era;
            let answer = self.answer(machine, &request);
            // Calls that were open when it went away aren't answered.
            if self.is_away() || self.lock().era != era {
                return;
            }
            match answer {
                Some(bytes) => {
                    if conn.write(&bytes).is_err() {
                        return;
                    }
                }
                // The answer is lost: this connection delivers nothing further.
                None => {
                    while let Ok(Some(_)) = conn.read() {}
                    return;
                }
            }
        }
    }

    fn answer(&self, machine: usize, request: &Message) -> Option<Vec<u8>> {
        let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
        let arguments: HashMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(k, v)| (k.to_owned(), decode(v)))
            .collect();
        let argument = |name: &str| arguments.get(name).cloned().unwrap_or_default();
        thread::sleep(Duration::from_millis(4));
        match path {
            "/redwingweir/rows-get" => Some(self.get(&argument("table"), &argument("source"))),
            "/redwingweir/rows-feed" => {
                let after = argument("after").parse().unwrap_or_default();
                let wait = argument("wait-ms").parse().unwrap_or_default();
                self.feed(machine, &argument("table"), after, Duration::from_millis(wait))
            }
            "/redwingweir/rows-tx" => Some(self.transaction(&request.body)),
            _ => Some(response("404 Not Found", "", b"")),
        }
    }

    fn get(&self, table: &str, source: &str) -> Vec<u8> {
        let state = self.lock();
        let rows = state.rows.iter().filter(|((t, k), r)| t == table && k.as_str() >= source && r.value.is_some());
        let rows: Vec<String> = rows.map(|((t, k), r)| text(t, k, r)).collect();
        self.rows(&state, &rows)
    }

    fn feed(&self, machine: usize, table: &str, after: u64, wait: Duration) -> Option<Vec<u8>> {
        let until = Instant::now() + wait;
        let mut state = self.lock();
        if after > state.version {
            return Some(response("410 Gone", &era_line(&state), b""));
        }
        loop {
            if state.is_away {
                return None;
            }
            let mut changed: Vec<(&(String, String), &Row)> =
                state.rows.iter().filter(|((t, _), r)| t == table && r.version > after).collect();
            changed.sort_by_key(|(_, r)| r.version);
            let rows: Vec<String> = changed.iter().map(|((t, k), r)| text(t, k, r)).collect();
            if !rows.is_empty() && state.losing.remove(&(machine, table.to_owned())).is_some() {
                state.lost.push((machine, table.to_owned(), Instant::now()));
                return None;
            }
            let now = Instant::now();
            if !rows.is_empty() || now >= until {
                return Some(self.rows(&state, &rows));
            }
            state = self.state.1.wait_timeout(state, until - now).unwrap().0;
        }
    }

    fn rows(&self, state: &State, rows: &[String]) -> Vec<u8> {
        let body = format!(
            "{{\"rows\":[{}],\"has-more\":false,\"row-version\":{},\"now-ms\":{}}}",
            rows.join(","),
            state.version,
            self.started.elapsed().as_millis()
        );
        let headers = format!("content-type: application/json\r\n{}", era_line(state));
        response("200 OK", &headers, body.as_bytes())
    }

    fn transaction(&self, body: &[u8]) -> Vec<u8> {
        let Some(body) = Json::parse(&String::from_utf8_lossy(body)) else {
            return response("400 Bad Request", "", b"");
        };
        let mut state = self.lock();
        let of = |row: &Json| (row.text("table"), row.text("key"));
        let holds = body.list("expected-revision").iter().all(|row| {
            let found = state.rows.get(&of(row)).filter(|r| r.value.is_some());
            found.map_or(0, |r| r.version) == row.number("row-version")
        });
        if !holds {
            let headers = format!("content-type: application/json\r\n{}", era_line(&state));
            return response("412 Precondition Failed", &headers, b"{\"rows\":[]}");
        }
        state.version += 1;
        let version = state.version;
        for row in body.list("puts") {
            let value = Some(row.text("value"));
            state.rows.insert(of(&row), Row { version, value });
        }
        for row in body.list("remove") {
            state.rows.insert(of(&row), Row { version, value: None });
        }
        self.state.1.notify_all();
        let now = self.started.elapsed().as_millis();
        let body = format!("{{\"row-version\":{version},\"now-ms\":{now}}}");
        let headers = format!("content-type: application/json\r\n{}", era_line(&state));
        response("200 OK", &headers, body.as_bytes())
    }
}

fn era_line(state: &State) -> String {
    format!("store-era: {}\r\n", state.era)
}

fn text(table: &str, key: &str, row: &Row) -> String {
    match &row.value {
        Some(value) => format!(
            "{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\"value\":\"{value}\",\"row-version\":{}}}",
            row.version
        ),
        None => format!(
            "{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\"tombstone\":true,\"row-version\":{}}}",
            row.version
        ),
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut i = 0;
    while i < bytes.len() {
        let hex = bytes.get(i + 1..i + 3).and_then(|h| std::str::from_utf8(h).ok());
        match (bytes[i], hex.and_then(|h| u8::from_str_radix(h, 16).ok())) {
            (b'%', Some(byte)) => {
                out.push(byte);
                i += 3;
            }
            (byte, _) => {
                out.push(byte);
                i += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let n = part.iter().fold(0, |n, b| n << 8 | u32::from(*b)) << (8 * (3 - part.len()));
        for i in 0..4 {
            match i <= part.len() {
                true => out.push(DIGITS[(n >> (18 - 6 * i)) as usize & 63] as char),
                false => out.push('='),
            }
        }
    }
    out
}
