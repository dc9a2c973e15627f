//! What a process leaves behind of its tickets, in the object store.

use crate::Shell;
use rw_core::{Handover, handover_key};
use smol::Timer;
use std::time::Duration;

/// Tries to leave the tickets behind before the process ends without.
const HANDOVER_ATTEMPTS: u32 = 5;
/// Pause between tries.
const HANDOVER_RETRY_PAUSE: Duration = Duration::from_millis(300);

impl Shell {
    /// Leaves the ended runs of tickets behind; one write, whatever their number.
    pub(crate) async fn write_handover(&self) {
        let handover = self.lock().handover(self.now());
        let Ok(bytes) = serde_json::to_vec(&handover) else {
            return;
        };
        let key = handover_key(&self.settings.vm, self.core.boot);
        for _ in 0..HANDOVER_ATTEMPTS {
            if self.platform.put_object(&key, bytes.clone()).await.is_ok() {
                return;
            }
            Timer::after(HANDOVER_RETRY_PAUSE).await;
        }
        log::warn!("tickets not left behind; resends of them will be told that they may have run");
    }

    pub(crate) async fn read_handover(&self, key: &str) -> Option<Handover> {
        let bytes = self.platform.object(key).await.ok()??;
        serde_json::from_slice(&bytes).ok()
    }
}
