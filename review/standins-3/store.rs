//! Stand-in of the platform's store: tables with versions, feeds, transactions, outages, and the
//! return from a copy.

use crate::http::{Json, Message, base64, read_message, respond};
use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What the store does with calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    Serving,
    /// Calls get no answer and change nothing.
    Silent,
    /// Calls get 503 and change nothing.
    Busy,
}

#[derive(Debug, Clone)]
struct Row {
    value: Option<String>,
    version: u64,
}

type Rows = BTreeMap<(String, String), Row>;

#[derive(Debug)]
struct State {
    rows: Rows,
    version: u64,
    era: u64,
    mode: Mode,
    copy: Option<(Rows, u64)>,
    /// Rises when calls under way are lost.
    losses: u64,
}

#[derive(Debug, Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub addr: SocketAddr,
    start: Instant,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let state = State {
            rows: Rows::new(),
            version: 0,
            era: 1,
            mode: Mode::Serving,
            copy: None,
            losses: 0,
        };
        let store = Self {
            state: Arc::new((Mutex::new(state), Condvar::new())),
            addr: listener.local_addr().expect("an address"),
            start: Instant::now(),
        };
        let accepting = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    pub fn set_mode(&self, mode: Mode) {
        let mut state = self.state.0.lock().unwrap();
        state.mode = mode;
        state.losses += 1;
        self.state.1.notify_all();
    }

    /// Makes the copy from which [`Store::restore`] brings the store back.
    pub fn copy(&self) {
        let mut state = self.state.0.lock().unwrap();
        state.copy = Some((state.rows.clone(), state.version));
    }

    /// The store comes back from its copy: what was written since is gone, and the era rises.
    pub fn restore(&self) {
        let mut state = self.state.0.lock().unwrap();
        if let Some((rows, version)) = state.copy.take() {
            state.rows = rows;
            state.version = version;
            state.era += 1;
        }
        state.mode = Mode::Serving;
        state.losses += 1;
        self.state.1.notify_all();
    }

    /// A write of the operator or of a runner; false if the store doesn't answer.
    pub fn write(&self, table: &str, key: &str, value: Option<&str>) -> bool {
        let mut state = self.state.0.lock().unwrap();
        if state.mode != Mode::Serving {
            return false;
        }
        let value = value.map(|v| base64(v.as_bytes()));
        let key = (table.to_owned(), key.to_owned());
        let known = state.rows.get(&key).and_then(|r| r.value.clone());
        if known == value {
            return true;
        }
        state.version += 1;
        let version = state.version;
        state.rows.insert(key, Row { value, version });
        self.state.1.notify_all();
        true
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut out) = stream.try_clone() else {
            return;
        };
        let mut from = BufReader::new(stream);
        while let Some(request) = read_message(&mut from) {
            let Some((status, era, body)) = self.answer(&request) else {
                return;
            };
            thread::sleep(Duration::from_millis(4));
            let headers = format!("Content-Type: application/json\r\nStore-Era: {era}\r\n");
            if !respond(&mut out, status, &headers, body.as_bytes()) {
                return;
            }
        }
    }

    /// The answer to a call; `None` if it is lost.
    fn answer(&self, request: &Message) -> Option<(&'static str, u64, String)> {
        let target = request.word(1);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let param = |name: &str| {
            let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
            pairs.find(|(n, _)| *n == name).map(|(_, v)| v.to_owned())
        };
        let mut state = self.state.0.lock().unwrap();
        if state.mode == Mode::Busy {
            return Some(("503 Service Unavailable", state.era, String::new()));
        }
        if state.mode == Mode::Silent {
            let losses = state.losses;
            while state.losses == losses {
                state = self.state.1.wait(state).unwrap();
            }
            return None;
        }
        let now_ms = self.start.elapsed().as_millis();
        let table = param("table").unwrap_or_default();
        match path {
            "/redwingweir/rows-get" => {
                let rows = rows_after(&state.rows, &table, 0, false);
                let body = format!(
                    "{{\"rows\":[{rows}],\"has-more\":false,\"row-version\":{},\"now-ms\":{now_ms}}}",
                    state.version
                );
                Some(("200 OK", state.era, body))
            }
            "/redwingweir/rows-feed" => {
                let after: u64 = param("after")?.parse().ok()?;
                let wait = Duration::from_millis(param("wait-ms")?.parse().ok()?);
                let until = Instant::now() + wait;
                let losses = state.losses;
                loop {
                    if state.losses != losses {
                        return None;
                    }
                    if after > state.version {
                        return Some(("410 Gone", state.era, String::new()));
                    }
                    let rows = rows_after(&state.rows, &table, after, true);
                    let left = until.saturating_duration_since(Instant::now());
                    if !rows.is_empty() || left.is_zero() {
                        let body = format!(
                            "{{\"rows\":[{rows}],\"row-version\":{},\"now-ms\":{now_ms}}}",
                            state.version
                        );
                        return Some(("200 OK", state.era, body));
                    }
                    state = self.state.1.wait_timeout(state, left).unwrap().0;
                }
            }
            "/redwingweir/rows-tx" => {
                let body = Json::parse(&request.body)?;
                let key = |row: &Json| (row.get("table").text(), row.get("key").text());
                for expected in body.get("expected-revision").list() {
                    let found = state.rows.get(&key(expected)).filter(|r| r.value.is_some());
                    if found.map_or(0, |r| r.version) != expected.get("row-version").number() {
                        let body = "{\"rows\":[]}".to_owned();
                        return Some(("412 Precondition Failed", state.era, body));
                    }
                }
                state.version += 1;
                let version = state.version;
                for put in body.get("puts").list() {
                    let value = Some(put.get("value").text());
                    state.rows.insert(key(put), Row { value, version });
                }
                self.state.1.notify_all();
                let body = format!("{{\"row-version\":{version},\"now-ms\":{now_ms}}}");
                Some(("200 OK", state.era, body))
            }
            _ => Some(("404 Not Found", state.era, String::new())),
        }
    }
}

/// The rows of a table that were written after a version, as JSON.
fn rows_after(rows: &Rows, table: &str, after: u64, tombstones: bool) -> String {
    let mut found: Vec<_> = rows
        .iter()
        .filter(|((t, _), row)| t == table && row.version > after)
        .filter(|(_, row)| tombstones || row.value.is_some())
        .collect();
    if tombstones {
        found.sort_by_key(|(_, row)| row.version);
    }
    let texts = found.into_iter().map(|((table, key), row)| match &row.value {
        Some(value) => format!(
            "{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\"value\":\"{value}\",\"row-version\":{}}}",
            row.version
        ),
        None => format!(
            "{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\"tombstone\":true,\"row-version\":{}}}",
            row.version
        ),
    });
    texts.collect::<Vec<_>>().join(",")
}
