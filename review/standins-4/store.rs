//! Stand-in of the platform's store: tables, conditional transactions, feeds and the drill.

use crate::{
    http::{Conn, Head, serve},
    json::{Json, base64, quote},
};
use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

#[derive(Debug, Clone)]
struct Row {
    table: String,
    key: String,
    value: Option<String>,
    version: u64,
    at: Instant,
}

struct State {
    /// All writes, the oldest first.
    log: Vec<Row>,
    rows: BTreeMap<(String, String), Row>,
    version: u64,
    /// The counter at each moment.
    versions: Vec<(Instant, u64)>,
    era: u64,
    away: bool,
    /// Rises with each outage: a call that was open then gets no answer.
    outages: u64,
}

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    started: Instant,
    pub addr: SocketAddr,
}

impl Store {
    pub fn start(addr: SocketAddr) -> io::Result<Self> {
        let state = State {
            log: Vec::new(),
            rows: BTreeMap::new(),
            version: 0,
            versions: Vec::new(),
            // The page doesn't say with which number the eras begin.
            era: std::env::var("ERA").ok().and_then(|e| e.parse().ok()).unwrap_or(1),
            away: false,
            outages: 0,
        };
        let mut store = Self {
            state: Arc::new((Mutex::new(state), Condvar::new())),
            started: Instant::now(),
            addr,
        };
        let served = store.clone();
        store.addr = serve(addr, move |conn| drop(served.connection(conn)))?;
        Ok(store)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes a row as the operator or a runner; false while the store is away.
    pub fn put(&self, table: &str, key: &str, value: Option<&str>) -> bool {
        let mut state = self.lock();
        if state.away {
            return false;
        }
        state.count();
        let key_of = (table.to_owned(), key.to_owned());
        let before = state.rows.get(&key_of).and_then(|r| r.value.clone());
        let before = before.and_then(|b| String::from_utf8(crate::json::unbase64(&b)).ok());
        // An entry of a runner changes when more than `sequence`, the last field, changes.
        let is_beat = table == "servers" && before.is_some();
        if is_beat && before.as_deref().map(without_sequence) == value.map(without_sequence) {
            return true;
        }
        let value = value.map(|v| base64(v.as_bytes()));
        state.apply(table, key, value);
        self.state.1.notify_all();
        true
    }

    /// The store goes away: open calls and new ones get no answer and change nothing.
    pub fn leave(&self) {
        let mut state = self.lock();
        state.away = true;
        state.outages += 1;
        self.state.1.notify_all();
    }

    /// The store comes back from a copy of the moment `copied`; its era rises.
    pub fn restore(&self, copied: Instant) -> (u64, u64) {
        let mut state = self.lock();
        let lost = state.version;
        let log = std::mem::take(&mut state.log);
        state.rows.clear();
        state.versions.retain(|(at, _)| *at <= copied);
        state.version = state.versions.last().map_or(0, |(_, version)| *version);
        for row in log.into_iter().filter(|r| r.at <= copied) {
            state.rows.insert((row.table.clone(), row.key.clone()), row.clone());
            state.log.push(row);
        }
        state.era += 1;
        state.away = false;
        self.state.1.notify_all();
        (lost, state.version)
    }

    /// The store comes back as it was.
    pub fn come_back(&self) {
        self.lock().away = false;
        self.state.1.notify_all();
    }

    pub fn version(&self) -> u64 {
        self.lock().version
    }

    pub fn value(&self, table: &str, key: &str) -> Option<String> {
        let state = self.lock();
        let row = state.rows.get(&(table.to_owned(), key.to_owned()))?;
        let bytes = crate::json::unbase64(row.value.as_deref()?);
        String::from_utf8(bytes).ok()
    }

    fn connection(&self, mut conn: Conn) -> io::Result<()> {
        while let Some(head) = conn.head()? {
            let body = conn.body(&head)?;
            let outages = self.lock().outages;
            let Some((status, era, body)) = self.answer(&head, &body, outages) else {
                return Ok(());
            };
            let headers = format!("content-type: application/json\r\nstore-era: {era}\r\n");
            conn.respond(status, &headers, &body)?;
        }
        Ok(())
    }

    /// The answer; `None` if the connection is closed without one.
    fn answer(&self, head: &Head, body: &[u8], outages: u64) -> Option<(u16, u64, String)> {
        // A transaction and a read take a few milliseconds.
        std::thread::sleep(Duration::from_millis(4));
        let mut state = self.lock();
        if state.away || state.outages != outages {
            return None;
        }
        let (status, text) = match (head.method(), head.path()) {
            ("POST", "/redwingweir/rows-tx") => {
                let answer = self.transaction(&mut state, body);
                self.state.1.notify_all();
                answer
            }
            ("GET", "/redwingweir/rows-get") => {
                let table = head.query("table").unwrap_or_default();
                let rows = state.rows.values().filter(|r| r.table == table && r.value.is_some());
                let rows: Vec<String> = rows.map(row_text).collect();
                (200, self.rows_answer(&state, &rows))
            }
            ("GET", "/redwingweir/rows-feed") => {
                let table = head.query("table").unwrap_or_default().to_owned();
                let after: u64 = head.query("after").and_then(|a| a.parse().ok())?;
                let wait = head.query("wait-ms").and_then(|w| w.parse().ok()).unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait);
                loop {
                    if state.away || state.outages != outages {
                        return None;
                    }
                    if after > state.version {
                        break (410, "{}".to_owned());
                    }
                    let rows = state.rows.values();
                    let rows = rows.filter(|r| r.table == table && r.version > after);
                    let mut rows: Vec<&Row> = rows.collect();
                    rows.sort_by_key(|r| r.version);
                    let now = Instant::now();
                    if !rows.is_empty() || now >= until {
                        let rows: Vec<String> = rows.into_iter().map(row_text).collect();
                        break (200, self.rows_answer(&state, &rows));
                    }
                    let waited = self.state.1.wait_timeout(state, until - now);
                    state = waited.unwrap_or_else(PoisonError::into_inner).0;
                }
            }
            _ => (404, "{}".to_owned()),
        };
        Some((status, state.era, text))
    }

