//! The burn report: counts responses, merges the reports of peers and updates the metrics.

use crate::{
    Shell,
    burn::{BurnCause, BurnCounters, BurnReport, WINDOWS, burn_rate},
    history::unix_now,
};
use futures_util::{StreamExt as _, stream};
use rw_core::{Call, Operation};
use std::{
    sync::{MutexGuard, PoisonError},
    time::Duration,
};

/// Burn rate in the short window above which an objective counts as burning fast.
const FAST_BURN_RATE: f64 = 14.0;
/// Minimum number of responses in the short window for its rate to be significant.
const MIN_RESPONSES: u64 = 20;
/// Timeout of fetching a peer's report.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of concurrent calls to peers.
const MAX_CONCURRENT: usize = 32;

impl Shell {
    /// Locks the counters.
    pub(crate) fn burn(&self) -> MutexGuard<'_, BurnCounters> {
        self.burn.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the seconds since the process started, by its monotonic clock.
    fn seconds(&self) -> u64 {
        self.now().0 / 1_000
    }

    /// Counts the final response to a call; a good one after its deadline counts as late.
    pub(crate) fn count_burn(&self, call: &Call, cause: BurnCause) {
        let late = cause == BurnCause::Good && self.now() > call.deadline;
        let cause = if late { BurnCause::Late } else { cause };
        let seconds = self.seconds();
        let mut burn = self.burn();
        let service = match &call.operation {
            Operation::Generate { model, .. } => burn.service_of(model).to_owned(),
            Operation::Service { name, .. } => name.clone(),
        };
        burn.count(seconds, &service, &call.kind, cause);
        drop(burn);
        let labels = [service.as_str(), &call.kind, cause.as_str()];
        self.metrics.burn_responses.with_label_values(&labels).inc();
    }

    /// Records a state change of this VM.
    pub(crate) fn record_state(&self, description: String) {
        let vm = &self.settings.vm;
        self.burn().record_state(unix_now(), vm, description);
    }

    /// Returns the report of this VM.
    pub(crate) fn burn_report(&self) -> BurnReport {
        let seconds = self.seconds();
        let burn = self.burn();
        BurnReport {
            counts: burn.counts(seconds),
            states: burn.states(),
        }
    }

    /// Returns the merged report of this VM and of all listed peers that respond in time.
    pub(crate) async fn fleet_burn(&self) -> BurnReport {
        let peers = self.listed_peers();
        let queries = stream::iter(peers).map(|vm| async move {
            let call = self.call_peer::<_, BurnReport>(&vm.peer, "burn", &(), PEER_TIMEOUT);
            call.await.unwrap_or_default()
        });
        let mut all = self.burn_report();
        let reports: Vec<_> = queries.buffer_unordered(MAX_CONCURRENT).collect().await;
        reports.into_iter().for_each(|report| all.merge(report));
        all
    }

    /// Whether any objective is burning fast on this VM.
    pub(crate) fn is_burning_fast(&self) -> bool {
        let config = self.config();
        let counts = self.burn().counts(self.seconds());
        counts.iter().any(|c| {
            let [short, _] = &c.windows;
            let kind = config.kind(&c.kind);
            let rate = kind.map_or(0.0, |k| burn_rate(short, k.objective));
            short.iter().sum::<u64>() >= MIN_RESPONSES && rate > FAST_BURN_RATE
        })
    }

    /// Updates the burn rate gauges from the counts of this VM.
    pub(crate) fn update_burn_gauges(&self) {
        let config = self.config();
        for counts in self.burn_report().counts {
            let Some(kind) = config.kind(&counts.kind) else {
                continue;
            };
            for (window, sums) in WINDOWS.iter().zip(&counts.windows) {
                let labels = [counts.service.as_str(), &counts.kind, window];
                let rate = burn_rate(sums, kind.objective);
                self.metrics.burn_rate.with_label_values(&labels).set(rate);
            }
        }
    }
}
