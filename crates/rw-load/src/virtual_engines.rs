//! Engines on virtual time: their iterations, reports, orders and faults.

use crate::{
    Fault,
    fleet_config::MODEL,
    virtual_fleet::{ORDER, REPORTS, Run, SimEvent, World},
};
use rw_core::{AttemptOutcome, Event};
use rw_types::{LoadReport, OrderKind, RequestId, Role};
use std::sync::Arc;

impl World<'_> {
    pub(crate) fn wake(&mut self, engine: usize) {
        if let Some(due) = self.engines[engine].batch.next_deadline() {
            self.at(due.max(self.now), SimEvent::Due(engine));
        }
    }

    pub(crate) fn due(&mut self, engine: usize) {
        let one = &mut self.engines[engine];
        // A later wake stands for this one if the engine is not due yet.
        if !one.alive || one.batch.next_deadline().is_none_or(|due| due > self.now) {
            return;
        }
        let emitted = one.batch.advance(self.now);
        for token in emitted {
            self.emit(engine, token);
        }
        self.wake(engine);
    }

    pub(crate) fn poll(&mut self) {
        let lag = self.lag * 1_000;
        for i in 0..self.engines.len() {
            let engine = &mut self.engines[i];
            if !engine.alive {
                continue;
            }
            let report = LoadReport {
                models: vec![MODEL.to_owned()],
                ..engine.batch.report()
            };
            if engine.reports.len() == REPORTS {
                engine.reports.pop_front();
            }
            engine.reports.push_back((self.now, report));
            let old = engine.reports.iter().rev().find(|r| r.0 + lag <= self.now);
            let Some((made, report)) = old.cloned() else {
                continue;
            };
            let report = LoadReport {
                age_ms: (self.now - made) / 1_000,
                ..report
            };
            let target = format!("engine-{i}");
            for node in 0..self.nodes.len() {
                let event = Event::Reported {
                    target: target.clone(),
                    report: report.clone(),
                };
                self.tell(node, event);
            }
        }
        self.obey();
        self.at(self.now + self.experiment.poll_ms * 1_000, SimEvent::Poll);
    }

    /// Carries out the wishes of the one node that may order.
    pub(crate) fn obey(&mut self) {
        let wishes = self.nodes[0].proposed_orders().to_vec();
        for wish in wishes {
            let position = wish
                .target
                .strip_prefix("engine-")
                .and_then(|n| n.parse().ok());
            let (Some(engine), OrderKind::Role { role }) = (position, &wish.kind) else {
                continue;
            };
            let engine: usize = engine;
            if !self.ordered[engine] {
                self.ordered[engine] = true;
                self.result.reasons.push(format!(
                    "{:.0} s: {}",
                    self.now as f64 / 1e6,
                    wish.reason
                ));
                self.at(
                    self.now + ORDER,
                    SimEvent::Order {
                        engine,
                        role: *role,
                    },
                );
            }
        }
        for engine in 0..self.ordered.len() {
            let wished = self.nodes[0]
                .proposed_orders()
                .iter()
                .any(|w| w.target == format!("engine-{engine}"));
            self.ordered[engine] &= wished;
        }
    }

    pub(crate) fn order(&mut self, engine: usize, role: Role) {
        let one = &mut self.engines[engine];
        if one.alive && one.batch.is_accepting() && one.batch.role() != role {
            one.batch.change_role(self.now, role);
            self.result.changes += 1;
            self.wake(engine);
        }
    }

    pub(crate) fn strike(&mut self, fault: Fault) {
        match fault {
            Fault::ReportLag(ms) => self.lag = ms,
            Fault::TableOutage(out) => self.outage = out,
            Fault::Withdraw(engine) => {
                self.config.version.0 += 1;
                let name = format!("engine-{engine}");
                let targets = self.config.targets.iter_mut();
                targets
                    .filter(|t| t.name == name)
                    .for_each(|t| t.leaving = true);
                let config = Arc::new(self.config.clone());
                for node in 0..self.nodes.len() {
                    self.tell(node, Event::ConfigRead(config.clone()));
                }
            }
            Fault::Kill(engine) => {
                self.engines[engine].alive = false;
                for job in std::mem::take(&mut self.engines[engine].jobs) {
                    let Run { track, attempt, .. } = self.runs[job as usize];
                    let tokens = self.tracks[track].tokens;
                    let outcome = AttemptOutcome::Broken {
                        tokens,
                        crashed: false,
                    };
                    let id = RequestId(track as u64);
                    self.tell_owner(
                        track,
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
