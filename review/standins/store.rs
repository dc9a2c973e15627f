//! The platform's store: rows in tables, transactions, reads and feeds. It can be away and come back
//! from an older copy, as in a drill.

use crate::{
    http::{Conn, Head},
    json::{Json, base64, quote},
    record,
};
use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

/// Time that a transaction takes.
const TRANSACTION: Duration = Duration::from_millis(4);

type Key = (String, String);

#[derive(Clone, Default)]
struct Tables {
    /// Value in base64 and version of each row.
    rows: BTreeMap<Key, (String, u64)>,
    /// All changes: version, row, and value unless the row was dropped.
    log: Vec<(u64, Key, Option<String>)>,
    version: u64,
}

impl Tables {
    fn write(&mut self, changes: Vec<(Key, Option<String>)>) {
        self.version += 1;
        for (key, value) in changes {
            match &value {
                Some(value) => drop(self.rows.insert(key.clone(), (value.clone(), self.version))),
                None => drop(self.rows.remove(&key)),
            }
            self.log.push((self.version, key, value));
        }
    }
}

#[derive(Default)]
struct State {
    tables: Tables,
    /// Copies of the tables after each transaction.
    copies: Vec<(Instant, Tables)>,
    era: u64,
    away: bool,
    /// Set if the store is away without a sign: connections stay open, and nothing is answered.
    silent: bool,
    /// Number of times that the store went away without a sign. What was pending then is never
    /// answered, and its connection delivers nothing further.
    losses: u64,
    open: Vec<TcpStream>,
    /// Table, wait in milliseconds and time of each feed call.
    feeds: Vec<(String, u64, Instant)>,
}

/// What becomes of a call.
enum Answer {
    Reply(u16, String),
    /// The connection ends.
    Close,
    /// No answer, and the connection delivers nothing further.
    Never,
}

impl State {
    /// What becomes of a call while the store is away.
    fn no_answer(&self) -> Answer {
        match self.silent {
            true => Answer::Never,
            false => Answer::Close,
        }
    }
}

