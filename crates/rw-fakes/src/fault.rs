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
    LateAnswer {
        /// Milliseconds.
        ms: u64,
    },
    /// Refuse every call before it acts.
    Outage,
    /// Refuse the call before it acts.
    Refuse,
    /// Act, then close the connection without an answer.
    LoseAnswer,
    /// Act, then send half of the answer and close.
    CutAnswer,
    /// Act, then send an answer that belongs to another attempt.
    CrossAnswer,
    /// Act, then answer with neither a length nor chunks.
    NoLength,
    /// Act, then declare a length longer than the body.
    WrongLength,
    /// Take the call and never answer.
    Silence,
}

/// A fault with how many calls it still strikes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Armed {
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
    armed: Mutex<Vec<Armed>>,
}

impl Faults {
    /// Replaces the faults in force.
    pub fn set(&self, armed: Vec<Armed>) {
        *self.armed.lock().unwrap_or_else(PoisonError::into_inner) = armed;
    }

    /// Takes the faults that strike a call of `path`.
    #[must_use]
    pub fn strike(&self, path: &str) -> Vec<Fault> {
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
    pub async fn wait_late(faults: &[Fault]) {
        for fault in faults {
            if let Fault::LateAnswer { ms } = fault {
                smol::Timer::after(Duration::from_millis(*ms)).await;
            }
        }
    }

    /// Waits out the latency among `faults`.
    pub async fn wait(faults: &[Fault]) {
        for fault in faults {
            match fault {
                Fault::Latency { ms } => {
                    smol::Timer::after(Duration::from_millis(*ms)).await;
                }
                Fault::Silence => std::future::pending().await,
                _ => {}
            }
        }
    }
}
