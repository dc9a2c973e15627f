//! A caller that takes its stream up again at other nodes.

use crate::{HOST, client, record::Record};
use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

/// Events of a whole stream.
pub const EVENTS: u64 = 25;
/// Time that a caller waits for an answer in all.
const DEADLINE: Duration = Duration::from_secs(6);
/// What a caller has got over all its tries.
#[derive(Debug, Default)]
pub struct Stream {
    pub versions: Vec<String>,
    pub last: u64,
    pub is_whole: bool,
    pub tries: usize,
}

/// Sends a request, and takes its stream up again at other nodes if it breaks off.
/// `pauses` are the milliseconds before each retry.
pub fn caller(number: usize, pauses: &[u64], fronts: &[SocketAddr], record: &Record) -> Stream {
    let started = Instant::now();
    let mut stream = Stream::default();
    let mut origin = None;
    for pause in [&[0], pauses].concat() {
        thread::sleep(Duration::from_millis(pause));
        let Some(left) = DEADLINE.checked_sub(started.elapsed()) else {
            break;
        };
        let front = fronts[(number + stream.tries) % fronts.len()];
        stream.tries += 1;
        let attempt = format!("{:04x}{:04x}", number + 1, stream.tries);
        let resumed = match &origin {
            Some(first) => format!("last-event-id: {}\r\nresumes: {first}\r\n", stream.last),
            None => String::new(),
        };
        let request = format!(
            "POST /query/{number} HTTP/1.1\r\nhost: {HOST}\r\nredwingweir-attempt-id: {attempt}\r\nredwingweir-model: m\r\nredwingweir-token-usage: 100,{EVENTS}\r\nredwingweir-prompt-prefix: {attempt}:100\r\nredwingweir-deadline-ms: {}\r\n{resumed}content-length: 4\r\n\r\nbody",
            left.as_millis()
        );
        let after = origin.as_ref().map_or(0, |_| stream.last);
        record.line(&format!("{attempt}: sent to {front}, last event so far {after}"));
        let before = stream.last;
        let mut text = String::new();
        let answer = client::send(front, &request, Duration::from_secs(2), |part| {
            text.push_str(&String::from_utf8_lossy(part));
        });
        let status = answer.as_ref().map_or(0, |a| a.status);
        if status == 200 {
            for line in text.lines() {
                if let Some(id) = line.strip_prefix("id: ") {
                    stream.last = id.parse().unwrap_or(stream.last);
                }
                let version = line.strip_prefix("data: ").and_then(|d| d.split(' ').next());
                if let Some(version) = version.filter(|v| !stream.versions.iter().any(|s| s == v)) {
                    stream.versions.push(version.to_owned());
                }
            }
        }
        stream.is_whole = answer.is_ok_and(|a| a.is_whole && status == 200) && stream.last == EVENTS;
        let (last, versions) = (stream.last, stream.versions.join("+"));
        record.line(&format!(
            "{attempt}: status {status}, events {} to {last}, versions so far {versions}, {}",
            before + 1,
            if stream.is_whole { "whole" } else { "broken off or refused" }
        ));
        if stream.is_whole || matches!(status, 400 | 401 | 404 | 413 | 431) {
            break;
        }
        if origin.is_none() && stream.last > 0 {
            origin = Some(attempt);
        }
    }
    stream
}
