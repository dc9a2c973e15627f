//! State of a node, and the reducer's entry point [`Node::step`].

use crate::{
    Authority, ConfigSync, CoreSettings, Effect, Event, Members, ProposedOrder, Request,
    RetryBudget, Suspects, Targets, TicketRuns, Unsettled, admit::DecisionState,
    declared_roles::PendingRole,
};
use rw_types::{AttemptId, Config, Millis, RequestId};
use std::sync::Arc;

/// State of the reducer: all inputs of a node's decisions.
#[derive(Debug, Clone)]
pub struct Node {
    pub(crate) settings: CoreSettings,
    pub(crate) config: Arc<Config>,
    pub(crate) members: Members,
    pub(crate) targets: Targets,
    /// Open requests, sorted by id.
    pub(crate) requests: Vec<Request>,
    /// Orders proposed by the role planner, oldest first.
    pub(crate) proposals: Vec<ProposedOrder>,
    /// Role changes of the configuration that engines have not reported yet.
    pub(crate) pending_roles: Vec<PendingRole>,
    pub(crate) sync: ConfigSync,
    pub(crate) authority: Authority,
    /// Whether the process was told to stop: it reports not ready and releases its leases.
    pub(crate) shutting_down: bool,
    /// Whether new requests are refused, after the grace period for load balancers.
    pub(crate) closing: bool,
    pub(crate) unsettled: Unsettled,
    pub(crate) tickets: TicketRuns,
    pub(crate) suspects: Suspects,
    pub(crate) budget: RetryBudget,
    pub(crate) decisions: DecisionState,
    next_attempt: u64,
}

impl Node {
    /// Creates a node without configuration, targets or peers.
    #[must_use]
    pub fn new(settings: CoreSettings) -> Self {
        let budget = RetryBudget::new(settings.max_retries);
        let decisions = DecisionState::new(settings.seed);
        let sync = ConfigSync::new(settings.seed);
        Self {
            settings,
            config: Arc::default(),
            members: Members::default(),
            targets: Targets::default(),
            requests: Vec::new(),
            proposals: Vec::new(),
            pending_roles: Vec::new(),
            sync,
            authority: Authority::default(),
            shutting_down: false,
            closing: false,
            unsettled: Unsettled::default(),
            tickets: TicketRuns::default(),
            suspects: Suspects::default(),
            budget,
            decisions,
            next_attempt: 1,
        }
    }

    /// Applies one event at time `now` and returns the effects that the shell must carry out.
    pub fn step(&mut self, now: Millis, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        match event {
            Event::Arrived { id, call } => self.arrive(now, id, call, &mut effects),
            Event::ClaimResult { id, result } => {
                self.handle_claim_result(now, id, result, &mut effects)
            }
            Event::AttemptEnded {
                id,
                attempt,
                outcome,
            } => self.end_attempt(now, id, attempt, outcome, &mut effects),
            Event::CallerDisconnected { id } => self.caller_disconnected(now, id, &mut effects),
            Event::ConfigRead(config) => self.apply_config(now, config),
            Event::TargetNotice { addr, notice } => self.note_target(now, &addr, notice),
            Event::Reported { target, report } => {
                self.role_reported(&target, &report);
                self.load_reported(now, &target, report);
            }
            Event::ClaimStatus { id, status } => {
                self.handle_claim_status(now, id, status, &mut effects)
            }
            Event::ClaimSettled { id } => self.unsettled.remove(id),
            Event::Forwarded { id, responded } => self.forwarded(id, responded, &mut effects),
            Event::HandoverRead { id, handover } => self.handover_read(id, handover, &mut effects),
            Event::SuspectsShared { id } => self.suspects_shared(now, id, &mut effects),
            Event::SuspectsRead(seen) => self.merge_suspects(now, &seen),
            Event::Sync(event) => self.sync_step(now, event, &mut effects),
            Event::VmsRead(vms) => self.replace_vms(vms),
            Event::Authority(event) => self.authority_event(now, event, &mut effects),
            Event::ShuttingDown => self.shutting_down = true,
            Event::Close => self.closing = true,
        }
        effects
    }

    /// The configuration in force.
    #[must_use]
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// The targets of the configuration, with their latest state.
    #[must_use]
    pub fn targets(&self) -> &Targets {
        &self.targets
    }

    /// Orders proposed by the role planner and not given yet.
    #[must_use]
    pub fn proposed_orders(&self) -> &[ProposedOrder] {
        &self.proposals
    }

    /// VMs from the platform's list as last read.
    #[must_use]
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Number of requests without a final response.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Whether the node has a configuration and is not shutting down.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.shutting_down && self.config.version.0 > 0
    }

    pub(crate) fn new_attempt(&mut self) -> AttemptId {
        let attempt = AttemptId(self.next_attempt);
        self.next_attempt += 1;
        attempt
    }

    pub(crate) fn request_index(&self, id: RequestId) -> Option<usize> {
        self.requests.binary_search_by_key(&id, |r| r.id).ok()
    }

    fn apply_config(&mut self, now: Millis, config: Arc<Config>) {
        // The version in force is never replaced by a lower one, whatever its source.
        if config.version <= self.config.version {
            return;
        }
        // Most changes do not touch the targets, and iterating over all of them delays requests.
        let targets_changed = config.targets != self.config.targets;
        if targets_changed {
            self.record_role_changes(now, &config);
        }
        self.config = config;
        if targets_changed {
            self.targets.apply(&self.config);
            self.authority.outdated = true;
            self.choose_targets();
        }
    }
}
