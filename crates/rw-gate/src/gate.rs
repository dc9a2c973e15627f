//! State of the reducer and its entry point.

use crate::{
    Digest, DispatchMode, Effect, Event, FleetNode, GateSettings, LeavingSource, LimitReport,
    LocalRetryBudget, Overrun, PartReport, PartSuspects, Refusal, RefusalKind, ResponseSource,
    Routing, SoftwareId, TargetIncarnation, TargetList, VersionRecord, WorkReport,
    account_keys::AccountKeys,
    account_usage::AccountUsage,
    call_state::CallState,
    delegation::{Delegates, Reachability},
    demand::DemandMeter,
    demand_flow::LeaderContact,
    departed_targets::DepartedTargets,
    duty_reach::DutyReach,
    engine_estimates::EngineEstimates,
    fleet_demand::FleetDemand,
    lease::Lease,
    origin_flow::{answered_question, origin_ttl_ms},
    placer::Placer,
    publication::Publication,
    rate_limits::Sharers,
    roles::{PeerConnection, Roles},
    scheduling::Scheduling,
    shutdown::Shutdown,
    sizing::Sizing,
    software_history::SoftwareHistory,
    store_return::StoreReturn,
    stream_origins::StreamOrigins,
    true_time::TrueTime,
    usage_counter::UsageCounter,
    usage_flow::UsageReports,
};
use rw_core::Suspects;
use rw_types::{Millis, RequestId};
use std::sync::Arc;

/// Decides which target gets each forwarded call, whether a call is retried or refused, and which
/// engines change their roles.
///
/// It is a reducer: [`Gate::step`] takes an [`Event`] and returns the [`Effect`]s to perform,
/// without I/O and without reading a clock. The shell, `rw_relay::Relay`, translates sockets and
/// timers into events and performs the effects; `rw_relay::Dialect` maps both to the headers of a
/// platform.
#[derive(Debug, Clone)]
pub struct Gate {
    pub(crate) settings: GateSettings,
    pub(crate) routing: Arc<Routing>,
    /// Keys of the client accounts in `routing`.
    pub(crate) keys: AccountKeys,
    /// Recent engine time of the client accounts.
    pub(crate) account_usage: AccountUsage,
    pub(crate) targets: TargetList,
    /// Open calls, sorted by identifier.
    pub(crate) calls: Vec<CallState>,
    pub(crate) budget: LocalRetryBudget,
    pub(crate) suspects: Suspects,
    pub(crate) part_suspects: PartSuspects,
    /// Where recent streams began.
    pub(crate) origins: StreamOrigins,
    pub(crate) departed: DepartedTargets,
    /// Time for which origins and versions matter, by the routes in force, in milliseconds.
    pub(crate) origin_ttl_ms: u64,
    /// Versions of the targets' software.
    pub(crate) software: SoftwareHistory,
    /// Versions of targets that were in doubt when streams began there, and those that they have turned out to be.
    pub(crate) settled: Vec<(SoftwareId, SoftwareId)>,
    /// Records of versions as they were read, or as this node has requested them as the leader since.
    pub(crate) records: Vec<VersionRecord>,
    /// Number of times that they were read.
    pub(crate) record_reads: u64,
    /// Set if a node has confirmed them since the store's latest return from a copy: milliseconds for which
    /// they were complete then.
    pub(crate) confirmed_ms: Option<u64>,
    pub(crate) nodes: usize,
    /// Estimates of engine speed by service, sorted by name.
    pub(crate) estimates: Vec<(String, EngineEstimates)>,
    /// Ratio of actual to expected prefill times.
    pub(crate) overrun: Overrun,
    /// What this node has published to the others, and what is still to be published.
    pub(crate) publication: Publication,
    pub(crate) rng: fastrand::Rng,
    /// Time at which the store became reachable again after the latest outage, if any.
    pub(crate) reconnected_at: Option<Millis>,
    /// What this node knows of the store's latest return from a copy.
    pub(crate) store_return: StoreReturn,
    pub(crate) roles: Roles,
    /// The lease on the duties of the fleet.
    pub(crate) lease: Lease,
    pub(crate) duty_reach: DutyReach,
    pub(crate) true_time: TrueTime,
    /// Calls that began to run lately, by account.
    pub(crate) usage_counter: UsageCounter,
    pub(crate) usage: UsageReports,
    /// Demand that arrives at this node.
    pub(crate) demand: DemandMeter,
    /// Demand of all nodes.
    pub(crate) fleet_demand: FleetDemand,
    /// Nodes that may be the leader.
    pub(crate) leader: LeaderContact,
    pub(crate) sizing: Sizing,
    /// Which services this node reaches.
    pub(crate) reachability: Reachability,
    /// The other nodes, which calls can be passed to.
    pub(crate) delegates: Delegates,
    /// Time from which the speeds of targets are updated again.
    pub(crate) speeds_due: Millis,
    /// Whether a target has reported how long work takes there.
    pub(crate) pace_reported: bool,
    /// Placement of calls by schedulers.
    pub(crate) scheduling: Scheduling,
    /// The stop of this process, once it was requested.
    pub(crate) shutdown: Option<Shutdown>,
}

