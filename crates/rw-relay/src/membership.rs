//! The nodes of the fleet.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A node as it registered itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// VM name.
    pub vm: String,
    /// Address for calls.
    pub calls: SocketAddr,
    /// Address for digests.
    pub digests: SocketAddr,
}

/// All nodes known, this one included, sorted by name.
#[derive(Debug, Clone, Default)]
pub struct Peers {
    list: Vec<Peer>,
}

impl Peers {
    /// Adds a node, or takes over its new addresses.
    pub fn upsert(&mut self, peer: Peer) {
        match self.list.binary_search_by(|p| p.vm.cmp(&peer.vm)) {
            Ok(i) => self.list[i] = peer,
            Err(i) => self.list.insert(i, peer),
        }
    }

    /// All nodes.
    #[must_use]
    pub fn all(&self) -> &[Peer] {
        &self.list
    }
}
