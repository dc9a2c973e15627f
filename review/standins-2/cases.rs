//! The cases.

use crate::{
    KHABAR, Lab, Record, UBT,
    http::{self, Conn, Message, response},
    json::Json,
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
        "era-from-zero" => era_from_zero(lab),
        "memory-of-slow-readers" => memory_of_slow_readers(lab),
        "streams-of-a-lost-machine" => streams_of_a_lost_machine(lab),
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
    /// Version of its software.
    software: String,
    addr: SocketAddr,
    /// Identifiers of the requests that it has run.
    run: Arc<Mutex<Vec<String>>>,
    /// Whether its answers say that it leaves.
    is_leaving: Arc<AtomicBool>,
}

impl Runner {
    fn start(record: &Record, store: &Store, id: &str, service: &str) -> Self {
        Self::start_version(record, store, id, service, "v1")
    }

    fn start_version(record: &Record, store: &Store, id: &str, service: &str, software: &str) -> Self {
        let (listener, addr) = http::listen();
        let runner = Self { id: id.to_owned(), service: service.to_owned(), software: software.to_owned(), addr, run: Arc::default(), is_leaving: Arc::default() };
        let (serving, record) = (runner.clone(), record.clone());
        http::serve(listener, move |conn| serving.connection(&record, conn));
        runner.register(store, "ready");
        runner
    }

