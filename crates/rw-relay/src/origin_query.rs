//! Queries for the origin of a stream.

use rw_gate::StreamId;

/// Which nodes are queried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum QueryScope {
    /// A few nodes, among them a listener of every other node.
    Sources,
    /// The other nodes: so many may have stopped that no queried listener has kept what it heard.
    Others,
}

/// A query to other nodes.
#[derive(Debug, Clone, Copy)]
pub(crate) struct OriginQuery {
    pub(crate) stream: StreamId,
    pub(crate) scope: QueryScope,
}
