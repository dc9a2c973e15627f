//! Counts of answers by service, kind of work and cause, over two sliding windows.

use rw_types::{Config, RefusalKind};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Seconds of one bucket.
const BUCKET_S: u64 = 60;
/// Buckets kept for a series, which span the long window.
const BUCKETS: usize = 60;
/// Buckets of the short window.
const SHORT_BUCKETS: u64 = 5;
/// Most series counted; answers beyond them would let callers fill the memory.
const MAX_SERIES: usize = 1_000;
/// Changes of state kept.
const MAX_STATES: usize = 64;
/// Window lengths as metrics and reports name them.
pub const WINDOWS: [&str; 2] = ["5m", "1h"];
/// Part of a budget of 30 days that each window holds.
pub const WINDOW_FRACTIONS: [f64; 2] = [5.0 / 43_200.0, 60.0 / 43_200.0];

/// How an answer counts against its objective.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BurnCause {
    /// Whole and on time.
    Good,
    /// Whole, after its deadline.
    Late,
    /// Refused although the caller did nothing wrong.
    Refused,
    /// It may have run and the answer is lost.
    Unknown,
    /// A stream that ended early.
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

    /// Name in metrics and reports.
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

    /// Whether a refusal is the caller's own matter, which burns no budget.
    #[must_use]
    pub fn is_client_error(kind: RefusalKind) -> bool {
        let status = kind.status();
        (400..500).contains(&status) && status != 429
    }
}

/// Answers by cause.
pub type CauseCounts = [u64; 5];

/// Answers of one service and kind of work in the short and the long window.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BurnCounts {
    /// Service.
    pub service: String,
    /// Kind of work.
    pub kind: String,
    /// Counts in each window.
    pub windows: [CauseCounts; 2],
}

/// A change of state of a VM.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StateChange {
    /// Seconds since 1970 by the VM's clock.
    pub at: u64,
    /// VM.
    pub vm: String,
    /// What changed.
    #[serde(rename = "what")]
    pub description: String,
}

/// What one VM counted.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BurnReport {
    /// Counts, sorted by service and kind.
    pub counts: Vec<BurnCounts>,
    /// Changes of state, oldest first.
    pub states: Vec<StateChange>,
}

impl BurnReport {
    /// Adds what another VM counted.
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

/// The counters of one VM. Times are in seconds of any clock that doesn't go back.
#[derive(Debug, Default)]
pub struct BurnCounters {
    /// Sorted by service and kind.
    series: Vec<Series>,
    /// Models with the service of their engines, sorted by model.
    models: Vec<(String, String)>,
    states: VecDeque<StateChange>,
    table_up: Option<bool>,
    ready: Option<bool>,
    paused: Option<bool>,
}

impl BurnCounters {
    /// Learns which service each model belongs to.
    pub fn index(&mut self, config: &Config) {
        let targets = config.targets.iter();
        let pairs = targets.flat_map(|t| t.models.iter().map(|m| (m.clone(), t.service.clone())));
        self.models = pairs.collect();
        self.models.sort();
        self.models.dedup_by(|a, b| a.0 == b.0);
    }

    /// The service that serves a model; the model's name if none is declared.
    #[must_use]
    pub fn service_of<'a>(&'a self, model: &'a str) -> &'a str {
        let found = self.models.binary_search_by(|(m, _)| m.as_str().cmp(model));
        found.map_or(model, |i| &self.models[i].1)
    }

    /// Counts one answer at `now` seconds.
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

    /// Sums over both windows that end at `now` seconds.
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

    /// Keeps a change of state.
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

    /// Keeps a change of whether the table answers.
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

    /// Keeps a change of whether the VM is ready to the balancer.
    pub fn record_ready(&mut self, at: u64, vm: &str, ready: bool) {
        if self.ready.replace(ready) != Some(ready) {
            let description = if ready { "ready" } else { "not ready" };
            self.record_state(at, vm, description.to_owned());
        }
    }

    /// Keeps a change of whether changes that take capacity away pause.
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

    /// Changes of state, oldest first.
    #[must_use]
    pub fn states(&self) -> Vec<StateChange> {
        self.states.iter().cloned().collect()
    }
}

/// How fast `counts` burn the budget of `objective`: 1 uses it up exactly; zero without answers.
#[must_use]
pub fn burn_rate(counts: &CauseCounts, objective: f64) -> f64 {
    let all: u64 = counts.iter().sum();
    let bad = all - counts[BurnCause::Good as usize];
    if all == 0 {
        return 0.0;
    }
    bad as f64 / all as f64 / (1.0 - objective)
}
