//! A node acquires the first lease on the duties while another is down. Then the store comes back from a copy
//! that is older than the lease, and the other node starts again. Runners don't check fencing tokens.

use crate::{
    Verdict, config, engine_spec,
    fleet::{Heartbeat, Node, Temporary, free_addr, new_record, wait_ready},
    runner::Runner,
    store::Store,
};
use std::{
    fs, io,
    net::SocketAddr,
    path::Path,
    thread,
    time::{Duration, Instant},
};

pub fn run(folder: &Path, has_trouble: bool) -> io::Result<Verdict> {
    let record = new_record(folder)?;
    let temporary = Temporary::new("restored-lease")?;
    let store = Store::start(free_addr())?;
    store.put("op", "config", Some(&config(1)));
    let engine = |id: &str, stage| Runner::start(engine_spec(id, stage, "v1"), free_addr(), record.clone());
    let mut runners = Vec::new();
    for i in 1..=8 {
        let stage = if i <= 5 { "prefill" } else { "decode" };
        runners.push(engine(&format!("i-{i}"), stage)?);
    }
    let mut beats: Vec<Heartbeat> = runners.iter().map(|r| Heartbeat::start(r, &store)).collect();
    for runner in &runners {
        store.put("servers", &runner.spec.id, Some(&runner.entry()));
    }
    let node = |i| Node::new(&format!("frontend-{i}"), "a", &temporary.0);
    let mut nodes: Vec<Node> = (1..=6).map(node).collect();
    let seeds: Vec<SocketAddr> = nodes.iter().skip(3).map(|n| n.control).collect();
    for node in &mut nodes {
        node.write_settings(store.addr, &seeds)?;
        node.start()?;
    }
    if !wait_ready(&nodes, Duration::from_secs(10)) {
        return Err(io::Error::other("the nodes are not ready"));
    }
    thread::sleep(Duration::from_secs(2));
    // Either part of the disruption alone, to compare.
    let (is_killed, is_restored) = match std::env::var("ONLY").as_deref() {
        Ok("kill") => (true, false),
        Ok("drill") => (false, true),
        _ => (true, true),
    };
    let (is_killed, is_restored) = (is_killed && has_trouble, is_restored && has_trouble);
    if is_killed {
        nodes[0].kill();
        record.line("frontend-1 loses power");
    }
    thread::sleep(Duration::from_millis(2_700));
    let copied = Instant::now();
    record.line(&format!("the store is copied at version {}", store.version()));
    thread::sleep(Duration::from_millis(300));
    // Planned work: two runners are emptied and taken away.
    for runner in runners.iter().filter(|r| matches!(r.spec.id.as_str(), "i-7" | "i-8")) {
        runner.leave();
        store.put("servers", &runner.spec.id, Some(&runner.entry()));
    }
    record.line("runners i-7 and i-8 report draining");
    let until = Instant::now() + Duration::from_secs(5);
    while orders(&fs::read_to_string(folder.join("record.txt"))?).is_empty() && Instant::now() < until {
        thread::sleep(Duration::from_millis(10));
    }
    // i-1 tells its new stage as soon as it has it.
    beats[0].set_next(Instant::now() + Duration::from_millis(820));
    thread::sleep(Duration::from_millis(100));
    let lease = store.value("leases", "roles").unwrap_or_default();
    record.line(&format!("version {}, lease {lease}", store.version()));
    if is_restored {
        store.leave();
        record.line("the store is away");
        thread::sleep(Duration::from_millis(300));
        let (lost, kept) = store.restore(copied);
        let age = copied.elapsed().as_millis();
        record.line(&format!(
            "the store is back from a copy {age} ms old: version {lost} goes back to {kept}"
        ));
        store.put("op", "config", Some(&config(1)));
    } else {
        thread::sleep(Duration::from_millis(300));
    }
    if is_killed {
        nodes[0].start()?;
        record.line("frontend-1 starts again");
    }
    thread::sleep(Duration::from_millis(400));
    // Planned work: two empty runners are added.
    for id in ["i-9a", "i-9b"] {
        let added = engine(id, "decode")?;
        store.put("servers", id, Some(&added.entry()));
        beats.push(Heartbeat::start(&added, &store));
        runners.push(added);
    }
    record.line("runners i-9a and i-9b register to decode");
    thread::sleep(Duration::from_secs(14));
    let lease = store.value("leases", "roles").unwrap_or_default();
    record.line(&format!("version {}, lease {lease}", store.version()));
    let orders = orders(&fs::read_to_string(folder.join("record.txt"))?);
    let mut broken = 0;
    let mut text = String::new();
    for (i, order) in orders.iter().enumerate() {
        let before = orders[..i].iter().filter(|o| o.runner == order.runner);
        if let Some(higher) = before.max_by_key(|o| o.token).filter(|o| o.token > order.token) {
            broken += 1;
            text += &format!(
                "; at {} token {} of {} after token {} of {}",
                order.runner, order.token, order.holder, higher.token, higher.holder
            );
        }
        let same = |o: &&Order| o.token == order.token && o.holder != order.holder;
        if let Some(other) = orders[..i].iter().find(same) {
            broken += 1;
            text += &format!("; token {} of {} and of {}", order.token, order.holder, other.holder);
        }
        let is_recent = |o: &Order| order.at_ms.saturating_sub(o.at_ms) < LEASE_MS;
        let turn = |o: &&Order| o.runner == order.runner && o.holder != order.holder && is_recent(o);
        if let Some(other) = orders[..i].iter().find(turn) {
            broken += 1;
            text += &format!(
                "; at {} an order of {} comes {} ms after one of {}",
                order.runner,
                order.holder,
                order.at_ms - other.at_ms,
                other.holder
            );
        }
    }
    let text = format!(
        "ONE: {broken} breaches in {} orders (a lower fencing token after a higher one at a runner, one token of two holders, or holders that take turns within {LEASE_MS} ms){text}",
        orders.len()
    );
    record.line(&text);
    if orders.is_empty() {
        return Err(io::Error::other("no order was given"));
    }
    Ok(Verdict { broken, text })
}

/// `lease-ms` of the deployment.
const LEASE_MS: u64 = 3_000;

struct Order {
    at_ms: u64,
    runner: String,
    holder: String,
    token: u64,
}

/// The orders that a record tells.
fn orders(record: &str) -> Vec<Order> {
    let parse = |line: &str| {
        let (at, rest) = line.split_once(" order at ")?;
        let (s, ms) = at.trim().split_once('.')?;
        let (runner, rest) = rest.split_once(": ")?;
        let (_, rest) = rest.split_once("holder ")?;
        let (holder, rest) = rest.split_once(", fencing-token ")?;
        let (token, _) = rest.split_once(',')?;
        Some(Order {
            at_ms: s.parse::<u64>().ok()? * 1_000 + ms.parse::<u64>().ok()?,
            runner: runner.to_owned(),
            holder: holder.to_owned(),
            token: token.parse().ok()?,
        })
    };
    record.lines().filter_map(parse).collect()
}
