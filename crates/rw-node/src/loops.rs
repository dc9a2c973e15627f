//! What a node reads again and again.

use crate::Shell;
use rw_core::Event;
use rw_http::{Method, Pooling, Request, SendError, Url, spawn};
use rw_types::{LoadReport, TargetKind};
use std::sync::Arc;

impl Shell {
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
