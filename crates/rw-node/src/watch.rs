//! Watches a target that sends nothing: a probe on a new connection distinguishes a lost
//! connection from a slow target.

use crate::Shell;
use rw_http::{Method, Pooling, Request, SendError, Url};
use rw_types::LoadReport;
use smol::{Timer, future, pin};
use std::{
    future::Future,
    time::{Duration, Instant},
};

/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Maximum number of probes that find out whether a target has terminated.
const MAX_PROBES: u32 = 10;
/// Pause between these probes.
const PROBE_PAUSE: Duration = Duration::from_millis(50);

/// What the node is waiting for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Wait {
    /// The first byte, which may be delayed by queued prompts.
    FirstByte,
    /// The next token.
    NextToken,
}

impl Shell {
    /// Waits for `work` of the target at `addr` until the target can no longer be assumed to be
    /// running it.
    pub(crate) async fn watch<T>(
        &self,
        addr: &str,
        wait: Wait,
        work: impl Future<Output = Result<T, SendError>>,
    ) -> Result<T, SendError> {
        let probe_delay = match wait {
            Wait::FirstByte => self.settings.first_byte_timeout,
            Wait::NextToken => self.settings.token_timeout,
        };
        let deadline = Instant::now() + self.settings.read_timeout;
        pin!(work);
        loop {
            let done = future::or(async { Some(work.as_mut().await) }, async {
                Timer::after(probe_delay).await;
                None
            });
            if let Some(done) = done.await {
                return done;
            }
            let probe = self.probe(addr).await;
            let queued = probe.is_ok_and(|load| load.queued > 0);
            if wait == Wait::NextToken || !queued || Instant::now() >= deadline {
                self.client.close_idle(addr);
                return Err(SendError::TimedOut);
            }
        }
    }

    /// Whether the target at `addr` has terminated: nothing listens there any more.
    ///
    /// A process that terminates closes its connections before its listener, and the system accepts
    /// new ones until then. So a probe whose connection breaks is repeated.
    pub(crate) async fn has_terminated(&self, addr: &str) -> bool {
        for _ in 0..MAX_PROBES {
            match self.probe(addr).await {
                Err(SendError::NotSent) => return true,
                Err(SendError::Broken | SendError::Truncated) => {}
                Ok(_) | Err(_) => return false,
            }
            Timer::after(PROBE_PAUSE).await;
        }
        false
    }

    async fn probe(&self, addr: &str) -> Result<LoadReport, SendError> {
        let url = Url::parse(&format!("http://{addr}/load")).map_err(|_| SendError::InvalidAddr)?;
        let request = Request::new(Method::Get, url);
        let sent = self
            .client
            .send(addr, request, Pooling::Fresh, PROBE_TIMEOUT);
        let body = sent.await?.bytes(PROBE_TIMEOUT).await?;
        serde_json::from_slice(&body).map_err(|_| SendError::Broken)
    }
}
