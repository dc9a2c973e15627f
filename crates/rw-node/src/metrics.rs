//! Prometheus metrics.

use prometheus::{
    Encoder as _, GaugeVec, HistogramOpts, HistogramVec, IntCounterVec, Opts, Registry, TextEncoder,
};

/// Upper bounds of the buckets of the time histograms, in seconds.
const BUCKETS: &[f64] = &[
    0.001, 0.005, 0.02, 0.05, 0.1, 0.31, 1.0, 3.0, 10.0, 30.0, 100.0,
];

/// All metrics of a node.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Registry,
    /// Final responses by kind of work and outcome.
    pub responses: IntCounterVec,
    /// Dispatches to targets by outcome.
    pub attempts: IntCounterVec,
    /// Platform calls by type and outcome.
    pub platform_calls: IntCounterVec,
    /// Final responses by service, kind of work and how they count against the objective.
    pub burn_responses: IntCounterVec,
    /// Burn rate of the error budget by service, kind of work and window.
    pub burn_rate: GaugeVec,
    /// RPC calls that this node responded to.
    pub rpc_calls: IntCounterVec,
    /// Bytes of the request and response bodies of these calls, by direction.
    pub rpc_bytes: IntCounterVec,
    /// Seconds from arrival to the first byte of the response, by kind of work.
    pub first_byte_time: HistogramVec,
    /// Seconds from arrival to the end of the response, by kind of work.
    pub total_time: HistogramVec,
}

impl Metrics {
    /// Creates and registers all metrics.
    ///
    /// # Errors
    ///
    /// If a name is invalid or already registered.
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
        let responses = counter("rw_answers_total", "Final responses.", &["kind", "outcome"])?;
        let attempts = counter("rw_attempts_total", "Dispatches to targets.", &["end"])?;
        let platform_calls = counter("rw_platform_total", "Platform calls.", &["call", "end"])?;
        let burn_responses = counter(
            "rw_burn_answers_total",
            "Final responses by how they count against the objective.",
            &["service", "kind", "cause"],
        )?;
        let burn_rate = GaugeVec::new(
            Opts::new("rw_burn_rate", "Burn rate of the error budget."),
            &["service", "kind", "window"],
        )?;
        registry.register(Box::new(burn_rate.clone()))?;
        let rpc_calls = counter("rw_rpc_calls_total", "RPC calls answered.", &["end"])?;
        let rpc_bytes = counter(
            "rw_rpc_bytes_total",
            "Bytes of bodies of RPC calls answered.",
            &["way"],
        )?;
        let first_byte_time = histogram(
            "rw_first_byte_seconds",
            "Seconds from arrival to the first byte of the response.",
        )?;
        let total_time = histogram(
            "rw_whole_seconds",
            "Seconds from arrival to the end of the response.",
        )?;
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

    /// Encodes all metrics in the Prometheus text format.
    #[must_use]
    pub fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        // Encoding to memory fails only for a metric without a name.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }
}
