//! All runners of a service crash and start again two seconds later under the names that they had, with
//! the next version of their software. Callers take up their streams.

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
    sync::{Arc, Mutex, PoisonError},
    thread,
    time::Duration,
};

const CALLERS: usize = 24;
/// Pauses before the retries of a caller, in milliseconds.
const RETRY_PAUSES: [u64; 3] = [500, 1_000, 1_100];
/// Time for which the runners are down.
const DOWN: Duration = Duration::from_millis(2_000);
/// Time between the starts of two runners.
const APART: Duration = Duration::from_millis(30);

pub fn run(folder: &Path, has_trouble: bool) -> io::Result<Verdict> {
    let record = new_record(folder)?;
    let temporary = Temporary::new("restarted-runners")?;
    let store = Store::start(free_addr())?;
    store.put("op", "config", Some(&config(1)));
    let mut runners = Vec::new();
    for i in 1..=6 {
        let stage = if i <= 4 { "prefill" } else { "decode" };
        let mut runner = RunnerProcess::new(&format!("i-{i}"), stage);
        runner.start("v1", folder)?;
        runners.push(runner);
    }
    let runners = Arc::new(Mutex::new(runners));
    let (beating, entries) = (store.clone(), runners.clone());
    thread::spawn(move || {
        loop {
            let listed = entries.lock().unwrap_or_else(PoisonError::into_inner);
            for runner in listed.iter().filter(|r| r.runs()) {
                beating.put("servers", &runner.id, Some(&runner.entry()));
            }
            drop(listed);
            thread::sleep(HEARTBEAT);
        }
    });
    let node = |i| Node::new(&format!("frontend-{i}"), "a", &temporary.0);
    let mut nodes: Vec<Node> = (1..=3).map(node).collect();
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
    let callers: Vec<_> = (0..CALLERS)
        .map(|i| {
            let (fronts, record) = (fronts.clone(), record.clone());
            thread::sleep(Duration::from_millis(10));
            thread::spawn(move || caller(i, &RETRY_PAUSES, &fronts, &record))
        })
        .collect();
    thread::sleep(Duration::from_millis(1_200));
    if has_trouble {
        let crashed = std::env::var("CRASHED").ok().and_then(|c| c.parse().ok());
        let spared = 6 - crashed.unwrap_or(6).min(6);
        {
            let mut listed = runners.lock().unwrap_or_else(PoisonError::into_inner);
            listed.iter_mut().skip(spared).for_each(RunnerProcess::kill);
        }
        record.line(&format!("{} of 6 runners of the service crash (SIGKILL)", 6 - spared));
        thread::sleep(DOWN);
        for i in spared..6 {
            let mut listed = runners.lock().unwrap_or_else(PoisonError::into_inner);
            let runner = &mut listed[i];
            runner.start("v2", folder)?;
            // It registers once it listens.
            thread::sleep(APART);
            store.put("servers", &runner.id, Some(&runner.entry()));
            record.line(&format!("runner {} is back with software v2", runner.id));
        }
    }
    let ends: Vec<Stream> = callers.into_iter().filter_map(|c| c.join().ok()).collect();
    let mixed = ends.iter().filter(|s| s.versions.len() > 1).count();
    let whole = ends.iter().filter(|s| s.last == EVENTS).count();
    let text = format!(
        "ORDER: {mixed} of {CALLERS} streams hold events from runners of two software versions ({whole} got to the last event)"
    );
    record.line(&text);
    if !has_trouble && mixed > 0 {
        return Err(io::Error::other("versions differ without a disruption"));
    }
    Ok(Verdict {
        broken: if mixed > 2 { mixed } else { 0 },
        text,
    })
}
