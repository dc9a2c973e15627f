//! Telling peers which bodies crash their targets.

use crate::Shell;
use rw_core::{Event, Suspect};
use std::{sync::Arc, time::Duration};

/// Longest wait for peers before the next dispatch of a suspect.
const SHARE_TIMEOUT: Duration = Duration::from_millis(500);

impl Shell {
    /// Tells all peers what this node knows of suspects, takes over what they know, and waits
    /// until all have answered or the limit is over.
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

    /// Takes over what a peer knows of suspects and returns what this node knows.
    pub(crate) fn exchange_suspects(&self, received: Vec<Suspect>) -> Vec<Suspect> {
        self.step(Event::SuspectsRead(received));
        self.lock().suspects(self.now())
    }
}
