//! Settings of the reducer.

/// Duties that one node at a time has towards the platform.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct DutySettings {
    /// Length of the windows of usage reports, in milliseconds; `None` if none are due.
    pub usage_window_ms: Option<u64>,
    /// Time after the end of a window at which its report is due, in milliseconds.
    pub usage_late_ms: u64,
    /// Whether the number of targets can be ordered.
    pub sizes_fleet: bool,
    /// Calls per second that the platform accepts from all nodes together.
    pub calls_per_s: f64,
    /// Whether the platform refuses calls with a fencing token lower than one that it has seen.
    pub requires_fencing: bool,
}

/// Part of the time in which a removed key must stop being accepted that is left as a margin, in
/// milliseconds: for the way of a call to this node, and for the rounding of times.
const REVOKE_MARGIN_MS: u64 = 250;

/// Whether a node learns how fast each target is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum TargetSpeeds {
    /// As [`TargetSpeeds::Learned`] once a target has reported how long work takes there, and as
    /// [`TargetSpeeds::Fixed`] until then.
    #[default]
    Auto,
    /// From its own calls, what targets report, and what other nodes have measured.
    Learned,
    /// No; all targets of a service are taken to be equally fast, apart from recent delays.
    Fixed,
}

/// Identity of a node and the limits that apply to it.
#[derive(Debug, Clone, PartialEq)]
pub struct GateSettings {
    /// Name of this VM.
    pub vm: String,
    /// Data centre of this VM.
    pub centre: String,
    /// Seed for traffic splits, the jitter of retry times, and the choice between equivalent
    /// targets.
    pub seed: u64,
    /// Retries that all nodes together may send to a service, as a fraction of its calls.
    pub retry_ratio: f64,
    /// Retries that all nodes together may send to a service in addition to that fraction.
    pub retry_slack: f64,
    /// Length of the sliding window in which retries are counted, in milliseconds.
    pub retry_window_ms: u64,
    /// Time after the store became reachable again within which a lapsed entry may be renewed, in
    /// milliseconds.
    pub return_ms: u64,
    /// Time for which a request that crashed its targets is refused, in milliseconds.
    pub poison_ms: u64,
    /// Retry time named in a refusal if there is no better estimate, in milliseconds.
    pub retry_ms: u64,
    /// Number of nodes to assume until the member list has been read.
    pub nodes: usize,
    /// Whether calls with a key are refused while it isn't known whether the key is still valid.
    pub fail_closed: bool,
    /// Time after which a key that was removed must not be accepted, in milliseconds.
    pub revoke_ms: u64,
    /// Duties towards the platform.
    pub duties: DutySettings,
    /// Whether the speed of targets is learned.
    pub target_speeds: TargetSpeeds,
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
            fail_closed: false,
            revoke_ms: 5_000,
            duties: DutySettings::default(),
            target_speeds: TargetSpeeds::default(),
        }
    }
}

impl GateSettings {
    /// Age from which knowledge of the configuration no longer shows that a key is valid, in
    /// milliseconds; `None` if it does at any age.
    #[must_use]
    pub fn max_config_age_ms(&self) -> Option<u64> {
        let age_ms = self.revoke_ms.saturating_sub(REVOKE_MARGIN_MS);
        self.fail_closed.then_some(age_ms)
    }
}