impl Gate {
    /// Creates a gate without configuration and targets.
    #[must_use]
    pub fn new(settings: GateSettings) -> Self {
        Self {
            routing: Arc::default(),
            keys: AccountKeys::default(),
            account_usage: AccountUsage::default(),
            targets: TargetList::default(),
            calls: Vec::new(),
            budget: LocalRetryBudget::default(),
            suspects: Suspects::default(),
            part_suspects: PartSuspects::default(),
            origins: StreamOrigins::default(),
            departed: DepartedTargets::default(),
            origin_ttl_ms: origin_ttl_ms(&Routing::default()),
            software: SoftwareHistory::default(),
            settled: Vec::new(),
            records: Vec::new(),
            record_reads: 0,
            confirmed_ms: None,
            nodes: settings.nodes,
            estimates: Vec::new(),
            overrun: Overrun::default(),
            publication: Publication::default(),
            rng: fastrand::Rng::with_seed(settings.seed),
            reconnected_at: None,
            store_return: StoreReturn::default(),
            roles: Roles::default(),
            lease: Lease::default(),
            duty_reach: DutyReach::default(),
            true_time: TrueTime::default(),
            usage_counter: UsageCounter::default(),
            usage: UsageReports::default(),
            demand: DemandMeter::default(),
            fleet_demand: FleetDemand::default(),
            leader: LeaderContact::default(),
            sizing: Sizing::default(),
            reachability: Reachability::default(),
            delegates: Delegates::default(),
            speeds_due: Millis(0),
            pace_reported: false,
            scheduling: Scheduling::default(),
            shutdown: None,
            settings,
        }
    }

