//! Placement of calls by schedulers, in fleets in which digests reach only some of the nodes.
//!
//! The engines of a service form groups ([`EngineGroups`]). One node, the scheduler of a group, places
//! the prompts of all nodes there, so that it knows the queues and the prefix caches of its engines
//! at the moment of choosing. [`Schedulers`] ranks the nodes for each group. A node without an answer
//! in time places the call by its own estimate.

mod engine_groups;
mod messages;
mod placement_flow;
mod reservation;
mod scheduler_flow;
mod schedulers;

pub use messages::{
    Bound, PlacementGrant, PlacementOutcome, PlacementReply, PlacementRequest, SchedulerMessage,
    WorkEnd,
};
pub use reservation::Reservation;
pub use schedulers::{PLACEMENT_TIMEOUT_MS, SchedulerNode};

pub(crate) use engine_groups::EngineGroups;
pub(crate) use placement_flow::Placing;
pub(crate) use schedulers::Schedulers;

use crate::TargetLoad;

/// State of placement by schedulers on one node.
#[derive(Debug, Clone, Default)]
pub(crate) struct Scheduling {
    /// Nodes that can be schedulers.
    pub(crate) schedulers: Schedulers,
    /// Groups of engines.
    pub(crate) groups: EngineGroups,
    /// Ended work to be reported, with the VM of its scheduler.
    pub(crate) ends: Vec<(String, WorkEnd)>,
}

impl Scheduling {
    /// Queues the report of ended work for the scheduler `vm`.
    pub(crate) fn push_end(&mut self, vm: &str, end: WorkEnd) {
        self.ends.push((vm.to_owned(), end));
    }

    /// Removes the waiting reports for the scheduler `vm`.
    pub(crate) fn take_ends(&mut self, vm: &str) -> Vec<WorkEnd> {
        let of_vm = self.ends.extract_if(.., |(to, _)| to == vm);
        of_vm.map(|(_, end)| end).collect()
    }
}

/// Serialized form of a [`TargetLoad`] in messages between nodes: running, waiting and slots.
pub(crate) type LoadFields = (u32, u32, u32);

pub(crate) fn load_fields(load: TargetLoad) -> LoadFields {
    (load.running, load.waiting, load.slots)
}

pub(crate) fn load_of((running, waiting, slots): LoadFields) -> TargetLoad {
    TargetLoad {
        running,
        waiting,
        slots,
        pace: None,
    }
}
