//! The nodes of the fleet.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A node, as registered by itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// VM name.
    pub vm: String,
    /// Address for calls from peers.
    pub calls: SocketAddr,
    /// UDP address for digests.
    pub digests: SocketAddr,
}

/// All known nodes, including this one, sorted by VM name.
#[derive(Debug, Clone, Default)]
pub struct Peers {
    list: Vec<Peer>,
}

impl Peers {
    /// Adds a node, or replaces the addresses of a known one.
    pub fn upsert(&mut self, peer: Peer) {
        match self.list.binary_search_by(|p| p.vm.cmp(&peer.vm)) {
            Ok(i) => self.list[i] = peer,
            Err(i) => self.list.insert(i, peer),
        }
    }

    /// All known nodes, sorted by VM name.
    #[must_use]
    pub fn all(&self) -> &[Peer] {
        &self.list
    }
}
