//! Prometheus metrics.

use crate::{Framing, ResponseEnd};
use prometheus::{
    Encoder as _, GaugeVec, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry, TextEncoder,
};
use rw_gate::{
    DelegationOutcome, Dispatch, DispatchMode, DispatchOutcome, DutyOutcome, PlacementOutcome,
    RefusalKind, SizeStatus,
};
use rw_types::Millis;
use std::time::Duration;

/// Counters, gauges and latency histograms of a node.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Registry,
    calls: IntCounter,
    dispatches: IntCounterVec,
    outcomes: IntCounterVec,
    refusals: IntCounterVec,
    rejects: IntCounterVec,
    notices: IntCounterVec,
    origin_lookups: IntCounterVec,
    delegations: IntCounterVec,
    delegated: IntCounterVec,
    probes: IntCounterVec,
    placements: IntCounterVec,
    unreachable: IntGauge,
    target_states: IntGaugeVec,
    sizes: IntGaugeVec,
    target_speeds: GaugeVec,
    target_saturation: IntGaugeVec,
    over_limit: IntCounter,
    answer_bytes: IntGauge,
    body_bytes: IntGauge,
    body_waits: IntGauge,
    body_refusals: IntCounter,
    skipped_rows: IntCounter,
    opened: IntGauge,
    dropped_lines: IntGauge,
    first_event: Histogram,
    response_time: Histogram,
    responses: IntCounterVec,
    digests: IntCounterVec,
    digest_bytes: IntCounterVec,
    timer_delay: Histogram,
    duties: IntCounterVec,
}

/// Which way a digest travels.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Direction {
    Sent,
    Received,
}

impl Direction {
    fn as_str(self) -> &'static str {
        match self {
            Self::Sent => "sent",
            Self::Received => "received",
        }
    }
}

