//! Software versions that the targets of each service have had lately.

use crate::{SoftwareId, VersionRecord, stream_origin::ServiceId};
use rw_types::Millis;
use serde::{Deserialize, Serialize};

/// Time for which a report of another node counts as current, in milliseconds.
const CONFIRMED_MS: u64 = 300;
/// Time for which a new version gets streams only if no other can, in milliseconds, so that by then
/// all nodes that reach the registry know of it. It is longer than changes take to reach them and
/// [`CONFIRMED_MS`] together.
const SETTLE_MS: u64 = 1_000;
/// Time for which a node counts as having known all versions after it has read the registry's
/// records, in milliseconds. Callers take up no stream that began earlier.
const RECORDED_MS: u64 = 86_400_000;
/// Interval at which the versions of all targets are recorded, in milliseconds.
const OBSERVE_INTERVAL_MS: u64 = 1_000;

/// A version that a service has had.
#[derive(Debug, Clone)]
struct SeenSoftware {
    service: String,
    version: String,
    first_seen: Millis,
    last_seen: Millis,
}

/// A version that a service has had, in a report to another node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeenVersion {
    /// Name of the service.
    pub service: String,
    /// Name of the version.
    pub version: String,
    /// Milliseconds since it was last seen.
    pub age_ms: u64,
}

/// Versions that a node has seen, as reported to another node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryReport {
    /// Milliseconds for which the node has seen all versions.
    pub observed_ms: u64,
    /// The versions.
    pub seen: Vec<SeenVersion>,
}

/// Versions by service, sorted by service and version.
#[derive(Debug, Clone, Default)]
pub(crate) struct SoftwareHistory {
    seen: Vec<SeenSoftware>,
    /// Time from which all versions are known, in milliseconds since this process started. It is
    /// negative if other nodes know them for longer.
    since_ms: Option<i64>,
    /// Time of the latest report from a node that reaches the registry.
    confirmed_at: Option<Millis>,
    /// Whether the registry's records have been read.
    has_records: bool,
    /// Time at which the versions of all targets are recorded next.
    next_observation: Millis,
}

impl SoftwareHistory {
    /// Records that a target of `service` has this version at the time `at`.
    pub(crate) fn observe(&mut self, at: Millis, service: &str, version: &str) {
        let found = self.seen.binary_search_by(|s| {
            (s.service.as_str(), s.version.as_str()).cmp(&(service, version))
        });
        match found {
            Ok(i) => self.seen[i].last_seen = self.seen[i].last_seen.max(at),
            Err(i) => self.seen.insert(
                i,
                SeenSoftware {
                    service: service.to_owned(),
                    version: version.to_owned(),
                    first_seen: at,
                    last_seen: at,
                },
            ),
        }
    }

    /// Records what the registry keeps about all versions that streams may have begun at.
    pub(crate) fn merge_records(&mut self, now: Millis, records: &[VersionRecord]) {
        for record in records {
            for version in &record.versions {
                self.observe(now, &record.service, version);
            }
        }
        self.merge_since(now, RECORDED_MS);
        self.has_records = true;
    }

    /// Whether the registry's records have been read since this node reached the registry.
    pub(crate) fn has_records(&self) -> bool {
        self.has_records
    }

    /// What the registry is to keep about a service: the versions seen within `ttl_ms`; `None` before
    /// its records have been read.
    pub(crate) fn record(&self, now: Millis, service: &str, ttl_ms: u64) -> Option<VersionRecord> {
        let seen = self.recent(now, ttl_ms);
        let versions = seen.filter(|s| s.service == service);
        self.has_records.then(|| VersionRecord {
            service: service.to_owned(),
            versions: versions.map(|s| s.version.clone()).collect(),
        })
    }

    /// Whether a version is so new that other nodes may not know of it, beside one that they know.
    pub(crate) fn is_settling(&self, now: Millis, service: &str, version: &str) -> bool {
        let found = self.seen.iter().filter(|s| s.service == service);
        let first = found.clone().map(|s| s.first_seen).min();
        let mut this = found.filter(|s| s.version == version);
        this.next().is_some_and(|s| {
            now.since(s.first_seen) < SETTLE_MS && first.is_some_and(|first| first < s.first_seen)
        })
    }

