//! Faults that can be injected into a fake.

use rw_http::{Response, raw};
use serde::{Deserialize, Serialize};
use std::{
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

/// A fault to inject.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "fault")]
pub enum Fault {
    /// Delay each response.
    Latency {
        /// Milliseconds.
        ms: u64,
    },
    /// Run the call, then delay the response.
    #[serde(rename = "late-answer")]
    LateResponse {
        /// Milliseconds.
        ms: u64,
    },
    /// Reject the call without running it; only the fake platform has this fault.
    Outage,
    /// Reject the call without running it; engines and services also say so in `x-outcome`.
    #[serde(rename = "refuse")]
    Reject,
    /// Run the call, then close the connection without a response.
    #[serde(rename = "lose-answer")]
    DropResponse,
    /// Run the call, then send half of the response and close the connection.
    #[serde(rename = "cut-answer")]
    TruncateResponse,
    /// Run the call, then send a response that belongs to another attempt.
    #[serde(rename = "cross-answer")]
    WrongAttempt,
    /// Run the call, then respond with neither a content length nor chunked encoding.
    NoLength,
    /// Run the call, then respond with a content length greater than the body.
    WrongLength,
    /// Receive the call and never respond.
    #[serde(rename = "silence")]
    NoResponse,
    /// Send half of a stream, then nothing while the connection stays open.
    Stall,
    /// Close a stream cleanly after half of its tokens, without its end event.
    NoEnd,
    /// Send one token of a stream twice.
    RepeatToken,
    /// Leave out one token of a stream.
    SkipToken,
    /// Say in each response that the process is leaving.
    Leaving,
    /// Reject the call without running it, and ask for a pause.
    Pause {
        /// Length of the pause in milliseconds.
        ms: u64,
    },
    /// Exit the process when a request body contains the text.
    Crash {
        /// Text to search for.
        text: String,
        /// Milliseconds from the crash to the exit, during which an engine accepts connections and
        /// breaks every response on them.
        #[serde(default)]
        exit_ms: u64,
    },
}

/// A fault with the calls that it applies to.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ArmedFault {
    /// Fault to inject.
    #[serde(flatten)]
    pub fault: Fault,
    /// Number of remaining calls that it applies to; unlimited if absent.
    #[serde(default)]
    pub count: Option<u32>,
    /// Path prefix of the calls that it applies to; empty for all.
    #[serde(default)]
    pub path: String,
}

/// Faults of one fake, and its count of calls.
#[derive(Debug, Default)]
pub struct Faults {
    armed: Mutex<Vec<ArmedFault>>,
    /// Whether the process has crashed and is about to exit.
    crashed: AtomicBool,
    /// Number of calls by path, sorted.
    calls: Mutex<Vec<(String, u64)>>,
}

/// Exit code of [`Fault::Crash`].
const CRASH_EXIT_CODE: i32 = 70;

impl Faults {
    /// Replaces all faults.
    pub fn set(&self, armed: Vec<ArmedFault>) {
        *self.armed.lock().unwrap_or_else(PoisonError::into_inner) = armed;
    }

    /// Counts a call of `path` and returns the faults that apply to it, which uses up one of their
    /// remaining calls.
    #[must_use]
    pub fn on_call(&self, path: &str) -> Vec<Fault> {
        self.count_call(path);
        let mut armed = self.armed.lock().unwrap_or_else(PoisonError::into_inner);
        let mut active = Vec::new();
        for entry in armed.iter_mut().filter(|a| path.starts_with(&a.path)) {
            match &mut entry.count {
                Some(0) => continue,
                Some(n) => *n -= 1,
                None => {}
            }
            active.push(entry.fault.clone());
        }
        active
    }

    /// Waits for each [`Fault::LateResponse`] in `faults`.
    pub async fn delay_response(faults: &[Fault]) {
        for fault in faults {
            if let Fault::LateResponse { ms } = fault {
                smol::Timer::after(Duration::from_millis(*ms)).await;
            }
        }
    }

    /// Waits for each [`Fault::Latency`] in `faults`, and forever for [`Fault::NoResponse`].
    pub async fn delay(faults: &[Fault]) {
        for fault in faults {
            match fault {
                Fault::Latency { ms } => {
                    smol::Timer::after(Duration::from_millis(*ms)).await;
                }
                Fault::NoResponse => std::future::pending().await,
                _ => {}
            }
        }
    }

    /// The response to a call that [`Fault::Reject`] or [`Fault::Pause`] rejects, if there is one.
    #[must_use]
    pub fn rejection(faults: &[Fault]) -> Option<Response> {
        let pause_ms = faults.iter().find_map(|f| match f {
            Fault::Reject => Some(0),
            Fault::Pause { ms } => Some(*ms),
            _ => None,
        });
        let pause_ms = pause_ms?;
        let mut response = raw(503, Vec::new(), "text/plain");
        response.insert_header("x-outcome", "not-run");
        if pause_ms > 0 {
            response.insert_header("retry-after", (pause_ms as f64 / 1e3).to_string());
        }
        Some(response)
    }

    /// Adds to a response what [`Fault::Leaving`] says.
    pub fn mark_leaving(faults: &[Fault], response: &mut Response) {
        if faults.contains(&Fault::Leaving) {
            response.insert_header("x-leaving", "1");
        }
    }

    /// Number of calls received so far by path, sorted, including those that failed.
    #[must_use]
    pub fn calls(&self) -> Vec<(String, u64)> {
        let calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        calls.clone()
    }

    /// Exits the process, at once or soon, if `body` contains the text of a [`Fault::Crash`].
    /// Returns whether it has crashed and is about to exit.
    pub fn crash_on(&self, body: &[u8]) -> bool {
        let armed = self.armed.lock().unwrap_or_else(PoisonError::into_inner);
        let body = String::from_utf8_lossy(body);
        let exit_ms = armed.iter().find_map(|a| match &a.fault {
            Fault::Crash { text, exit_ms } => body.contains(text.as_str()).then_some(*exit_ms),
            _ => None,
        });
        match exit_ms {
            Some(0) => std::process::exit(CRASH_EXIT_CODE),
            Some(ms) if !self.crashed.swap(true, Ordering::Relaxed) => {
                smol::spawn(exit_after(Duration::from_millis(ms))).detach();
            }
            _ => {}
        }
        self.crashed.load(Ordering::Relaxed)
    }

    /// Number with which token `n` of `total` is sent.
    #[must_use]
    pub fn token_number(faults: &[Fault], n: u64, total: u64) -> u64 {
        let second_half = n >= total / 2;
        if second_half && faults.contains(&Fault::RepeatToken) {
            n.saturating_sub(1)
        } else if second_half && faults.contains(&Fault::SkipToken) {
            n + 1
        } else {
            n
        }
    }

    fn count_call(&self, path: &str) {
        let mut calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        match calls.binary_search_by(|c| c.0.as_str().cmp(path)) {
            Ok(i) => calls[i].1 += 1,
            Err(i) => calls.insert(i, (path.to_owned(), 1)),
        }
    }
}

async fn exit_after(delay: Duration) {
    smol::Timer::after(delay).await;
    std::process::exit(CRASH_EXIT_CODE);
}
