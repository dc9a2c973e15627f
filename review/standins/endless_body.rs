//! A runner in trouble sends bytes that are no answer, without end, until the caller closes.

use crate::{
    Run, fleet,
    http::{Conn, Head},
    node::Node,
    record,
    runner::{Runner, answer, answer_head},
    store::Store,
};
use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Time-out of the route, and how much later an answer must have come.
const TIMEOUT: Duration = Duration::from_millis(1_000);
const SLACK: Duration = Duration::from_millis(500);
/// How long the runner in trouble sends, at most.
const TROUBLE: Duration = Duration::from_secs(12);
/// Clients that send requests one after the other, and for how long after the trouble began.
const CLIENTS: usize = 12;
const WATCH: Duration = Duration::from_secs(8);
/// Lines behind the last chunk of a body, where only an empty line ends the answer.
const NO_ANSWER: &[u8] = b"x: y\r\n";

/// When requests had their final answers.
#[derive(Default)]
struct Counts {
    in_time: AtomicU32,
    /// After the time-out, and at most [`SLACK`] later.
    late: AtomicU32,
    never: AtomicU32,
}

struct Scene {
    trouble: bool,
    /// Whether the runner in trouble has begun.
    begun: AtomicBool,
    sick: &'static str,
}

fn handle(runner: &Runner, conn: &mut Conn, head: &Head, scene: &Scene) -> bool {
    if fleet::answer_own_calls(conn, head, "", 0) {
        return true;
    }
    let id = head.call_id().to_owned();
    if conn.read_body(head).is_err() {
        return false;
    }
    let is_first =
        scene.trouble && runner.id == scene.sick && !scene.begun.swap(true, Ordering::Relaxed);
    if !is_first {
        thread::sleep(Duration::from_millis(15));
        return conn.write(&answer(200, &id, "stock")).is_ok();
    }
    record!(
        "runner {}: begins to send bytes without end in the body of its answer to {id}",
        runner.id
    );
    let head = answer_head(200, &id);
    let begin = format!("{head}Transfer-Encoding: chunked\r\n\r\n5\r\nstock\r\n0\r\n");
    if conn.write(begin.as_bytes()).is_err() {
        return false;
    }
    let bytes = NO_ANSWER.repeat(16_000);
    let (start, mut sent) = (Instant::now(), 0);
    while start.elapsed() < TROUBLE && conn.write(&bytes).is_ok() {
        sent += bytes.len();
    }
    record!(
        "runner {}: {sent} such bytes sent, ended after {:?}",
        runner.id,
        start.elapsed()
    );
    false
}

/// Sends one request and counts when it had its answer.
fn ask(node: &Node, id: &str, counts: &Counts) {
    let start = Instant::now();
    let result = Conn::open(node.front).and_then(|mut conn| {
        conn.stream.set_read_timeout(Some(TIMEOUT + SLACK))?;
        let request = format!(
            "GET {}fi50/2f HTTP/1.1\r\nHost: {}\r\nRedwingweir-Attempt-Id: {id}\r\nRedwingweir-Deadline-Ms: 1000\r\n\r\n",
            fleet::SAFE,
            fleet::HOST
        );
        conn.write(request.as_bytes())?;
        let head = conn.read_head()?;
        conn.read_body(&head)?;
        Ok(head.status())
    });
    let took = start.elapsed();
    let count = match &result {
        Ok(_) if took <= TIMEOUT => &counts.in_time,
        Ok(_) if took <= TIMEOUT + SLACK => &counts.late,
        _ => &counts.never,
    };
    count.fetch_add(1, Ordering::Relaxed);
    match result {
        Ok(200) => {}
        Ok(status) => record!("client: {id} gets {status} after {took:?}"),
        Err(error) => record!("client: {id} has no answer after {took:?}: {error}"),
    }
}

fn keep_asking(node: &Node, k: usize, until: Instant, counts: &Counts) {
    let mut n = 0;
    while Instant::now() < until {
        n += 1;
        ask(node, &format!("c{k}-{n}"), counts);
        thread::sleep(Duration::from_millis(50));
    }
}

pub fn run(run: &Run) -> bool {
    let store = Store::start();
    fleet::configure(&store, 7, 64);
    let scene = Arc::new(Scene {
        trouble: run.trouble,
        begun: AtomicBool::new(false),
        sick: "i-02d9e6b4",
    });
    for name in ["i-02d9e6b4", "i-7f3a91c2", "i-9c1b55aa"] {
        let scene = scene.clone();
        let handler = move |r: &Runner, conn: &mut Conn, head: &Head| handle(r, conn, head, &scene);
        Runner::start(name, fleet::plain_entry(), None, Arc::new(handler)).register(&store);
    }
    let node = Node::start("frontend-vidzeme-a-1", &store, &run.temp);
    if !node.wait_ready() {
        run.cannot("the node is not ready");
    }
    thread::sleep(Duration::from_secs(2));
    let counts = Counts::default();
    let until = Instant::now() + WATCH;
    thread::scope(|scope| {
        for k in 0..CLIENTS {
            let (node, counts) = (&node, &counts);
            scope.spawn(move || keep_asking(node, k, until, counts));
        }
    });
    let [in_time, late, never] =
        [&counts.in_time, &counts.late, &counts.never].map(|n| n.load(Ordering::Relaxed));
    record!(
        "platform: the readiness check is answered with 200: {}",
        node.answers_ready()
    );
    record!(
        "CONFIG: {in_time} requests were answered before the route's time-out, {late} at most {SLACK:?} after it, {never} not even then"
    );
    // Of those that were unanswered at the time-out, more than half have no answer half a second later.
    never > late && never >= 8
}
