//! Runners that get new software one after the other and start again under the identifiers that they
//! had, while the store is away, or shortly before it comes back from a copy.

use crate::client::{Crowd, Stream};
use crate::node::start_ready;
use crate::record::Record;
use crate::runner::Runner;
use crate::store::{Mode, Store};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

/// Streams that hold events of two software versions, above which the rule is broken.
const ALLOWED: usize = 2;
const CLIENTS: usize = 60;
pub const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-brief","hostname":"a.example","prefix":"/brief/","kind":"streaming","timeout-ms":10000,"target-latency-ms":300,"priority":1,"service":"writer","max-attempts":2,"resumable":true,"target-gap-ms":200}],"services":[{"name":"writer","health-check-path":"/health","max-connections":360,"protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}}"#;

/// Two of four runners get the new software while the store is busy.
pub fn play_outage(work: &Path, has_trouble: bool, record: &Record) -> i32 {
    play(outage, work, has_trouble, record)
}

/// Two of four runners get the new software, and the store comes back from a copy in between.
pub fn play_copy(work: &Path, has_trouble: bool, record: &Record) -> i32 {
    play(copy, work, has_trouble, record)
}

type Trouble = fn(&Store, &[Runner], &Record);

fn play(trouble: Trouble, work: &Path, has_trouble: bool, record: &Record) -> i32 {
    let store = Store::start();
    store.write("op", "config", Some(CONFIG));
    let start = |n| Runner::start(&format!("i-{n}"), "writer", &store, record);
    let runners: Vec<Runner> = (1..=4).map(start).collect();
    let Some(nodes) = start_ready(2, store.addr, work) else {
        record.note("the nodes are not ready");
        return 2;
    };
    let crowd = Crowd::start(CLIENTS, Duration::from_millis(50), &nodes, record);
    thread::sleep(Duration::from_secs(6));
    match has_trouble {
        true => trouble(&store, &runners, record),
        false => thread::sleep(Duration::from_secs(8)),
    }
    thread::sleep(Duration::from_secs(4));
    judge(&crowd.finish(), record)
}

/// The store is busy for 8 s. Meanwhile two of four runners get the new software.
fn outage(store: &Store, runners: &[Runner], record: &Record) {
    let start = Instant::now();
    record.note("the store becomes busy");
    store.set_mode(Mode::Busy);
    upgrade(&runners[0], 200, start);
    upgrade(&runners[1], 6_800, start);
    sleep_until(start, 8_000);
    record.note("the store is back");
    store.set_mode(Mode::Serving);
}

/// Two of four runners get the new software. Between them, the store is away for about a second and
/// comes back from a copy that is about 4 s old, just after a heartbeat of the first runner.
fn copy(store: &Store, runners: &[Runner], record: &Record) {
    let start = Instant::now();
    record.note("the copy of the store is made");
    store.copy();
    upgrade(&runners[0], 500, start);
    sleep_until(start, 3_000);
    record.note("the store goes away");
    store.set_mode(Mode::Silent);
    sleep_until(start, 3_300);
    runners[0].await_beat();
    record.note("the store comes back from its copy");
    store.restore();
    upgrade(&runners[1], 300, Instant::now());
}

/// The runner's process ends at a time, and starts again a second later with the new software.
fn upgrade(runner: &Runner, at_ms: u64, start: Instant) {
    sleep_until(start, at_ms);
    runner.crash();
    thread::sleep(Duration::from_secs(1));
    runner.start_again("v2");
}

fn sleep_until(start: Instant, at_ms: u64) {
    let until = start + Duration::from_millis(at_ms);
    thread::sleep(until.saturating_duration_since(Instant::now()));
}

fn judge(streams: &[Stream], record: &Record) -> i32 {
    let whole = streams.iter().filter(|s| s.is_whole).count();
    record.note(&format!("{} streams, {whole} whole", streams.len()));
    if whole * 2 < streams.len() {
        record.note("too few streams are whole for a verdict");
        return 2;
    }
    let mixed: Vec<_> = streams.iter().filter(|s| s.is_mixed()).collect();
    for stream in &mixed {
        record.note(&format!(
            "stream {} holds events {}",
            stream.name,
            stream.runs()
        ));
    }
    record.note(&format!(
        "{} streams hold events of two software versions; {ALLOWED} are allowed",
        mixed.len()
    ));
    i32::from(mixed.len() > ALLOWED)
}
