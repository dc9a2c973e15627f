//! What a node knows of each target.

use crate::{CacheView, Flow, Limit, ModelIndex, Work};
use rw_types::{Config, LoadReport, Millis, RequestId, Target};

/// A request of this node that runs on a target.
#[derive(Debug, Clone)]
pub struct Sent {
    /// Request.
    pub id: RequestId,
    /// When it was sent.
    pub at: Millis,
    /// Its priority.
    pub priority: u8,
    /// Prompt tokens to fill.
    pub fill: u64,
    /// KV cache pieces it will hold.
    pub pieces: u32,
    /// Estimated milliseconds until its whole answer; zero for none.
    pub whole: f64,
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
    pub reported: Millis,
    /// Requests of this node that run on it.
    pub running: u32,
    /// What runs of this node, sorted by request.
    pub sent: Vec<Sent>,
    /// What its prefix cache is believed to hold.
    pub view: CacheView,
    /// What this node sends to it.
    pub flow: Flow,
    /// How many requests of this node it may have.
    pub limit: Limit,
    /// No new work before this time, after a failure.
    pub resting: Millis,
    /// Whether an order that takes it away is unresolved, as far as this node knows.
    pub ordered: bool,
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
            reported: Millis(0),
            running: 0,
            sent: Vec::new(),
            view: CacheView::default(),
            flow: Flow::default(),
            limit: Limit::default(),
            resting: Millis(0),
            ordered: false,
        }
    }

    /// Whether it may get new work at `now`.
    #[must_use]
    pub fn is_open(&self, now: Millis) -> bool {
        let away = self.ordered || self.report.draining;
        self.watched && !self.spec.leaving && !away && self.resting <= now
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
        let old = std::mem::take(&mut self.list);
        self.list = config
            .targets
            .iter()
            .map(|spec| match find(&old, &spec.name) {
                Some(i) => TargetState {
                    spec: spec.clone(),
                    ..old[i].clone()
                },
                None => TargetState::new(spec.clone()),
            })
            .collect();
        self.reindex();
    }

    /// Brings the index up to date after a change of what is watched or held.
    pub fn reindex(&mut self) {
        self.index = ModelIndex::of(&self.list);
    }

    /// Positions in [`Targets::all`] of the watched targets that can run `work`.
    #[must_use]
    pub fn serving(&self, work: &Work) -> &[u32] {
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
    }

    /// Marks exactly the targets `away`, sorted by name, as taken away by an order.
    pub fn mark_ordered(&mut self, away: &[&str]) {
        for target in &mut self.list {
            target.ordered = away.binary_search(&target.spec.name.as_str()).is_ok();
        }
    }

    /// Takes over a target's report.
    pub fn report(&mut self, now: Millis, name: &str, report: LoadReport) {
        let Some(target) = self.find_mut(name) else {
            return;
        };
        target.reported = Millis(now.0.saturating_sub(report.age_ms));
        target.view.take(now, &report.cache);
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
