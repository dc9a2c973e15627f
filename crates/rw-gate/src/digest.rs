//! Digests that nodes exchange.
//!
//! Reports and jobs are serialized as arrays without field names, because every node sends them to
//! several others many times a second.

use crate::{
    DemandReport, HistoryReport, OriginReport, PrefillJob, ShareReport, SpeedReport, StreamId,
    TargetIncarnation,
};
use rw_types::{RequestRate, Role, Suspect};
use serde::{Deserialize, Serialize};

/// Time for which a report about a target is valid, in milliseconds, unless a newer one replaces
/// it. It is longer than two intervals between repetitions, so that one lost digest does no harm.
pub(crate) const REPORT_TTL_MS: u64 = 3_500;

/// Maximum number of nodes that a digest is sent to. In a larger fleet, a node receives digests from
/// as many others.
pub const DIGEST_FANOUT: usize = 16;

/// Serialized form of a [`WorkReport`], its fields in order.
type ReportFields = (String, Vec<PrefillJob>, u32, u64, Option<RoleChange>);

/// Serialized form of a [`CacheInsert`], its fields in order.
type InsertFields = (String, Vec<(u32, u32)>);

/// What one node reports about one target. A report without any work withdraws the previous one.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "ReportFields", into = "ReportFields")]
pub struct WorkReport {
    /// Target name.
    pub target: String,
    /// Prefills of the node that are queued or running there.
    pub prefills: Vec<PrefillJob>,
    /// Number of its generations that are open there.
    pub calls: u32,
    /// Tokens that they hold in the KV cache.
    pub tokens: u64,
    /// Role change under way, if any.
    pub role_change: Option<RoleChange>,
}

impl From<ReportFields> for WorkReport {
    fn from((target, prefills, calls, tokens, role_change): ReportFields) -> Self {
        Self {
            target,
            prefills,
            calls,
            tokens,
            role_change,
        }
    }
}

impl From<WorkReport> for ReportFields {
    fn from(r: WorkReport) -> Self {
        (r.target, r.prefills, r.calls, r.tokens, r.role_change)
    }
}

impl WorkReport {
    /// Whether there is nothing to report.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.prefills.is_empty() && self.calls == 0 && self.role_change.is_none()
    }

    /// Whether both reports describe the same work, whatever its age.
    pub(crate) fn has_same_work(&self, other: &Self) -> bool {
        let role = |r: &Self| r.role_change.map(|c| c.role);
        let ids = |r: &Self| r.prefills.iter().map(|j| j.id).collect::<Vec<_>>();
        (self.calls, self.tokens, role(self)) == (other.calls, other.tokens, role(other))
            && ids(self) == ids(other)
    }
}

/// A prompt that a target has received, and now holds in its prefix cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "InsertFields", into = "InsertFields")]
pub struct CacheInsert {
    /// Target name.
    pub target: String,
    /// For each segment, the hash of the prefix that ends with it and the tokens of the segment.
    pub prefix_hashes: Vec<(u32, u32)>,
}

impl From<InsertFields> for CacheInsert {
    fn from((target, prefix_hashes): InsertFields) -> Self {
        Self {
            target,
            prefix_hashes,
        }
    }
}

impl From<CacheInsert> for InsertFields {
    fn from(insert: CacheInsert) -> Self {
        (insert.target, insert.prefix_hashes)
    }
}

/// Serialized form of a [`PartReport`], its fields in order.
type PartFields = (u64, Vec<u32>, u64);

/// What a node knows of a part of prompts: the crashes under it or, if there are none, that a call
/// with it completed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "PartFields", into = "PartFields")]
pub struct PartReport {
    /// Identifier of the part.
    pub part: u64,
    /// Identifiers of the crashes since the latest completed call, the oldest first.
    pub crashes: Vec<u32>,
    /// Time since the latest crash, or since the completed call, in milliseconds.
    pub age_ms: u64,
}

