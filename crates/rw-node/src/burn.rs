//! Counts of responses by service, kind of work and cause, over two sliding windows.

use rw_types::{Config, RefusalKind};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Length of one bucket in seconds.
const BUCKET_S: u64 = 60;
/// Number of buckets kept per series; they span the long window.
const BUCKETS: usize = 60;
/// Number of buckets in the short window.
const SHORT_BUCKETS: u64 = 5;
/// Maximum number of series. Responses of further series are not counted, because callers could
/// otherwise use up the memory with invented names.
const MAX_SERIES: usize = 1_000;
/// Number of state changes kept.
const MAX_STATES: usize = 64;
/// Names of the windows in metrics and reports.
pub const WINDOWS: [&str; 2] = ["5m", "1h"];
/// Length of each window as a fraction of the 30 days (43,200 minutes) of the error budget.
pub const WINDOW_FRACTIONS: [f64; 2] = [5.0 / 43_200.0, 60.0 / 43_200.0];

/// How a response counts against its objective.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BurnCause {
    /// Complete and within its deadline.
    Good,
    /// Complete, but after its deadline.
    Late,
    /// Refused for a reason other than an error of the caller.
    Refused,
    /// The request may have run, but the response was lost.
    Unknown,
    /// The stream ended before its last token.
    #[serde(rename = "cut")]
    Truncated,
}

impl BurnCause {
    /// All causes, in the order of [`CauseCounts`].
    pub const ALL: [Self; 5] = [
        Self::Good,
        Self::Late,
        Self::Refused,
        Self::Unknown,
        Self::Truncated,
    ];

    /// Label value in metrics and name in reports.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Good => "good",
            Self::Late => "late",
            Self::Refused => "refused",
            Self::Unknown => "unknown",
            Self::Truncated => "cut",
        }
    }

    /// Whether a refusal is an error of the caller, which burns no budget: status 4xx except 429.
    #[must_use]
    pub fn is_client_error(kind: RefusalKind) -> bool {
        let status = kind.status();
        (400..500).contains(&status) && status != 429
    }
}

/// Number of responses by cause, in the order of [`BurnCause::ALL`].
pub type CauseCounts = [u64; 5];

/// Responses of one service and kind of work in the short and the long window.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BurnCounts {
    /// Service name.
    pub service: String,
    /// Name of the kind of work; empty if the request named none.
    pub kind: String,
    /// Counts in the short and the long window.
    pub windows: [CauseCounts; 2],
}

/// A state change of a VM.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StateChange {
    /// Unix time in seconds, by the clock of the VM.
    pub at: u64,
    /// VM name.
    pub vm: String,
    /// The new state, as text.
    #[serde(rename = "what")]
    pub description: String,
}

/// Counts and state changes of one VM, or merged from several.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BurnReport {
    /// Counts, sorted by service and kind.
    pub counts: Vec<BurnCounts>,
    /// State changes, oldest first.
    pub states: Vec<StateChange>,
}

impl BurnReport {
    /// Adds the counts and state changes of another VM.
    pub fn merge(&mut self, other: Self) {
        for theirs in other.counts {
            let key = |c: &BurnCounts| (c.service.clone(), c.kind.clone());
            match self.counts.binary_search_by_key(&key(&theirs), key) {
                Ok(i) => add(&mut self.counts[i].windows, &theirs.windows),
                Err(i) => self.counts.insert(i, theirs),
            }
        }
        self.states.extend(other.states);
        self.states.sort();
    }
}

fn add(sum: &mut [CauseCounts; 2], more: &[CauseCounts; 2]) {
    let pairs = sum.as_flattened_mut().iter_mut().zip(more.as_flattened());
    pairs.for_each(|(a, b)| *a += b);
}

#[derive(Debug)]
struct Series {
    service: String,
    kind: String,
    /// Bucket numbers with their counts, oldest first.
    buckets: VecDeque<(u64, CauseCounts)>,
}

/// The counters of one VM. Times passed to it are in seconds of a monotonic clock, except for state
/// changes.
#[derive(Debug, Default)]
pub struct BurnCounters {
    /// Sorted by service and kind.
    series: Vec<Series>,
    /// Pairs of a model and the service of its engines, sorted by model.
    models: Vec<(String, String)>,
    states: VecDeque<StateChange>,
    table_up: Option<bool>,
    ready: Option<bool>,
    paused: Option<bool>,
}

