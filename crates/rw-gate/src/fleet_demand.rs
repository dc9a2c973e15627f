//! Demand of all nodes, as reported to the leader.

use crate::{DemandReport, Work};
use rw_types::Millis;
use std::collections::VecDeque;

/// Interval between samples of the demand, in milliseconds.
const SAMPLE_INTERVAL_MS: u64 = 1_000;
/// Age from which a node's report is not used, in milliseconds.
const REPORT_TIMEOUT_MS: u64 = 3_000;
/// Silence after which a node that has reported counts as stopped, in milliseconds.
const STOPPED_MS: u64 = 10_000;
/// Fraction of the nodes that must report for the demand to be known.
const MIN_COVERAGE: f64 = 0.5;
/// Samples that are kept, one a second: long enough to contain the high part of a swing of demand.
const MAX_SAMPLES: usize = 18;
/// Rank from the top of the sample that counts as the high part of the swing, when all samples are
/// there. A single burst is left out.
const HIGH_RANK: usize = 1;

/// Latest report of a node.
#[derive(Debug, Clone)]
struct NodeReport {
    vm: String,
    at: Millis,
    services: Vec<DemandReport>,
}

/// Samples of one service, the oldest first.
#[derive(Debug, Clone)]
struct Series {
    service: String,
    samples: VecDeque<Work>,
    /// Samples in a row with calls, up to now.
    busy: u32,
}

/// Reports of the nodes, and the demand of the last seconds by service.
#[derive(Debug, Clone, Default)]
pub(crate) struct FleetDemand {
    /// Sorted by VM name.
    reports: Vec<NodeReport>,
    /// Sorted by service.
    series: Vec<Series>,
    sampled_at: Option<Millis>,
    /// Time of the latest sample for which enough nodes had reported.
    known_at: Option<Millis>,
    /// Nodes that reported in time for the latest sample, and nodes that should have.
    coverage: (usize, usize),
}

impl FleetDemand {
    /// Replaces what a node reported before.
    pub(crate) fn receive(&mut self, now: Millis, vm: &str, services: &[DemandReport]) {
        let report = NodeReport {
            vm: vm.to_owned(),
            at: now,
            services: services.to_vec(),
        };
        match self.reports.binary_search_by(|r| r.vm.as_str().cmp(vm)) {
            Ok(i) => self.reports[i] = report,
            Err(i) => self.reports.insert(i, report),
        }
    }

    /// Takes a sample if one is due; `nodes` are the nodes of the fleet. Returns whether it did.
    pub(crate) fn sample(&mut self, now: Millis, nodes: usize) -> bool {
        let last = self.sampled_at;
        if last.is_some_and(|at| now.since(at) < SAMPLE_INTERVAL_MS) {
            return false;
        }
        if self.known_at.is_some_and(|at| now.since(at) > STOPPED_MS) {
            // The process was suspended, another node was the leader, or too few nodes reported.
            self.series.clear();
        }
        self.sampled_at = Some(now);
        let age = |r: &NodeReport| now.since(r.at);
        let heard = self.reports.iter().filter(|r| age(r) < REPORT_TIMEOUT_MS);
        let heard = heard.count();
        let stopped = self.reports.iter().filter(|r| age(r) > STOPPED_MS).count();
        let known = nodes.saturating_sub(stopped).max(heard);
        self.coverage = (heard, known);
        if (heard as f64) < known as f64 * MIN_COVERAGE || heard == 0 {
            return false;
        }
        self.known_at = Some(now);
        let factor = known as f64 / heard as f64;
        for (service, work) in self.sums(now, factor) {
            self.push(service, work);
        }
        true
    }

    /// Sums of the reports by service, times `factor` for the nodes that did not report.
    fn sums(&self, now: Millis, factor: f64) -> Vec<(String, Work)> {
        let mut sums: Vec<(String, Work)> = Vec::new();
        let recent = self.reports.iter();
        let recent = recent.filter(|r| now.since(r.at) < REPORT_TIMEOUT_MS);
        for report in recent.flat_map(|r| &r.services) {
            let found = sums.binary_search_by(|(name, _)| name.cmp(&report.service));
            let i = found.unwrap_or_else(|i| {
                sums.insert(i, (report.service.clone(), Work::default()));
                i
            });
            let work = &mut sums[i].1;
            work.calls += f64::from(report.calls) / 1e3 * factor;
            work.prefill += f64::from(report.prefill_ms) / 1e3 * factor;
            work.streams += f64::from(report.streams) / 1e3 * factor;
            work.tokens += report.tokens as f64 * factor;
            work.refused += f64::from(report.refused) / 1e3 * factor;
            work.running += f64::from(report.running) * factor;
        }
        sums
    }

    fn push(&mut self, service: String, work: Work) {
        let found = self.series.binary_search_by(|s| s.service.cmp(&service));
        let i = found.unwrap_or_else(|i| {
            let new = Series {
                service,
                samples: VecDeque::new(),
                busy: 0,
            };
            self.series.insert(i, new);
            i
        });
        let series = &mut self.series[i];
        series.busy = match work.calls > 0.0 {
            true => series.busy.saturating_add(1),
            false => 0,
        };
        if series.samples.len() == MAX_SAMPLES {
            series.samples.pop_front();
        }
        series.samples.push_back(work);
    }

    /// Nodes whose reports the latest sample contains, and nodes that should have reported.
    pub(crate) fn coverage(&self) -> (usize, usize) {
        self.coverage
    }

    /// Demand of a service over the last seconds; `None` while it isn't known.
    pub(crate) fn demand(&self, now: Millis, service: &str) -> Option<ServiceDemand<'_>> {
        self.known_at
            .filter(|at| now.since(*at) < REPORT_TIMEOUT_MS)?;
        let found = self
            .series
            .binary_search_by(|s| s.service.as_str().cmp(service));
        found.ok().map(|i| ServiceDemand {
            series: &self.series[i],
        })
    }
}

/// Demand of one service.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ServiceDemand<'a> {
    series: &'a Series,
}

impl ServiceDemand<'_> {
    /// Seconds in a row with calls, up to now.
    pub(crate) fn busy_s(&self) -> u32 {
        self.series.busy
    }

    /// Fraction of a wave of demand that was seen with calls, up to 1.
    pub(crate) fn seen_fraction(&self) -> f64 {
        (f64::from(self.series.busy) / MAX_SAMPLES as f64).min(1.0)
    }

    /// The latest sample.
    pub(crate) fn latest(&self) -> Work {
        self.series.samples.back().copied().unwrap_or_default()
    }

    /// The high part of the recent values of `size`.
    pub(crate) fn high(&self, size: impl Fn(&Work) -> f64) -> f64 {
        let mut sizes: Vec<f64> = self.series.samples.iter().map(size).collect();
        sizes.sort_by(|a, b| b.total_cmp(a));
        let rank = match sizes.len() {
            MAX_SAMPLES => HIGH_RANK,
            _ => 0,
        };
        sizes.get(rank).copied().unwrap_or_default()
    }

    /// Mean of the samples with calls.
    pub(crate) fn mean(&self) -> Work {
        let busy = || self.series.samples.iter().filter(|w| w.calls > 0.0);
        let n = busy().count().max(1) as f64;
        busy().fold(Work::default(), |sum, w| Work {
            calls: sum.calls + w.calls / n,
            prefill: sum.prefill + w.prefill / n,
            streams: sum.streams + w.streams / n,
            tokens: sum.tokens + w.tokens / n,
            refused: sum.refused + w.refused / n,
            running: sum.running + w.running / n,
        })
    }
}