#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
    start: Instant,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let state = State {
            era: 1,
            ..State::default()
        };
        let store = Self {
            addr: listener.local_addr().expect("an address"),
            state: Arc::new((Mutex::new(state), Condvar::new())),
            start: Instant::now(),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                let mut state = store.state.0.lock().expect("the store");
                if state.away && !state.silent {
                    continue;
                }
                state.open.push(stream.try_clone().expect("a handle"));
                drop(state);
                thread::spawn(move || store.serve(Conn::new(stream)));
            }
        });
        store
    }

    /// Writes a row, as the operator or a runner does; false while the store is away.
    pub fn put(&self, table: &str, key: &str, body: &str) -> bool {
        self.change(table, key, Some(base64(body.as_bytes())))
    }

    fn change(&self, table: &str, key: &str, value: Option<String>) -> bool {
        let mut state = self.state.0.lock().expect("the store");
        if state.away {
            return false;
        }
        state
            .tables
            .write(vec![((table.to_owned(), key.to_owned()), value)]);
        let copy = (Instant::now(), state.tables.clone());
        state.copies.push(copy);
        self.state.1.notify_all();
        true
    }

    pub fn version(&self) -> u64 {
        self.state.0.lock().expect("the store").tables.version
    }

    /// The store goes away: all connections end, and new ones are closed at once.
    pub fn leave(&self) {
        let mut state = self.state.0.lock().expect("the store");
        state.away = true;
        for stream in state.open.drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        self.state.1.notify_all();
        record!("store: away at version {}", state.tables.version);
    }

    /// The store goes away without a sign.
    pub fn fall_silent(&self) {
        let mut state = self.state.0.lock().expect("the store");
        state.away = true;
        state.silent = true;
        state.losses += 1;
        self.state.1.notify_all();
        record!("store: silent at version {}", state.tables.version);
    }

    /// Waits until the system has just begun a feed call for `table` that may wait for `wait_ms` or
    /// more; false if none comes within `limit`.
    pub fn wait_feed(&self, table: &str, wait_ms: u64, limit: Duration) -> bool {
        let start = Instant::now();
        while start.elapsed() < limit {
            let state = self.state.0.lock().expect("the store");
            let mut feeds = state.feeds.iter();
            if feeds.any(|(t, wait, at)| t == table && *wait >= wait_ms && *at >= start) {
                return true;
            }
            drop(state);
            thread::sleep(Duration::from_millis(2));
        }
        false
    }

    /// The store comes back, from a copy that is `age` old if that is given.
    pub fn come_back(&self, age: Option<Duration>) {
        let mut state = self.state.0.lock().expect("the store");
        if let Some(age) = age {
            let wanted = Instant::now().checked_sub(age).expect("a time");
            let copy = state.copies.iter().rev().find(|(at, _)| *at <= wanted);
            let copy = copy.map(|(_, tables)| tables.clone()).expect("a copy");
            state.copies.retain(|(at, _)| *at <= wanted);
            state.tables = copy;
            state.era += 1;
        }
        state.away = false;
        record!(
            "store: back at version {}, era {}",
            state.tables.version,
            state.era
        );
    }

    fn serve(&self, mut conn: Conn) {
        while let Ok(head) = conn.read_head() {
            let Ok(body) = conn.read_body(&head) else {
                return;
            };
            let (status, text) = match self.answer(&head, &body) {
                Answer::Reply(status, text) => (status, text),
                Answer::Close => return,
                Answer::Never => {
                    // Until the other side gives up.
                    while conn.read_some(1 << 10).is_ok() {}
                    return;
                }
            };
            let era = self.state.0.lock().expect("the store").era;
            let response = format!(
                "HTTP/1.1 {status} X\r\nStore-Era: {era}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}",
                text.len()
            );
            if conn.write(response.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: &[u8]) -> Answer {
        match (head.method(), head.path()) {
            ("POST", "/redwingweir/rows-tx") => self.transact(&String::from_utf8_lossy(body)),
            ("GET", "/redwingweir/rows-get") => self.read(head),
            ("GET", "/redwingweir/rows-feed") => self.feed(head),
            _ => Answer::Reply(404, "{}".to_owned()),
        }
    }

    fn transact(&self, body: &str) -> Answer {
        thread::sleep(TRANSACTION);
        let Some(body) = Json::parse(body) else {
            return Answer::Reply(400, "{}".to_owned());
        };
        let key = |row: &Json| {
            (
                row.get("table").text().to_owned(),
                row.get("key").text().to_owned(),
            )
        };
        let mut state = self.state.0.lock().expect("the store");
        if state.away {
            return state.no_answer();
        }
        let holds = body.get("expected-revision").list().iter().all(|row| {
            let version = state.tables.rows.get(&key(row)).map_or(0, |r| r.1);
            row.get("row-version").number() == Some(version)
        });
        if !holds {
            return Answer::Reply(412, format!("{{\"rows\":[],{}}}", self.tail(&state.tables)));
        }
        let puts = body.get("puts").list().iter();
        let puts = puts.map(|r| (key(r), Some(r.get("value").text().to_owned())));
        let dropped = body.get("remove").list().iter().map(|r| (key(r), None));
        let changes: Vec<(Key, Option<String>)> = puts.chain(dropped).collect();
        for ((table, key), _) in &changes {
            record!(
                "store: the system writes {table}/{key} at version {}",
                state.tables.version + 1
            );
        }
        state.tables.write(changes);
        let copy = (Instant::now(), state.tables.clone());
        state.copies.push(copy);
        self.state.1.notify_all();
        Answer::Reply(200, format!("{{{}}}", self.tail(&state.tables)))
    }

    fn read(&self, head: &Head) -> Answer {
        let table = head.query("table").unwrap_or_default();
        let state = self.state.0.lock().expect("the store");
        if state.away {
            return state.no_answer();
        }
        let rows = state.tables.rows.iter().filter(|((t, _), _)| t == table);
        let rows = rows.map(|((t, k), (value, version))| row_json(t, k, Some(value), *version));
        let rows = rows.collect::<Vec<_>>().join(",");
        let tail = self.tail(&state.tables);
        Answer::Reply(
            200,
            format!("{{\"rows\":[{rows}],\"has-more\":false,{tail}}}"),
        )
    }

    fn feed(&self, head: &Head) -> Answer {
        let table = head.query("table").unwrap_or_default();
        let after: u64 = head
            .query("after")
            .and_then(|v| v.parse().ok())
            .unwrap_or(0);
        let wait: u64 = head
            .query("wait-ms")
            .and_then(|v| v.parse().ok())
            .unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state.0.lock().expect("the store");
        state.feeds.push((table.to_owned(), wait, Instant::now()));
        let (era, losses) = (state.era, state.losses);
        loop {
            if state.losses != losses {
                return Answer::Never;
            }
            if state.away || state.era != era {
                return state.no_answer();
            }
            if after > state.tables.version {
                return Answer::Reply(410, "{}".to_owned());
            }
            let log = state.tables.log.iter();
            let news = log.filter(|(version, (t, _), _)| *version > after && t == table);
            let rows: Vec<String> = news
                .map(|(v, (t, k), value)| row_json(t, k, value.as_ref(), *v))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                let rows = rows.join(",");
                let tail = self.tail(&state.tables);
                return Answer::Reply(200, format!("{{\"rows\":[{rows}],{tail}}}"));
            }
            state = self.state.1.wait_timeout(state, left).expect("the store").0;
        }
    }

    fn tail(&self, tables: &Tables) -> String {
        let now = self.start.elapsed().as_millis() + 1_000;
        format!("\"row-version\":{},\"now-ms\":{now}", tables.version)
    }
}

fn row_json(table: &str, key: &str, value: Option<&String>, version: u64) -> String {
    let (table, key) = (quote(table), quote(key));
    match value {
        Some(value) => format!(
            "{{\"table\":{table},\"part\":\"\",\"key\":{key},\"value\":\"{value}\",\"row-version\":{version}}}"
        ),
        None => format!(
            "{{\"table\":{table},\"part\":\"\",\"key\":{key},\"row-version\":{version},\"tombstone\":true}}"
        ),
    }
}
