//! The cases.

use crate::{
    Lab, Record, UBT,
    http::{self, Conn, Message, response},
    store::Store,
};
use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const CONTACT: Duration = Duration::from_millis(3_000);

pub fn play(case: &str, lab: &mut Lab) -> Result<bool, String> {
    match case {
        "lost-config-answer" => lost_config_answer(lab),
        "drill-brings-back-a-leaver" => drill_brings_back_a_leaver(lab),
        "slow-reader" => slow_reader(lab),
        _ => Err(format!("there is no case {case}")),
    }
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

fn new_id() -> String {
    format!("{:016x}", 0x5eed_0000_0000_0000 + NEXT_ID.fetch_add(1, Ordering::Relaxed))
}

/// A runner of a plain service.
#[derive(Clone)]
struct Runner {
    id: String,
    service: String,
    addr: SocketAddr,
    /// Identifiers of the requests that it has run.
    run: Arc<Mutex<Vec<String>>>,
    /// Whether its answers say that it leaves.
    is_leaving: Arc<AtomicBool>,
}

impl Runner {
    fn start(record: &Record, store: &Store, id: &str, service: &str) -> Self {
        let (listener, addr) = http::listen();
        let runner = Self { id: id.to_owned(), service: service.to_owned(), addr, run: Arc::default(), is_leaving: Arc::default() };
        let (serving, record) = (runner.clone(), record.clone());
        http::serve(listener, move |conn| serving.connection(&record, conn));
        runner.register(store, "ready");
        runner
    }

    fn register(&self, store: &Store, state: &str) {
        let row = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":6,\
             \"state\":\"{state}\",\"cold-remaining-ms\":0,\"sequence\":1,\"born\":1765000000000}}",
            self.service, self.addr
        );
        store.put("servers", &self.id, &row);
    }

    fn connection(&self, record: &Record, mut conn: Conn) {
        while let Ok(Some(request)) = conn.read() {
            if request.target().starts_with("/score/") {
                match self.stream(record, &request, &mut conn) {
                    Ok(()) => continue,
                    Err(error) => {
                        let id = request.header("redwingweir-attempt-id");
                        return record.note(&format!("{}: its stream {id} is cut: {error}", self.id));
                    }
                }
            }
            let answer = self.answer(record, &request);
            if conn.write(&answer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, record: &Record, request: &Message) -> Vec<u8> {
        let id = request.header("redwingweir-attempt-id");
        if id.is_empty() {
            return response("400 Bad Request", "redwingweir-not-executed: 1\r\n", b"");
        }
        let wanted = request.header("redwingweir-expected-instance");
        if !wanted.is_empty() && wanted != self.id {
            let headers = format!("redwingweir-instance-id: {}\r\n", self.id);
            return response("421 Misdirected Request", &headers, b"");
        }
        record.note(&format!("{} ({}) runs {id}", self.id, self.service));
        self.run.lock().unwrap().push(id.to_owned());
        thread::sleep(Duration::from_millis(15));
        let leaving = if self.is_leaving.load(Ordering::Relaxed) { "server-leaving: 1\r\n" } else { "" };
        let headers = format!(
            "redwingweir-attempt-id: {id}\r\nredwingweir-server-signature: {}.{id}\r\n\
             redwingweir-instance-load: 0,0,6\r\n{leaving}",
            self.id
        );
        response("200 OK", &headers, format!("{} {id}", self.id).as_bytes())
    }
}

/// Number of events of a stream, and bytes in each; within the sheets' largest.
const EVENTS: usize = 60;
const EVENT_BYTES: usize = 560;

impl Runner {
    /// Runs a stream: an event every 10 ms.
    fn stream(&self, record: &Record, request: &Message, conn: &mut Conn) -> std::io::Result<()> {
        let id = request.header("redwingweir-attempt-id").to_owned();
        record.note(&format!("{} ({}) runs {id}", self.id, self.service));
        self.run.lock().unwrap().push(id.clone());
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nredwingweir-attempt-id: {id}\r\n\
             redwingweir-server-signature: {}.{id}\r\ntransfer-encoding: chunked\r\n\r\n",
            self.id
        );
        conn.write(head.as_bytes())?;
        for n in 1..=EVENTS {
            let event = format!("id: {n}\ndata: {}\n\n", "x".repeat(EVENT_BYTES));
            conn.write(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            thread::sleep(Duration::from_millis(10));
        }
        conn.write(b"0\r\n\r\n")?;
        record.note(&format!("{}: its stream {id} is written in full", self.id));
        Ok(())
    }
}

/// A configuration with one host, routes of plain calls, and services.
fn config(version: u64, routes: &[(&str, &str, &str)], services: &[&str]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|(prefix, kind, service)| {
            format!(
                "{{\"name\":\"r{}\",\"hostname\":\"shop.example\",\"prefix\":\"{prefix}\",\"kind\":\"{kind}\",\
                 \"timeout-ms\":1000,\"target-latency-ms\":100,\"priority\":2,\"service\":\"{service}\",\
                 \"max-attempts\":2}}",
                prefix.trim_matches('/')
            )
        })
        .collect();
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"health-check-path\":\"/health\",\"max-connections\":110,\
                 \"protocol\":\"h1\",\"tls\":false}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"max-header-bytes\":16384,\
         \"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}

/// Sends one call on a connection of its own; the status and the body, or `None` without a whole answer.
fn call(record: &Record, front: SocketAddr, method: &str, path: &str, id: &str) -> Option<(u16, String)> {
    let send = || -> std::io::Result<Option<Message>> {
        let mut conn = Conn::open(front, Duration::from_millis(2_000))?;
        let request = format!(
            "{method} {path} HTTP/1.1\r\nhost: shop.example\r\nredwingweir-attempt-id: {id}\r\n\
             redwingweir-deadline-ms: 1000\r\ncontent-length: 0\r\n\r\n"
        );
        conn.write(request.as_bytes())?;
        conn.read()
    };
    let answer = send().ok().flatten().map(|m| (m.status(), String::from_utf8_lossy(&m.body).into_owned()));
    match &answer {
        Some((status, body)) => record.note(&format!("{id} {method} {path} at {front}: {status} {body}")),
        None => record.note(&format!("{id} {method} {path} at {front}: no whole answer")),
    }
    answer
}

/// The operator moves a route to another service. The store loses one answer: the one that tells one machine
/// of the new version.
fn lost_config_answer(lab: &mut Lab) -> Result<bool, String> {
    let record = lab.record.clone();
    let old = Runner::start(&record, &lab.store, "i-old-1", "desk-old");
    let _new = Runner::start(&record, &lab.store, "i-new-1", "desk-new");
    let services = ["desk-new", "desk-old"];
    lab.store.put("op", "config", &config(7, &[("/trade/", "non_idempotent", "desk-old")], &services));
    lab.start(3)?;
    // The machines' feed calls are open by then.
    thread::sleep(Duration::from_millis(3_500));
    let front = lab.machines[0].front;
    if call(&record, front, "POST", "/trade/1", &new_id()).map(|a| a.0) != Some(200) {
        return Err("the first version doesn't serve".to_owned());
    }
    if lab.trouble {
        lab.store.lose_next(0, "op");
    }
    lab.store.put("op", "config", &config(9, &[("/trade/", "non_idempotent", "desk-new")], &services));
    let acked = Instant::now();
    record.note("version 9 acknowledged: /trade/ goes to desk-new");
    let mut late = 0;
    let mut sent = 0;
    while acked.elapsed() < Duration::from_secs(14) {
        for machine in &lab.machines {
            let id = new_id();
            let at = acked.elapsed();
            call(&record, machine.front, "POST", "/trade/1", &id);
            // In touch again after `contact-ms` without a lost answer; the version is due before.
            if at > CONTACT + Duration::from_millis(200) {
                sent += 1;
                if old.run.lock().unwrap().contains(&id) {
                    late += 1;
                    record.note(&format!("BROKEN: {id}, sent {:.1} s after the acknowledgement, ran at desk-old", at.as_secs_f64()));
                }
            }
        }
        thread::sleep(Duration::from_millis(100));
    }
    for (machine, table, at) in lab.store.lost() {
        let after = at.saturating_duration_since(acked).as_millis();
        record.note(&format!("lost answers: machine {} table {table}, {after} ms after the acknowledgement", machine + 1));
    }
    record.note(&format!("{late} of {sent} calls that were sent later than 3.2 s after the acknowledgement ran at the old service"));
    Ok(late > 0)
}

/// A runner leaves and its entry is dropped; it serves on for a while. In a drill, the store comes back from
/// a copy from before that.
fn drill_brings_back_a_leaver(lab: &mut Lab) -> Result<bool, String> {
    let record = lab.record.clone();
    let names = ["i-desk-1", "i-desk-2", "i-desk-3"];
    let runners: Vec<Runner> = names.iter().map(|id| Runner::start(&record, &lab.store, id, "desk")).collect();
    lab.store.put("op", "config", &config(7, &[("/trade/", "non_idempotent", "desk")], &["desk"]));
    lab.start(3)?;
    thread::sleep(Duration::from_millis(4_000));
    let fronts: Vec<SocketAddr> = lab.machines.iter().map(|m| m.front).collect();
    let copy = lab.store.copy();
    record.note("the store's copy is from now");
    let load = |for_ms: u64| -> Vec<(Instant, String)> {
        let until = Instant::now() + Duration::from_millis(for_ms);
        let mut sent = Vec::new();
        while Instant::now() < until {
            for front in &fronts {
                let id = new_id();
                sent.push((Instant::now(), id.clone()));
                call(&record, *front, "POST", "/trade/1", &id);
            }
        }
        sent
    };
    load(1_500);
    // The runner leaves while nothing runs there.
    let leaver = &runners[0];
    leaver.is_leaving.store(true, Ordering::Relaxed);
    lab.store.drop_row("servers", &leaver.id);
    let acked = Instant::now();
    record.note(&format!("the entry of {} is dropped, acknowledged; it serves on", leaver.id));
    thread::sleep(Duration::from_millis(1_000));
    let mut sent = load(700);
    if lab.trouble {
        lab.store.leave();
        record.note("the store is away");
        sent.extend(load(500));
        lab.store.come_back(copy);
        record.note("the store is back from its copy");
    }
    sent.extend(load(1_900));
    lab.store.drop_row("servers", &leaver.id);
    record.note(&format!("the entry of {} is dropped again", leaver.id));
    sent.extend(load(2_000));
    let run = leaver.run.lock().unwrap().clone();
    let bound = acked + Duration::from_millis(2_000);
    let late: Vec<&(Instant, String)> = sent.iter().filter(|(at, id)| *at > bound && run.contains(id)).collect();
    for (at, id) in &late {
        record.note(&format!(
            "BROKEN: {id}, sent {:.2} s after the acknowledgement, reached {}",
            (*at - acked).as_secs_f64(),
            leaver.id
        ));
    }
    let early = sent.iter().filter(|(at, id)| *at <= bound && run.contains(id)).count();
    record.note(&format!("{} calls reached {} later than 2 s after the acknowledgement, {early} before", late.len(), leaver.id));
    Ok(!late.is_empty())
}

/// Bytes that a slow client's window takes, about.
const SMALL_WINDOW: i32 = 4_096;
const PAUSE: Duration = Duration::from_millis(2_500);

/// Clients read streams slowly: each stops reading for two and a half seconds, then reads on.
fn slow_reader(lab: &mut Lab) -> Result<bool, String> {
    let record = lab.record.clone();
    let runners = ["i-llm-1", "i-llm-2"].map(|id| Runner::start(&record, &lab.store, id, "scores"));
    let text = config(7, &[("/score/", "streaming", "scores"), ("/stock/", "idempotent", "scores")], &["scores"]);
    let text = text.replace("\"timeout-ms\":1000,\"target-latency-ms\":100", "\"timeout-ms\":8000,\"target-latency-ms\":500,\"target-gap-ms\":250");
    lab.store.put("op", "config", &text);
    lab.sheet = UBT;
    lab.start(2)?;
    thread::sleep(Duration::from_millis(1_000));
    let trouble = lab.trouble;
    let clients: Vec<_> = (0..10)
        .map(|i| {
            let (record, front) = (record.clone(), lab.machines[i % 2].front);
            thread::spawn(move || slow_client(&record, front, trouble))
        })
        .collect();
    let ends: Vec<Option<usize>> = clients.into_iter().map(|c| c.join().unwrap_or(None)).collect();
    if ends.iter().any(Option::is_none) {
        return Err("a client could not begin".to_owned());
    }
    let run: usize = runners.iter().map(|r| r.run.lock().unwrap().len()).sum();
    let cut = ends.iter().flatten().filter(|n| **n < EVENTS).count();
    record.note(&format!("{run} requests ran; {cut} of {} streams were closed before their end", ends.len()));
    Ok(cut > 3)
}

/// Takes a stream on a kept connection; the number of whole events that arrived in a stream that ended in
/// any way, or `None` if it didn't begin.
fn slow_client(record: &Record, front: SocketAddr, pauses: bool) -> Option<usize> {
    let started = Instant::now();
    let mut conn = Conn::open_small(front, SMALL_WINDOW, Duration::from_millis(7_000)).ok()?;
    // The connection is a kept one: it has carried a request before.
    let first = new_id();
    let request = format!(
        "GET /stock/1 HTTP/1.1\r\nhost: shop.example\r\nredwingweir-attempt-id: {first}\r\nredwingweir-deadline-ms: 8000\r\n\r\n"
    );
    conn.write(request.as_bytes()).ok()?;
    (conn.read().ok()??.status() == 200).then_some(())?;
    let id = new_id();
    let request = format!(
        "POST /score/1 HTTP/1.1\r\nhost: shop.example\r\nredwingweir-attempt-id: {id}\r\nredwingweir-deadline-ms: 8000\r\ncontent-length: 0\r\n\r\n"
    );
    conn.write(request.as_bytes()).ok()?;
    record.note(&format!("{id} is sent on a kept connection to {front}"));
    (conn.read_head().ok()??.status() == 200).then_some(())?;
    let mut events = 0;
    let end = loop {
        match conn.read_chunk() {
            Ok(chunk) if chunk.is_empty() => break "complete".to_owned(),
            Ok(chunk) => events += chunk.windows(2).filter(|w| w == b"\n\n").count(),
            Err(error) => break format!("CUT: {error}"),
        }
        if pauses && events >= 3 && events < 10 {
            record.note(&format!("{id}: the client stops reading for 2.5 s after {events} events"));
            thread::sleep(PAUSE);
            record.note(&format!("{id}: the client reads on"));
            events += 10;
        }
    };
    if pauses {
        events = events.saturating_sub(10);
    }
    record.note(&format!("{id}: {events} of {EVENTS} events, {end}, {:.1} s after its begin", started.elapsed().as_secs_f64()));
    Some(events)
}
