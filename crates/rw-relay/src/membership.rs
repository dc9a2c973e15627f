//! The nodes of the fleet.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Bytes per second in digests for a node that states no limit: with the feeds of the store, it
/// stays within 23 KB/s for control.
pub const DEFAULT_DIGEST_BYTES_PER_S: u32 = 18_000;

/// A node, as registered by itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// VM name.
    pub vm: String,
    /// Address for calls from peers.
    pub calls: SocketAddr,
    /// UDP address for digests.
    pub digests: SocketAddr,
    /// Maximum number of bytes per second that it sends and receives in digests.
    #[serde(default = "default_digest_bytes_per_s")]
    pub digest_bytes_per_s: u32,
}

fn default_digest_bytes_per_s() -> u32 {
    DEFAULT_DIGEST_BYTES_PER_S
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
