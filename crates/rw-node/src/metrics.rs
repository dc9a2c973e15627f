//! Counters and histograms, by kind of work.

use prometheus::{
    Encoder as _, GaugeVec, HistogramOpts, HistogramVec, IntCounterVec, Opts, Registry, TextEncoder,
};

/// Bounds of the time histograms, in seconds.
const BUCKETS: &[f64] = &[
    0.001, 0.005, 0.02, 0.05, 0.1, 0.31, 1.0, 3.0, 10.0, 30.0, 100.0,
];

/// What a node counts.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Registry,
    /// Final answers by kind of work and outcome.
    pub responses: IntCounterVec,
    /// Dispatches by how they ended.
    pub attempts: IntCounterVec,
    /// Platform calls by how they ended.
    pub platform_calls: IntCounterVec,
    /// Final answers by service, kind of work and how they count against the objective.
    pub burn_responses: IntCounterVec,
    /// Rate at which the budget burns, by service, kind of work and window.
    pub burn_rate: GaugeVec,
    /// Calls that this node answered.
    pub rpc_calls: IntCounterVec,
    /// Bytes of bodies of calls that this node answered, by direction.
    pub rpc_bytes: IntCounterVec,
    /// Seconds from arrival to the first byte of the answer, by kind of work.
    pub first_byte_time: HistogramVec,
    /// Seconds from arrival to the whole answer, by kind of work.
    pub total_time: HistogramVec,
}

impl Metrics {
    /// Registers all metrics.
    ///
    /// # Errors
    ///
    /// A name that the library does not accept or that is registered already.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let counter = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(counter.clone()))?;
            Ok::<_, prometheus::Error>(counter)
        };
        let histogram = |name: &str, help: &str| {
            let options = HistogramOpts::new(name, help).buckets(BUCKETS.to_vec());
            let histogram = HistogramVec::new(options, &["kind"])?;
            registry.register(Box::new(histogram.clone()))?;
            Ok::<_, prometheus::Error>(histogram)
        };
        let responses = counter("rw_answers_total", "Final answers.", &["kind", "outcome"])?;
        let attempts = counter("rw_attempts_total", "Dispatches to targets.", &["end"])?;
        let platform_calls = counter("rw_platform_total", "Platform calls.", &["call", "end"])?;
        let burn_responses = counter(
            "rw_burn_answers_total",
            "Final answers by what they do to the objective.",
            &["service", "kind", "cause"],
        )?;
        let burn_rate = GaugeVec::new(
            Opts::new("rw_burn_rate", "Rate at which the budget burns."),
            &["service", "kind", "window"],
        )?;
        registry.register(Box::new(burn_rate.clone()))?;
        let rpc_calls = counter("rw_rpc_calls_total", "Calls answered.", &["end"])?;
        let rpc_bytes = counter(
            "rw_rpc_bytes_total",
            "Bytes of bodies of calls answered.",
            &["way"],
        )?;
        let first_byte_time = histogram("rw_first_byte_seconds", "Arrival to first byte.")?;
        let total_time = histogram("rw_whole_seconds", "Arrival to whole answer.")?;
        Ok(Self {
            registry,
            responses,
            attempts,
            platform_calls,
            burn_responses,
            burn_rate,
            rpc_calls,
            rpc_bytes,
            first_byte_time,
            total_time,
        })
    }

    /// All metrics in the text format.
    #[must_use]
    pub fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        // Writing to memory fails only for a metric without a name.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }
}
