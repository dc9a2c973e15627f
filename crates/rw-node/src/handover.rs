//! Writes the handover of a stopping process to the object store: the states of its used tickets.

use crate::Shell;
use rw_core::{Handover, handover_key};
use smol::Timer;
use std::time::Duration;

/// Maximum number of attempts to write the handover before the process ends without it.
const MAX_HANDOVER_ATTEMPTS: u32 = 5;
/// Pause between attempts.
const HANDOVER_RETRY_PAUSE: Duration = Duration::from_millis(300);

impl Shell {
    /// Writes the states of all used tickets as one object.
    pub(crate) async fn write_handover(&self) {
        let handover = self.lock().handover(self.now());
        let Ok(bytes) = serde_json::to_vec(&handover) else {
            return;
        };
        let key = handover_key(&self.settings.vm, self.core.boot);
        for _ in 0..MAX_HANDOVER_ATTEMPTS {
            if self.platform.put_object(&key, bytes.clone()).await.is_ok() {
                return;
            }
            Timer::after(HANDOVER_RETRY_PAUSE).await;
        }
        log::warn!(
            "handover of tickets not written after {MAX_HANDOVER_ATTEMPTS} attempts; retries of their requests will be refused with outcome unknown"
        );
    }

    pub(crate) async fn read_handover(&self, key: &str) -> Option<Handover> {
        let bytes = self.platform.object(key).await.ok()??;
        serde_json::from_slice(&bytes).ok()
    }
}
