//! Runners end while they write answers that end with their connections: several crash at once, or one that
//! leaves is gone two seconds after it said so.

use crate::{
    HOST, Verdict, client, config,
    fleet::{HEARTBEAT, Node, Temporary, free_addr, new_record, track, untrack, wait_ready},
    record::Record,
    runner::plain_body,
    store::Store,
};
use std::{
    io,
    net::SocketAddr,
    path::Path,
    process::{Child, Command, Stdio},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Number of events of a whole stream.
const EVENTS: usize = 25;

/// What crashes.
struct Variant {
    service: &'static str,
    /// Name and stage of each runner, the ones that crash first.
    runners: Vec<(String, &'static str)>,
    crashed: usize,
    calls: usize,
    /// Whether they report that they leave, and are gone [`NOTICE`] later.
    has_notice: bool,
}

/// Time from the report of a runner that leaves until it is gone.
const NOTICE: Duration = Duration::from_secs(2);

impl Variant {
    /// A rack with a quarter of the model runners: 8 of 32.
    fn rack() -> Self {
        let decode = |i| (format!("i-rack1-{i}"), "decode");
        let others = |i| (format!("i-rack{}-{}", 2 + i / 8, i % 8), if i < 2 { "decode" } else { "prefill" });
        Self {
            service: "llm",
            runners: (1..=8).map(decode).chain((0..24).map(others)).collect(),
            crashed: 8,
            calls: 60,
            has_notice: false,
        }
    }

    /// An eighth of the model runners, which leave: 4 of 32.
    fn notice() -> Self {
        Self {
            crashed: 4,
            has_notice: true,
            ..Self::rack()
        }
    }

    /// All five runners of the plain service.
    fn all() -> Self {
        Self {
            service: "desk",
            runners: (1..=5).map(|i| (format!("i-desk-{i}"), "plain")).collect(),
            crashed: 5,
            calls: 12,
            has_notice: false,
        }
    }
}

struct RunnerProcess {
    id: String,
    addr: SocketAddr,
    stage: &'static str,
    child: Child,
}

impl Drop for RunnerProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        untrack(self.child.id());
    }
}

/// The entry of a runner.
fn entry(
    runner: &(String, SocketAddr, &'static str),
    (service, state): (&str, &str),
    born: u128,
    n: u64,
) -> String {
    let (_, addr, stage) = runner;
    let (slots, engine) = match *stage {
        "plain" => (6, String::new()),
        stage => (
            64,
            format!("\"stage\":\"{stage}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],"),
        ),
    };
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{addr}\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":{slots},\"state\":\"{state}\",\"cold-remaining-ms\":0,{engine}\"born\":{born},\"sequence\":{n}}}"
    )
}

pub fn run(folder: &Path, has_trouble: bool) -> io::Result<Verdict> {
    let variant = match std::env::var("VARIANT").as_deref() {
        Ok("all") => Variant::all(),
        _ => Variant::rack(),
    };
    play(folder, has_trouble, variant)
}

pub fn run_with_notice(folder: &Path, has_trouble: bool) -> io::Result<Verdict> {
    play(folder, has_trouble, Variant::notice())
}

