//! Counters and latency histograms.

use prometheus::{
    Encoder as _, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};
use rw_gate::{Dispatch, DispatchMode, DispatchOutcome, RefusalKind};
use rw_types::Millis;

/// What a node counts.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Registry,
    calls: IntCounter,
    dispatches: IntCounterVec,
    ends: IntCounterVec,
    refusals: IntCounterVec,
    rejects: IntCounterVec,
    turned: IntCounter,
    skipped: IntCounter,
    opened: IntGauge,
    dropped: IntGauge,
    first: Histogram,
    answer: Histogram,
}

impl Metrics {
    /// All of them at zero.
    ///
    /// # Errors
    ///
    /// A name that is registered twice.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let counter = |name, help| -> Result<IntCounter, prometheus::Error> {
            let made = IntCounter::new(name, help)?;
            registry.register(Box::new(made.clone()))?;
            Ok(made)
        };
        let gauge = |name, help| -> Result<IntGauge, prometheus::Error> {
            let made = IntGauge::new(name, help)?;
            registry.register(Box::new(made.clone()))?;
            Ok(made)
        };
        let labelled = |name, help, label| -> Result<IntCounterVec, prometheus::Error> {
            let made = IntCounterVec::new(Opts::new(name, help), &[label])?;
            registry.register(Box::new(made.clone()))?;
            Ok(made)
        };
        let histogram = |name, help| -> Result<Histogram, prometheus::Error> {
            let opts = HistogramOpts::new(name, help).buckets(seconds());
            let made = Histogram::with_opts(opts)?;
            registry.register(Box::new(made.clone()))?;
            Ok(made)
        };
        Ok(Self {
            calls: counter("rw_calls_total", "calls read from callers")?,
            dispatches: labelled("rw_dispatches_total", "calls sent to targets", "mode")?,
            ends: labelled("rw_ends_total", "how dispatches ended", "end")?,
            refusals: labelled(
                "rw_refusals_total",
                "final answers of this node's own",
                "kind",
            )?,
            rejects: labelled(
                "rw_rejects_total",
                "requests that could not be read",
                "kind",
            )?,
            turned: counter("rw_turned_away_total", "connections over the limit")?,
            skipped: counter("rw_rows_skipped_total", "rows that name no target")?,
            opened: gauge(
                "rw_target_connections_opened",
                "connections opened to targets",
            )?,
            dropped: gauge("rw_log_lines_dropped", "log lines over the bound")?,
            first: histogram(
                "rw_first_event_seconds",
                "arrival to first event of a stream",
            )?,
            answer: histogram("rw_answer_seconds", "arrival to the end of the answer")?,
            registry,
        })
    }

    pub(crate) fn arrived(&self) {
        self.calls.inc();
    }

    pub(crate) fn turned_away(&self) {
        self.turned.inc();
    }

    pub(crate) fn row_skipped(&self) {
        self.skipped.inc();
    }

    pub(crate) fn dispatched(&self, dispatch: &Dispatch) {
        self.dispatches
            .with_label_values(&[mode(&dispatch.mode)])
            .inc();
    }

    pub(crate) fn ended(&self, end: &DispatchOutcome) {
        self.ends.with_label_values(&[end_name(end)]).inc();
    }

    pub(crate) fn refused(&self, kind: RefusalKind) {
        self.refusals.with_label_values(&[kind.as_str()]).inc();
    }

    pub(crate) fn rejected(&self, kind: &str) {
        self.rejects.with_label_values(&[kind]).inc();
    }

    pub(crate) fn answered(&self, ms: u64) {
        self.answer.observe(ms as f64 / 1e3);
    }

    pub(crate) fn first(&self, arrived: Millis, now: Millis) {
        self.first.observe(now.since(arrived) as f64 / 1e3);
    }

    /// All of it in the text format.
    pub(crate) fn text(&self, opened: u64, dropped: u64) -> Vec<u8> {
        self.opened.set(opened as i64);
        self.dropped.set(dropped as i64);
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::warn!(error:%; "metrics could not be written; this is a fault of the program");
        }
        text
    }
}

/// Bounds of the buckets, in seconds.
fn seconds() -> Vec<f64> {
    vec![
        0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0,
    ]
}

pub(crate) fn mode(mode: &DispatchMode) -> &'static str {
    match mode {
        DispatchMode::Run => "run",
        DispatchMode::Prefill => "prefill",
        DispatchMode::Decode(_) => "take",
    }
}

pub(crate) fn end_name(end: &DispatchOutcome) -> &'static str {
    match end {
        DispatchOutcome::Complete { .. } => "whole",
        DispatchOutcome::Delivered => "delivered",
        DispatchOutcome::Prefilled(_) => "prefilled",
        DispatchOutcome::NotSent => "unsent",
        DispatchOutcome::Rejected { .. } => "declined",
        DispatchOutcome::Broken { crashed: true, .. } => "crashed",
        DispatchOutcome::Broken { .. } => "broken",
        DispatchOutcome::Stalled => "stalled",
        DispatchOutcome::TimedOut { .. } => "timed-out",
    }
}