    fn transaction(&self, state: &mut State, body: &[u8]) -> (u16, String) {
        let Some(call) = Json::parse(&String::from_utf8_lossy(body)) else {
            return (400, "{}".to_owned());
        };
        let holds = call.list("expected-revision").iter().all(|row| {
            let key = (row.text("table").to_owned(), row.text("key").to_owned());
            let found = state.rows.get(&key).filter(|r| r.value.is_some());
            found.map_or(0, |r| r.version) == row.number("row-version").unwrap_or(0)
        });
        if !holds {
            return (412, self.rows_answer(state, &[]));
        }
        let writes = || call.list("puts").iter().chain(call.list("remove"));
        if writes().any(|r| matches!(r.text("table"), "op" | "servers")) {
            return (403, "{}".to_owned());
        }
        state.count();
        for row in call.list("puts") {
            state.apply(row.text("table"), row.text("key"), Some(row.text("value").to_owned()));
        }
        for row in call.list("remove") {
            state.apply(row.text("table"), row.text("key"), None);
        }
        (200, self.rows_answer(state, &[]))
    }

    fn rows_answer(&self, state: &State, rows: &[String]) -> String {
        format!(
            "{{\"rows\":[{}],\"has-more\":false,\"row-version\":{},\"now-ms\":{}}}",
            rows.join(","),
            state.version,
            self.started.elapsed().as_millis() + 100_000
        )
    }
}

/// The entry of a runner up to its last field.
fn without_sequence(entry: &str) -> &str {
    entry.split("\"sequence\"").next().unwrap_or_default()
}

impl State {
    /// Counts a transaction.
    fn count(&mut self) {
        self.version += 1;
        let version = self.version;
        self.versions.push((Instant::now(), version));
    }

    /// Writes a row in the transaction of the current version.
    fn apply(&mut self, table: &str, key: &str, value: Option<String>) {
        let row = Row {
            table: table.to_owned(),
            key: key.to_owned(),
            value,
            version: self.version,
            at: Instant::now(),
        };
        self.rows.insert((row.table.clone(), row.key.clone()), row.clone());
        self.log.push(row);
    }
}

fn row_text(row: &Row) -> String {
    let (table, key) = (quote(&row.table), quote(&row.key));
    let rest = match &row.value {
        Some(value) => format!("\"value\":{}", quote(value)),
        None => "\"tombstone\":true".to_owned(),
    };
    format!(
        "{{\"table\":{table},\"part\":\"\",\"key\":{key},{rest},\"row-version\":{}}}",
        row.version
    )
}
