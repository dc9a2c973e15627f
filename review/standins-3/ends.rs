//! Runners that crash while some of their streams have neither a length nor chunks.

use crate::client::{Crowd, Stream};
use crate::node::start_ready;
use crate::record::Record;
use crate::runner::{EVENTS, Runner};
use crate::store::Store;
use crate::upgrades::CONFIG;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

const CLIENTS: usize = 120;
/// Share of streams without a length or chunks, in percent, and number of runners of four that send
/// them.
const UNFRAMED: u64 = 5;
const SENDERS: usize = 2;
/// Number of crashes, time for which a runner is down, and pause after it is back.
const CRASHES: usize = 6;
const DOWN: Duration = Duration::from_secs(2);
const PAUSE: Duration = Duration::from_secs(4);

pub fn play(work: &Path, has_trouble: bool, record: &Record) -> i32 {
    let store = Store::start();
    store.write("op", "config", Some(CONFIG));
    let runners: Vec<Runner> = (1..=4)
        .map(|n| Runner::start(&format!("i-{n}"), "writer", &store, record))
        .collect();
    for runner in &runners[..SENDERS] {
        runner.unframed.store(UNFRAMED, Ordering::Relaxed);
    }
    let Some(nodes) = start_ready(2, store.addr, work) else {
        record.note("the nodes are not ready");
        return 2;
    };
    let crowd = Crowd::start(CLIENTS, Duration::from_millis(25), &nodes, record);
    thread::sleep(Duration::from_secs(5));
    for n in 0..CRASHES {
        let runner = &runners[n % SENDERS];
        if has_trouble {
            runner.crash();
        }
        thread::sleep(DOWN);
        if has_trouble {
            runner.start_again("v1");
        }
        thread::sleep(PAUSE);
    }
    judge(&crowd.finish(), record)
}

fn judge(streams: &[Stream], record: &Record) -> i32 {
    let whole = streams.iter().filter(|s| s.is_whole).count();
    record.note(&format!("{} streams, {whole} whole", streams.len()));
    if whole * 2 < streams.len() {
        record.note("too few streams are whole for a verdict");
        return 2;
    }
    let short: Vec<_> = streams.iter().filter(|s| s.is_short).collect();
    for stream in &short {
        let runs = stream.runs();
        record.note(&format!(
            "stream {} of {EVENTS} events ended as complete with events {runs}",
            stream.name
        ));
    }
    record.note(&format!(
        "{} streams ended as complete before their last event",
        short.len()
    ));
    i32::from(!short.is_empty())
}
