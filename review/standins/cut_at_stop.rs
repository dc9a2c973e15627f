//! A node that is stopped admits a plain request on a kept connection shortly before it exits.

use crate::{
    Run, fleet,
    http::{Conn, Head},
    node::{Node, SIGTERM},
    record,
    runner::{LAST_CHUNK, Runner, answer, event, stream_head},
    store::Store,
};
use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// When the stream ends, and so the next request is sent, after the node was told to stop.
const NEXT_AFTER: Duration = Duration::from_millis(6_000);
/// How long the runner is silent, and then works.
const SILENCE: Duration = Duration::from_millis(1_500);
const WORK: Duration = Duration::from_millis(200);
const STREAM_ID: &str = "00000000000000e1";
const NEXT_ID: &str = "00000000000000e2";

pub fn run(run: &Run) -> bool {
    let store = Store::start();
    fleet::configure_timeout(&store, 7, 3_000);
    let streaming = |r: &Runner, conn: &mut Conn, head: &Head| {
        if fleet::answer_own_calls(conn, head, "decode", 0) {
            return true;
        }
        let _ = conn.read_body(head);
        record!("runner {}: begins the stream {}", r.id, head.call_id());
        let start = Instant::now();
        let mut is_open = conn.write(&stream_head(head.call_id())).is_ok();
        let mut n = 0;
        while is_open && start.elapsed() < NEXT_AFTER + Duration::from_millis(200) {
            n += 1;
            is_open = conn.write(&event(n)).is_ok();
            thread::sleep(Duration::from_millis(100));
        }
        is_open && conn.write(LAST_CHUNK).is_ok()
    };
    let plain = |r: &Runner, conn: &mut Conn, head: &Head| {
        if fleet::answer_own_calls(conn, head, "", 0) {
            return true;
        }
        let _ = conn.read_body(head);
        record!("runner {}: runs {}", r.id, head.call_id());
        thread::sleep(SILENCE + WORK);
        let sent = conn.write(&answer(200, head.call_id(), "done")).is_ok();
        record!("runner {}: answered {}: {sent}", r.id, head.call_id());
        sent
    };
    Runner::start(
        "i-7f3a91c2",
        fleet::llm_entry(64, "decode"),
        None,
        Arc::new(streaming),
    )
    .register(&store);
    Runner::start("i-02d9e6b4", fleet::plain_entry(), None, Arc::new(plain)).register(&store);
    let node = Node::start("frontend-vidzeme-a-1", &store, &run.temp);
    if !node.wait_ready() {
        run.cannot("the node is not ready");
    }
    thread::sleep(Duration::from_secs(2));
    let Ok(mut conn) = Conn::open(node.front) else {
        run.cannot("no connection")
    };
    let _ = conn.stream.set_read_timeout(Some(Duration::from_secs(9)));
    let _ = conn.write(fleet::stream_request(fleet::STREAM, STREAM_ID, 0, 8_000).as_bytes());
    let Ok(head) = conn.read_head() else {
        run.cannot("no stream")
    };
    thread::sleep(Duration::from_millis(200));
    if run.trouble {
        node.signal(SIGTERM);
    }
    let body = conn.read_body(&head);
    record!("client: the stream ends: {:?}", body.map(|b| b.len()));
    let request = format!(
        "POST {}2f HTTP/1.1\r\nHost: {}\r\nRedwingweir-Attempt-Id: {NEXT_ID}\r\nRedwingweir-Deadline-Ms: 3000\r\nContent-Length: 4\r\n\r\nnext",
        fleet::ONCE,
        fleet::HOST
    );
    let sent = conn.write(request.as_bytes());
    record!("client: sent {NEXT_ID} on the kept connection: {sent:?}");
    let got = conn.read_head().map(|head| head.status());
    record!("client: {NEXT_ID} gets {got:?}");
    thread::sleep(Duration::from_secs(2));
    got.is_err()
}
