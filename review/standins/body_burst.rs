//! Many clients come at once, with bodies as large as the configuration allows.

use crate::{
    Run, fleet,
    http::{Conn, Head},
    node::{Node, SIGKILL},
    record,
    runner::{Runner, answer},
    store::Store,
};
use std::{
    collections::BTreeSet,
    fs,
    sync::{
        Arc, Barrier, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Memory of a machine, as the settings say.
const MEMORY_BYTES: u64 = 260 << 20;
/// Size of a page of memory in /proc/PID/statm.
const PAGE_BYTES: u64 = 4_096;
/// Length of a body; the configuration allows 4,194,304.
const BODY_BYTES: usize = 4_000_000;
/// Clients with such a body at once, as usual and in the burst: 1.8 times as many.
const USUAL: usize = 22;
const BURST: usize = 40;
/// Clients that send small requests on kept connections, one after the other.
const KEPT: usize = 16;
/// Time that a runner works on a request.
const WORK: Duration = Duration::from_millis(220);
/// Requests that are passed on and cut off which break the rule.
const ALLOWED: usize = 3;

/// What happened to the requests on kept connections.
#[derive(Default)]
struct Seen {
    passed_on: Mutex<BTreeSet<String>>,
    cut: Mutex<Vec<String>>,
}

fn handle(conn: &mut Conn, head: &Head, seen: &Seen) -> bool {
    if fleet::answer_own_calls(conn, head, "", 0) {
        return true;
    }
    let id = head.call_id().to_owned();
    let Ok(body) = conn.read_body(head) else {
        return false;
    };
    record!("runner: runs {id} with {} bytes", body.len());
    seen.passed_on.lock().expect("the list").insert(id.clone());
    thread::sleep(WORK);
    conn.write(&answer(200, &id, "done")).is_ok()
}

fn request(id: &str, bytes: usize) -> String {
    format!(
        "POST {}2f HTTP/1.1\r\nHost: {}\r\nRedwingweir-Attempt-Id: {id}\r\nRedwingweir-Deadline-Ms: 1000\r\nContent-Length: {bytes}\r\n\r\n",
        fleet::ONCE,
        fleet::HOST
    )
}

/// Sends small requests on one connection until it ends or `stop` is set.
fn keep_asking(node: &Node, k: usize, stop: &AtomicBool, seen: &Seen) {
    let Ok(mut conn) = Conn::open(node.front) else {
        return;
    };
    for n in 0.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let id = format!("kept-{k}-{n}");
        let sent = conn
            .write(request(&id, 4).as_bytes())
            .and_then(|()| conn.write(b"four"));
        let got = sent
            .and_then(|()| conn.read_head())
            .and_then(|head| conn.read_body(&head).map(|_| head.status()));
        match got {
            Ok(200 | 503) => {}
            Ok(status) => record!("client: {id} gets {status}"),
            Err(error) => {
                record!("client: {id} gets no answer: {error}");
                seen.cut.lock().expect("the list").push(id);
                return;
            }
        }
    }
}

/// Sends a small request, and then a large one on the same connection.
fn upload(node: &Node, k: usize, start: &Barrier, body: &[u8], seen: &Seen) {
    let mut conn = Conn::open(node.front);
    if let Ok(conn) = &mut conn {
        let id = format!("small-{k}");
        let sent = conn
            .write(request(&id, 4).as_bytes())
            .and_then(|()| conn.write(b"four"));
        let _ = sent
            .and_then(|()| conn.read_head())
            .and_then(|head| conn.read_body(&head));
    }
    start.wait();
    let id = format!("large-{k}");
    let result = conn.and_then(|mut conn| {
        conn.write(request(&id, body.len()).as_bytes())?;
        conn.write(body)?;
        let head = conn.read_head()?;
        conn.read_body(&head)?;
        Ok(head.status())
    });
    record!("client: {id} gets {result:?}");
    if result.is_err() {
        seen.cut.lock().expect("the list").push(id);
    }
}

fn memory(pid: u32) -> Option<u64> {
    let text = fs::read_to_string(format!("/proc/{pid}/statm")).ok()?;
    let pages: u64 = text.split(' ').nth(1)?.parse().ok()?;
    Some(pages * PAGE_BYTES)
}

/// Ends the node's process once it exceeds its memory, as the platform does; returns its peak.
fn watch_memory(node: &Node, stop: &AtomicBool, killed: &AtomicBool) -> u64 {
    let mut peak = 0;
    while !stop.load(Ordering::Relaxed) {
        let Some(bytes) = memory(node.pid()) else {
            break;
        };
        peak = peak.max(bytes);
        if bytes > MEMORY_BYTES && !killed.swap(true, Ordering::Relaxed) {
            record!(
                "platform: the process holds {} MB of {} MB and is killed",
                bytes >> 20,
                MEMORY_BYTES >> 20
            );
            node.signal(SIGKILL);
        }
        thread::sleep(Duration::from_millis(2));
    }
    peak
}

pub fn run(run: &Run) -> bool {
    let store = Store::start();
    fleet::configure(&store, 7, 64);
    let seen = Arc::new(Seen::default());
    for name in ["i-02d9e6b4", "i-7f3a91c2", "i-9c1b55aa"] {
        let noted = seen.clone();
        let handler = move |_: &Runner, conn: &mut Conn, head: &Head| handle(conn, head, &noted);
        Runner::start(name, fleet::plain_entry(), None, Arc::new(handler)).register(&store);
    }
    let node = Node::start("frontend-vidzeme-a-1", &store, &run.temp);
    if !node.wait_ready() {
        run.cannot("the node is not ready");
    }
    thread::sleep(Duration::from_secs(2));
    let (stop, killed, peak) = (
        AtomicBool::new(false),
        AtomicBool::new(false),
        AtomicU32::new(0),
    );
    let count = if run.trouble { BURST } else { USUAL };
    let (body, start) = (vec![b'x'; BODY_BYTES], Barrier::new(count));
    thread::scope(|scope| {
        let watching = scope.spawn(|| watch_memory(&node, &stop, &killed));
        for k in 0..KEPT {
            let (node, stop, seen) = (&node, &stop, &seen);
            scope.spawn(move || keep_asking(node, k, stop, seen));
        }
        thread::sleep(Duration::from_secs(1));
        record!("clients: {count} requests of {BODY_BYTES} bytes at once");
        let begun = Instant::now();
        let uploads: Vec<_> = (0..count)
            .map(|k| {
                let (node, start, body, seen) = (&node, &start, &body, &seen);
                scope.spawn(move || upload(node, k, start, body, seen))
            })
            .collect();
        uploads.into_iter().for_each(|u| drop(u.join()));
        record!(
            "clients: all large requests ended after {:?}",
            begun.elapsed()
        );
        thread::sleep(Duration::from_millis(500));
        stop.store(true, Ordering::Relaxed);
        let bytes = watching.join().unwrap_or_default();
        peak.store((bytes >> 20) as u32, Ordering::Relaxed);
    });
    record!(
        "platform: peak of the process {} MB",
        peak.load(Ordering::Relaxed)
    );
    let passed_on = seen.passed_on.lock().expect("the list");
    let cut = seen.cut.lock().expect("the list");
    let lost: Vec<&String> = cut.iter().filter(|id| passed_on.contains(*id)).collect();
    record!(
        "LOST: {} requests of kept connections were passed on to a sound runner, and the connection closed without an answer: {lost:?}",
        lost.len()
    );
    lost.len() > ALLOWED
}
