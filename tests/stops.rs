//! Planned stops of a node and of a target under traffic, on separate processes.

use rw_http::Method;
use rw_test::{ACCOUNT_KEY, Fleet, FleetSettings, TextRequest, TextResponse, get, send_request};
use smol::{
    Timer,
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
};
use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

const BINARY: &str = env!("CARGO_BIN_EXE_redwingweir");
const GENERATE: &str = "/v1/completions";
const RESERVE: &str = "/services/reservations/reserve";
const STREAM: &str = r#"{"model":"small","max_tokens":60,"prompt":"bells","stream":true}"#;
const TOKENS: usize = 60;
const TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Required bound on the time for which a leaving target may still get new work.
const LEAVE_LIMIT: Duration = Duration::from_secs(5);
/// Time for which traffic continues after [`LEAVE_LIMIT`].
const AFTER_LIMIT: Duration = Duration::from_secs(2);
/// Callers that send one request after the other.
const CALLERS: usize = 8;

async fn start() -> Fleet {
    let slow = ["--decode-rate", "60"].map(str::to_owned).to_vec();
    let plan = FleetSettings {
        engines: vec![slow.clone(), slow],
        node_flags: ["--leave-grace-ms", "1000"].map(str::to_owned).to_vec(),
        ..FleetSettings::default()
    };
    Fleet::start(BINARY, plan).await.expect("the fleet starts")
}

async fn post(addr: &str, path: &str, key: &str, body: &str) -> Result<TextResponse, String> {
    let bearer = format!("Bearer {ACCOUNT_KEY}");
    let headers = [("authorization", bearer.as_str()), ("idempotency-key", key)];
    let headers = if key.is_empty() {
        &headers[..1]
    } else {
        &headers
    };
    let sent = TextRequest {
        method: Method::Post,
        path,
        body,
        headers,
    };
    send_request(addr, sent).await.map_err(|e| e.to_string())
}

async fn is_ready(addr: &str) -> bool {
    get(addr, "/readyz").await.is_ok_and(|a| a.status == 200)
}

/// A caller behind a load balancer that sends to the first ready node; returns the failures.
async fn send_requests(addrs: Vec<String>, name: usize, stop: Arc<AtomicBool>) -> Vec<String> {
    let mut failures = Vec::new();
    let mut n = 0;
    while !stop.load(Ordering::Relaxed) {
        let mut ready = None;
        for addr in &addrs {
            if is_ready(addr).await {
                ready = Some(addr);
                break;
            }
        }
        let Some(addr) = ready else {
            continue;
        };
        n += 1;
        // A load balancer learns of a node's state with a delay.
        Timer::after(POLL_INTERVAL * 5).await;
        let response = if name.is_multiple_of(2) {
            post(addr, GENERATE, "", STREAM).await
        } else {
            post(addr, RESERVE, &format!("{name}-{n}"), "{}").await
        };
        if let Err(failure) = check_complete(response, name.is_multiple_of(2)) {
            failures.push(failure);
        }
    }
    failures
}

fn check_complete(response: Result<TextResponse, String>, stream: bool) -> Result<(), String> {
    let response = response?;
    let tokens = response.body.matches("\"text\":").count();
    let ended = response.body.ends_with("data: [DONE]\n\n");
    if response.outcome != "done" || (stream && (!ended || tokens != TOKENS)) {
        return Err(format!("{response:?}"));
    }
    Ok(())
}

struct Traffic {
    stop: Arc<AtomicBool>,
    callers: Vec<smol::Task<Vec<String>>>,
}

impl Traffic {
    fn start(fleet: &Fleet) -> Self {
        let addrs: Vec<_> = fleet.nodes.iter().map(|n| n.addr("callers")).collect();
        let stop = Arc::new(AtomicBool::new(false));
        let callers = (0..CALLERS)
            .map(|name| smol::spawn(send_requests(addrs.clone(), name, stop.clone())))
            .collect();
        Self { stop, callers }
    }

    async fn end(self) -> Vec<String> {
        self.stop.store(true, Ordering::Relaxed);
        let mut failures = Vec::new();
        for caller in self.callers {
            failures.extend(caller.await);
        }
        failures
    }
}

#[test]
fn a_stopped_node_cuts_no_response_and_exits_cleanly() {
    smol::block_on(async {
        let mut fleet = start().await;
        let traffic = Traffic::start(&fleet);
        for _ in 0..2 {
            Timer::after(Duration::from_millis(500)).await;
            let mut node = fleet.nodes.remove(0);
            node.signal("TERM");
            assert_eq!(node.wait(TIMEOUT), Some(0), "exit code");
        }
        assert_eq!(traffic.end().await, Vec::<String>::new());
    });
}

