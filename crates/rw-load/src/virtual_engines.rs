//! Engines in virtual time: iterations, load reports, orders and faults.

use crate::{
    Fault,
    fleet_config::MODEL,
    virtual_fleet::{Attempt, MAX_REPORTS, ORDER_DELAY_US, SimEvent, Simulation},
};
use rw_core::{AttemptOutcome, Event};
use rw_types::{LoadReport, OrderKind, RequestId, Role};
use std::sync::Arc;

impl Simulation<'_> {
    pub(crate) fn schedule_advance(&mut self, engine: usize) {
        if let Some(deadline) = self.engines[engine].batch.next_deadline() {
            self.schedule(deadline.max(self.now), SimEvent::AdvanceEngine(engine));
        }
    }

    pub(crate) fn advance(&mut self, engine: usize) {
        let engine_state = &mut self.engines[engine];
        // If the deadline has moved to a later time, another event is scheduled for it.
        if !engine_state.alive
            || engine_state
                .batch
                .next_deadline()
                .is_none_or(|deadline| deadline > self.now)
        {
            return;
        }
        let emitted = engine_state.batch.advance(self.now);
        for token in emitted {
            self.handle_token(engine, token);
        }
        self.schedule_advance(engine);
    }

    pub(crate) fn poll_reports(&mut self) {
        let lag_us = self.lag_ms * 1_000;
        for i in 0..self.engines.len() {
            let engine = &mut self.engines[i];
            if !engine.alive {
                continue;
            }
            let report = LoadReport {
                models: vec![MODEL.to_owned()],
                ..engine.batch.report()
            };
            if engine.reports.len() == MAX_REPORTS {
                engine.reports.pop_front();
            }
            engine.reports.push_back((self.now, report));
            let latest = engine
                .reports
                .iter()
                .rev()
                .find(|r| r.0 + lag_us <= self.now);
            let Some((created_us, report)) = latest.cloned() else {
                continue;
            };
            let report = LoadReport {
                age_ms: (self.now - created_us) / 1_000,
                ..report
            };
            let target = format!("engine-{i}");
            for node in 0..self.nodes.len() {
                let event = Event::Reported {
                    target: target.clone(),
                    report: report.clone(),
                };
                self.step_node(node, event);
            }
        }
        self.apply_orders();
        self.schedule(
            self.now + self.experiment.poll_ms * 1_000,
            SimEvent::PollReports,
        );
    }

    /// Applies the role orders proposed by the first node, the only one that plans.
    pub(crate) fn apply_orders(&mut self) {
        let proposals = self.nodes[0].proposed_orders().to_vec();
        for proposal in proposals {
            let index = proposal
                .target
                .strip_prefix("engine-")
                .and_then(|n| n.parse().ok());
            let (Some(engine), OrderKind::Role { role }) = (index, &proposal.kind) else {
                continue;
            };
            let engine: usize = engine;
            if !self.pending_orders[engine] {
                self.pending_orders[engine] = true;
                self.result.reasons.push(format!(
                    "{:.0} s: {}",
                    self.now as f64 / 1e6,
                    proposal.reason
                ));
                self.schedule(
                    self.now + ORDER_DELAY_US,
                    SimEvent::Order {
                        engine,
                        role: *role,
                    },
                );
            }
        }
        for engine in 0..self.pending_orders.len() {
            let proposed = self.nodes[0]
                .proposed_orders()
                .iter()
                .any(|p| p.target == format!("engine-{engine}"));
            self.pending_orders[engine] &= proposed;
        }
    }

    pub(crate) fn change_role(&mut self, engine: usize, role: Role) {
        let engine_state = &mut self.engines[engine];
        if engine_state.alive
            && engine_state.batch.is_accepting()
            && engine_state.batch.role() != role
        {
            engine_state.batch.change_role(self.now, role);
            self.result.changes += 1;
            self.schedule_advance(engine);
        }
    }

    pub(crate) fn inject_fault(&mut self, fault: Fault) {
        match fault {
            Fault::ReportLag(ms) => self.lag_ms = ms,
            Fault::TableOutage(down) => self.table_down = down,
            Fault::Withdraw(engine) => {
                self.config.version.0 += 1;
                let name = format!("engine-{engine}");
                let targets = self.config.targets.iter_mut();
                targets
                    .filter(|t| t.name == name)
                    .for_each(|t| t.leaving = true);
                let config = Arc::new(self.config.clone());
                for node in 0..self.nodes.len() {
                    self.step_node(node, Event::ConfigRead(config.clone()));
                }
            }
            Fault::Kill(engine) => {
                self.engines[engine].alive = false;
                for job in std::mem::take(&mut self.engines[engine].jobs) {
                    let Attempt {
                        request, attempt, ..
                    } = self.attempts[job as usize];
                    let tokens = self.requests[request].tokens;
                    let outcome = AttemptOutcome::Broken {
                        tokens,
                        crashed: false,
                    };
                    let id = RequestId(request as u64);
                    self.send_to_owner(
                        request,
                        Event::AttemptEnded {
                            id,
                            attempt,
                            outcome,
                        },
                    );
                }
            }
        }
    }
}
