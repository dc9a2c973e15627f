//! Runners that spoil a few of their streams with an event that never ends, a byte in each chunk.

use crate::client::Crowd;
use crate::http::read_message;
use crate::node::start_ready;
use crate::record::Record;
use crate::runner::Runner;
use crate::store::Store;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-brief","hostname":"a.example","prefix":"/brief/","kind":"streaming","timeout-ms":10000,"target-latency-ms":300,"priority":1,"service":"writer","max-attempts":2,"resumable":true,"target-gap-ms":200},{"name":"r-alert","hostname":"a.example","prefix":"/alert/","kind":"non_idempotent","timeout-ms":1500,"target-latency-ms":100,"priority":2,"service":"alerts","max-attempts":1}],"services":[{"name":"writer","health-check-path":"/health","max-connections":360,"protocol":"h1","tls":false},{"name":"alerts","health-check-path":"/health","max-connections":96,"protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}}"#;
/// Time-out of the route of alerts.
const TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time after which an answer that is still due breaks the rule.
const SLACK: Duration = Duration::from_millis(500);
/// Clients that read streams, and clients that send alerts.
const CLIENTS: usize = 140;
const SENDERS: usize = 10;
/// Share of the answers that are spoiled, in percent, and number of runners of four that do it.
const SPOILED: u64 = 5;
const SPOILERS: usize = 2;
/// Number and length of the times in which they do it, and the breaks between them.
const WINDOWS: usize = 4;
const WINDOW: Duration = Duration::from_secs(5);
const BREAK: Duration = Duration::from_secs(2);
/// Requests without an answer from which the rule counts, if they are over a quarter.
const MIN_UNANSWERED: usize = 8;

pub fn play(work: &Path, has_trouble: bool, record: &Record) -> i32 {
    let store = Store::start();
    store.write("op", "config", Some(CONFIG));
    let start = |n: usize, service| Runner::start(&format!("i-{n}"), service, &store, record);
    let writers: Vec<Runner> = (1..=4).map(|n| start(n, "writer")).collect();
    let _alerters: Vec<Runner> = (5..=7).map(|n| start(n, "alerts")).collect();
    let Some(nodes) = start_ready(2, store.addr, work) else {
        record.note("the nodes are not ready");
        return 2;
    };
    let fronts: Vec<_> = nodes.iter().map(|n| n.front).collect();
    let ending = Arc::new(AtomicBool::new(false));
    let took = Arc::new(Mutex::new(Vec::<(Duration, bool)>::new()));
    let mut clients = Vec::new();
    let crowd = Crowd::start(CLIENTS, Duration::from_millis(25), &nodes, record);
    for c in 0..SENDERS {
        let (ending, record) = (ending.clone(), record.clone());
        let (front, took) = (fronts[c % 2], took.clone());
        clients.push(thread::spawn(move || {
            let mut n = 0;
            while !ending.load(Ordering::Relaxed) {
                n += 1;
                let result = alert(&format!("{:04x}{n:04x}", 0xf000 + c), front, &record);
                took.lock().unwrap().push(result);
                thread::sleep(Duration::from_millis(250));
            }
        }));
    }
    thread::sleep(Duration::from_secs(6));
    for _ in 0..WINDOWS {
        if has_trouble {
            spoil(&writers, SPOILED, record);
        }
        thread::sleep(WINDOW);
        spoil(&writers, 0, record);
        thread::sleep(BREAK);
    }
    ending.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    crowd.finish();
    let took = took.lock().unwrap();
    let late: Vec<_> = took.iter().filter(|(t, ok)| *t > TIMEOUT || !ok).collect();
    let unanswered = late
        .iter()
        .filter(|(t, ok)| *t > TIMEOUT + SLACK || !ok)
        .count();
    let longest = took.iter().map(|(t, _)| *t).max().unwrap_or_default();
    record.note(&format!(
        "{} alerts, {} unanswered at their time-out, {unanswered} of them half a second later; the longest took {} ms",
        took.len(), late.len(), longest.as_millis()
    ));
    i32::from(unanswered >= MIN_UNANSWERED && unanswered * 4 > late.len())
}

/// Has two of the four runners spoil a share of their streams, in percent.
fn spoil(writers: &[Runner], percent: u64, record: &Record) {
    record.note(&format!("two runners spoil {percent} in 100 streams"));
    for runner in &writers[..SPOILERS] {
        runner.spoiled.store(percent, Ordering::Relaxed);
    }
}

/// Sends an alert; returns how long it took, and whether an answer came at all.
fn alert(call: &str, front: SocketAddr, record: &Record) -> (Duration, bool) {
    let begun = Instant::now();
    let status = ask(call, front).unwrap_or(0);
    let took = begun.elapsed();
    record.note(&format!(
        "alert {call} to {front}: status {status} after {} ms",
        took.as_millis()
    ));
    (took, status > 0)
}

fn ask(call: &str, front: SocketAddr) -> Option<u16> {
    let mut out = TcpStream::connect(front).ok()?;
    out.set_nodelay(true).ok()?;
    out.set_read_timeout(Some(Duration::from_secs(10))).ok()?;
    let request = format!(
        "POST /alert/{call} HTTP/1.1\r\nHost: a.example\r\nRedwingweir-Attempt-Id: {call}\r\nRedwingweir-Deadline-Ms: 1500\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{call}",
        call.len()
    );
    out.write_all(request.as_bytes()).ok()?;
    Some(read_message(&mut BufReader::new(out))?.status())
}
