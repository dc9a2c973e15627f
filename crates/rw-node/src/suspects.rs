//! Exchanges suspect requests with peers: requests that crashed their targets.

use crate::Shell;
use rw_core::{Event, Suspect};
use std::{sync::Arc, time::Duration};

/// Timeout of each exchange that a suspect request waits for before its next dispatch.
const SHARE_TIMEOUT: Duration = Duration::from_millis(500);

impl Shell {
    /// Exchanges suspect requests with all peers, and returns when all have responded or timed out.
    pub(crate) async fn share_suspects(self: &Arc<Self>) {
        let (own, peers) = {
            let node = self.lock();
            let others = node.members().all().iter();
            let others = others.filter(|vm| vm.name != self.settings.vm);
            let peers: Vec<_> = others.map(|vm| vm.peer.clone()).collect();
            (Arc::new(node.suspects(self.now())), peers)
        };
        let calls: Vec<_> = peers
            .into_iter()
            .map(|peer| {
                let (shell, own) = (self.clone(), own.clone());
                rw_http::spawn(async move {
                    let called =
                        shell.call_peer_with_retry(&peer, "suspects", &*own, SHARE_TIMEOUT);
                    if let Ok(received) = called.await {
                        shell.step(Event::SuspectsRead(received));
                    }
                })
            })
            .collect();
        for call in calls {
            call.await;
        }
    }

    /// Merges the suspect requests of a peer and returns those known to this node.
    pub(crate) fn exchange_suspects(&self, received: Vec<Suspect>) -> Vec<Suspect> {
        self.step(Event::SuspectsRead(received));
        self.lock().suspects(self.now())
    }
}
