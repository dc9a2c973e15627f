//! Load reports of engines.

use crate::Role;
use serde::{Deserialize, Serialize};

/// The load of an engine, as reported by it. A report is always somewhat out of date.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Prompt tokens waiting for prefill.
    pub queued: u64,
    /// Streams that are being decoded.
    pub running: u32,
    /// Maximum number of concurrent streams.
    pub slots: u32,
    /// KV cache blocks in use by streams, of about a thousand tokens each.
    #[serde(rename = "pieces")]
    pub blocks: u32,
    /// Size of the KV cache in blocks; zero if the engine does not report it.
    #[serde(default, rename = "pieces_max")]
    pub max_blocks: u32,
    /// Current role.
    pub role: Role,
    /// Names of the loaded models, sorted.
    pub models: Vec<String>,
    /// Prefill rate in tokens per second.
    pub prefill_rate: u64,
    /// Decode rate of one stream in tokens per second.
    pub decode_rate: u64,
    /// Age of the report at the time of sending, in milliseconds.
    pub age_ms: u64,
    /// Whether an order keeps the engine from accepting new streams.
    #[serde(default)]
    pub draining: bool,
    /// Versions and adapters of the loaded models, sorted by model; models for which the engine
    /// does not report them are left out.
    #[serde(default, rename = "loads")]
    pub loaded: Vec<LoadedModel>,
    /// Mean time that a stream occupies its slot, in milliseconds.
    #[serde(default)]
    pub slot_ms: u64,
    /// Costs of one engine iteration.
    #[serde(default)]
    pub costs: IterationCosts,
    /// Limits in each role; empty if the engine does not report them.
    #[serde(default)]
    pub limits: Vec<RoleLimit>,
    /// Streams that wait or are in prefill, by priority, highest first.
    #[serde(default)]
    pub backlog: Vec<Backlog>,
    /// Most recent changes of the prefix cache, oldest first. Events may be late or missing.
    #[serde(default)]
    pub cache: Vec<CacheEvent>,
}

/// A model that is loaded on an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedModel {
    /// Model name.
    pub model: String,
    /// Version of the weights.
    pub version: String,
    /// Loaded adapters.
    pub adapters: Vec<String>,
}

/// Duration of one engine iteration, in microseconds: a fixed part and a part for each item.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct IterationCosts {
    /// Fixed duration of an iteration.
    pub base_us: f64,
    /// Additional duration for each prompt token.
    pub token_us: f64,
    /// Additional duration for each stream in decode.
    pub stream_us: f64,
}

/// Limits of an engine in one role.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoleLimit {
    /// Role that the limits apply to.
    pub role: Role,
    /// Maximum number of concurrent streams.
    pub slots: u32,
    /// Maximum number of prompt tokens in one iteration.
    pub chunk: u64,
}

/// Work of one priority that has not produced its first token yet.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backlog {
    /// Scheduling priority; higher values go first.
    pub priority: u8,
    /// Prompt tokens left to prefill, without cached ones.
    pub tokens: u64,
    /// Streams that wait for a slot.
    pub streams: u32,
    /// KV cache blocks that the waiting streams will use.
    #[serde(default, rename = "pieces")]
    pub blocks: u32,
}

/// A change of an engine's prefix cache. Events may arrive late or be lost.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number assigned by the engine; a gap means that events were lost.
    pub seq: u64,
    /// Hash of the prefix up to and including the block.
    #[serde(rename = "piece")]
    pub block: u64,
    /// Whether the block was stored; otherwise it was evicted.
    pub stored: bool,
}
