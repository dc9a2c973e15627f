//! Faults that a stand-in is told to show.

use serde::{Deserialize, Serialize};
use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

/// A fault.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "fault")]
pub enum Fault {
    /// Wait before each answer.
    Latency {
        /// Milliseconds.
        ms: u64,
    },
    /// Act, then wait before the answer.
    #[serde(rename = "late-answer")]
    LateResponse {
        /// Milliseconds.
        ms: u64,
    },
    /// Refuse every call before it acts.
    Outage,
    /// Refuse the call before it acts.
    #[serde(rename = "refuse")]
    Reject,
    /// Act, then close the connection without an answer.
    #[serde(rename = "lose-answer")]
    DropResponse,
    /// Act, then send half of the answer and close.
    #[serde(rename = "cut-answer")]
    TruncateResponse,
    /// Act, then send an answer that belongs to another attempt.
    #[serde(rename = "cross-answer")]
    WrongAttempt,
    /// Act, then answer with neither a length nor chunks.
    NoLength,
    /// Act, then declare a length longer than the body.
    WrongLength,
    /// Take the call and never answer.
    #[serde(rename = "silence")]
    NoResponse,
    /// Send half of a stream, then nothing on an open connection.
    Stall,
    /// End a stream properly after half of its tokens, without its last event.
    NoEnd,
    /// Send one token of a stream twice.
    RepeatToken,
    /// Leave one token of a stream out.
    SkipToken,
    /// End the process when a body contains the text.
    Crash {
        /// Text.
        text: String,
    },
}

/// A fault with how many calls it still strikes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ArmedFault {
    /// Fault.
    #[serde(flatten)]
    pub fault: Fault,
    /// Calls it still strikes; absent for all.
    #[serde(default)]
    pub count: Option<u32>,
    /// Path prefix of the calls it strikes; empty for all.
    #[serde(default)]
    pub path: String,
}

/// The faults in force at one stand-in.
#[derive(Debug, Default)]
pub struct Faults {
    armed: Mutex<Vec<ArmedFault>>,
    /// Calls by path, sorted.
    calls: Mutex<Vec<(String, u64)>>,
}

/// Exit code of a process that a request crashed.
const CRASHED: i32 = 70;

impl Faults {
    /// Replaces the faults in force.
    pub fn set(&self, armed: Vec<ArmedFault>) {
        *self.armed.lock().unwrap_or_else(PoisonError::into_inner) = armed;
    }

    /// Counts a call of `path` and takes the faults that strike it.
    #[must_use]
    pub fn on_call(&self, path: &str) -> Vec<Fault> {
        self.count(path);
        let mut armed = self.armed.lock().unwrap_or_else(PoisonError::into_inner);
        let mut struck = Vec::new();
        for one in armed.iter_mut().filter(|a| path.starts_with(&a.path)) {
            match &mut one.count {
                Some(0) => continue,
                Some(n) => *n -= 1,
                None => {}
            }
            struck.push(one.fault.clone());
        }
        struck
    }

    /// Waits out the lateness of the answer among `faults`.
    pub async fn delay_response(faults: &[Fault]) {
        for fault in faults {
            if let Fault::LateResponse { ms } = fault {
                smol::Timer::after(Duration::from_millis(*ms)).await;
            }
        }
    }

    /// Waits out the latency among `faults`.
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

    /// Calls so far by path, sorted, whatever became of them.
    #[must_use]
    pub fn calls(&self) -> Vec<(String, u64)> {
        let calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        calls.clone()
    }

    /// Ends the process if `body` contains the text of an armed crash.
    pub fn crash_on(&self, body: &[u8]) {
        let armed = self.armed.lock().unwrap_or_else(PoisonError::into_inner);
        let body = String::from_utf8_lossy(body);
        let struck = armed.iter().any(|a| match &a.fault {
            Fault::Crash { text } => body.contains(text.as_str()),
            _ => false,
        });
        if struck {
            std::process::exit(CRASHED);
        }
    }

    /// The number under which token `n` of `total` is sent.
    #[must_use]
    pub fn token_number(faults: &[Fault], n: u64, total: u64) -> u64 {
        let late = n >= total / 2;
        if late && faults.contains(&Fault::RepeatToken) {
            n.saturating_sub(1)
        } else if late && faults.contains(&Fault::SkipToken) {
            n + 1
        } else {
            n
        }
    }

    fn count(&self, path: &str) {
        let mut calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        match calls.binary_search_by(|c| c.0.as_str().cmp(path)) {
            Ok(i) => calls[i].1 += 1,
            Err(i) => calls.insert(i, (path.to_owned(), 1)),
        }
    }
}
