//! A runner's answer to an idempotent request breaks off midway, and the request is run once more.

use crate::{
    Run, fleet,
    http::{Conn, Head},
    node::Node,
    record,
    runner::{Runner, answer_head},
    store::Store,
};
use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    thread,
    time::Duration,
};

/// Length of the answer; the pages set no limit to it.
const ANSWER_BYTES: usize = 300_000;
/// Bytes of the answer that arrive before it breaks off.
const BROKEN_AT: usize = 120_000;
const ID: &str = "00000000000000c1";
const NEXT_ID: &str = "00000000000000c2";

/// The answer: every group of eight bytes tells its position.
fn body() -> Vec<u8> {
    let text: String = (0..ANSWER_BYTES / 8).map(|i| format!("{i:07}\n")).collect();
    text.into_bytes()
}

fn handle(runner: &Runner, conn: &mut Conn, head: &Head, breaks: &AtomicU32) -> bool {
    if fleet::answer_own_calls(conn, head, "", 0) {
        return true;
    }
    let id = head.call_id().to_owned();
    record!("runner {}: runs {} {id}", runner.id, head.first);
    thread::sleep(Duration::from_millis(30));
    let body = body();
    let text = format!(
        "{}Content-Length: {}\r\n\r\n",
        answer_head(200, &id),
        body.len()
    );
    if conn.write(text.as_bytes()).is_err() {
        return false;
    }
    if id == ID && breaks.fetch_add(1, Ordering::Relaxed) == 0 {
        let _ = conn.write(&body[..BROKEN_AT]);
        // The bytes on their way arrive, then the connection ends.
        thread::sleep(Duration::from_millis(100));
        record!(
            "runner {}: breaks off the answer to {id} after {BROKEN_AT} bytes",
            runner.id
        );
        return false;
    }
    let sent = conn.write(&body).is_ok();
    record!(
        "runner {}: the answer to {id} is complete: {sent}",
        runner.id
    );
    sent
}

fn request(id: &str) -> String {
    format!(
        "GET {}fi50/2f HTTP/1.1\r\nHost: {}\r\nRedwingweir-Attempt-Id: {id}\r\nRedwingweir-Deadline-Ms: 1000\r\n\r\n",
        fleet::SAFE,
        fleet::HOST
    )
}

/// Sends a request and compares its answer; returns whether a success had another body.
fn ask(conn: &mut Conn, id: &str) -> std::io::Result<bool> {
    conn.write(request(id).as_bytes())?;
    record!("client: sent {id}");
    let head = conn.read_head()?;
    let first: String = head.first.chars().take(60).collect();
    record!(
        "client: where the head of the answer to {id} is due comes {first:?}, signature {:?}, length {:?}",
        head.header("redwingweir-server-signature"),
        head.length()
    );
    if !head.first.starts_with("HTTP/1.1 ") {
        record!("client: these bytes are left over from the answer before");
        return Ok(true);
    }
    let got = conn.read_body(&head)?;
    let body = body();
    let same = got.iter().zip(&body).take_while(|(a, b)| a == b).count();
    if same == body.len() && got.len() == body.len() {
        record!("client: {id} has the runner's whole body");
        return Ok(false);
    }
    let near = String::from_utf8_lossy(&got[same.saturating_sub(16)..(same + 32).min(got.len())])
        .into_owned();
    record!(
        "client: the body of {id} is complete by its length, and wrong from byte {same}: {near:?}"
    );
    Ok((200..300).contains(&head.status()))
}

pub fn run(run: &Run) -> bool {
    let store = Store::start();
    fleet::configure(&store, 7, 64);
    // The count begins at 1 if nothing breaks.
    let breaks = Arc::new(AtomicU32::new(u32::from(!run.trouble)));
    for name in ["i-02d9e6b4", "i-7f3a91c2"] {
        let breaks = breaks.clone();
        let handler =
            move |r: &Runner, conn: &mut Conn, head: &Head| handle(r, conn, head, &breaks);
        let runner = Runner::start(name, fleet::plain_entry(), None, Arc::new(handler));
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
    let _ = conn.stream.set_read_timeout(Some(Duration::from_secs(3)));
    let broken = match ask(&mut conn, ID) {
        Ok(broken) => broken,
        Err(error) => {
            record!("client: {ID} gets no complete answer: {error}");
            false
        }
    };
    if broken {
        // What follows on the kept connection belongs to no request.
        match ask(&mut conn, NEXT_ID) {
            Ok(_) => {}
            Err(error) => record!("client: {NEXT_ID} gets no complete answer: {error}"),
        }
    }
    record!(
        "MIXED: a success {} a body that isn't the runner's whole body",
        if broken { "had" } else { "never had" }
    );
    broken
}
