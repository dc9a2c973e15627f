//! Telling peers which bodies crash their targets.

use crate::Shell;
use rw_core::{Event, Suspect};
use std::{sync::Arc, time::Duration};

/// Longest wait for peers before the next dispatch of a suspect.
const SHARE_LIMIT: Duration = Duration::from_millis(500);

impl Shell {
    /// Tells all peers what this node knows of suspects, takes over what they know, and waits
    /// until all have answered or the limit is over.
    pub(crate) async fn share_suspects(self: &Arc<Self>) {
        let (mine, peers) = {
            let node = self.lock();
            let others = node.members().all().iter();
            let others = others.filter(|vm| vm.name != self.settings.vm);
            let peers: Vec<_> = others.map(|vm| vm.peer.clone()).collect();
            (Arc::new(node.suspects(self.now())), peers)
        };
        let calls: Vec<_> = peers
            .into_iter()
            .map(|peer| {
                let (shell, mine) = (self.clone(), mine.clone());
                rw_http::spawn(async move {
                    let called = shell.ask_peer(&peer, "suspects", &*mine, SHARE_LIMIT);
                    if let Ok(theirs) = called.await {
                        shell.step(Event::SuspectsRead(theirs));
                    }
                })
            })
            .collect();
        for call in calls {
            call.await;
        }
    }

    /// Takes over what a peer knows of suspects and returns what this node knows.
    pub(crate) fn swap_suspects(&self, theirs: Vec<Suspect>) -> Vec<Suspect> {
        self.step(Event::SuspectsRead(theirs));
        self.lock().suspects(self.now())
    }
}
