//! Clients that read an answer slowly: they pause in the middle of it, and go on within their deadline.

use crate::http::{read_head, read_message};
use crate::node::start_ready;
use crate::record::Record;
use crate::runner::Runner;
use crate::store::Store;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-list","hostname":"a.example","prefix":"/list/","kind":"non_idempotent","timeout-ms":8000,"target-latency-ms":300,"priority":2,"service":"ledger","max-attempts":1}],"services":[{"name":"ledger","health-check-path":"/health","max-connections":470,"protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}}"#;
const CLIENTS: usize = 12;
/// Pause of a client in the middle of an answer.
const PAUSE: Duration = Duration::from_millis(3_000);
/// Answers that may be lost on kept connections.
const ALLOWED: usize = 3;

pub fn play(work: &Path, has_trouble: bool, record: &Record) -> i32 {
    let store = Store::start();
    store.write("op", "config", Some(CONFIG));
    let _runners: Vec<Runner> = (1..=3)
        .map(|n| Runner::start(&format!("i-{n}"), "ledger", &store, record))
        .collect();
    let Some(nodes) = start_ready(2, store.addr, work) else {
        record.note("the nodes are not ready");
        return 2;
    };
    let clients: Vec<_> = (0..CLIENTS)
        .map(|c| {
            let (front, record) = (nodes[c % 2].front, record.clone());
            let pause = if has_trouble { PAUSE } else { Duration::ZERO };
            thread::spawn(move || visit(c, front, pause, &record))
        })
        .collect();
    let ends: Vec<_> = clients
        .into_iter()
        .map(|c| c.join().unwrap_or(End::Failed))
        .collect();
    let count = |end: End| ends.iter().filter(|e| **e == end).count();
    let (whole, lost, failed) = (count(End::Whole), count(End::Lost), count(End::Failed));
    record.note(&format!("{whole} answers whole, {lost} lost on kept connections, {failed} calls failed otherwise; {ALLOWED} may be lost"));
    match failed {
        0 => i32::from(lost > ALLOWED),
        _ => 2,
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Whole,
    /// The connection ended in the middle of the answer.
    Lost,
    Failed,
}

/// Sends two requests on one connection: the answer to the first is small, that to the second is read
/// with a pause.
fn visit(c: usize, front: SocketAddr, pause: Duration, record: &Record) -> End {
    let calls = [format!("{c:04x}00"), format!("{c:04x}01")];
    let Ok(mut out) = TcpStream::connect(front) else {
        return End::Failed;
    };
    let Ok(copy) = out.try_clone() else {
        return End::Failed;
    };
    let mut from = BufReader::with_capacity(4_096, copy);
    if out
        .write_all(request(&calls[0], "small").as_bytes())
        .is_err()
    {
        return End::Failed;
    }
    let first = read_message(&mut from);
    if !first.is_some_and(|m| m.status() == 200) {
        return End::Failed;
    }
    let begun = Instant::now();
    if out
        .write_all(request(&calls[1], "large").as_bytes())
        .is_err()
    {
        return End::Failed;
    }
    let Some(head) = read_head(&mut from).filter(|h| h.status() == 200) else {
        return End::Failed;
    };
    let length: usize = head
        .header("content-length")
        .and_then(|l| l.parse().ok())
        .unwrap_or(0);
    record.note(&format!(
        "client has the head of {}, {length} bytes follow",
        calls[1]
    ));
    let mut got = 0;
    let mut bytes = [0; 4_096];
    let mut paused = false;
    while got < length {
        match from.read(&mut bytes) {
            Ok(n) if n > 0 => got += n,
            end => {
                record.note(&format!(
                    "client has {got} of {length} bytes of {} after {} ms, then {end:?}",
                    calls[1],
                    begun.elapsed().as_millis()
                ));
                return End::Lost;
            }
        }
        if !paused && got >= length / 10 {
            paused = true;
            thread::sleep(pause);
        }
    }
    record.note(&format!(
        "client has all of {} after {} ms",
        calls[1],
        begun.elapsed().as_millis()
    ));
    End::Whole
}

fn request(call: &str, name: &str) -> String {
    format!(
        "POST /list/{name} HTTP/1.1\r\nHost: a.example\r\nRedwingweir-Attempt-Id: {call}\r\nRedwingweir-Deadline-Ms: 8000\r\nContent-Length: {}\r\n\r\n{call}",
        call.len()
    )
}