fn play(folder: &Path, has_trouble: bool, variant: Variant) -> io::Result<Verdict> {
    let crashed = std::env::var("CRASHED").ok().and_then(|k| k.parse().ok());
    let crashed: usize = crashed.unwrap_or(variant.crashed);
    let record = new_record(folder)?;
    let temporary = Temporary::new("crashed-runners")?;
    let store = Store::start(free_addr())?;
    let mut runners = Vec::new();
    for (id, stage) in &variant.runners {
        let addr = free_addr();
        let child = Command::new(std::env::current_exe()?)
            .args(["runner", &addr.to_string(), id, variant.service, stage, "v1"])
            .arg(folder.join("record.txt"))
            .stdin(Stdio::null())
            .spawn()?;
        track(&child);
        runners.push(RunnerProcess {
            id: id.clone(),
            addr,
            stage,
            child,
        });
    }
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let born = since.map_or(0, |d| d.as_millis());
    store.put("op", "config", Some(&config(1)));
    // The heartbeats; those of crashed runners end.
    let has_crashed = Arc::new(AtomicBool::new(false));
    let listed: Vec<_> = runners.iter().map(|r| (r.id.clone(), r.addr, r.stage)).collect();
    let is_leaving = Arc::new(AtomicBool::new(false));
    let beat = {
        let (store, service) = (store.clone(), variant.service);
        let (ended, leaving) = (has_crashed.clone(), is_leaving.clone());
        move |n| {
            let skipped = if ended.load(Ordering::Relaxed) { crashed } else { 0 };
            for (i, runner) in listed.iter().enumerate().skip(skipped) {
                let leaves = i < crashed && leaving.load(Ordering::Relaxed);
                let state = if leaves { "draining" } else { "ready" };
                let text = entry(runner, (service, state), born, n);
                store.put("servers", &runner.0, Some(&text));
            }
        }
    };
    let beats = beat.clone();
    thread::spawn(move || {
        for n in 1.. {
            beats(n);
            thread::sleep(HEARTBEAT);
        }
    });
    let node = |i| Node::new(&format!("frontend-{i}"), "a", &temporary.0);
    let mut nodes: Vec<Node> = (1..=2).map(node).collect();
    let seeds: Vec<SocketAddr> = nodes.iter().map(|n| n.control).collect();
    for node in &mut nodes {
        node.write_settings(store.addr, &seeds)?;
        node.start()?;
    }
    if !wait_ready(&nodes, Duration::from_secs(10)) {
        return Err(io::Error::other("the nodes are not ready"));
    }
    thread::sleep(Duration::from_secs(2));
    let calls: Vec<_> = (0..variant.calls)
        .map(|i| {
            let (front, record) = (nodes[i % 2].front, record.clone());
            let is_stream = variant.service == "llm";
            thread::sleep(Duration::from_millis(5));
            thread::spawn(move || call(front, &format!("c{i}"), is_stream, &record))
        })
        .collect();
    let before = match (variant.service, variant.has_notice) {
        ("llm", true) => 300,
        ("llm", false) => 1_500,
        _ => 130,
    };
    thread::sleep(Duration::from_millis(before));
    if has_trouble && variant.has_notice {
        is_leaving.store(true, Ordering::Relaxed);
        beat(1_000_000);
        record.line(&format!("{crashed} of {} runners report draining", runners.len()));
        thread::sleep(NOTICE);
    }
    if has_trouble {
        has_crashed.store(true, Ordering::Relaxed);
        record.line(&format!("{crashed} of {} runners end (SIGKILL)", runners.len()));
        for runner in runners.iter_mut().take(crashed) {
            let _ = runner.child.kill();
        }
    }
    let started = Instant::now();
    let ends: Vec<Option<bool>> = calls.into_iter().filter_map(|c| c.join().ok()).collect();
    let broken = ends.iter().filter(|e| **e == Some(false)).count();
    let whole = ends.iter().filter(|e| **e == Some(true)).count();
    let calls = variant.calls;
    let failed = calls - broken - whole;
    let text = format!(
        "MIXED: {broken} of {calls} calls got a success that looks complete with a part of the answer; {whole} got the whole answer, {failed} none, a failure or a visible cut; the last call ended {} ms after that",
        started.elapsed().as_millis()
    );
    record.line(&text);
    if !has_trouble && whole < calls {
        return Err(io::Error::other("calls failed without a disruption"));
    }
    Ok(Verdict { broken, text })
}

/// Sends a call. Whether a success that looks complete had the whole answer; `None` without one.
fn call(front: SocketAddr, attempt: &str, is_stream: bool, record: &Record) -> Option<bool> {
    let is_post = is_stream || attempt.ends_with(['1', '3', '5', '7', '9']);
    let request = match (is_stream, is_post) {
        (true, _) => format!(
            "POST /query/{attempt} HTTP/1.1\r\ncontent-length: 4\r\nredwingweir-model: m\r\nredwingweir-token-usage: 100,{EVENTS}\r\nredwingweir-prompt-prefix: {attempt}:100\r\n"
        ),
        (false, true) => format!("POST /renew/{attempt} HTTP/1.1\r\ncontent-length: 4\r\n"),
        (false, false) => format!("GET /lookup/{attempt} HTTP/1.1\r\n"),
    };
    let body = if is_post { "body" } else { "" };
    let request = format!(
        "{request}host: {HOST}\r\nredwingweir-attempt-id: {attempt}\r\nredwingweir-deadline-ms: 6000\r\n\r\n{body}"
    );
    record.line(&format!("{attempt}: sent to {front}"));
    let answer = match client::send(front, &request, Duration::from_secs(7), |_| ()) {
        Ok(answer) => answer,
        Err(error) => {
            record.line(&format!("{attempt}: no answer ({error})"));
            return None;
        }
    };
    let text = String::from_utf8_lossy(&answer.body);
    let ids: Vec<&str> = text.lines().filter_map(|l| l.strip_prefix("id: ")).collect();
    let is_right = match is_stream {
        true => ids.len() == EVENTS,
        false => text == plain_body(attempt),
    };
    let seen = match is_stream {
        true => format!("{} events of {EVENTS}", ids.len()),
        false => format!("{} bytes of 800", text.len()),
    };
    record.line(&format!(
        "{attempt}: status {}, {seen}, {}, signature {}",
        answer.status,
        if answer.is_whole { "complete by its framing" } else { "cut" },
        answer.head.header("redwingweir-server-signature").unwrap_or("none")
    ));
    (answer.status == 200 && answer.is_whole).then_some(is_right)
}
