//! Measuring demand at this node, and reporting it to the leader.

use crate::{
    DIGEST_FANOUT, Delivered, DemandReport, Digest, DispatchMode, DispatchOutcome, FleetNode, Gate,
    PrefillSize, RefusalKind, call_state::ActiveDispatch, placement::Placement,
};
use rw_types::{Millis, Role};

/// Interval between reports of this node, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 1_000;
/// Time without an answer after which a node that was sent reports doesn't count as the leader, in
/// milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 5_000;
/// Time for which it then gets no reports, in milliseconds.
const SKIP_MS: u64 = 30_000;
/// Minimum interval between answers to the same node, in milliseconds: the leader of a large fleet
/// answers all nodes.
const ANSWER_INTERVAL_MS: u64 = 3_000;
/// Maximum number of nodes that get reports at the same time. Several do while the first ones by
/// name don't answer, as after many nodes were stopped.
const MAX_RECEIVERS: usize = 4;

/// A node that may be the leader, or that reports to this one.
#[derive(Debug, Clone)]
struct Contact {
    vm: String,
    /// Time of the first report that no digest of the node has followed.
    unanswered_since: Option<Millis>,
    skip_until: Option<Millis>,
    heard_at: Option<Millis>,
    /// Whether it reached the store, by its latest digest.
    is_connected: bool,
    answered_at: Option<Millis>,
}

/// Finds the leader in fleets where digests do not reach all nodes.
#[derive(Debug, Clone, Default)]
pub(crate) struct LeaderContact {
    /// All nodes, sorted by VM name.
    nodes: Vec<Contact>,
    reported_at: Option<Millis>,
    published_at: Option<Millis>,
}

impl LeaderContact {
    pub(crate) fn set_nodes(&mut self, nodes: &[FleetNode]) {
        for node in nodes {
            let found = self.nodes.binary_search_by(|c| c.vm.cmp(&node.vm));
            if let Err(i) = found {
                let new = Contact {
                    vm: node.vm.clone(),
                    unanswered_since: None,
                    skip_until: None,
                    heard_at: None,
                    is_connected: true,
                    answered_at: None,
                };
                self.nodes.insert(i, new);
            }
        }
    }

    fn heard(&mut self, now: Millis, digest: &Digest) {
        let vm = digest.vm.as_str();
        if let Ok(i) = self.nodes.binary_search_by(|c| c.vm.as_str().cmp(vm)) {
            self.nodes[i].unanswered_since = None;
            self.nodes[i].skip_until = None;
            self.nodes[i].heard_at = Some(now);
            self.nodes[i].is_connected = digest.connected_ms > 0;
        }
    }

    /// The nodes that may be the leader: the first ones by name that reach the store, up to one that
    /// has answered lately.
    fn candidates(&mut self, now: Millis) -> Vec<usize> {
        for contact in &mut self.nodes {
            let is_silent = |since| now.since(since) > ANSWER_TIMEOUT_MS;
            if contact.unanswered_since.is_some_and(is_silent) {
                contact.unanswered_since = None;
                contact.skip_until = Some(now.plus(SKIP_MS));
            }
        }
        let mut candidates = Vec::new();
        for (i, contact) in self.nodes.iter().enumerate() {
            let is_skipped = contact.skip_until.is_some_and(|until| now < until);
            if is_skipped || !contact.is_connected {
                continue;
            }
            candidates.push(i);
            let is_recent = |at| now.since(at) <= ANSWER_TIMEOUT_MS;
            if contact.heard_at.is_some_and(is_recent) || candidates.len() == MAX_RECEIVERS {
                break;
            }
        }
        candidates
    }

    /// Number of nodes from `from` on to `to`, in the order of names.
    fn distance(&self, from: &str, to: usize) -> usize {
        let n = self.nodes.len();
        let from = self.nodes.partition_point(|c| c.vm.as_str() < from);
        (to + n - from.min(n)) % n.max(1)
    }
}

impl Gate {
    /// Records the demand of a call that is about to be sent to `placement`, or refused.
    pub(crate) fn record_demand(&mut self, now: Millis, i: usize, placement: Option<&Placement>) {
        if !self.has_scaling() {
            return;
        }
        let call = &self.calls[i];
        let prompt = call.request.prompt.as_ref();
        let whole = prompt.map_or_else(PrefillSize::default, |p| PrefillSize {
            tokens: u64::from(p.tokens),
            cached: 0,
        });
        let size = placement.map_or(whole, |p| p.size);
        let model = &self.estimates(&call.service).cost_model;
        let prefill_ms = match prompt {
            Some(_) => model.busy_ms(Role::Prefill, size),
            None => 0.0,
        };
        self.demand
            .record_call(now, &call.service, prompt, prefill_ms);
    }

