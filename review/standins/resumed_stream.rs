//! A connection is reset in the middle of a resumable stream, and the runner on which the stream is
//! taken up answers with a failure.

use crate::{
    Run, fleet,
    http::{Conn, Head},
    link::Link,
    node::Node,
    record,
    runner::{LAST_CHUNK, Runner, answer, event, stream_head},
    store::Store,
};
use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// Events of a whole stream, and the one after which the connections are reset.
const EVENTS: u64 = 8;
const RESET_AFTER: u64 = 3;
/// Pause between events.
const PAUSE: Duration = Duration::from_millis(60);
const ID: &str = "00000000000000d1";

struct Scene {
    links: Mutex<Vec<Link>>,
    trouble: bool,
    was_reset: AtomicBool,
}

fn handle(runner: &Runner, conn: &mut Conn, head: &Head, scene: &Scene) -> bool {
    if fleet::answer_own_calls(conn, head, "decode", 0) {
        return true;
    }
    if conn.read_body(head).is_err() {
        return false;
    }
    let id = head.call_id().to_owned();
    let last: u64 = head
        .header("last-event-id")
        .and_then(|v| v.parse().ok())
        .unwrap_or(0);
    record!("runner {}: runs {id} after event {last}", runner.id);
    if last > 0 {
        // An ordinary failure of a run: signed, and without the word that it hasn't run.
        record!("runner {}: answers {id} with its own 500", runner.id);
        thread::sleep(Duration::from_millis(20));
        return conn.write(&answer(500, &id, "failed")).is_ok();
    }
    if conn.write(&stream_head(&id)).is_err() {
        return false;
    }
    for n in 1..=EVENTS {
        thread::sleep(PAUSE);
        if conn.write(&event(n)).is_err() {
            record!(
                "runner {}: the connection of {id} has ended at event {n}",
                runner.id
            );
            return false;
        }
        if n == RESET_AFTER && scene.trouble && !scene.was_reset.swap(true, Ordering::Relaxed) {
            thread::sleep(PAUSE);
            record!("links: all connections between the node and the runners are reset");
            scene
                .links
                .lock()
                .expect("the links")
                .iter()
                .for_each(Link::reset);
        }
    }
    conn.write(LAST_CHUNK).is_ok()
}

pub fn run(run: &Run) -> bool {
    let store = Store::start();
    fleet::configure(&store, 7, 64);
    let scene = Arc::new(Scene {
        links: Mutex::default(),
        trouble: run.trouble,
        was_reset: AtomicBool::new(false),
    });
    for name in ["i-02d9e6b4", "i-7f3a91c2"] {
        let noted = scene.clone();
        let handler = move |r: &Runner, conn: &mut Conn, head: &Head| handle(r, conn, head, &noted);
        let runner = Runner::start(
            name,
            fleet::llm_entry(64, "decode"),
            None,
            Arc::new(handler),
        );
        let link = Link::start(runner.addr);
        let runner = runner.via(link.addr);
        scene.links.lock().expect("the links").push(link);
        runner.register(&store);
    }
    let node = Node::start("frontend-vidzeme-a-1", &store, &run.temp);
    if !node.wait_ready() {
        run.cannot("the node is not ready");
    }
    thread::sleep(Duration::from_secs(2));
    let Ok(mut conn) = Conn::open(node.front) else {
        run.cannot("no connection")
    };
    let _ = conn.stream.set_read_timeout(Some(Duration::from_secs(6)));
    if conn
        .write(fleet::stream_request(fleet::RESUMABLE, ID, 4, 4_000).as_bytes())
        .is_err()
        || conn.write(b"next").is_err()
    {
        run.cannot("the request can't be sent");
    }
    record!("client: sent {ID}");
    let result = conn.read_head().and_then(|head| {
        record!(
            "client: {ID} gets {:?} in chunks: {}",
            head.first,
            head.is_chunked()
        );
        conn.read_body(&head).map(|body| (head.status(), body))
    });
    let broken = match &result {
        Ok((status, body)) => {
            record!(
                "client: {ID} is complete: {status}, {:?}",
                String::from_utf8_lossy(body)
            );
            false
        }
        Err(error) if error.kind() == std::io::ErrorKind::InvalidData => {
            record!("client: the stream of {ID} goes on with bytes that are no answer: {error}");
            true
        }
        Err(error) => {
            record!("client: the stream of {ID} is cut off: {error}");
            false
        }
    };
    record!(
        "MIXED: the client {} bytes that are no answer in the protocol",
        if broken { "got" } else { "got no" }
    );
    broken
}
