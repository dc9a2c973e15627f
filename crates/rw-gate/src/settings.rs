//! Settings of the reducer.

/// What a node knows of itself and the limits it decides by.
#[derive(Debug, Clone, PartialEq)]
pub struct GateSettings {
    /// Name of this VM.
    pub vm: String,
    /// Data centre of this VM.
    pub centre: String,
    /// Seed of picks between equals.
    pub seed: u64,
    /// Repeats that all nodes may send to a service, as a part of its calls.
    pub retry_ratio: f64,
    /// Repeats that all nodes may send to a service beyond that part.
    pub retry_slack: f64,
    /// Time over which repeats are counted, in milliseconds.
    pub retry_window_ms: u64,
    /// How long after the store's return a lapsed entry may still come back, in milliseconds.
    pub return_ms: u64,
    /// How long a call that ended its targets is refused, in milliseconds.
    pub poison_ms: u64,
    /// Time to come back that a refusal names when nothing better is known, in milliseconds.
    pub retry_ms: u64,
    /// Nodes to assume before the list of them was read.
    pub nodes: usize,
}

impl Default for GateSettings {
    fn default() -> Self {
        Self {
            vm: String::new(),
            centre: String::new(),
            seed: 0,
            retry_ratio: 0.2,
            retry_slack: 50.0,
            retry_window_ms: 10_000,
            return_ms: 2_200,
            poison_ms: 60_000,
            retry_ms: 500,
            nodes: 12,
        }
    }
}
