//! Memory of the software versions at which resumable streams began.
//!
//! Targets of several versions may serve side by side, and what they write doesn't fit together, so
//! that a stream may go on only at the version that began it. A caller may take it up at any node, also
//! after the node where it began is gone and another version has come. So each node publishes the
//! origins of its streams at once, whether or not there are several versions.

use crate::{OriginReport, SoftwareId, StreamId};
use rw_types::Millis;
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of streams remembered; those updated longest ago go first.
const MAX_STREAMS: usize = 32_768;
/// Maximum number of streams that wait to be published.
const MAX_DUE: usize = 1_024;
/// Number of streams that go at once.
const EVICTED_STREAMS: usize = MAX_STREAMS / 8;

/// Where one stream began.
#[derive(Debug, Clone, Copy)]
struct Origin {
    software: SoftwareId,
    updated_at: Millis,
}

/// Origins of recent streams. A tree, as streams come by the hundred a second, in no order.
#[derive(Debug, Clone, Default)]
pub(crate) struct StreamOrigins {
    origins: BTreeMap<StreamId, Origin>,
    /// Streams of this node that are to be published, the oldest first.
    due: VecDeque<StreamId>,
}

impl StreamOrigins {
    /// Records a stream that began or went on at this node.
    pub(crate) fn record(&mut self, now: Millis, stream: StreamId, software: SoftwareId) {
        let origin = Origin {
            software,
            updated_at: now,
        };
        self.insert(stream, origin);
        if !self.due.contains(&stream) {
            self.due.push_back(stream);
        }
        if self.due.len() > MAX_DUE {
            self.due.pop_front();
        }
    }

    /// Records what another node knows.
    pub(crate) fn merge(&mut self, now: Millis, report: &OriginReport) {
        let origin = Origin {
            software: report.software,
            updated_at: now,
        };
        report.streams.iter().for_each(|s| self.insert(*s, origin));
    }

    /// The version at which a stream began, if it is known.
    pub(crate) fn find(&self, stream: StreamId) -> Option<SoftwareId> {
        Some(self.origins.get(&stream)?.software)
    }

    /// Forgets streams that began or were resumed longer than `ttl_ms` ago.
    pub(crate) fn prune(&mut self, now: Millis, ttl_ms: u64) {
        self.origins.retain(|_, o| now.since(o.updated_at) < ttl_ms);
    }

    /// The streams of this node that are not published yet, at most `max`.
    pub(crate) fn take_reports(&mut self, max: usize) -> Vec<OriginReport> {
        let taken: Vec<StreamId> = self.due.drain(..self.due.len().min(max)).collect();
        self.answer(&taken)
    }

    /// What is known of `streams`.
    pub(crate) fn answer(&self, streams: &[StreamId]) -> Vec<OriginReport> {
        let known = streams.iter().filter_map(|s| Some((self.find(*s)?, *s)));
        group(known)
    }

    fn insert(&mut self, stream: StreamId, origin: Origin) {
        self.origins.insert(stream, origin);
        if self.origins.len() > MAX_STREAMS {
            self.evict();
        }
    }

    fn evict(&mut self) {
        let mut times: Vec<Millis> = self.origins.values().map(|o| o.updated_at).collect();
        let (_, last, _) = times.select_nth_unstable(EVICTED_STREAMS);
        let last = *last;
        self.origins.retain(|_, o| o.updated_at > last);
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
