//! Software versions that the targets of each service have had lately.

use crate::{SoftwareId, VersionRecord, known_span::KnownSpan};
use rw_types::Millis;
use serde::{Deserialize, Serialize};

/// Age from which the registry or other nodes are asked whether there are other versions by now, in
/// milliseconds. All streams that are taken up within it need one question.
const FRESH_MS: u64 = 300;
/// Age from which knowledge of the versions isn't relied on, in milliseconds, if nobody answers. It is
/// shorter than [`SETTLE_MS`] by more than clocks differ.
pub(crate) const MAX_AGE_MS: u64 = 900;
/// Time for which a new version gets streams only if no other can, in milliseconds, so that by then no
/// node relies on knowledge from the time before it came.
const SETTLE_MS: u64 = 1_000;
/// Maximum time for which a node counts as having known all versions, in milliseconds. Callers take up no
/// stream that began earlier.
const MAX_KNOWN_MS: u64 = 86_400_000;
/// Interval at which other nodes are told of services with several versions, in milliseconds, since a
/// digest may be lost. A new version is told at once.
const TELL_INTERVAL_MS: u64 = 1_000;
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

impl SeenSoftware {
    fn report(&self, now: Millis) -> SeenVersion {
        SeenVersion {
            service: self.service.clone(),
            version: self.version.clone(),
            age_ms: now.since(self.last_seen),
        }
    }
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
    /// Milliseconds since it knew all versions that there were; `None` if it never did, or if the node
    /// doesn't tell.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub age_ms: Option<u64>,
    /// The versions.
    pub seen: Vec<SeenVersion>,
}

/// Versions by service, sorted by service and version.
#[derive(Debug, Clone, Default)]
pub(crate) struct SoftwareHistory {
    seen: Vec<SeenSoftware>,
    /// Time for which all versions are known.
    known: Option<KnownSpan>,
    /// The same before versions may have been missed.
    known_before: Option<KnownSpan>,
    /// Time since which this node knows all versions by the registry's records, in milliseconds of this
    /// process's clock; `None` if they have not been read since this node reached the registry.
    recorded_since_ms: Option<i64>,
    /// Time at which the versions of all targets are recorded next.
    next_observation: Millis,
    /// When other nodes were last told of services with several versions.
    told_at: Option<Millis>,
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

    /// Records what the registry keeps about versions that streams may have begun at. It has all of the last
    /// `confirmed_ms`, and all that this node has missed since it knew them.
    pub(crate) fn merge_records(
        &mut self,
        now: Millis,
        records: &[VersionRecord],
        confirmed_ms: u64,
    ) {
        for record in records {
            for version in &record.versions {
                self.observe(now, &record.service, version);
            }
        }
        let confirmed = KnownSpan::ending(now, now, confirmed_ms.min(MAX_KNOWN_MS));
        let since_ms = confirmed.since_ms();
        let since_ms = self
            .known_before
            .map_or(since_ms, |k| since_ms.min(k.since_ms()));
        self.recorded_since_ms = Some(since_ms);
        if let Some(known) = &mut self.known {
            known.extend_back(since_ms);
        }
    }

    /// Whether the registry's records have been read since this node reached the registry.
    pub(crate) fn has_records(&self) -> bool {
        self.recorded_since_ms.is_some()
    }

