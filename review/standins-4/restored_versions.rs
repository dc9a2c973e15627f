//! A new software version comes; then the store comes back from a copy that is older, while all nodes are
//! killed and start again. Callers take up their streams.

use crate::{
    Verdict,
    caller::{EVENTS, Stream, caller},
    config, engine_spec,
    fleet::{HEARTBEAT, Heartbeat, Node, Temporary, free_addr, new_record, wait_ready},
    runner::{Runner, Spec},
    store::Store,
};
use std::{
    io,
    net::SocketAddr,
    path::Path,
    thread,
    time::{Duration, Instant},
};

/// Number of callers.
const CALLERS: usize = 24;
/// Pauses before the retries of a caller, in milliseconds.
const RETRY_PAUSES: [u64; 3] = [300, 500, 800];

pub fn run(folder: &Path, has_trouble: bool) -> io::Result<Verdict> {
    let record = new_record(folder)?;
    let temporary = Temporary::new("restored-versions")?;
    let store = Store::start(free_addr())?;
    store.put("op", "config", Some(&config(1)));
    let engine = |id: &str, stage, version| {
        let spec = Spec {
            events: EVENTS,
            ..engine_spec(id, stage, version)
        };
        Runner::start(spec, free_addr(), record.clone())
    };
    let mut runners = vec![
        engine("i-1", "prefill", "v1")?,
        engine("i-2", "prefill", "v1")?,
        engine("i-3", "decode", "v1")?,
        engine("i-4", "decode", "v1")?,
    ];
    let mut beats: Vec<Heartbeat> = runners.iter().map(|r| Heartbeat::start(r, &store)).collect();
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
    let copied = Instant::now();
    record.line("the store is copied");
    thread::sleep(Duration::from_millis(300));
    // Planned work: a runner with the next version of the software is added.
    let newer = engine("i-5", "decode", "v2")?;
    beats.push(Heartbeat::start(&newer, &store));
    runners.push(newer);
    record.line("runner i-5 with software v2 registers");
    thread::sleep(Duration::from_millis(2_500));
    let fronts: Vec<SocketAddr> = nodes.iter().map(|n| n.front).collect();
    let callers: Vec<_> = (0..CALLERS)
        .map(|i| {
            let (fronts, record) = (fronts.clone(), record.clone());
            thread::sleep(Duration::from_millis(10));
            thread::spawn(move || caller(i, &RETRY_PAUSES, &fronts, &record))
        })
        .collect();
    thread::sleep(Duration::from_millis(1_500));
    // Either part of the disruption alone, to compare.
    let (is_killed, is_restored) = match std::env::var("ONLY").as_deref() {
        Ok("kill") => (true, false),
        Ok("drill") => (false, true),
        _ => (true, true),
    };
    if has_trouble {
        store.leave();
        if is_killed {
            nodes.iter_mut().for_each(Node::kill);
        }
        record.line(&format!("the store is away; all nodes are killed: {is_killed}"));
        thread::sleep(Duration::from_millis(300));
        if is_restored {
            let (lost, kept) = store.restore(copied);
            let age = copied.elapsed().as_millis();
            record.line(&format!(
                "the store is back from a copy {age} ms old: version {lost} goes back to {kept}"
            ));
        } else {
            store.come_back();
            record.line("the store is back as it was");
        }
        let returned = Instant::now();
        // Each runner writes its entry again with a heartbeat, and the operator the configuration.
        let count = beats.len();
        for (i, beat) in beats.iter().enumerate() {
            beat.set_next(returned + HEARTBEAT.mul_f64((i + 1) as f64 / (count + 1) as f64));
        }
        for node in nodes.iter_mut().filter(|_| is_killed) {
            node.start()?;
        }
        let (operator, record) = (store.clone(), record.clone());
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(500));
            operator.put("op", "config", Some(&config(1)));
            record.line("the operator has written the configuration again");
        });
    }
    let ends: Vec<Stream> = callers.into_iter().filter_map(|c| c.join().ok()).collect();
    let mixed = ends.iter().filter(|s| s.versions.len() > 1).count();
    let whole = ends.iter().filter(|s| s.is_whole).count();
    let resumed = ends.iter().filter(|s| s.tries > 1).count();
    let text = format!(
        "ORDER: {mixed} of {CALLERS} streams hold events from runners of two software versions ({resumed} were taken up again, {whole} are whole)"
    );
    record.line(&text);
    if !has_trouble && whole < CALLERS {
        return Err(io::Error::other("streams failed without a disruption"));
    }
    // The rule allows two.
    let broken = if mixed > 2 { mixed } else { 0 };
    Ok(Verdict { broken, text })
}
