//! What a node reads again and again.

use crate::Shell;
use rw_core::Event;
use rw_http::{Method, Pooling, Request, SendError, Url, spawn};
use rw_platform::{PlatformError, VmList as _, read_config, read_head};
use rw_types::{LoadReport, TargetKind};
use std::{sync::Arc, time::Duration};

/// Shortest pause between two polls, which bounds their bytes and their part of the core.
const MIN_GAP: Duration = Duration::from_millis(30);
/// Pause of a node that watches no engine.
const EMPTY_PAUSE: Duration = Duration::from_millis(50);

impl Shell {
    /// Reads the configuration's head and the VM list, forever.
    pub(crate) async fn poll_platform(self: Arc<Self>) {
        loop {
            let read = self.read_platform().await;
            let end = if read.is_ok() { "ok" } else { "failed" };
            self.metrics
                .platform
                .with_label_values(&["poll", end])
                .inc();
            smol::Timer::after(self.settings.poll).await;
        }
    }

    async fn read_platform(&self) -> Result<(), PlatformError> {
        let (head, _) = read_head(&self.platform).await?;
        if head > self.config().version
            && let Some(config) = read_config(&self.platform, head).await?
        {
            self.apply_config(config);
        }
        let vms = self.platform.vms().await?;
        self.step(Event::VmsRead(vms));
        Ok(())
    }

    /// Reads the load of every engine watched, forever, spread evenly over the pause.
    pub(crate) async fn poll_loads(self: Arc<Self>) {
        loop {
            let engines = self.watched_engines();
            let count = engines.len().max(1) as u32;
            let gap = (self.settings.report_poll / count).max(MIN_GAP);
            for (name, addr) in engines {
                spawn(self.clone().poll_load(name, addr)).detach();
                smol::Timer::after(gap).await;
            }
            if count == 1 {
                // Also the pace of a node that watches nothing yet.
                smol::Timer::after(gap.min(EMPTY_PAUSE)).await;
            }
        }
    }

    /// Name and address of each engine watched.
    fn watched_engines(&self) -> Vec<(String, String)> {
        let node = self.lock();
        let targets = node.targets().all().iter();
        let engines = targets.filter(|t| t.watched && t.spec.kind == TargetKind::Engine);
        let pairs = engines.map(|t| (t.spec.name.clone(), t.spec.addr.clone()));
        pairs.collect()
    }

    async fn poll_load(self: Arc<Self>, target: String, addr: String) {
        if let Ok(report) = self.read_load(&addr).await {
            self.step(Event::Reported { target, report });
        }
    }

    async fn read_load(&self, addr: &str) -> Result<LoadReport, SendError> {
        let url = Url::parse(&format!("http://{addr}/load")).map_err(|_| SendError::BadAddr)?;
        let request = Request::new(Method::Get, url);
        let limit = self.settings.report_poll;
        let reply = self
            .client
            .send(addr, request, Pooling::Reuse, limit)
            .await?;
        let body = reply.bytes(limit).await?;
        serde_json::from_slice(&body).map_err(|_| SendError::Broken)
    }
}
