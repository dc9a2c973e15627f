//! Nodes whose links to all engines are cut during a simulation, while callers and other nodes reach
//! them.

use super::{
    engine_state::EngineState,
    fleet::{HOP_US, SimEvent, Simulation},
    kind_result::CutGroup,
    options::NodeCut,
    routes::{US_PER_MS, WARMUP_US},
};
use rw_gate::{
    Delegation, DelegationOutcome, DispatchOutcome, Event, ProbeTarget, Refusal, TargetIncarnation,
};
use rw_types::RequestId;

/// Time after which an attempt to connect is given up, in microseconds.
const CONNECT_TIMEOUT_US: u64 = 400 * US_PER_MS;
/// Time after which a connection over a cut link breaks, in microseconds.
const BREAK_US: u64 = 2_000 * US_PER_MS;
/// Time from which callers of cut nodes must be served, in microseconds after the start of the cut.
const SETTLE_US: u64 = 3_000 * US_PER_MS;

impl NodeCut {
    fn is_cut(&self, now: u64, node: usize) -> bool {
        node < self.nodes && (self.start_us()..self.end_us()).contains(&now)
    }
}

impl Simulation<'_> {
    /// Whether a node reaches no engine now.
    pub(super) fn is_cut(&self, node: usize) -> bool {
        let mut cuts = self.options.cuts.iter();
        cuts.any(|cut| cut.is_cut(self.now, node))
    }

    /// The calls that a node has open on engines hang, until their connections break.
    pub(super) fn begin_cut(&mut self, cut: usize) {
        let nodes = self.options.cuts[cut].nodes;
        for call in 0..self.calls.len() {
            let c = &self.calls[call];
            let Some(engine) = c.engine.filter(|_| !c.ended && c.runs_at() < nodes) else {
                continue;
            };
            self.engines[engine].cancel(call);
            let outcome = DispatchOutcome::Broken {
                crashed: false,
                delivered: c.delivered(),
            };
            self.send_event_after(BREAK_US, call, |id| Event::DispatchEnded { id, outcome });
        }
    }

    /// A cut node fails to connect to an engine.
    pub(super) fn connect_in_vain(&mut self, node: usize, id: RequestId) {
        let outcome = DispatchOutcome::NotSent;
        let event = Box::new(Event::DispatchEnded { id, outcome });
        let at = self.now + CONNECT_TIMEOUT_US;
        self.schedule(at, SimEvent::NodeEvent { node, event });
    }

    pub(super) fn probe(&mut self, node: usize, target: ProbeTarget) {
        let engine = self.index(&target.name);
        let is_reached = !self.is_cut(node) && self.engine_state(engine) != EngineState::Gone;
        let event = Box::new(Event::TargetProbed {
            target: TargetIncarnation {
                name: target.name,
                incarnation: target.incarnation,
            },
            is_reached,
        });
        let at = self.now
            + if is_reached {
                2 * HOP_US
            } else {
                CONNECT_TIMEOUT_US
            };
        self.schedule(at, SimEvent::NodeEvent { node, event });
    }

    /// Passes a call to another node, which accepts it with one exchange before it gets all of it.
    pub(super) fn delegate(&mut self, call: usize, delegation: &Delegation) {
        let number = delegation.vm.trim_start_matches("vm-").parse();
        let node = number.unwrap_or_default();
        self.calls[call].delegate = Some(node);
        let mut request = self.request(self.calls[call].arrival, false);
        request.deadline_ms = Some(delegation.call.left_ms);
        request.delegated = Some(delegation.call.clone());
        let id = RequestId(call as u64);
        let event = Box::new(Event::CallArrived { id, request });
        self.schedule(self.now + 3 * HOP_US, SimEvent::NodeEvent { node, event });
    }

    pub(super) fn refuse_delegated(&mut self, call: usize, refusal: Refusal) {
        self.end_delegation(call, DelegationOutcome::Refused(refusal));
    }

    /// Ends the delegation of a call, if there is one.
    pub(super) fn end_delegation(&mut self, call: usize, outcome: DelegationOutcome) {
        let c = &self.calls[call];
        if c.delegate.is_none() {
            return;
        }
        let node = c.node;
        let id = RequestId(call as u64);
        if !c.ended {
            // It may be passed to a further node.
            self.calls[call].delegate = None;
        }
        self.send_event(node, Event::DelegationEnded { id, outcome });
    }

    /// Counts an arrival during a cut, once nodes have had time to notice it.
    pub(super) fn count_in_cut(&mut self, arrival: usize, count: impl Fn(&mut CutGroup)) {
        let a = &self.arrivals[arrival];
        let at = WARMUP_US + a.at_us;
        for cut in &self.options.cuts {
            if (cut.start_us() + SETTLE_US..cut.end_us()).contains(&at) {
                let group = match a.node < cut.nodes {
                    true => &mut self.result.cut_nodes,
                    false => &mut self.result.other_nodes,
                };
                count(group);
            }
        }
    }
}