impl Metrics {
    /// Registers all metrics, at zero.
    ///
    /// # Errors
    ///
    /// A metric is registered twice.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let counter = |name, help| -> Result<IntCounter, prometheus::Error> {
            let metric = IntCounter::new(name, help)?;
            registry.register(Box::new(metric.clone()))?;
            Ok(metric)
        };
        let gauge = |name, help| -> Result<IntGauge, prometheus::Error> {
            let metric = IntGauge::new(name, help)?;
            registry.register(Box::new(metric.clone()))?;
            Ok(metric)
        };
        let labelled = |name, help, label| -> Result<IntCounterVec, prometheus::Error> {
            let metric = IntCounterVec::new(Opts::new(name, help), &[label])?;
            registry.register(Box::new(metric.clone()))?;
            Ok(metric)
        };
        let histogram = |name, help| -> Result<Histogram, prometheus::Error> {
            let opts = HistogramOpts::new(name, help).buckets(bucket_bounds());
            let metric = Histogram::with_opts(opts)?;
            registry.register(Box::new(metric.clone()))?;
            Ok(metric)
        };
        let states = IntGaugeVec::new(
            Opts::new("rw_targets", "known targets, by whether they may get work"),
            &["state"],
        )?;
        registry.register(Box::new(states.clone()))?;
        let sizes = IntGaugeVec::new(
            Opts::new(
                "rw_size_targets",
                "targets of services that can be sized, on the leader: wanted by the plan, ordered, and present",
            ),
            &["service", "centre", "kind", "count"],
        )?;
        registry.register(Box::new(sizes.clone()))?;
        let speeds = GaugeVec::new(
            Opts::new(
                "rw_target_speed",
                "time that work takes at targets, relative to the mean of their service, unless it is 1",
            ),
            &["target", "kind"],
        )?;
        registry.register(Box::new(speeds.clone()))?;
        let saturation = IntGaugeVec::new(
            Opts::new(
                "rw_target_saturation",
                "calls beyond which the throughput of a target fell",
            ),
            &["target"],
        )?;
        registry.register(Box::new(saturation.clone()))?;
        Ok(Self {
            calls: counter("rw_calls_total", "calls read from callers")?,
            dispatches: labelled("rw_dispatches_total", "calls sent to targets", "mode")?,
            outcomes: labelled("rw_ends_total", "dispatches that ended, by outcome", "end")?,
            refusals: labelled(
                "rw_refusals_total",
                "calls refused or aborted by this node, by reason",
                "kind",
            )?,
            rejects: labelled(
                "rw_rejects_total",
                "requests rejected because they could not be read",
                "kind",
            )?,
            over_limit: counter(
                "rw_turned_away_total",
                "caller connections closed at once because the limit was reached",
            )?,
            answer_bytes: gauge(
                "rw_answer_bytes",
                "bytes reserved for responses of unknown length that are held",
            )?,
            body_bytes: gauge("rw_body_bytes", "bytes reserved for the bodies of requests")?,
            body_waits: gauge(
                "rw_body_waits",
                "requests that wait unread for room for their bodies",
            )?,
            body_refusals: counter(
                "rw_body_refusals_total",
                "requests refused because there was no room for their bodies",
            )?,
            skipped_rows: counter(
                "rw_rows_skipped_total",
                "registry rows that do not describe a target",
            )?,
            opened: gauge(
                "rw_target_connections_opened",
                "connections opened to targets, including failed attempts",
            )?,
            dropped_lines: gauge(
                "rw_log_lines_dropped",
                "log lines dropped because of the limit",
            )?,
            first_event: histogram(
                "rw_first_event_seconds",
                "time from arrival to the first event of a stream",
            )?,
            response_time: histogram(
                "rw_answer_seconds",
                "time from arrival to the end of the response",
            )?,
            responses: labelled(
                "rw_responses_total",
                "responses to callers, by how they ended",
                "end",
            )?,
            digests: labelled(
                "rw_digests_total",
                "digests exchanged with other nodes, by direction",
                "direction",
            )?,
            digest_bytes: labelled(
                "rw_digest_bytes_total",
                "bytes of digests exchanged with other nodes, by direction",
                "direction",
            )?,
            notices: labelled(
                "rw_target_notices_total",
                "what targets said about themselves with responses, by kind",
                "kind",
            )?,
            origin_lookups: labelled(
                "rw_origin_lookups_total",
                "questions to other nodes where a stream began, by result",
                "result",
            )?,
            delegations: labelled(
                "rw_delegations_total",
                "calls passed to other nodes that ended, by outcome",
                "end",
            )?,
            delegated: labelled(
                "rw_delegated_calls_total",
                "calls that other nodes passed to this one, by whether it took them",
                "result",
            )?,
            placements: labelled(
                "rw_placements_total",
                "placements requested from schedulers, by result",
                "result",
            )?,
            probes: labelled(
                "rw_target_probes_total",
                "connections opened to learn whether a target can be reached, by result",
                "result",
            )?,
            unreachable: gauge(
                "rw_unreachable_services",
                "services of which this node reaches no target",
            )?,
            target_states: states,
            duties: {
                let opts = Opts::new(
                    "rw_duty_calls_total",
                    "calls to the platform's API, by duty and outcome",
                );
                let metric = IntCounterVec::new(opts, &["duty", "end"])?;
                registry.register(Box::new(metric.clone()))?;
                metric
            },
            sizes,
            target_speeds: speeds,
            target_saturation: saturation,
            timer_delay: histogram(
                "rw_timer_delay_seconds",
                "how late the node's periodic timer fires",
            )?,
            registry,
        })
    }

    pub(crate) fn call_received(&self) {
        self.calls.inc();
    }

    pub(crate) fn over_limit(&self) {
        self.over_limit.inc();
    }

    pub(crate) fn body_refused(&self) {
        self.body_refusals.inc();
    }

    /// Sets the bytes reserved for bodies and the number of requests that wait for room.
    pub(crate) fn set_bodies(&self, bytes: usize, waiting: usize) {
        self.body_bytes.set(bytes as i64);
        self.body_waits.set(waiting as i64);
    }

    /// Sets the bytes reserved for responses that are held.
    pub(crate) fn set_answers(&self, bytes: usize) {
        self.answer_bytes.set(bytes as i64);
    }

    pub(crate) fn row_skipped(&self) {
        self.skipped_rows.inc();
    }

    pub(crate) fn dispatched(&self, dispatch: &Dispatch) {
        self.dispatches
            .with_label_values(&[mode_label(&dispatch.mode)])
            .inc();
    }

    pub(crate) fn ended(&self, outcome: &DispatchOutcome) {
        self.outcomes
            .with_label_values(&[outcome_label(outcome)])
            .inc();
    }

    pub(crate) fn refused(&self, kind: RefusalKind) {
        self.refusals.with_label_values(&[kind.as_str()]).inc();
    }

    pub(crate) fn delegation_ended(&self, outcome: &DelegationOutcome) {
        self.delegations
            .with_label_values(&[delegation_label(outcome)])
            .inc();
    }

    pub(crate) fn delegated(&self, result: &str) {
        self.delegated.with_label_values(&[result]).inc();
    }

    pub(crate) fn placed(&self, outcome: &PlacementOutcome) {
        let result = match outcome {
            PlacementOutcome::Granted(_) => "granted",
            PlacementOutcome::Exceeds(_) => "exceeds",
            PlacementOutcome::TooLate(_) => "too-late",
            PlacementOutcome::NoTarget => "no-target",
        };
        self.placements.with_label_values(&[result]).inc();
    }

    pub(crate) fn placement_expired(&self) {
        self.placements.with_label_values(&["expired"]).inc();
    }

    pub(crate) fn probed(&self, is_open: bool) {
        let result = match is_open {
            true => "reached",
            false => "failed",
        };
        self.probes.with_label_values(&[result]).inc();
    }

    pub(crate) fn set_unreachable(&self, services: usize) {
        self.unreachable.set(services as i64);
    }

    pub(crate) fn rejected(&self, kind: &str) {
        self.rejects.with_label_values(&[kind]).inc();
    }

    pub(crate) fn response_ended(&self, end: ResponseEnd) {
        self.responses.with_label_values(&[end.as_str()]).inc();
    }

    pub(crate) fn call_finished(&self, ms: u64) {
        self.response_time.observe(ms as f64 / 1e3);
    }

    pub(crate) fn first_event(&self, arrived: Millis, now: Millis) {
        self.first_event.observe(now.since(arrived) as f64 / 1e3);
    }

    pub(crate) fn digest(&self, direction: Direction, bytes: usize) {
        let label = [direction.as_str()];
        self.digests.with_label_values(&label).inc();
        self.digest_bytes
            .with_label_values(&label)
            .inc_by(bytes as u64);
    }

    /// A target said something about itself with a response.
    pub(crate) fn origin_lookup(&self, result: &str) {
        self.origin_lookups.with_label_values(&[result]).inc();
    }

    pub(crate) fn notice(&self, kind: &str) {
        self.notices.with_label_values(&[kind]).inc();
    }

    pub(crate) fn duty_ended(&self, duty: &str, outcome: DutyOutcome) {
        let labels = [duty, duty_outcome_label(outcome)];
        self.duties.with_label_values(&labels).inc();
    }

    pub(crate) fn timer_fired(&self, late: Duration) {
        self.timer_delay.observe(late.as_secs_f64());
    }

    /// Sets the number of known targets in each state.
    pub(crate) fn set_target_states(&self, states: impl Iterator<Item = &'static str>) {
        self.target_states.reset();
        states.for_each(|state| self.target_states.with_label_values(&[state]).inc());
    }

    /// Sets the wanted, ordered and present targets of the services that can be sized.
    pub(crate) fn set_sizes(&self, sizes: &[SizeStatus]) {
        self.sizes.reset();
        for size in sizes {
            let kind = if size.spot { "spot" } else { "normal" };
            let counts = [
                ("wanted", Some(size.wanted)),
                ("ordered", size.ordered),
                ("present", Some(size.present)),
            ];
            for (name, count) in counts {
                let labels = [size.service.as_str(), size.centre.as_str(), kind, name];
                if let Some(count) = count {
                    self.sizes.with_label_values(&labels).set(count.into());
                }
            }
        }
    }

    /// Sets the factors of the targets that are not as fast as usual: target, kind of work, factor.
    pub(crate) fn set_target_speeds<'a>(
        &self,
        speeds: impl Iterator<Item = (&'a str, &'static str, f64)>,
    ) {
        self.target_speeds.reset();
        speeds.for_each(|(target, kind, factor)| {
            let gauge = self.target_speeds.with_label_values(&[target, kind]);
            gauge.set(factor);
        });
    }

    /// Sets the calls beyond which the throughput of targets fell.
    pub(crate) fn set_saturation<'a>(&self, limits: impl Iterator<Item = (&'a str, u32)>) {
        self.target_saturation.reset();
        limits.for_each(|(target, limit)| {
            let gauge = self.target_saturation.with_label_values(&[target]);
            gauge.set(i64::from(limit));
        });
    }

    /// Encodes all metrics in the Prometheus text format, with the given numbers of connections
    /// opened to targets and of log lines dropped.
    pub(crate) fn encode(&self, opened: u64, dropped: u64) -> Vec<u8> {
        self.opened.set(opened as i64);
        self.dropped_lines.set(dropped as i64);
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::warn!(error:%; "metrics could not be encoded; this is a bug");
        }
        text
    }
}