    fn register(&self, store: &Store, state: &str) {
        let row = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"zone-a\",\"version\":\"{}\",\"slots\":48,\
             \"state\":\"{state}\",\"cold-remaining-ms\":0,\"sequence\":1,\"born\":1765000000000}}",
            self.service, self.addr, self.software
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
/// Number of events of a stream that takes some seconds.
const LONG_EVENTS: usize = 50;

impl Runner {
    /// Runs a stream, or goes on with it after the event that the request names.
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
        let after = request.header("last-event-id").parse().unwrap_or(0);
        let (events, gap_ms) = match request.target().starts_with("/score/long/") {
            true => (LONG_EVENTS, 100),
            false => (EVENTS, 10),
        };
        for n in after + 1..=events {
            let event = format!("id: {n}\ndata: {}\n\n", "x".repeat(EVENT_BYTES));
            conn.write(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            thread::sleep(Duration::from_millis(gap_ms));
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

/// A model runner as far as orders go. It doesn't check fencing tokens.
#[derive(Clone)]
struct Engine {
    id: String,
    addr: SocketAddr,
    state: Arc<Mutex<EngineState>>,
}

#[derive(Default)]
struct EngineState {
    stage: String,
    /// Number of orders accepted.
    sequence: u64,
    /// Orders that arrived: holder and fencing token.
    orders: Vec<(String, u64)>,
}

impl Engine {
    fn start(record: &Record, store: &Store, id: &str, stage: &str) -> Self {
        let (listener, addr) = http::listen();
        let state = EngineState { stage: stage.to_owned(), ..EngineState::default() };
        let engine = Self { id: id.to_owned(), addr, state: Arc::new(Mutex::new(state)) };
        let (serving, record, at) = (engine.clone(), record.clone(), store.clone());
        http::serve(listener, move |mut conn| {
            while let Ok(Some(request)) = conn.read() {
                let answer = serving.answer(&record, &at, &request);
                if conn.write(&answer).is_err() {
                    return;
                }
            }
        });
        engine.register(store);
        engine
    }

    fn register(&self, store: &Store) {
        let state = self.state.lock().unwrap();
        let row = format!(
            "{{\"service\":\"llm\",\"address\":\"{}\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":12,\
             \"state\":\"ready\",\"cold-remaining-ms\":0,\"stage\":\"{}\",\
             \"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"sequence\":1,\"born\":1765000000000}}",
            self.addr, state.stage
        );
        drop(state);
        store.put("servers", &self.id, &row);
    }

    fn answer(&self, record: &Record, store: &Store, request: &Message) -> Vec<u8> {
        const JSON: &str = "content-type: application/json\r\n";
        match request.target() {
            "/redwingweir/report" => {
                let state = self.state.lock().unwrap();
                let body = format!(
                    "{{\"stage\":\"{}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"busy\":false,\
                     \"sequence\":{},\"queued-count\":0,\"active-count\":0,\"kv-used\":0,\"kv-capacity\":380606,\"handles\":0}}",
                    state.stage, state.sequence
                );
                response("200 OK", JSON, body.as_bytes())
            }
            "/redwingweir/order" => {
                let Some(order) = Json::parse(&String::from_utf8_lossy(&request.body)) else {
                    return response("400 Bad Request", "", b"");
                };
                let (holder, token, stage) = (order.text("holder"), order.number("fencing-token"), order.text("stage"));
                record.note(&format!("{} gets an order of {holder} with token {token}: {stage}", self.id));
                let mut state = self.state.lock().unwrap();
                state.orders.push((holder, token));
                if order.number("expected-revision") != state.sequence {
                    return response("409 Conflict", "", b"");
                }
                state.sequence += 1;
                state.stage = stage;
                drop(state);
                self.register(store);
                response("202 Accepted", "", b"")
            }
            _ => response("404 Not Found", "", b""),
        }
    }
}

/// All machines lose power, and the store comes back from a copy at the same time. Its eras are counted from
/// 0, or from the number in the environment variable FIRST_ERA.
fn era_from_zero(lab: &mut Lab) -> Result<bool, String> {
    let record = lab.record.clone();
    lab.sheet = UBT;
    let first_era = std::env::var("FIRST_ERA").ok().and_then(|n| n.parse().ok()).unwrap_or(0);
    lab.store.begin_in_era(first_era);
    let config = "{\"version\":7,\"routes\":[{\"name\":\"r1\",\"hostname\":\"shop.example\",\"prefix\":\"/chat/\",\
        \"kind\":\"streaming\",\"timeout-ms\":8000,\"target-latency-ms\":250,\"priority\":0,\"service\":\"llm\",\
        \"max-attempts\":1,\"session-affinity\":true,\"resumable\":false,\"target-gap-ms\":200}],\
        \"services\":[{\"name\":\"llm\",\"health-check-path\":\"/health\",\"max-connections\":580,\"protocol\":\"h1\",\
        \"tls\":false,\"engine\":{\"slots\":12,\"kv-cache-tokens\":380606,\"kv-token-bytes\":35136,\"link-mbps\":1100000.0,\
        \"moves\":true,\"backups\":true,\"stride\":14,\"most\":12,\"handle-ttl-s\":5.0,\"stage-switch-s\":3.0,\
        \"pin-ms\":4000.0,\"hold-ms\":2000.0,\"models\":[{\"name\":\"m\"}]}}],\
        \"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}";
    lab.store.put("op", "config", config);
    let start = |i: usize, stage: &str| Engine::start(&record, &lab.store, &format!("i-llm-{i}"), stage);
    let mut engines: Vec<Engine> = (1..=3).map(|i| start(i, "prefill")).collect();
    engines.extend((4..=6).map(|i| start(i, "decode")));
    // The heartbeats of the other runners of the deployment: 140 that write each 1.2 s.
    let (writing, counted) = (Arc::new(AtomicBool::new(true)), lab.store.clone());
    let goes_on = writing.clone();
    thread::spawn(move || {
        while goes_on.load(Ordering::Relaxed) {
            counted.use_versions(6);
            thread::sleep(Duration::from_millis(50));
        }
    });
    lab.start(3)?;
    thread::sleep(Duration::from_millis(1_500));
    let copy = lab.store.copy();
    record.note(&format!("the store's copy is from now, version {}", lab.store.version()));
    thread::sleep(Duration::from_millis(2_500));
    lab.store.drop_row("servers", "i-llm-6");
    record.note("i-llm-6 is gone: too few runners decode");
    let first = &engines[0];
    let until = Instant::now() + Duration::from_secs(6);
    while first.state.lock().unwrap().orders.is_empty() {
        if Instant::now() > until {
            return Err("no order was given".to_owned());
        }
        thread::sleep(Duration::from_millis(20));
    }
    thread::sleep(Duration::from_millis(300));
    if lab.trouble {
        lab.store.leave();
        record.note("the store is away");
        lab.kill_all();
        thread::sleep(Duration::from_millis(400));
        lab.store.come_back(copy);
        record.note("the store is back from its copy");
        lab.store.drop_row("servers", "i-llm-6");
        engines[..5].iter().for_each(|e| e.register(&lab.store));
        record.note("the runners have written their entries again");
    }
    engines.push(Engine::start(&record, &lab.store, "i-llm-7", "decode"));
    record.note("i-llm-7 is added: too many runners decode");
    if lab.trouble {
        lab.restart_all()?;
    }
    thread::sleep(Duration::from_secs(12));
    writing.store(false, Ordering::Relaxed);
    let mut is_broken = false;
    for engine in &engines {
        let orders = engine.state.lock().unwrap().orders.clone();
        for pair in orders.windows(2) {
            let ((before, high), (after, token)) = (&pair[0], &pair[1]);
            if token < high || (token == high && before != after) {
                is_broken = true;
                record.note(&format!("BROKEN: {} got token {token} of {after} after token {high} of {before}", engine.id));
            }
        }
    }
    Ok(is_broken)
}

/// How long a client waits for the next event of a stream.
const GAP: Duration = Duration::from_millis(2_000);

/// A machine loses power while it passes on streams, and then a release begins: a runner with a newer version
/// of the software comes beside the others. Clients take their streams up again at the other machines.
fn streams_of_a_lost_machine(lab: &mut Lab) -> Result<bool, String> {
    let record = lab.record.clone();
    for id in ["i-llm-1", "i-llm-2", "i-llm-3"] {
        Runner::start_version(&record, &lab.store, id, "llm", "v1");
    }
    let text = config(7, &[("/score/", "streaming", "llm")], &["llm"]);
    let text = text.replace(
        "\"timeout-ms\":1000,\"target-latency-ms\":100",
        "\"timeout-ms\":10000,\"target-latency-ms\":300,\"target-gap-ms\":200,\"resumable\":true",
    );
    lab.store.put("op", "config", &text);
    lab.sheet = KHABAR;
    lab.start(6)?;
    thread::sleep(Duration::from_millis(4_000));
    let fronts: Vec<SocketAddr> = lab.machines.iter().map(|m| m.front).collect();
    let clients: Vec<_> = (0..16)
        .map(|i| {
            let (record, first, second) = (record.clone(), fronts[0], fronts[1 + i % 5]);
            let third = fronts[1 + (i + 1) % 5];
            thread::spawn(move || take_stream(&record, [first, second, third]))
        })
        .collect();
    thread::sleep(Duration::from_millis(1_000));
    if lab.trouble {
        lab.machines[0].signal("STOP");
        record.note("frontend-a-1 goes dark");
    }
    thread::sleep(Duration::from_millis(1_000));
    // Without the release, for comparison.
    if std::env::var("RELEASE").as_deref() != Ok("0") {
        Runner::start_version(&record, &lab.store, "i-llm-4", "llm", "v2");
        record.note("a release begins: i-llm-4 with software v2 is ready; the three runners with v1 serve on");
    }
    // New streams, at the machines that stay.
    let fresh: Vec<_> = (0..16)
        .map(|i| {
            let (record, front) = (record.clone(), fronts[1 + i % 5]);
            thread::sleep(Duration::from_millis(100));
            thread::spawn(move || take_stream(&record, [front; 3]))
        })
        .collect();
    let taken: Vec<Taken> = clients.into_iter().filter_map(|c| c.join().ok()).collect();
    let fresh: Vec<Taken> = fresh.into_iter().filter_map(|c| c.join().ok()).collect();
    lab.machines[0].signal("CONT");
    let again: Vec<&Taken> = taken.iter().filter(|t| t.is_again).collect();
    let went_on = again.iter().filter(|t| t.is_complete).count();
    let began = fresh.iter().filter(|t| t.has_begun).count();
    record.note(&format!(
        "{went_on} of {} streams that were taken up again went on; {began} of {} new ones began",
        again.len(),
        fresh.len()
    ));
    if !lab.trouble {
        return Ok(taken.iter().any(|t| !t.is_complete));
    }
    if again.len() < 12 {
        return Err("fewer than 12 streams were taken up again".to_owned());
    }
    Ok(went_on * 2 * fresh.len() < began * again.len())
}

#[derive(Default)]
struct Taken {
    has_begun: bool,
    /// Whether the client took it up again.
    is_again: bool,
    is_complete: bool,
}

/// Takes a stream; if it breaks off or nothing comes for a while, takes it up again at the second machine,
/// and after a refusal once more at the third.
fn take_stream(record: &Record, fronts: [SocketAddr; 3]) -> Taken {
    let mut taken = Taken::default();
    let (began, mut last) = (new_id(), 0);
    for (i, front) in fronts.into_iter().enumerate() {
        let id = if i == 0 { began.clone() } else { new_id() };
        let again = match last {
            0 => String::new(),
            last => format!("resumes: {began}\r\nlast-event-id: {last}\r\n"),
        };
        taken.is_again |= last > 0;
        let request = format!(
            "POST /score/long/1 HTTP/1.1\r\nhost: shop.example\r\nredwingweir-attempt-id: {id}\r\n\
             redwingweir-deadline-ms: 10000\r\n{again}content-length: 0\r\n\r\n"
        );
        let retry_ms = match events_of(front, &request, &mut last) {
            Ok(None) => {
                record.note(&format!("{id}: the stream of {began} is complete after event {last}, from {front}"));
                taken.has_begun = true;
                taken.is_complete = true;
                return taken;
            }
            Ok(Some((status, retry_ms))) => {
                record.note(&format!("{id}: {front} answers {status} to the stream of {began} after event {last}, retry after {retry_ms} ms"));
                retry_ms
            }
            Err(error) => {
                record.note(&format!("{id}: the stream of {began} ends after event {last}, from {front}: {error}"));
                0
            }
        };
        taken.has_begun |= last > 0;
        thread::sleep(Duration::from_millis(retry_ms.min(3_000)));
    }
    taken
}

/// Takes events until the end of the stream; a status and a retry time if it is refused.
fn events_of(front: SocketAddr, request: &str, last: &mut usize) -> std::io::Result<Option<(u16, u64)>> {
    let mut conn = Conn::open(front, GAP)?;
    conn.write(request.as_bytes())?;
    let head = conn.read_head()?.ok_or(std::io::ErrorKind::UnexpectedEof)?;
    if head.status() != 200 {
        let seconds: f64 = head.header("retry-after").parse().unwrap_or(0.0);
        return Ok(Some((head.status(), (seconds * 1e3) as u64)));
    }
    loop {
        let chunk = conn.read_chunk()?;
        if chunk.is_empty() {
            return Ok(None);
        }
        for line in String::from_utf8_lossy(&chunk).lines() {
            if let Some(id) = line.strip_prefix("id: ") {
                *last = id.parse().unwrap_or(*last);
            }
        }
    }
}

/// Many clients read streams slowly at one machine; the platform ends a process over its memory.
fn memory_of_slow_readers(lab: &mut Lab) -> Result<bool, String> {
    const CLIENTS: usize = 1_400;
    let record = lab.record.clone();
    for i in 1..=8 {
        Runner::start(&record, &lab.store, &format!("i-llm-{i}"), "scores");
    }
    let text = config(7, &[("/score/", "streaming", "scores"), ("/stock/", "idempotent", "scores")], &["scores"]);
    let text = text.replace(
        "\"timeout-ms\":1000,\"target-latency-ms\":100",
        "\"timeout-ms\":8000,\"target-latency-ms\":500,\"target-gap-ms\":250",
    );
    let text = text.replace("\"max-connections\":110", "\"max-connections\":580");
    lab.store.put("op", "config", &text);
    lab.sheet = UBT;
    lab.start(1)?;
    thread::sleep(Duration::from_millis(500));
    let (front, trouble) = (lab.machines[0].front, lab.trouble);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let record = record.clone();
            thread::spawn(move || slow_client(&record, front, trouble))
        })
        .collect();
    let ends: Vec<Option<usize>> = clients.into_iter().map(|c| c.join().unwrap_or(None)).collect();
    let status = std::fs::read_to_string(format!("/proc/{}/status", lab.machines[0].pid()));
    let status = status.map_err(|e| e.to_string())?;
    let peak = status.lines().find(|l| l.starts_with("VmHWM")).unwrap_or_default().to_owned();
    let began = ends.iter().flatten().count();
    record.note(&format!("{began} of {CLIENTS} streams began; peak memory of the node: {peak}"));
    let kb: u64 = peak.split_whitespace().nth(1).and_then(|n| n.parse().ok()).unwrap_or(0);
    Ok(kb > 160_000)
}
