//! What engines say of themselves.

use crate::Role;
use serde::{Deserialize, Serialize};

/// A load report; it lags behind the truth.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Prompt tokens waiting for prefill.
    pub queued: u64,
    /// Streams in decode.
    pub running: u32,
    /// Streams the engine takes at most.
    pub slots: u32,
    /// KV cache pieces that streams hold, of about a thousand tokens each.
    #[serde(rename = "pieces")]
    pub blocks: u32,
    /// KV cache pieces in all; zero if the engine can't tell.
    #[serde(default, rename = "pieces_max")]
    pub max_blocks: u32,
    /// Role in force.
    pub role: Role,
    /// Models held, sorted.
    pub models: Vec<String>,
    /// Prefill speed, tokens a second.
    pub prefill_rate: u64,
    /// Decode speed, tokens a second for one stream.
    pub decode_rate: u64,
    /// Age of the report when it was sent, in milliseconds.
    pub age_ms: u64,
    /// Whether it takes no new streams because of an order.
    #[serde(default)]
    pub draining: bool,
    /// Versions and adapters held, sorted by model; models it can't tell of are left out.
    #[serde(default, rename = "loads")]
    pub loaded: Vec<LoadedModel>,
    /// Mean time that a stream holds its slot, in milliseconds.
    #[serde(default)]
    pub slot_ms: u64,
    /// What an iteration costs.
    #[serde(default)]
    pub costs: IterationCosts,
    /// What the engine takes in each role; empty if it can't tell.
    #[serde(default)]
    pub limits: Vec<RoleLimit>,
    /// Work that waits or is in prefill, by priority, highest first.
    #[serde(default)]
    pub backlog: Vec<Backlog>,
    /// Latest changes of the prefix cache, oldest first; late and with gaps.
    #[serde(default)]
    pub cache: Vec<CacheEvent>,
}

/// One model as an engine holds it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedModel {
    /// Model name.
    pub model: String,
    /// Version of the weights.
    pub version: String,
    /// Adapters beside the weights.
    pub adapters: Vec<String>,
}

/// What one iteration of an engine costs, in microseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct IterationCosts {
    /// Fixed time.
    pub base_us: f64,
    /// Each prompt token.
    pub token_us: f64,
    /// Each decoding stream.
    pub stream_us: f64,
}

/// What an engine takes in a role.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoleLimit {
    /// Role.
    pub role: Role,
    /// Streams at once.
    pub slots: u32,
    /// Prompt tokens in one iteration.
    pub chunk: u64,
}

/// Work of one priority that has no first token yet.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backlog {
    /// Higher goes first.
    pub priority: u8,
    /// Prompt tokens that are not cached.
    pub tokens: u64,
    /// Streams that wait for a slot.
    pub streams: u32,
    /// KV cache pieces that they will hold.
    #[serde(default, rename = "pieces")]
    pub blocks: u32,
}

/// A change of an engine's prefix cache; events come late and with gaps.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number at the engine; a gap means that events were lost.
    pub seq: u64,
    /// Hash of the prefix up to and including the piece.
    #[serde(rename = "piece")]
    pub block: u64,
    /// Whether the piece was stored; otherwise it was evicted.
    pub stored: bool,
}
