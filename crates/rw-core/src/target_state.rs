//! What a node knows of each target.

use crate::{CacheView, ConcurrencyLimit, EngineUsage, ModelIndex, Operation};
use rw_types::{Config, LoadReport, Millis, RequestId, Target};

/// A request of this node that runs on a target.
#[derive(Debug, Clone)]
pub struct SentRequest {
    /// Request.
    pub id: RequestId,
    /// When it was sent.
    pub sent_at: Millis,
    /// Its priority.
    pub priority: u8,
    /// Prompt tokens to fill.
    pub prefill_tokens: u64,
    /// KV cache pieces it will hold.
    pub blocks: u32,
    /// Estimated milliseconds until its whole answer; zero for none.
    pub estimate_ms: f64,
}

/// One target with its latest report and this node's own work on it.
#[derive(Debug, Clone)]
pub struct TargetState {
    /// As operators declared it.
    pub spec: Target,
    /// Whether this node watches its load and may route to it.
    pub watched: bool,
    /// Latest report, all zero before the first.
    pub report: LoadReport,
    /// When the report was made, by this node's clock.
    pub reported_at: Millis,
    /// Requests of this node that run on it.
    pub running: u32,
    /// What runs of this node, sorted by request.
    pub in_flight: Vec<SentRequest>,
    /// What its prefix cache is believed to hold.
    pub cache: CacheView,
    /// What this node sends to it.
    pub usage: EngineUsage,
    /// How many requests of this node it may have.
    pub limit: ConcurrencyLimit,
    /// No new work before this time, after a failure.
    pub backoff_until: Millis,
    /// Whether an order that takes it away is unresolved, as far as this node knows.
    pub removal_ordered: bool,
}

impl TargetState {
    fn new(spec: Target) -> Self {
        let report = LoadReport {
            models: spec.models.clone(),
            role: spec.role,
            ..Default::default()
        };
        Self {
            spec,
            watched: true,
            report,
            reported_at: Millis(0),
            running: 0,
            in_flight: Vec::new(),
            cache: CacheView::default(),
            usage: EngineUsage::default(),
            limit: ConcurrencyLimit::default(),
            backoff_until: Millis(0),
            removal_ordered: false,
        }
    }

    /// Whether it may get new work at `now`.
    #[must_use]
    pub fn is_open(&self, now: Millis) -> bool {
        let away = self.removal_ordered || self.report.draining;
        self.watched && !self.spec.leaving && !away && self.backoff_until <= now
    }
}

/// All targets, sorted by name.
#[derive(Debug, Clone, Default)]
pub struct Targets {
    list: Vec<TargetState>,
    index: ModelIndex,
}

impl Targets {
    /// Takes over the targets of a configuration and keeps what is known of those that stay.
    pub fn apply(&mut self, config: &Config) {
        // Both lists are sorted, so one pass moves what stays without a copy.
        let mut old = std::mem::take(&mut self.list).into_iter().peekable();
        let states = config.targets.iter().map(|spec| {
            while old.next_if(|t| t.spec.name < spec.name).is_some() {}
            match old.next_if(|t| t.spec.name == spec.name) {
                Some(known) => TargetState {
                    spec: spec.clone(),
                    ..known
                },
                None => TargetState::new(spec.clone()),
            }
        });
        self.list = states.collect();
        self.reindex();
    }

    /// Brings the index up to date after a change of what is watched or held.
    pub fn reindex(&mut self) {
        self.index = ModelIndex::build(&self.list);
    }

    /// Positions in [`Targets::all`] of the watched targets that can run `work`.
    #[must_use]
    pub fn serving(&self, work: &Operation) -> &[u32] {
        self.index.find(work)
    }

    /// All targets.
    #[must_use]
    pub fn all(&self) -> &[TargetState] {
        &self.list
    }

    /// The target of that name.
    pub fn find_mut(&mut self, name: &str) -> Option<&mut TargetState> {
        let i = find(&self.list, name)?;
        Some(&mut self.list[i])
    }

    /// The target of that name.
    #[must_use]
    pub fn find(&self, name: &str) -> Option<&TargetState> {
        Some(&self.list[find(&self.list, name)?])
    }

    /// The target at a position of [`Targets::all`].
    pub fn at_mut(&mut self, index: usize) -> &mut TargetState {
        &mut self.list[index]
    }

    /// Takes over which targets are watched, by their positions.
    pub(crate) fn watch(&mut self, watched: &[bool]) {
        let pairs = self.list.iter_mut().zip(watched);
        pairs.for_each(|(target, watched)| target.watched = *watched);
        self.reindex();
    }

    /// Marks exactly the targets `away`, sorted by name, as taken away by an order.
    pub fn mark_removals(&mut self, away: &[&str]) {
        for target in &mut self.list {
            target.removal_ordered = away.binary_search(&target.spec.name.as_str()).is_ok();
        }
    }

    /// Takes over a target's report.
    pub fn apply_report(&mut self, now: Millis, name: &str, report: LoadReport) {
        let Some(target) = self.find_mut(name) else {
            return;
        };
        target.reported_at = Millis(now.0.saturating_sub(report.age_ms));
        target.cache.apply(now, &report.cache);
        let changed = target.report.models != report.models;
        target.report = report;
        if changed {
            self.reindex();
        }
    }
}

fn find(list: &[TargetState], name: &str) -> Option<usize> {
    list.binary_search_by(|t| t.spec.name.as_str().cmp(name))
        .ok()
}
