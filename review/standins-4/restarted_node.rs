//! The store is away. Runners crash and start again under their names with the next version of their software,
//! which they can't register. One node is stopped and started again meanwhile. Then another runner crashes.

use crate::{
    Verdict,
    caller::{EVENTS, Stream, caller},
    config,
    fleet::{HEARTBEAT, Node, Temporary, free_addr, new_record, wait_ready},
    process::RunnerProcess,
    store::Store,
};
use std::{
    io,
    net::SocketAddr,
    path::Path,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

const CALLERS: usize = 48;
/// Pauses before the retries of a caller, in milliseconds.
const RETRY_PAUSES: [u64; 3] = [300, 700, 1_000];
/// Time for which the store is away.
const AWAY: Duration = Duration::from_millis(8_000);
/// Time for which the first runners are down.
const DOWN: Duration = Duration::from_millis(1_500);
/// Time for which the other runner is down.
const DOWN_LATER: Duration = Duration::from_millis(3_500);
/// The runners that crash first, and the one that crashes later.
const FIRST: [usize; 2] = [5, 6];
const LATER: usize = 7;

type Runners = Arc<Mutex<Vec<RunnerProcess>>>;

fn locked(runners: &Runners) -> MutexGuard<'_, Vec<RunnerProcess>> {
    runners.lock().unwrap_or_else(PoisonError::into_inner)
}

pub fn run(folder: &Path, has_trouble: bool) -> io::Result<Verdict> {
    let record = new_record(folder)?;
    let temporary = Temporary::new("restarted-node")?;
    // A part can be left out, to compare.
    let left_out = std::env::var("WITHOUT").unwrap_or_default();
    let is_away = has_trouble && left_out != "outage";
    let is_restarted = left_out != "restart";
    let store = Store::start(free_addr())?;
    store.put("op", "config", Some(&config(1)));
    let mut list = Vec::new();
    for i in 1..=8 {
        let stage = if i <= 5 { "prefill" } else { "decode" };
        let mut runner = RunnerProcess::new(&format!("i-{i}"), stage);
        runner.start("v1", folder)?;
        list.push(runner);
    }
    let runners: Runners = Arc::new(Mutex::new(list));
    let (beating, entries) = (store.clone(), runners.clone());
    thread::spawn(move || {
        loop {
            for runner in locked(&entries).iter().filter(|r| r.runs()) {
                beating.put("servers", &runner.id, Some(&runner.entry()));
            }
            thread::sleep(HEARTBEAT);
        }
    });
    let mut nodes: Vec<Node> = (1..=3)
        .map(|i| Node::new(&format!("frontend-{i}"), "a", &temporary.0))
        .collect();
    let seeds: Vec<SocketAddr> = nodes.iter().map(|n| n.control).collect();
    for node in &mut nodes {
        node.write_settings(store.addr, &seeds)?;
        node.start()?;
    }
    if !wait_ready(&nodes, Duration::from_secs(10)) {
        return Err(io::Error::other("the nodes are not ready"));
    }
    thread::sleep(Duration::from_secs(3));
    let fronts: Vec<SocketAddr> = nodes.iter().map(|n| n.front).collect();
    let call = |numbers: std::ops::Range<usize>| -> Vec<_> {
        let calls = numbers.map(|i| {
            let (fronts, record) = (fronts.clone(), record.clone());
            thread::sleep(Duration::from_millis(10));
            thread::spawn(move || caller(i, &RETRY_PAUSES, &fronts, &record))
        });
        calls.collect()
    };
    // Streams that run when the first runners crash.
    let mut callers = call(0..CALLERS / 2);
    thread::sleep(Duration::from_millis(300));
    let began = Instant::now();
    let until = |at: u64| {
        let at = Duration::from_millis(at);
        thread::sleep(at.saturating_sub(began.elapsed()));
    };
    if is_away {
        store.leave();
        record.line("the store is away");
    }
    until(200);
    if has_trouble {
        FIRST.iter().for_each(|i| locked(&runners)[*i].kill());
        record.line("runners i-6 and i-7 crash (SIGKILL)");
    }
    until(400);
    if is_restarted {
        nodes[0].terminate();
        record.line("frontend-1 gets SIGTERM");
    }
    until(200 + DOWN.as_millis() as u64);
    if has_trouble {
        for i in FIRST {
            let mut listed = locked(&runners);
            listed[i].start("v2", folder)?;
            record.line(&format!("runner {} is back with software v2", listed[i].id));
        }
    }
    if is_restarted {
        while !nodes[0].has_ended() {
            if began.elapsed() > AWAY {
                return Err(io::Error::other("frontend-1 doesn't end"));
            }
            thread::sleep(Duration::from_millis(20));
        }
        nodes[0].start()?;
        record.line("frontend-1 has ended and starts again");
        if !wait_ready(&nodes[..1], Duration::from_secs(4)) {
            return Err(io::Error::other("frontend-1 is not ready again"));
        }
        record.line("frontend-1 is ready");
    }
    callers.extend(call(CALLERS / 2..CALLERS));
    thread::sleep(Duration::from_millis(600));
    if has_trouble {
        locked(&runners)[LATER].kill();
        record.line(&format!(
            "runner i-8 crashes (SIGKILL), {} ms after the store went away",
            began.elapsed().as_millis()
        ));
        let (runners, record, folder) = (runners.clone(), record.clone(), folder.to_owned());
        thread::spawn(move || {
            thread::sleep(DOWN_LATER);
            if locked(&runners)[LATER].start("v1", &folder).is_ok() {
                record.line("runner i-8 is back with software v1");
            }
        });
    }
    thread::sleep(AWAY.saturating_sub(began.elapsed()));
    if is_away {
        store.come_back();
        record.line("the store is back as it was");
    }
    let ends: Vec<Stream> = callers.into_iter().filter_map(|c| c.join().ok()).collect();
    let mixed = ends.iter().filter(|s| s.versions.len() > 1).count();
    let whole = ends.iter().filter(|s| s.last == EVENTS).count();
    let text = format!(
        "ORDER: {mixed} of {CALLERS} streams hold events from runners of two software versions ({whole} got to the last event)"
    );
    record.line(&text);
    if !has_trouble && whole < CALLERS {
        return Err(io::Error::other("streams failed without a disruption"));
    }
    // The rule allows two.
    Ok(Verdict {
        broken: if mixed > 2 { mixed } else { 0 },
        text,
    })
}
