//! Settings of the reducer.

use crate::Policy;
use rw_types::BootId;

/// Identity of a node and the limits of its decisions. All times are in milliseconds.
#[derive(Debug, Clone)]
pub struct CoreSettings {
    /// Name of this VM in the platform's list.
    pub vm: String,
    /// Random identifier of this boot.
    pub boot: BootId,
    /// Data centre of this VM.
    pub centre: String,
    /// Seed of the random number generators.
    pub seed: u64,
    /// Maximum number of dispatches of one idempotent request.
    pub max_attempts: u32,
    /// Delay after which a refused caller should retry if no better estimate is known, and initial
    /// backoff after a failed order.
    pub retry_ms: u64,
    /// How long a target gets no new requests after a failure; twice as long after the second
    /// consecutive one, four times after any further one, half after an engine rejected a request.
    pub backoff_ms: u64,
    /// Maximum number of consecutive retries without a success.
    pub max_retries: u32,
    /// How long the outcome of a claim is kept in memory while the table may not have it yet.
    pub unsettled_ttl_ms: u64,
    /// How long a ticket is valid after it was minted.
    pub ticket_ttl_ms: u64,
    /// How long a request that crashed its targets is refused.
    pub poison_ttl_ms: u64,
    /// Which decisions are enabled, and their parameters.
    pub policy: Policy,
    /// Duration of a lease, counted from the time at which its renewal was sent.
    pub lease_ms: u64,
    /// Maximum drift between the clocks of two VMs within one lease.
    pub drift_ms: u64,
    /// Longest time for which an order can be in flight to its target.
    pub order_ttl_ms: u64,
    /// Age from which a load report is ignored when orders are planned.
    pub stale_ms: u64,
}

impl Default for CoreSettings {
    fn default() -> Self {
        Self {
            vm: String::new(),
            boot: BootId(0),
            centre: String::new(),
            seed: 0,
            max_attempts: 3,
            retry_ms: 1_000,
            backoff_ms: 1_000,
            max_retries: 100,
            unsettled_ttl_ms: 600_000,
            ticket_ttl_ms: 600_000,
            poison_ttl_ms: 300_000,
            policy: Policy::default(),
            lease_ms: 10_000,
            drift_ms: 500,
            order_ttl_ms: 2_000,
            stale_ms: 5_000,
        }
    }
}