    /// Processes one event at time `now` and returns the resulting effects.
    pub fn step(&mut self, now: Millis, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        match event {
            Event::CallArrived { id, request } => {
                self.handle_arrival(now, id, request, &mut effects)
            }
            Event::ResponseStarted { id, load } => {
                self.response_started(now, id, load, &mut effects)
            }
            Event::FirstEvent { id } => self.first_event(now, id),
            Event::StreamBegun { id } => self.stream_begun(now, id),
            Event::DispatchEnded { id, outcome } => {
                self.end_dispatch(now, id, outcome, &mut effects)
            }
            Event::DelegationEnded { id, outcome } => {
                self.end_delegation(now, id, outcome, &mut effects)
            }
            Event::DelegatedStreamBegun { id, software } => {
                self.delegated_stream_begun(now, id, software)
            }
            Event::TargetProbed { target, is_reached } => {
                self.target_probed(now, &target, is_reached, &mut effects)
            }
            Event::CallerDisconnected { id } => self.cancel_call(now, id, &mut effects),
            Event::Routing(routing) => self.apply_routing(routing),
            Event::ConfigConfirmed { asked_at } => self.config_confirmed(asked_at),
            Event::ApiUnreachable => self.api_silent(now, &mut effects),
            Event::TargetEnded {
                target,
                is_witnessed,
            } => {
                if self.target_ended(now, &target, is_witnessed) {
                    effects.push(Effect::PublishDigest);
                }
            }
            Event::TimeOfDay { unix_ms } => self.true_time.set(now, unix_ms),
            Event::UsageRead(row) => self.usage_read(now, row, &mut effects),
            Event::UsageCollected(collection) => {
                self.usage_collected(now, collection, &mut effects)
            }
            Event::UsageWritten(version) => self.usage_written(now, version, &mut effects),
            Event::UsageReported { window, outcome } => {
                self.usage_reported(now, window, outcome, &mut effects)
            }
            Event::SizeOrdered {
                service,
                centre,
                spot,
                outcome,
            } => {
                self.duty_ended(now, outcome, &mut effects);
                self.size_ordered(now, (&service, &centre), spot, outcome);
            }
            Event::TargetUpdated(spec) => self.update_target(now, spec),
            Event::TargetRemoved { name } => self.remove_target(now, &name),
            Event::TargetNotice { target, notice } => {
                self.notice_received(now, &target, notice, &mut effects);
            }
            Event::TargetsListed(specs) => {
                self.roles.connected_since.get_or_insert(now);
                self.replace_targets(now, specs);
                self.observe_software(now);
            }
            Event::ChangesMissed => self.software.restart(),
            Event::TargetsConfirmed { at } => self.software.confirm(at.min(now)),
            Event::RowsRead { confirmed_ms } => self.rows_read(now, confirmed_ms),
            Event::VersionsRead(records) => self.merge_records(now, &records),
            Event::TargetsReported(specs) => self.apply_reported(now, specs),
            Event::TargetsProved(proved) => self.targets_proved(&proved),
            Event::StoreConnected => {
                self.reconnected_at = Some(now);
                self.software.restart();
                self.roles.connected_since = Some(now);
            }
            Event::StoreRestored => self.store_restored(now),
            Event::StoreDisconnected => self.roles.connected_since = None,
            Event::Tick => {
                self.check_doubts(now);
                self.update_speeds(now);
                self.check_software(now, &mut effects);
                self.check_sizing(now, &mut effects);
                self.check_roles(now, &mut effects);
                self.check_usage(now, &mut effects);
                self.check_reachability(now, &mut effects);
            }
            Event::LeaseResult(token) => self.lease_result(now, token, &mut effects),
            Event::OrderEnded { target, outcome } => self.order_ended(now, &target, outcome),
            Event::ShuttingDown { drained, end } => {
                self.shutdown = Some(Shutdown {
                    begun: now,
                    drained,
                    end,
                });
            }
            Event::CallInterrupted { id, delivered } => {
                self.interrupt_call(now, id, delivered, &mut effects);
            }
            Event::Settings(settings) => {
                self.settings = settings;
                self.reset_fixed_speeds();
            }
            Event::RequestSent { addr } => self.record_request(now, &addr),
            Event::NodesListed(nodes) => self.set_nodes(now, nodes),
            Event::DigestReceived(digest) => self.receive_digest(now, &digest),
            Event::SchedulersListed(nodes) => self.set_schedulers(nodes),
            Event::SchedulerMessage(message) => self.scheduler_message(now, message, &mut effects),
            Event::PlacementAnswered(reply) => self.placement_answered(now, reply, &mut effects),
            Event::PlacementExpired { id, number } => {
                self.placement_expired(now, id, number, &mut effects);
            }
        }
        self.flush_ends(&mut effects);
        effects
    }

    /// The current configuration.
    #[must_use]
    pub fn routing(&self) -> &Arc<Routing> {
        &self.routing
    }

    /// The known targets.
    #[must_use]
    pub fn targets(&self) -> &TargetList {
        &self.targets
    }

    /// Number of calls without a final response.
    #[must_use]
    pub fn open_calls(&self) -> usize {
        self.calls.len()
    }

