//! A node's state of each target.

use crate::{CacheView, ConcurrencyLimit, EngineUsage, ModelIndex, Operation};
use rw_types::{Config, LoadReport, Millis, RequestId, Target};

/// Time for which a target that said it is leaving gets no new requests, in milliseconds.
const LEAVING_HOLD_MS: u64 = 60_000;
/// Part of that time that no load report ends, since it may have been sent before.
const MIN_LEAVING_HOLD_MS: u64 = 1_000;

/// A request of this node that is in flight at a target.
#[derive(Debug, Clone)]
pub struct SentRequest {
    /// Request id.
    pub id: RequestId,
    /// When it was sent.
    pub sent_at: Millis,
    /// Higher priorities are served first.
    pub priority: u8,
    /// Prompt tokens that need prefill, as estimated.
    pub prefill_tokens: u64,
    /// KV blocks that it will hold.
    pub blocks: u32,
    /// Estimated milliseconds until its complete response; zero if there is no estimate.
    pub estimate_ms: f64,
}

/// One target with its latest load report and this node's requests on it.
#[derive(Debug, Clone)]
pub struct TargetState {
    /// The target as operators declared it.
    pub spec: Target,
    /// Whether this node watches its load and may route to it.
    pub watched: bool,
    /// Latest load report; before the first, the declared models and role and zeros.
    pub report: LoadReport,
    /// When the load report was made, by this node's clock; zero before the first.
    pub reported_at: Millis,
    /// Number of this node's requests that are in flight at it.
    pub running: u32,
    /// This node's requests in flight, sorted by request.
    pub in_flight: Vec<SentRequest>,
    /// Estimated contents of its prefix cache.
    pub cache: CacheView,
    /// Engine time that this node's recent requests use, by priority.
    pub usage: EngineUsage,
    /// Limit of this node's concurrent requests to it.
    pub limit: ConcurrencyLimit,
    /// No new requests are sent before this time, after a failure.
    pub backoff_until: Millis,
    /// It said that it is leaving: no new requests are sent before this time, unless a load report
    /// shows that another process has taken its place.
    pub leaving_until: Millis,
    /// End of the pause that it asked this node for.
    pub paused_until: Millis,
    /// Whether this node, as lease holder, has an unresolved order for it to drain or change role.
    pub unavailable_by_order: bool,
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
            leaving_until: Millis(0),
            paused_until: Millis(0),
            unavailable_by_order: false,
        }
    }

    fn with_spec(self, spec: Target) -> Self {
        // What was said at another address holds for another process.
        let has_moved = self.spec.addr != spec.addr;
        let kept = |until| if has_moved { Millis(0) } else { until };
        Self {
            spec,
            leaving_until: kept(self.leaving_until),
            paused_until: kept(self.paused_until),
            ..self
        }
    }

    /// Whether new requests may be sent to it at `now`.
    #[must_use]
    pub fn is_open(&self, now: Millis) -> bool {
        let unavailable = self.unavailable_by_order || self.report.draining;
        let closed_until = self.backoff_until.max(self.leaving_until);
        self.watched
            && !self.spec.leaving
            && !unavailable
            && closed_until.max(self.paused_until) <= now
    }

    /// Whether the only reason for which it gets no new requests is the pause that it asked for.
    #[must_use]
    pub fn is_only_paused(&self, now: Millis) -> bool {
        now < self.paused_until && self.is_open(self.paused_until)
    }
}

/// All targets, sorted by name.
#[derive(Debug, Clone, Default)]
pub struct Targets {
    list: Vec<TargetState>,
    index: ModelIndex,
}

impl Targets {
    /// Replaces the targets by those of `config`, and keeps the state of those that remain.
    pub fn apply(&mut self, config: &Config) {
        // Both lists are sorted, so one pass moves the remaining states without copying them.
        let mut old = std::mem::take(&mut self.list).into_iter().peekable();
        let states = config.targets.iter().map(|spec| {
            while old.next_if(|t| t.spec.name < spec.name).is_some() {}
            match old.next_if(|t| t.spec.name == spec.name) {
                Some(known) => known.with_spec(spec.clone()),
                None => TargetState::new(spec.clone()),
            }
        });
        self.list = states.collect();
        self.reindex();
    }

    /// Rebuilds the index after a change of watched targets or loaded models.
    pub fn reindex(&mut self) {
        self.index = ModelIndex::build(&self.list);
    }

    /// Positions in [`Targets::all`] of the watched targets that can run `operation`.
    #[must_use]
    pub fn serving(&self, operation: &Operation) -> &[u32] {
        self.index.find(operation)
    }

    /// All targets, sorted by name.
    #[must_use]
    pub fn all(&self) -> &[TargetState] {
        &self.list
    }

    /// The target of that name, if it is configured.
    pub fn find_mut(&mut self, name: &str) -> Option<&mut TargetState> {
        let i = find(&self.list, name)?;
        Some(&mut self.list[i])
    }

    /// The target of that name, if it is configured.
    #[must_use]
    pub fn find(&self, name: &str) -> Option<&TargetState> {
        Some(&self.list[find(&self.list, name)?])
    }

    /// The target at a position in [`Targets::all`].
    pub fn at_mut(&mut self, index: usize) -> &mut TargetState {
        &mut self.list[index]
    }

    /// Sets for each target, by position, whether it is watched.
    pub(crate) fn watch(&mut self, watched: &[bool]) {
        let pairs = self.list.iter_mut().zip(watched);
        pairs.for_each(|(target, watched)| target.watched = *watched);
        self.reindex();
    }

    /// Marks exactly the targets in `names`, which must be sorted, as having an unresolved order that
    /// makes them unavailable.
    pub fn mark_unavailable(&mut self, names: &[&str]) {
        for target in &mut self.list {
            target.unavailable_by_order = names.binary_search(&target.spec.name.as_str()).is_ok();
        }
    }

    /// Records what the target at `addr` says about itself; a pause lasts until `pause_end` at least.
    pub(crate) fn note(&mut self, now: Millis, addr: &str, is_leaving: bool, pause_end: Millis) {
        for target in self.list.iter_mut().filter(|t| t.spec.addr == addr) {
            target.paused_until = target.paused_until.max(pause_end);
            if is_leaving {
                target.leaving_until = now.plus(LEAVING_HOLD_MS);
            }
        }
    }

    /// Stores a load report of a target that does not say it is leaving, and applies its cache events.
    pub fn apply_report(&mut self, now: Millis, name: &str, report: LoadReport) {
        let Some(target) = self.find_mut(name) else {
            return;
        };
        target.reported_at = Millis(now.0.saturating_sub(report.age_ms));
        let max_left_ms = LEAVING_HOLD_MS - MIN_LEAVING_HOLD_MS;
        if target.leaving_until.since(now) < max_left_ms {
            target.leaving_until = Millis(0);
        }
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