/// Upper bounds of the histogram buckets, in seconds.
fn duty_outcome_label(outcome: DutyOutcome) -> &'static str {
    match outcome {
        DutyOutcome::Accepted => "accepted",
        DutyOutcome::Fenced => "fenced",
        DutyOutcome::Unavailable => "unavailable",
        DutyOutcome::RateLimited => "rate-limited",
        DutyOutcome::NotSent => "not-sent",
        DutyOutcome::Unknown => "unknown",
    }
}

fn bucket_bounds() -> Vec<f64> {
    vec![
        0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0,
    ]
}

pub(crate) fn mode_label(mode: &DispatchMode) -> &'static str {
    match mode {
        DispatchMode::Run => "run",
        DispatchMode::Prefill => "prefill",
        DispatchMode::Decode(_) => "take",
    }
}

pub(crate) fn outcome_label(outcome: &DispatchOutcome) -> &'static str {
    match outcome {
        DispatchOutcome::Complete { .. } => "whole",
        DispatchOutcome::Delivered => "delivered",
        DispatchOutcome::Prefilled(_) => "prefilled",
        DispatchOutcome::NotSent => "unsent",
        DispatchOutcome::Withheld => "withheld",
        DispatchOutcome::Rejected { .. } => "declined",
        DispatchOutcome::Broken { crashed: true, .. } => "crashed",
        DispatchOutcome::Broken { .. } => "broken",
        DispatchOutcome::Stalled => "stalled",
        DispatchOutcome::TimedOut { .. } => "timed-out",
    }
}

pub(crate) fn delegation_label(outcome: &DelegationOutcome) -> &'static str {
    match outcome {
        DelegationOutcome::Complete => "whole",
        DelegationOutcome::Delivered => "delivered",
        DelegationOutcome::NotSent => "unsent",
        DelegationOutcome::Refused(_) => "declined",
        DelegationOutcome::Broken { .. } => "broken",
        DelegationOutcome::TimedOut { .. } => "timed-out",
    }
}

/// How the end of a response is marked; `none` if no response began.
pub(crate) fn framing_label(framing: Option<Framing>) -> &'static str {
    match framing {
        Some(Framing::Length(_)) => "length",
        Some(Framing::Chunked) => "chunked",
        Some(Framing::Close) => "close",
        None => "none",
    }
}