impl BurnCounters {
    /// Updates the index from models to services.
    pub fn index(&mut self, config: &Config) {
        let targets = config.targets.iter();
        let pairs = targets.flat_map(|t| t.models.iter().map(|m| (m.clone(), t.service.clone())));
        self.models = pairs.collect();
        self.models.sort();
        self.models.dedup_by(|a, b| a.0 == b.0);
    }

    /// Returns the service that serves a model, or the model's name if no target declares it.
    #[must_use]
    pub fn service_of<'a>(&'a self, model: &'a str) -> &'a str {
        let found = self.models.binary_search_by(|(m, _)| m.as_str().cmp(model));
        found.map_or(model, |i| &self.models[i].1)
    }

    /// Counts one response at `now` seconds.
    pub fn count(&mut self, now: u64, service: &str, kind: &str, cause: BurnCause) {
        let key = |s: &Series| (s.service.as_str(), s.kind.as_str()).cmp(&(service, kind));
        let i = match self.series.binary_search_by(key) {
            Ok(i) => i,
            Err(_) if self.series.len() >= MAX_SERIES => return,
            Err(i) => {
                let series = Series {
                    service: service.to_owned(),
                    kind: kind.to_owned(),
                    buckets: VecDeque::new(),
                };
                self.series.insert(i, series);
                i
            }
        };
        let bucket = now / BUCKET_S;
        let buckets = &mut self.series[i].buckets;
        if buckets.back().is_none_or(|(b, _)| *b < bucket) {
            buckets.push_back((bucket, CauseCounts::default()));
        }
        if buckets.len() > BUCKETS {
            buckets.pop_front();
        }
        if let Some((_, counts)) = buckets.back_mut() {
            counts[cause as usize] += 1;
        }
    }

    /// Returns the sums over the two windows that end at `now` seconds.
    #[must_use]
    pub fn counts(&self, now: u64) -> Vec<BurnCounts> {
        let last = now / BUCKET_S;
        let window = |series: &Series, length: u64| {
            let mut sum = CauseCounts::default();
            let inside = series.buckets.iter().filter(|(b, _)| b + length > last);
            for (_, counts) in inside {
                sum.iter_mut().zip(counts).for_each(|(a, b)| *a += b);
            }
            sum
        };
        let all = self.series.iter().map(|s| BurnCounts {
            service: s.service.clone(),
            kind: s.kind.clone(),
            windows: [window(s, SHORT_BUCKETS), window(s, BUCKETS as u64)],
        });
        all.collect()
    }

    /// Records a state change at Unix time `at`, dropping the oldest if the buffer is full.
    pub fn record_state(&mut self, at: u64, vm: &str, description: String) {
        if self.states.len() == MAX_STATES {
            self.states.pop_front();
        }
        let vm = vm.to_owned();
        self.states.push_back(StateChange {
            at,
            vm,
            description,
        });
    }

    /// Records a state change if the table has become reachable or unreachable.
    pub fn record_table(&mut self, at: u64, vm: &str, ok: bool) {
        let before = self.table_up.replace(ok);
        if before != Some(ok) && (before.is_some() || !ok) {
            let description = if ok {
                "table answers again"
            } else {
                "table does not answer"
            };
            self.record_state(at, vm, description.to_owned());
        }
    }

    /// Records a state change if the readiness reported to the load balancer has changed.
    pub fn record_ready(&mut self, at: u64, vm: &str, ready: bool) {
        if self.ready.replace(ready) != Some(ready) {
            let description = if ready { "ready" } else { "not ready" };
            self.record_state(at, vm, description.to_owned());
        }
    }

    /// Records a state change if changes that reduce capacity were paused or resumed.
    pub fn record_paused(&mut self, at: u64, vm: &str, paused: bool) {
        if self.paused.replace(paused).unwrap_or(false) != paused {
            let description = if paused {
                "objectives burn fast: loads of other versions pause"
            } else {
                "objectives no longer burn fast: loads of other versions go on"
            };
            self.record_state(at, vm, description.to_owned());
        }
    }

    /// State changes, oldest first.
    #[must_use]
    pub fn states(&self) -> Vec<StateChange> {
        self.states.iter().cloned().collect()
    }
}

/// Returns how fast `counts` burn the error budget of `objective`: 1 uses it up exactly, 0 if
/// there were no responses.
#[must_use]
pub fn burn_rate(counts: &CauseCounts, objective: f64) -> f64 {
    let all: u64 = counts.iter().sum();
    let bad = all - counts[BurnCause::Good as usize];
    if all == 0 {
        return 0.0;
    }
    bad as f64 / all as f64 / (1.0 - objective)
}
