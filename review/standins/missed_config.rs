//! In a drill the store is away for a moment and comes back from a copy some seconds old. What is
//! written next gets versions that were given out before, and a node goes on with its feed behind them.

use crate::{
    Run, fleet,
    http::{Conn, Head},
    node::Node,
    record,
    runner::{Runner, answer},
    store::Store,
};
use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Time within which a removed key must stop being accepted, as the settings say.
const REVOKE: Duration = Duration::from_millis(5_000);
/// Age of the copy that the store comes back from.
const COPY_AGE: Duration = Duration::from_millis(2_000);
/// How long the store is away.
const AWAY: Duration = Duration::from_millis(300);
/// When the operator takes the key away, after the store is back.
const REVOKED_AFTER: Duration = Duration::from_millis(200);
/// Time after the revocation's bound for which requests with the key are sent.
const WATCH: Duration = Duration::from_secs(8);
const PAUSE: Duration = Duration::from_millis(500);
const RUNNERS: u64 = 16;
const KEPT_KEY: &str = "k-1f00ba4d";
const LOST_KEY: &str = "k-9e21c77b";

fn tenants(with_key: bool) -> String {
    let lost = if with_key {
        format!("\"{LOST_KEY}\"")
    } else {
        String::new()
    };
    format!(
        ",\"tenants\":[{{\"name\":\"fida11\",\"api-keys\":[\"{KEPT_KEY}\"]}},{{\"name\":\"hule930\",\"api-keys\":[{lost}]}}]"
    )
}

fn ask(node: &Node, id: &str, key: &str) -> String {
    let result = (|| {
        let mut conn = Conn::open(node.front)?;
        conn.stream.set_read_timeout(Some(Duration::from_secs(3)))?;
        let request = format!(
            "GET {}fi50/2f HTTP/1.1\r\nHost: {}\r\nAuthorization: Token {key}\r\nRedwingweir-Attempt-Id: {id}\r\nRedwingweir-Deadline-Ms: 1000\r\n\r\n",
            fleet::SAFE,
            fleet::HOST
        );
        conn.write(request.as_bytes())?;
        let head = conn.read_head()?;
        conn.read_body(&head)?;
        std::io::Result::Ok(head.status().to_string())
    })();
    let text = result.unwrap_or_else(|error| format!("no answer: {error}"));
    record!("client: {id} with key {key} gets {text}");
    text
}

pub fn run(run: &Run) -> bool {
    let store = Store::start();
    fleet::configure_with(&store, 7, 64, &tenants(true));
    // Requests that ran though they were sent later than the bound.
    let late_runs = Arc::new(AtomicU32::new(0));
    for i in 0..RUNNERS {
        let late_runs = late_runs.clone();
        let handler = move |r: &Runner, conn: &mut Conn, head: &Head| {
            if fleet::answer_own_calls(conn, head, "", 0) {
                return true;
            }
            let id = head.call_id().to_owned();
            record!(
                "runner {}: runs {id} for tenant {:?}",
                r.id,
                head.header("redwingweir-tenant")
            );
            late_runs.fetch_add(u32::from(id.starts_with("late")), Ordering::Relaxed);
            conn.write(&answer(200, &id, "stock")).is_ok()
        };
        let runner = Runner::start(
            &format!("i-{i:02}"),
            fleet::plain_entry(),
            None,
            Arc::new(handler),
        );
        runner.register(&store);
        thread::sleep(Duration::from_millis(1_200 / RUNNERS));
    }
    let lines = format!("fail-closed = true\nrevoke-ms = {}\n", REVOKE.as_millis());
    let node = Node::start_with("frontend-cairo-a-1", &store, &run.temp, &lines);
    if !node.wait_ready() {
        run.cannot("the node is not ready");
    }
    thread::sleep(Duration::from_secs(5));
    if ask(&node, "first-1", LOST_KEY) != "200" || ask(&node, "first-2", KEPT_KEY) != "200" {
        run.cannot("a request with a valid key isn't served");
    }
    if run.trouble {
        if !store.wait_feed("op", 1_500, Duration::from_secs(8)) {
            run.cannot("the node doesn't follow the configuration");
        }
        let before = store.version();
        store.fall_silent();
        thread::sleep(AWAY);
        store.come_back(Some(COPY_AGE));
        record!(
            "versions {} to {before} are given out again",
            store.version() + 1
        );
    }
    thread::sleep(REVOKED_AFTER);
    fleet::configure_with(&store, 8, 64, &tenants(false));
    let acknowledged = Instant::now();
    record!(
        "operator: configuration 8, without key {LOST_KEY}, acknowledged at version {}",
        store.version()
    );
    thread::sleep(REVOKE + Duration::from_millis(200));
    let until = acknowledged + REVOKE + WATCH;
    let mut n = 0;
    while Instant::now() < until {
        n += 1;
        ask(&node, &format!("late-{n}"), LOST_KEY);
        ask(&node, &format!("kept-{n}"), KEPT_KEY);
        thread::sleep(PAUSE);
    }
    let runs = late_runs.load(Ordering::Relaxed);
    record!(
        "CONFIG: {runs} of {n} requests ran that were sent later than {REVOKE:?} after their key was taken away"
    );
    runs > 0
}