    /// What the registry is to keep about a service: the versions seen within `ttl_ms`; `None` before
    /// its records have been read.
    pub(crate) fn record(&self, now: Millis, service: &str, ttl_ms: u64) -> Option<VersionRecord> {
        let seen = self.recent(now, ttl_ms);
        let versions = seen.filter(|s| s.service == service);
        self.has_records().then(|| VersionRecord {
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

    /// Records that all versions are known that there were at the time `at`, and none was missed since
    /// the call before.
    pub(crate) fn confirm(&mut self, at: Millis) {
        let mut span = KnownSpan::ending(at, at, 0);
        if let Some(since_ms) = self.recorded_since_ms {
            span.extend_back(since_ms);
        }
        match &mut self.known {
            Some(known) => known.extend(at),
            None => self.known = Some(span),
        }
    }

    /// Records that versions may have been missed until now, and may be until the records are read
    /// again.
    pub(crate) fn restart(&mut self) {
        let spans = [self.known.take(), self.known_before];
        self.known_before = spans.into_iter().flatten().min_by_key(|k| k.since_ms());
        self.recorded_since_ms = None;
    }

    /// Forgets what was last seen longer than `ttl_ms` ago.
    pub(crate) fn prune(&mut self, now: Millis, ttl_ms: u64) {
        self.seen.retain(|s| now.since(s.last_seen) < ttl_ms);
    }

    /// The only version that targets of a service have had for `window_ms`, as far as is known; `None`
    /// if there were several, or if older ones may have been missed.
    pub(crate) fn only_version(
        &self,
        now: Millis,
        service: &str,
        window_ms: u64,
    ) -> Option<SoftwareId> {
        if self.observed_ms(now) < window_ms {
            return None;
        }
        let mut versions = self.recent(now, window_ms).filter(|s| s.service == service);
        let only = versions.next()?;
        let id = SoftwareId::of(service, &only.version);
        versions.next().is_none().then_some(id)
    }

    /// Whether all versions are known at which streams can have begun by now.
    pub(crate) fn is_current(&self, now: Millis) -> bool {
        self.known.is_some_and(|k| k.age_ms(now) < MAX_AGE_MS)
    }

    /// Whether all versions are known that there are now, so that nobody needs to be asked.
    pub(crate) fn is_fresh(&self, now: Millis) -> bool {
        self.known.is_some_and(|k| k.age_ms(now) < FRESH_MS)
    }

    /// Whether several versions of a service are known within `window_ms`.
    pub(crate) fn is_mixed(&self, now: Millis, service: &str, window_ms: u64) -> bool {
        let versions = self.recent(now, window_ms);
        versions.filter(|s| s.service == service).count() > 1
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
        let seen = self.seen.iter().map(|s| s.report(now));
        HistoryReport {
            observed_ms: self.observed_ms(now),
            age_ms: self.known.map(|k| k.age_ms(now)),
            seen: seen.collect(),
        }
    }

    /// The versions of the services that have had several within `ttl_ms`, if other nodes are to be told
    /// now. They count as told.
    pub(crate) fn take_news(&mut self, now: Millis, ttl_ms: u64) -> Option<HistoryReport> {
        let is_mixed = |s: &&SeenSoftware| self.is_mixed(now, &s.service, ttl_ms);
        let told = self.recent(now, ttl_ms).filter(is_mixed);
        let newest = told.clone().map(|s| s.first_seen).max()?;
        let is_told = |at: Millis| at > newest && now.since(at) < TELL_INTERVAL_MS;
        if self.told_at.is_some_and(is_told) {
            return None;
        }
        let report = HistoryReport {
            observed_ms: 0,
            age_ms: None,
            seen: told.map(|s| s.report(now)).collect(),
        };
        self.told_at = Some(now);
        Some(report)
    }

    /// Records what another node has seen; `asked_at` is the time of the question that it answers. The
    /// answer may have waited anywhere since, so that it shows nothing of the time after the question.
    pub(crate) fn merge(&mut self, now: Millis, report: &HistoryReport, asked_at: Option<Millis>) {
        for seen in &report.seen {
            let at = Millis(now.0.saturating_sub(seen.age_ms));
            self.observe(at, &seen.service, &seen.version);
        }
        let (Some(asked_at), Some(age_ms)) = (asked_at, report.age_ms) else {
            return;
        };
        if asked_at <= now && age_ms <= asked_at.0 {
            let until = Millis(asked_at.0 - age_ms);
            let told = KnownSpan::ending(until, now, report.observed_ms.min(MAX_KNOWN_MS));
            self.known = Some(self.known.map_or(told, |own| own.union(told)));
        }
    }

    /// Milliseconds for which all versions are known and recorded; `None` if they are not, or if the records
    /// have not been read since this node reached the registry.
    pub(crate) fn recorded_ms(&self, now: Millis) -> Option<u64> {
        let known = self.known.filter(|_| self.has_records())?;
        Some(known.observed_ms(now))
    }

    /// Milliseconds for which all versions are known.
    fn observed_ms(&self, now: Millis) -> u64 {
        self.known.map_or(0, |k| k.observed_ms(now))
    }

    fn recent(&self, now: Millis, window_ms: u64) -> impl Iterator<Item = &SeenSoftware> + Clone {
        let seen = self.seen.iter();
        seen.filter(move |s| now.since(s.last_seen) < window_ms)
    }
}
