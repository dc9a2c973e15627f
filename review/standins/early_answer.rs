//! A runner answers a stream before it has read a long body, keeps the connection and reads on later.

use crate::{
    Run, fleet,
    http::{Conn, Head},
    node::Node,
    record,
    runner::{LAST_CHUNK, Runner, event, stream_head},
    store::Store,
};
use std::{
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

/// Length of the long body: the largest on the sheets for a request of a stream.
const BODY_BYTES: usize = 72_000;
/// Bytes that the runner takes unread, so that its peer is blocked by the rest.
const WINDOW_BYTES: i32 = 2 << 10;
/// How much later the runner reads on.
const READS_ON_AFTER: Duration = Duration::from_millis(600);
const LONG_ID: &str = "00000000000000a1";
const NEXT_ID: &str = "00000000000000b2";

/// What the runner read where the rest of the long body was due.
#[derive(Debug, Default)]
struct Seen {
    right: usize,
    wrong: Option<String>,
    ended: bool,
}

fn body() -> Vec<u8> {
    (0..BODY_BYTES).map(|i| b'a' + (i % 23) as u8).collect()
}

fn handle(conn: &mut Conn, head: &Head, trouble: bool, seen: &Mutex<Seen>) -> bool {
    if fleet::answer_own_calls(conn, head, "decode", 0) {
        return true;
    }
    let id = head.call_id().to_owned();
    record!(
        "runner: begins {} {id}, body of {:?} bytes",
        head.first,
        head.length()
    );
    let is_long = id == LONG_ID;
    if !(is_long && trouble) && conn.read_body(head).is_err() {
        return false;
    }
    let mut answer = stream_head(&id);
    (1..=3).for_each(|n| answer.extend(event(n)));
    answer.extend_from_slice(LAST_CHUNK);
    if conn.write(&answer).is_err() {
        return false;
    }
    record!("runner: {id} answered completely");
    if !(is_long && trouble) {
        return true;
    }
    thread::sleep(READS_ON_AFTER);
    let expected = body();
    let mut at = 0;
    while at < expected.len() {
        match conn.read_some(expected.len() - at) {
            Ok(bytes) => {
                let same = bytes
                    .iter()
                    .zip(&expected[at..])
                    .take_while(|(a, b)| a == b)
                    .count();
                at += same;
                if same < bytes.len() {
                    let text = String::from_utf8_lossy(&bytes[same..]).into_owned();
                    record!(
                        "runner: after {at} bytes of the body of {id} come other bytes: {text:?}"
                    );
                    let mut seen = seen.lock().expect("what was seen");
                    seen.right = at;
                    seen.wrong = Some(text);
                    return false;
                }
            }
            Err(error) => {
                record!("runner: the connection ends after {at} bytes of the body: {error}");
                let mut seen = seen.lock().expect("what was seen");
                seen.right = at;
                seen.ended = true;
                return false;
            }
        }
    }
    record!("runner: the body of {id} is complete");
    true
}

fn send(node: &Node, id: &str, body: &[u8]) -> String {
    let result = (|| {
        let mut conn = Conn::open(node.front)?;
        conn.stream.set_read_timeout(Some(Duration::from_secs(8)))?;
        conn.write(fleet::stream_request(fleet::STREAM, id, body.len(), 6_000).as_bytes())?;
        conn.write(body)?;
        record!("client: sent {id} with {} bytes", body.len());
        let head = conn.read_head()?;
        let body = conn.read_body(&head)?;
        std::io::Result::Ok(format!("{}, {} bytes", head.status(), body.len()))
    })();
    let text = result.unwrap_or_else(|error| format!("no complete answer: {error}"));
    record!("client: {id} gets {text}");
    text
}

pub fn run(run: &Run) -> bool {
    let store = Store::start();
    fleet::configure(&store, 7, 64);
    let seen = Arc::new(Mutex::new(Seen::default()));
    let (trouble, noted) = (run.trouble, seen.clone());
    let handler =
        move |_: &Runner, conn: &mut Conn, head: &Head| handle(conn, head, trouble, &noted);
    let runner = Runner::start(
        "i-7f3a91c2",
        fleet::llm_entry(64, "decode"),
        Some(WINDOW_BYTES),
        Arc::new(handler),
    );
    runner.register(&store);
    let node = Node::start("frontend-vidzeme-a-1", &store, &run.temp);
    if !node.wait_ready() {
        run.cannot("the node is not ready");
    }
    thread::sleep(Duration::from_secs(2));
    let first = send(&node, LONG_ID, &body());
    // The next client comes while the runner hasn't read on yet.
    thread::sleep(Duration::from_millis(150));
    let second = send(&node, NEXT_ID, b"next");
    thread::sleep(READS_ON_AFTER);
    let seen = seen.lock().expect("what was seen");
    record!("result: first {first}; second {second}; {seen:?}");
    let broken = seen.wrong.is_some();
    record!(
        "UNASKED: the runner {} other bytes where the rest of a body is due",
        if broken { "got" } else { "got no" }
    );
    broken
}
