//! Memory of the software versions at which resumable streams began.
//!
//! Targets of several versions may serve side by side, and what they write doesn't fit together, so
//! that a stream may go on only at the version that began it. A caller may take it up at any node.

use crate::{OriginReport, SoftwareId, StreamId, stream_origin::ServiceId};
use rw_types::Millis;

/// Maximum number of streams remembered; those updated longest ago go first.
const MAX_STREAMS: usize = 32_768;

/// Where one stream began.
#[derive(Debug, Clone, Copy)]
struct OriginEntry {
    stream: StreamId,
    software: SoftwareId,
    /// Set until it is published: the service of a stream of this node.
    unpublished: Option<ServiceId>,
    updated_at: Millis,
}

/// Origins of recent streams, sorted by identifier.
#[derive(Debug, Clone, Default)]
pub(crate) struct StreamOrigins {
    entries: Vec<OriginEntry>,
}

impl StreamOrigins {
    /// Records a stream that began or went on at this node.
    pub(crate) fn record(
        &mut self,
        now: Millis,
        stream: StreamId,
        software: SoftwareId,
        service: ServiceId,
    ) {
        self.insert(OriginEntry {
            stream,
            software,
            unpublished: Some(service),
            updated_at: now,
        });
    }

    /// Records what another node knows.
    pub(crate) fn merge(&mut self, now: Millis, report: &OriginReport) {
        for stream in &report.streams {
            self.insert(OriginEntry {
                stream: *stream,
                software: report.software,
                unpublished: None,
                updated_at: now,
            });
        }
    }

    /// The version at which a stream began, if it is known.
    pub(crate) fn find(&self, stream: StreamId) -> Option<SoftwareId> {
        Some(self.entries[self.index(stream).ok()?].software)
    }

    /// Forgets streams that began or were resumed longer than `ttl_ms` ago.
    pub(crate) fn prune(&mut self, now: Millis, ttl_ms: u64) {
        self.entries.retain(|e| now.since(e.updated_at) < ttl_ms);
    }

    /// The streams of this node that are not published yet, at most `max`, of `services` or of all
    /// services.
    pub(crate) fn take_reports(
        &mut self,
        max: usize,
        services: Option<&[ServiceId]>,
    ) -> Vec<OriginReport> {
        let due = self.entries.iter_mut();
        let is_wanted = |service| services.is_none_or(|all| all.contains(&service));
        let due = due.filter(|e| e.unpublished.is_some_and(is_wanted));
        let taken = due.take(max).map(|e| {
            e.unpublished = None;
            (e.software, e.stream)
        });
        group(taken)
    }

    /// What is known of `streams`.
    pub(crate) fn answer(&self, streams: &[StreamId]) -> Vec<OriginReport> {
        let known = streams.iter().filter_map(|s| Some((self.find(*s)?, *s)));
        group(known)
    }

    fn insert(&mut self, entry: OriginEntry) {
        match self.index(entry.stream) {
            Ok(i) => self.entries[i] = entry,
            Err(i) => {
                self.entries.insert(i, entry);
                self.evict();
            }
        }
    }

    fn evict(&mut self) {
        if self.entries.len() <= MAX_STREAMS {
            return;
        }
        let entries = self.entries.iter().enumerate();
        let oldest = entries.min_by_key(|(_, e)| e.updated_at).map(|(i, _)| i);
        oldest.map(|i| self.entries.remove(i));
    }

    fn index(&self, stream: StreamId) -> Result<usize, usize> {
        self.entries.binary_search_by_key(&stream, |e| e.stream)
    }
}

/// Groups streams by the version at which they began.
fn group(streams: impl Iterator<Item = (SoftwareId, StreamId)>) -> Vec<OriginReport> {
    let mut reports: Vec<OriginReport> = Vec::new();
    for (software, stream) in streams {
        match reports.iter_mut().find(|r| r.software == software) {
            Some(report) => report.streams.push(stream),
            None => reports.push(OriginReport {
                software,
                streams: vec![stream],
            }),
        }
    }
    reports
}
