//! Work that a scheduler has placed on a target for another node.

use crate::PrefillSize;
use rw_types::Millis;

/// A place on a target that was granted to a call of another node.
#[derive(Debug, Clone, PartialEq)]
pub struct Reservation {
    /// VM of the node.
    pub vm: String,
    /// Identifier of the call at that node.
    pub id: u64,
    /// Tokens that it holds in the KV cache of the target.
    pub tokens: u64,
    /// Time at which it expires unless its end is reported before.
    pub until: Millis,
    /// Priority; zero is the most urgent.
    pub priority: u8,
    /// Prefill work.
    pub size: PrefillSize,
    /// Whether no other prefill was queued on the target.
    pub queue_empty: bool,
    /// Expected milliseconds until the prompt is prefilled.
    pub expected_ms: f64,
}