    /// Records that from now on all versions are seen.
    pub(crate) fn start(&mut self, now: Millis) {
        self.since_ms.get_or_insert(now.0 as i64);
    }

    /// Records that versions may have been missed until now, and may be until the records are read
    /// again.
    pub(crate) fn restart(&mut self, now: Millis) {
        self.since_ms = Some(now.0 as i64);
        self.has_records = false;
    }

    /// Forgets what was last seen longer than `ttl_ms` ago.
    pub(crate) fn prune(&mut self, now: Millis, ttl_ms: u64) {
        self.seen.retain(|s| now.since(s.last_seen) < ttl_ms);
    }

    /// The only version that targets of a service have had for `window_ms`; `None` if there were
    /// several, or if this node can't know. `is_current` says whether this node's own knowledge is
    /// up to date.
    pub(crate) fn only_version(
        &self,
        now: Millis,
        service: &str,
        window_ms: u64,
        is_current: bool,
    ) -> Option<SoftwareId> {
        let is_confirmed = self
            .confirmed_at
            .is_some_and(|at| now.since(at) < CONFIRMED_MS);
        if !(is_current || is_confirmed) || self.observed_ms(now) < window_ms {
            return None;
        }
        let mut versions = self.recent(now, window_ms).filter(|s| s.service == service);
        let only = versions.next()?;
        let id = SoftwareId::of(service, &only.version);
        versions.next().is_none().then_some(id)
    }

    /// Whether all versions are known that there were within `ttl_ms`.
    pub(crate) fn is_complete(&self, now: Millis, ttl_ms: u64) -> bool {
        self.observed_ms(now) >= ttl_ms
    }

    /// The services whose targets have had several versions within `ttl_ms`.
    pub(crate) fn mixed_services(&self, now: Millis, ttl_ms: u64) -> Vec<ServiceId> {
        let names: Vec<&str> = self
            .recent(now, ttl_ms)
            .map(|s| s.service.as_str())
            .collect();
        let repeated = names.windows(2).filter(|pair| pair[0] == pair[1]);
        repeated.map(|pair| ServiceId::of_name(pair[0])).collect()
    }

    /// Whether the versions of all targets are to be recorded again.
    pub(crate) fn is_due(&mut self, now: Millis) -> bool {
        let is_due = now >= self.next_observation;
        if is_due {
            self.next_observation = now.plus(OBSERVE_INTERVAL_MS);
        }
        is_due
    }

    /// What this node has seen, for another node.
    pub(crate) fn report(&self, now: Millis) -> HistoryReport {
        let seen = self.seen.iter().map(|s| SeenVersion {
            service: s.service.clone(),
            version: s.version.clone(),
            age_ms: now.since(s.last_seen),
        });
        HistoryReport {
            observed_ms: self.observed_ms(now),
            seen: seen.collect(),
        }
    }

    /// Records what another node has seen.
    pub(crate) fn merge(&mut self, now: Millis, report: &HistoryReport) {
        for seen in &report.seen {
            let at = Millis(now.0.saturating_sub(seen.age_ms));
            self.observe(at, &seen.service, &seen.version);
        }
        self.merge_since(now, report.observed_ms);
    }

    fn merge_since(&mut self, now: Millis, observed_ms: u64) {
        let since_ms = now.0 as i64 - observed_ms.min(RECORDED_MS) as i64;
        self.since_ms = Some(self.since_ms.map_or(since_ms, |own| own.min(since_ms)));
    }

    /// Records that a report of a node that reaches the registry was merged.
    pub(crate) fn confirm(&mut self, now: Millis) {
        self.confirmed_at = Some(now);
    }

    /// Milliseconds for which all versions are known.
    fn observed_ms(&self, now: Millis) -> u64 {
        let since_ms = self.since_ms.unwrap_or(now.0 as i64);
        u64::try_from(now.0 as i64 - since_ms).unwrap_or_default()
    }

    fn recent(&self, now: Millis, window_ms: u64) -> impl Iterator<Item = &SeenSoftware> {
        let seen = self.seen.iter();
        seen.filter(move |s| now.since(s.last_seen) < window_ms)
    }
}