    /// Records for how long a call ran, if it has ended.
    pub(crate) fn record_run(
        &mut self,
        now: Millis,
        i: usize,
        current: &ActiveDispatch,
        outcome: &DispatchOutcome,
    ) {
        let is_whole = matches!(
            outcome,
            DispatchOutcome::Complete { .. } | DispatchOutcome::Delivered
        );
        if !is_whole || current.mode == DispatchMode::Prefill || !self.has_scaling() {
            return;
        }
        let call = &self.calls[i];
        let ms = now.since(current.began_at.unwrap_or(current.sent_at));
        self.demand
            .record_end(&call.service, call.request.prompt.as_ref(), ms);
    }

    /// Records a call that is refused for want of room.
    pub(crate) fn record_shortage(&mut self, i: usize, kind: RefusalKind) {
        // A call whose response has begun found a target.
        let is_refused = self.calls[i].delivered == Delivered::Nothing;
        let is_short = is_refused
            && matches!(
                kind,
                RefusalKind::NoTarget
                    | RefusalKind::TooLate
                    | RefusalKind::Overloaded
                    | RefusalKind::TimedOut
            );
        if is_short && self.has_scaling() {
            self.demand.record_refused(&self.calls[i].service);
        }
    }

    /// Demand at this node, of each service that can be sized even if it gets no calls.
    pub(crate) fn demand_reports(&self, now: Millis) -> Vec<DemandReport> {
        let services = self.routing.services.iter();
        let scaled = services.filter(|s| s.scaling.is_some());
        let names: Vec<&str> = scaled.map(|s| s.name.as_str()).collect();
        let running = |service: &str| {
            let targets = self.targets.all().iter();
            let targets = targets.filter(|t| t.spec.service == service);
            targets.map(|t| t.open_calls).sum()
        };
        self.demand.reports(now, &names, running)
    }

    /// Demand for the next digest; empty if the previous report is recent, or the leader needs none.
    pub(crate) fn take_demand(&mut self, now: Millis) -> Vec<DemandReport> {
        let at = self.leader.published_at;
        if !self.has_scaling() || at.is_some_and(|at| now.since(at) < REPORT_INTERVAL_MS) {
            return Vec::new();
        }
        self.leader.published_at = Some(now);
        self.demand_reports(now)
    }

    /// A digest with the demand of this node, and the VMs of the nodes that may be the leader and
    /// don't receive the digests of this node anyway. One is due each second where a service can be
    /// sized.
    pub fn leader_digest(&mut self, now: Millis) -> Option<(Vec<String>, Digest)> {
        let at = self.leader.reported_at;
        if !self.has_scaling() || at.is_some_and(|at| now.since(at) < REPORT_INTERVAL_MS) {
            return None;
        }
        self.leader.reported_at = Some(now);
        let mut receivers = Vec::new();
        for i in self.leader.candidates(now) {
            if self.leader.distance(&self.settings.vm, i) > DIGEST_FANOUT {
                let contact = &mut self.leader.nodes[i];
                contact.unanswered_since.get_or_insert(now);
                receivers.push(contact.vm.clone());
            }
            if self.leader.nodes[i].vm == self.settings.vm {
                break;
            }
        }
        if receivers.is_empty() {
            return None;
        }
        let digest = Digest {
            demand: self.demand_reports(now),
            ..self.empty_digest(now)
        };
        Some((receivers, digest))
    }

    /// The answer to a digest with demand from a node that does not receive the digests of this one,
    /// if one is due. It shows that this node is alive and whether it reaches the store.
    pub fn answer_demand(&mut self, now: Millis, digest: &Digest) -> Option<Digest> {
        if digest.demand.is_empty() {
            return None;
        }
        let vm = digest.vm.as_str();
        let found = self
            .leader
            .nodes
            .binary_search_by(|c| c.vm.as_str().cmp(vm));
        let i = found.ok()?;
        if self.leader.distance(&self.settings.vm, i) <= DIGEST_FANOUT {
            return None;
        }
        let contact = &mut self.leader.nodes[i];
        let is_recent = |at| now.since(at) < ANSWER_INTERVAL_MS;
        if contact.answered_at.is_some_and(is_recent) {
            return None;
        }
        contact.answered_at = Some(now);
        Some(self.empty_digest(now))
    }

    /// Records the demand that another node reports.
    pub(crate) fn receive_demand(&mut self, now: Millis, digest: &Digest) {
        self.leader.heard(now, digest);
        if !digest.demand.is_empty() {
            self.fleet_demand.receive(now, &digest.vm, &digest.demand);
        }
    }
}
