//! What a node reads again and again.

use crate::Shell;
use rw_core::Event;
use rw_http::{Method, Pooling, Request, SendError, Url, spawn};
use rw_platform::{PlatformError, VmList as _, read_config, read_head};
use rw_types::{LoadReport, TargetKind};
use std::sync::Arc;

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

    /// Reads every engine's load, forever.
    pub(crate) async fn poll_loads(self: Arc<Self>) {
        loop {
            let config = self.config();
            let engines = config
                .targets
                .iter()
                .filter(|t| t.kind == TargetKind::Engine);
            for target in engines {
                let shell = self.clone();
                let (name, addr) = (target.name.clone(), target.addr.clone());
                spawn(async move {
                    if let Ok(report) = shell.read_load(&addr).await {
                        shell.step(Event::Reported {
                            target: name,
                            report,
                        });
                    }
                })
                .detach();
            }
            smol::Timer::after(self.settings.report_poll).await;
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
