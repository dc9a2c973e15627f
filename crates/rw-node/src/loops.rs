//! Polls the load of engines.

use crate::{Shell, notices::says_leaving};
use rw_core::{Event, TargetState};
use rw_http::{Method, Pooling, Request, SendError, Url, spawn};
use rw_types::{LoadReport, TargetKind};
use std::{sync::Arc, time::Duration};

/// Minimum pause between two polls, which bounds their bandwidth and CPU time.
const MIN_POLL_GAP: Duration = Duration::from_millis(50);
/// Pause between rounds while the node polls at most one engine.
const IDLE_PAUSE: Duration = Duration::from_millis(50);

impl Shell {
    /// Reads the load of every watched or leased engine until the process ends, with the reads
    /// spread evenly over the poll interval.
    pub(crate) async fn poll_loads(self: Arc<Self>) {
        loop {
            let engines = self.watched_engines();
            let count = engines.len().max(1) as u32;
            let gap = (self.settings.load_poll_interval / count).max(MIN_POLL_GAP);
            for (name, addr) in engines {
                spawn(self.clone().poll_load(name, addr)).detach();
                smol::Timer::after(gap).await;
            }
            if count == 1 {
                // Also limits the rate of the loop while no engine is polled.
                smol::Timer::after(gap.min(IDLE_PAUSE)).await;
            }
        }
    }

    /// Returns name and address of each engine that this node routes to or holds the lease of.
    fn watched_engines(&self) -> Vec<(String, String)> {
        let node = self.lock();
        let held: Vec<_> = node
            .held_groups(self.now())
            .map(|(group, _)| group)
            .collect();
        let leased = |t: &TargetState| held.binary_search(&t.spec.lease_group()).is_ok();
        let targets = node.targets().all().iter();
        let engines = targets.filter(|t| t.spec.kind == TargetKind::Engine);
        let engines = engines.filter(|t| t.watched || leased(t));
        let pairs = engines.map(|t| (t.spec.name.clone(), t.spec.addr.clone()));
        pairs.collect()
    }

    async fn poll_load(self: Arc<Self>, target: String, addr: String) {
        if let Ok(Some(report)) = self.read_load(&addr).await {
            self.step(Event::Reported { target, report });
        }
    }

    /// Reads the load of the engine at `addr`; `None` if it is leaving, so that its load matters no
    /// more.
    async fn read_load(&self, addr: &str) -> Result<Option<LoadReport>, SendError> {
        let url = Url::parse(&format!("http://{addr}/load")).map_err(|_| SendError::InvalidAddr)?;
        let request = Request::new(Method::Get, url);
        let timeout = self.settings.load_poll_interval;
        let response = self
            .client
            .send(addr, request, Pooling::Reuse, timeout)
            .await?;
        if says_leaving(&response) {
            self.notice(addr, &response);
            return Ok(None);
        }
        let body = response.bytes(timeout).await?;
        let report = serde_json::from_slice(&body).map_err(|_| SendError::Broken)?;
        Ok(Some(report))
    }
}