impl From<PartFields> for PartReport {
    fn from((part, crashes, age_ms): PartFields) -> Self {
        Self {
            part,
            crashes,
            age_ms,
        }
    }
}

impl From<PartReport> for PartFields {
    fn from(report: PartReport) -> Self {
        (report.part, report.crashes, report.age_ms)
    }
}

/// Serialized form of a [`LimitReport`], its fields in order.
type LimitFields = (TargetIncarnation, Option<RequestRate>, u64);

/// What a target has said about its rate limit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "LimitFields", into = "LimitFields")]
pub struct LimitReport {
    /// The target.
    pub target: TargetIncarnation,
    /// Requests that it takes from all nodes together; `None` if it has withdrawn its limit.
    pub rate: Option<RequestRate>,
    /// Time since it said so, in milliseconds.
    pub age_ms: u64,
}

impl From<LimitFields> for LimitReport {
    fn from((target, rate, age_ms): LimitFields) -> Self {
        Self {
            target,
            rate,
            age_ms,
        }
    }
}

impl From<LimitReport> for LimitFields {
    fn from(report: LimitReport) -> Self {
        (report.target, report.rate, report.age_ms)
    }
}

/// A role change of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoleChange {
    /// The new role. A target that already has this role has completed the change.
    pub role: Role,
    /// Maximum number of milliseconds until the target is available again.
    pub left_ms: u64,
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}

fn is_false(flag: &bool) -> bool {
    !flag
}

/// What one node publishes to the others. It is bounded: what doesn't fit follows in the next
/// digests.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// VM of the node.
    pub vm: String,
    /// Version of its configuration.
    pub version: u64,
    /// Milliseconds for which the node has reached the store without interruption; zero if it does
    /// not reach it.
    #[serde(rename = "reach_ms")]
    pub connected_ms: u64,
    /// Highest fencing token that the node was granted, about once a second; 0 if none is stated.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub token: u64,
    /// Whether the node leaves the duties of the fleet to others, because it does not reach the
    /// platform's API.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub leaves_duties: bool,
    /// Services of which the node reaches no target, sorted.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub unreachable: Vec<String>,
    /// Whether the node doesn't know which keys of client accounts are valid, so that it refuses calls
    /// which other nodes can serve.
    #[serde(default, skip_serializing_if = "is_false")]
    pub lacks_keys: bool,
    /// Reports that have changed or are due to be repeated; the others stay valid.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub reports: Vec<WorkReport>,
    /// Prompts sent to targets that no earlier digest contained.
    #[serde(rename = "read", default, skip_serializing_if = "Vec::is_empty")]
    pub cache_inserts: Vec<CacheInsert>,
    /// Requests that crashed their targets.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub suspects: Vec<Suspect>,
    /// Parts of prompts under which targets crashed, and those that were cleared since.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub parts: Vec<PartReport>,
    /// Targets that have said that they are leaving.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub leaving: Vec<TargetIncarnation>,
    /// Targets whose processes have ended, so that others may run at their addresses.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub ended: Vec<TargetIncarnation>,
    /// Rate limits that targets have named or withdrawn.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub limits: Vec<LimitReport>,
    /// Speed of targets that differ clearly from the others of their service.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub speeds: Vec<SpeedReport>,
    /// Where streams began.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub origins: Vec<OriginReport>,
    /// Streams whose origins the node queries.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub asks: Vec<StreamId>,
    /// With such a query, when it was sent, in milliseconds by the clock of the node that sent it; its
    /// answer says the same.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub asked_ms: Option<u64>,
    /// Versions of the targets' software that the node has seen, with an answer to such a query; without
    /// one, only those of services with several versions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub history: Option<HistoryReport>,
    /// Recent engine time of the node's client accounts.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub shares: Option<ShareReport>,
    /// Demand that arrives at the node, by service; about once a second where the leader needs it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub demand: Vec<DemandReport>,
}
