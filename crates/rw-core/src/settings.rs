//! Settings of the reducer.

use crate::Policy;
use rw_types::BootId;

/// What a node knows of itself and the limits it decides by. Times in milliseconds.
#[derive(Debug, Clone)]
pub struct CoreSettings {
    /// Name of this VM in the platform's list.
    pub vm: String,
    /// Random number of this boot.
    pub boot: BootId,
    /// Data centre of this VM.
    pub centre: String,
    /// Seed of the routing picks.
    pub seed: u64,
    /// Most dispatches of one idempotent request.
    pub max_attempts: u32,
    /// Time to come back that refusals name when nothing better is known.
    pub retry_ms: u64,
    /// How long a target that failed gets no new work.
    pub cooldown_ms: u64,
    /// Most retries in a row without a success.
    pub max_retries: u32,
    /// How long ends of claims that the table may not have are kept.
    pub unsettled_ttl_ms: u64,
    /// How long after it was minted a ticket may be used.
    pub ticket_ttl_ms: u64,
    /// How long a body that crashed its targets is refused.
    pub poison_ttl_ms: u64,
    /// Decisions in force.
    pub policy: Policy,
    /// How long a lease runs from before its renewal was sent.
    pub lease_ms: u64,
    /// Most by which the clocks of two VMs drift apart within one lease.
    pub drift_ms: u64,
    /// Longest life of an order on its way to its target.
    pub order_ttl_ms: u64,
    /// Age from which a report is no longer planned on.
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
            cooldown_ms: 1_000,
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
