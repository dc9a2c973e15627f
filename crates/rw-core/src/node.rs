//! The node's state and its one entry point.

use crate::{
    Authority, ConfigSync, CoreSettings, Effect, Event, Members, ProposedOrder, Request,
    RetryBudget, Suspects, Targets, TicketRuns, Unsettled, admit::DecisionState,
    declared_roles::DeclaredRole,
};
use rw_types::{AttemptId, Config, Millis, RequestId};
use std::sync::Arc;

/// Everything a node decides by.
#[derive(Debug, Clone)]
pub struct Node {
    pub(crate) settings: CoreSettings,
    pub(crate) config: Arc<Config>,
    pub(crate) members: Members,
    pub(crate) targets: Targets,
    /// Open requests, sorted by identity.
    pub(crate) requests: Vec<Request>,
    /// What planners want of targets, in order of urgency; the authority acts on it.
    pub(crate) wishes: Vec<ProposedOrder>,
    /// Roles that operators changed and engines have not reported yet.
    pub(crate) roles: Vec<DeclaredRole>,
    pub(crate) sync: ConfigSync,
    pub(crate) authority: Authority,
    pub(crate) leaving: bool,
    pub(crate) closing: bool,
    pub(crate) unsettled: Unsettled,
    pub(crate) tickets: TicketRuns,
    pub(crate) suspects: Suspects,
    pub(crate) budget: RetryBudget,
    pub(crate) decisions: DecisionState,
    next_attempt: u64,
}

impl Node {
    /// A node that knows nothing yet.
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
            wishes: Vec::new(),
            roles: Vec::new(),
            sync,
            authority: Authority::default(),
            leaving: false,
            closing: false,
            unsettled: Unsettled::default(),
            tickets: TicketRuns::default(),
            suspects: Suspects::default(),
            budget,
            decisions,
            next_attempt: 1,
        }
    }

    /// Takes one event at time `now` and returns what is to be done.
    pub fn step(&mut self, now: Millis, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        match event {
            Event::Arrived { id, call } => self.arrive(now, id, call, &mut effects),
            Event::ClaimRead { id, read } => self.handle_claim_result(now, id, read, &mut effects),
            Event::AttemptEnded {
                id,
                attempt,
                outcome,
            } => self.end_attempt(now, id, attempt, outcome, &mut effects),
            Event::CallerDisconnected { id } => self.caller_disconnected(now, id, &mut effects),
            Event::ConfigRead(config) => self.apply_config(now, config),
            Event::Reported { target, report } => {
                self.role_reported(&target, &report);
                self.reported(now, &target, report);
            }
            Event::ClaimStanding { id, standing } => {
                self.handle_claim_status(now, id, standing, &mut effects)
            }
            Event::ClaimSettled { id } => self.unsettled.remove(id),
            Event::Forwarded { id, answered } => self.forwarded(id, answered, &mut effects),
            Event::HandoverRead { id, handover } => self.handover_read(id, handover, &mut effects),
            Event::SuspectsShared { id } => self.suspects_shared(now, id, &mut effects),
            Event::SuspectsRead(seen) => self.merge_suspects(now, &seen),
            Event::Sync(event) => self.sync_step(now, event, &mut effects),
            Event::VmsRead(vms) => self.replace_vms(vms),
            Event::Authority(event) => self.authority_event(now, event, &mut effects),
            Event::Leave => self.leaving = true,
            Event::Close => self.closing = true,
        }
        effects
    }

    /// The configuration in force.
    #[must_use]
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// The targets as known.
    #[must_use]
    pub fn targets(&self) -> &Targets {
        &self.targets
    }

    /// What planners want of targets.
    #[must_use]
    pub fn proposed_orders(&self) -> &[ProposedOrder] {
        &self.wishes
    }

    /// The VMs as known.
    #[must_use]
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Requests without a final answer.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Whether the node takes new requests: it has a configuration and isn't leaving.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.leaving && self.config.version.0 > 0
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
        // A version in force never gives way to a lower one, whoever sends it.
        if config.version <= self.config.version {
            return;
        }
        // Most changes leave the targets alone, and going through all of them holds up requests.
        let moved = config.targets != self.config.targets;
        if moved {
            self.note_roles(now, &config);
        }
        self.config = config;
        if moved {
            self.targets.apply(&self.config);
            self.authority.outdated = true;
            self.choose_targets();
        }
    }
}