    /// Whether a call has no final response yet.
    #[must_use]
    pub fn is_open(&self, id: RequestId) -> bool {
        self.call_index(id).is_some()
    }

    /// Target and mode of the open dispatch of a call.
    #[must_use]
    pub fn open_dispatch(&self, id: RequestId) -> Option<(&str, &DispatchMode)> {
        let dispatch = self.active_dispatch(id)?;
        Some((dispatch.target.as_str(), &dispatch.mode))
    }

    /// The target of the open dispatch of a call.
    #[must_use]
    pub fn response_source(&self, id: RequestId) -> Option<ResponseSource> {
        let dispatch = self.active_dispatch(id)?;
        Some(ResponseSource {
            target: dispatch.target.clone(),
            incarnation: dispatch.incarnation,
            software: dispatch.software,
        })
    }

    /// Whether the node can serve: a configuration is loaded and at least one target is known.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.routing.version > 0 && !self.targets.all().is_empty()
    }

    /// Services of which this node reaches no target, sorted.
    #[must_use]
    pub fn unreachable_services(&self) -> Vec<String> {
        self.reachability.unreachable()
    }

    /// Number of nodes that share the limits of the fleet.
    #[must_use]
    pub fn nodes(&self) -> usize {
        self.nodes
    }

    /// All suspect requests, for a node that has just started.
    #[must_use]
    pub fn suspects(&self, now: Millis) -> Vec<rw_types::Suspect> {
        self.suspects.export(now)
    }

    /// All parts of prompts under which targets crashed, for a node that has just started.
    #[must_use]
    pub fn part_suspects(&self, now: Millis) -> Vec<PartReport> {
        self.part_suspects.export(now)
    }

    /// All rate limits that targets have named, for a node that has just started.
    #[must_use]
    pub fn rate_limits(&self, now: Millis) -> Vec<LimitReport> {
        self.targets.limits(now)
    }

    /// All targets that have said that they are leaving, for a node that has just started.
    #[must_use]
    pub fn leaving_targets(&self) -> Vec<TargetIncarnation> {
        self.targets.leaving()
    }

    /// All targets whose processes have ended while their entries remain, for a node that has just
    /// started.
    #[must_use]
    pub fn ended_targets(&self) -> Vec<TargetIncarnation> {
        self.targets.incarnations(|t| t.doubt.has_ended())
    }

    /// All targets whose processes are known to be those of their entries, for a node that has just
    /// started.
    #[must_use]
    pub fn proved_targets(&self) -> Vec<TargetIncarnation> {
        self.targets.incarnations(|t| !t.doubt.is_open())
    }

    pub(crate) fn call_index(&self, id: RequestId) -> Option<usize> {
        self.calls.binary_search_by_key(&id, |c| c.id).ok()
    }

    /// Estimates for the engines of a service.
    pub(crate) fn estimates(&self, service: &str) -> EngineEstimates {
        let index = self.estimates_index(service);
        index.map_or_else(|_| EngineEstimates::default(), |i| self.estimates[i].1)
    }

    pub(crate) fn estimates_mut(&mut self, service: &str) -> &mut EngineEstimates {
        let i = match self.estimates_index(service) {
            Ok(i) => i,
            Err(i) => {
                let new = (service.to_owned(), EngineEstimates::default());
                self.estimates.insert(i, new);
                i
            }
        };
        &mut self.estimates[i].1
    }

    fn estimates_index(&self, service: &str) -> Result<usize, usize> {
        self.estimates
            .binary_search_by(|(name, _)| name.as_str().cmp(service))
    }

    pub(crate) fn placer(&self, now: Millis) -> Placer<'_> {
        Placer {
            gate: self,
            now,
            scope: None,
        }
    }

    pub(crate) fn refusal(&self, kind: RefusalKind, retry_ms: u64) -> Refusal {
        Refusal {
            kind,
            retry_ms,
            estimate_ms: 0,
        }
    }

    fn set_nodes(&mut self, now: Millis, nodes: Vec<FleetNode>) {
        self.nodes = nodes.len().max(1);
        let sharers = Sharers {
            vm: self.settings.vm.clone(),
            nodes: nodes.iter().map(|n| n.vm.clone()).collect(),
        };
        self.targets.set_sharers(now, sharers);
        self.leader.set_nodes(&nodes);
        self.delegates.set_nodes(&self.settings.vm, nodes);
    }

    fn apply_routing(&mut self, routing: Arc<Routing>) {
        // An older version never replaces the current one. The same version does if another node
        // gave it to this one, without its accounts.
        let is_completed = routing.version == self.routing.version
            && self.routing.lacks_accounts()
            && !routing.lacks_accounts();
        if routing.version > self.routing.version || is_completed {
            self.keys.index(&routing);
            self.origin_ttl_ms = origin_ttl_ms(&routing);
            self.routing = routing;
        }
    }

    fn receive_digest(&mut self, now: Millis, digest: &Digest) {
        self.suspects.merge(now, &digest.suspects);
        self.suspects.prune(now, self.settings.poison_ms);
        self.part_suspects.merge(now, &digest.parts);
        self.merge_origins(now, digest);
        self.delegates.digest_received(now, digest);
        self.lease.token_heard(digest.token);
        self.keys.version_heard(now, digest.version);
        for target in &digest.leaving {
            self.targets.set_leaving(now, target, LeavingSource::Peer);
        }
        for TargetIncarnation { name, incarnation } in &digest.ended {
            if let Some(target) = self.targets.find_incarnation(name, *incarnation) {
                target.doubt.begin_elsewhere(now);
            }
        }
        if let Some(report) = &digest.shares {
            self.account_usage.receive(now, &digest.vm, report);
        }
        for report in &digest.limits {
            self.targets.merge_limit(now, report);
        }
        self.receive_demand(now, digest);
        self.merge_speeds(now, &digest.speeds);
        let known = self.roles.peers.iter().find(|p| p.vm == digest.vm);
        let answered = answered_question(now, digest);
        let answered = answered.max(known.and_then(|p| p.answered));
        self.roles.peers.retain(|p| p.vm != digest.vm);
        self.roles.peers.push(PeerConnection {
            vm: digest.vm.clone(),
            received_at: now,
            answered,
            connected_ms: digest.connected_ms,
            lacks_keys: digest.lacks_keys,
            leaves_duties: digest.leaves_duties,
        });
        let return_ms = self.settings.return_ms;
        let is_renewed = self.store_return.deadline(now, return_ms).is_none();
        if self.peer_stayed_connected(now) && is_renewed {
            self.targets.remove_lapsed();
        }
        for report in &digest.reports {
            self.receive_report(now, &digest.vm, report);
        }
        for insert in &digest.cache_inserts {
            let routing = self.routing.clone();
            let Some(target) = self.targets.find_mut(&insert.target) else {
                continue;
            };
            let engine = routing.service(&target.spec.service);
            let engine = engine.and_then(|s| s.engine.as_ref());
            if let Some(engine) = engine {
                target
                    .cache
                    .insert_hashes(now, &insert.prefix_hashes, engine.kv_tokens);
            }
        }
    }

    /// Replaces what another node reported about a target before.
    fn receive_report(&mut self, now: Millis, vm: &str, report: &WorkReport) {
        let Some(target) = self.targets.find_mut(&report.target) else {
            return;
        };
        target.queue.update_remote(now, vm, &report.prefills);
        target.remote_usage.retain(|u| u.0 != vm);
        if report.calls > 0 {
            let usage = (vm.to_owned(), now, report.calls, report.tokens);
            target.remote_usage.push(usage);
        }
        // Another node may learn of a completed change later than this one.
        let change = report.role_change.filter(|c| c.role != target.spec.role);
        if let Some(change) = change {
            target.role_change = Some((now.plus(change.left_ms), change.role));
        }
    }
}
