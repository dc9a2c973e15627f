//! Source of routes, targets and peers.

use crate::{BootClock, Peer};
use async_channel::{Receiver, Sender};
use rw_gate::{Event, RecordRequest, Routing, StoredUsage, TargetSpec};
use serde::{Deserialize, Serialize};
use std::{cell::Cell, future::Future, rc::Rc, sync::Arc};

/// An update from a registry.
#[derive(Debug)]
pub enum RegistryUpdate {
    /// An event for the gate.
    Event(Box<Event>),
    /// A row that does not describe a target was skipped.
    RowSkipped,
    /// The registered nodes, including this one.
    Peers(Vec<Peer>),
}

/// State that a node hands to another one that starts while the store is unavailable.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Snapshot {
    /// Routing configuration in force.
    pub routing: Arc<Routing>,
    /// Known targets.
    pub targets: Vec<TargetSpec>,
    /// Known nodes.
    pub peers: Vec<Peer>,
    /// Suspect requests: calls whose targets crashed.
    pub suspects: Vec<rw_types::Suspect>,
    /// Parts of prompts under which targets crashed.
    #[serde(default)]
    pub parts: Vec<rw_gate::PartReport>,
    /// Targets that have said that they are leaving.
    #[serde(default)]
    pub leaving: Vec<rw_gate::TargetIncarnation>,
    /// Targets whose processes have ended while their entries remain.
    #[serde(default)]
    pub ended: Vec<rw_gate::TargetIncarnation>,
    /// Targets whose processes are known to be those of their entries; older builds state none.
    #[serde(default)]
    pub proved: Vec<rw_gate::TargetIncarnation>,
    /// Rate limits that targets have named.
    #[serde(default)]
    pub limits: Vec<rw_gate::LimitReport>,
    /// Highest fencing token that the node knows; 0 if it knows none.
    #[serde(default)]
    pub token: u64,
}

/// What a node wants of the record of usage reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UsageRequest {
    /// Read it; ends with [`Event::UsageRead`].
    Read,
    /// Replace it if its row has this version; ends with [`Event::UsageWritten`].
    Write(StoredUsage),
}

/// What a node wants from a registry.
#[derive(Debug)]
pub struct RegistryRequests {
    /// Requests for the lease on the duties of the fleet, each with the highest fencing token that this
    /// node knows. The one that is granted must be higher.
    pub leases: Receiver<u64>,
    /// Records of software versions to keep. Each replaces the previous record of its service if the
    /// latest read of the records is the one on which the request is based, and no other node has
    /// written since. Otherwise, the registry reads the records again.
    pub records: Receiver<RecordRequest>,
    /// Requests to read the changes of targets now.
    pub refreshes: Receiver<()>,
    /// Clock of the node, by which the registry dates confirmations of the configuration and of the
    /// targets.
    pub clock: BootClock,
    /// Age that a confirmation of the configuration must not reach, in milliseconds; `None` if it may
    /// have any age.
    pub max_config_age_ms: Rc<Cell<Option<u64>>>,
    /// Reads and writes of the record of usage reports.
    pub usage: Receiver<UsageRequest>,
}

/// The platform's registry of routes, targets and nodes.
pub trait Registry: 'static {
    /// Registers this node as `me`, sends all changes to `updates`, and carries out `requests`,
    /// until the future is dropped.
    fn watch(
        self,
        me: Peer,
        updates: Sender<RegistryUpdate>,
        requests: RegistryRequests,
    ) -> impl Future<Output = ()>;
}