#[test]
fn a_stopped_node_refuses_new_work_while_its_streams_end() {
    smol::block_on(async {
        let fleet = start().await;
        let addr = fleet.nodes[0].addr("callers");
        let long = STREAM.replace("60", "200");
        let running = smol::spawn({
            let addr = addr.clone();
            async move { post(&addr, GENERATE, "", &long).await }
        });
        Timer::after(POLL_INTERVAL * 5).await;
        fleet.nodes[0].signal("TERM");
        let refused = loop {
            let response = post(&addr, RESERVE, "", "{}").await.expect("a response");
            if response.status != 200 {
                break response;
            }
            Timer::after(POLL_INTERVAL).await;
        };
        assert_eq!(refused.outcome, "not-run", "{refused:?}");
        assert!(refused.body.contains("leaving"), "{refused:?}");
        let keyed = post(&addr, RESERVE, "k", "{}").await.expect("a response");
        assert_eq!(keyed.outcome, "unknown", "{keyed:?}");
        let streamed = running.await.expect("the stream's response");
        assert_eq!(streamed.body.matches("\"text\":").count(), 200);
        assert!(streamed.body.ends_with("data: [DONE]\n\n"));
    });
}

#[test]
fn a_stopped_node_hands_its_tickets_over() {
    smol::block_on(async {
        let mut fleet = start().await;
        let mut keys = Vec::new();
        for _ in 0..2 {
            let minted = fleet.post(0, "/tickets", "", "").await.expect("a ticket");
            let body: serde_json::Value = serde_json::from_str(&minted.body).expect("JSON");
            keys.push(body["key"].as_str().expect("a key").to_owned());
        }
        let first = fleet.post(0, RESERVE, &keys[0], "{}").await;
        let first = first.expect("a response");
        let mut node = fleet.nodes.remove(0);
        node.signal("TERM");
        assert_eq!(node.wait(TIMEOUT), Some(0), "exit code");
        for n in [0, 1] {
            let again = fleet.post(n, RESERVE, &keys[0], "{}").await;
            let again = again.expect("a response");
            assert_eq!(
                (again.outcome, again.body),
                (first.outcome.clone(), first.body.clone())
            );
            let unused = fleet.post(n, RESERVE, &keys[1], "{}").await;
            let unused = unused.expect("a response");
            assert_eq!((unused.status, unused.outcome.as_str()), (410, "not-run"));
        }
        assert_eq!(fleet.key_runs(&keys[0]).await, 1);
        assert_eq!(fleet.key_runs(&keys[1]).await, 0);
    });
}

/// More bytes than the buffers of a connection hold.
const LARGE_BYTES: usize = 12 << 20;

#[test]
fn a_stopped_node_waits_for_a_slow_reader() {
    smol::block_on(async {
        let plan = FleetSettings {
            nodes: 1,
            node_flags: ["--leave-grace-ms", "100", "--max-body", "16000000"]
                .map(str::to_owned)
                .to_vec(),
            ..FleetSettings::default()
        };
        let fleet = Fleet::start(BINARY, plan).await.expect("the fleet starts");
        let addr = fleet.nodes[0].addr("callers");
        let mut caller = TcpStream::connect(&addr).await.expect("a connection");
        let head = format!(
            "POST /services/reservations/echo HTTP/1.1\r\nhost: {addr}\r\n\
             authorization: Bearer {ACCOUNT_KEY}\r\ncontent-length: {LARGE_BYTES}\r\n\r\n"
        );
        let mut request = head.into_bytes();
        request.resize(request.len() + LARGE_BYTES, b'x');
        caller
            .write_all(&request)
            .await
            .expect("the request is sent");
        let mut first = [0; 16];
        caller
            .read_exact(&mut first)
            .await
            .expect("the response begins");
        fleet.nodes[0].signal("TERM");
        // Reads nothing until long after the grace time.
        Timer::after(Duration::from_secs(1)).await;
        let mut rest = Vec::new();
        caller
            .read_to_end(&mut rest)
            .await
            .expect("the response ends");
        let body = rest.iter().filter(|b| **b == b'x').count();
        assert!(body >= LARGE_BYTES, "{body} of {LARGE_BYTES} bytes");
    });
}

#[test]
fn a_leaving_target_gets_no_new_work_and_its_streams_end() {
    smol::block_on(async {
        let mut fleet = start().await;
        let traffic = Traffic::start(&fleet);
        Timer::after(Duration::from_secs(1)).await;
        let before = fleet.calls(&fleet.engines[0], "/generate").await;
        assert!(before > 0, "the target had no work before");
        let mut config = fleet.config.clone();
        let target = config.targets.iter_mut().find(|t| t.name == "engine-1");
        target.expect("the target").leaving = true;
        let accepted = Instant::now();
        fleet.accept(config).await.expect("a configuration");
        while accepted.elapsed() < LEAVE_LIMIT {
            Timer::after(POLL_INTERVAL).await;
        }
        let at_limit = fleet.calls(&fleet.engines[0], "/generate").await;
        let others = fleet.calls(&fleet.engines[1], "/generate").await;
        Timer::after(AFTER_LIMIT).await;
        let after = fleet.calls(&fleet.engines[0], "/generate").await;
        assert_eq!(after, at_limit, "new work on a leaving target");
        let moved = fleet.calls(&fleet.engines[1], "/generate").await;
        assert!(moved > others, "no traffic on the other target");
        assert_eq!(traffic.end().await, Vec::<String>::new());
    });
}
