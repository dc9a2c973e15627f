//! The nodes of the fleet.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Bytes per second in digests for a node that states no limit: with the feeds of the store, it
/// stays within 23 KB/s for control.
pub const DEFAULT_DIGEST_BYTES_PER_S: u32 = 18_000;

/// Minimum number of nodes that are queried, because some may have stopped.
const MIN_SOURCES: usize = 4;

/// A node, as registered by itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// VM name.
    pub vm: String,
    /// Data centre; empty if it isn't known.
    #[serde(default)]
    pub centre: String,
    /// Address for calls from peers.
    pub calls: SocketAddr,
    /// UDP address for digests. At the same address, the node accepts calls of other nodes over TCP.
    pub digests: SocketAddr,
    /// Maximum number of bytes per second that it sends and receives in digests.
    #[serde(default = "default_digest_bytes_per_s")]
    pub digest_bytes_per_s: u32,
    /// Whether it understands placement requests.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub schedules: bool,
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

    /// The nodes that `vm` sends its digests to, at most `fanout`: those that follow it in the order
    /// of names, so that each node receives as many digests as it sends.
    #[must_use]
    pub fn listeners(&self, vm: &str, fanout: usize) -> Vec<Peer> {
        let start = self.list.partition_point(|p| p.vm.as_str() <= vm);
        let following = self.list[start..].iter().chain(&self.list[..start]);
        let others = following.filter(|p| p.vm != vm);
        others.take(fanout).cloned().collect()
    }

    /// The nodes that `vm` queries for what any node has published: at least four, if there are as
    /// many, and among them a listener of every other node.
    #[must_use]
    pub fn sources(&self, vm: &str, fanout: usize) -> Vec<Peer> {
        let others: Vec<&Peer> = self.list.iter().filter(|p| p.vm != vm).collect();
        let step = (others.len() / MIN_SOURCES).clamp(1, (fanout / 2).max(1));
        others.into_iter().step_by(step).cloned().collect()
    }

    /// The nodes that [`Peers::sources`] leaves out, at most `max`, which begin at a different node for
    /// each `vm`. One of them may be the only listener that is left, if many nodes stop at once.
    #[must_use]
    pub fn other_sources(&self, vm: &str, fanout: usize, max: usize) -> Vec<Peer> {
        let sources = self.sources(vm, fanout);
        let start = self.list.partition_point(|p| p.vm.as_str() <= vm);
        let following = self.list[start..].iter().chain(&self.list[..start]);
        let is_source = |p: &Peer| sources.binary_search_by(|s| s.vm.cmp(&p.vm)).is_ok();
        let others = following.filter(|p| p.vm != vm && !is_source(p));
        others.take(max).cloned().collect()
    }

    /// The node with this VM name.
    #[must_use]
    pub fn find(&self, vm: &str) -> Option<&Peer> {
        let i = self.list.binary_search_by(|p| p.vm.as_str().cmp(vm)).ok()?;
        Some(&self.list[i])
    }

    /// All known nodes, sorted by VM name.
    #[must_use]
    pub fn all(&self) -> &[Peer] {
        &self.list
    }
}
