//! Requests in virtual time: arrivals, the effects of the nodes, and responses.

use crate::{
    RequestShape,
    fleet_config::MODEL,
    virtual_fleet::{Attempt, CALL_US, LOCAL_HOP_US, SimEvent, Simulation},
};
use rw_core::{AttemptOutcome, Call, ClaimResult, Effect, Event, Operation};
use rw_fakes::{Job, TokenEvent};
use rw_types::{AttemptId, Millis, Outcome, RequestId, Version};

impl Simulation<'_> {
    pub(crate) fn arrive(&mut self, i: usize) {
        let arrival = &self.arrivals[i];
        let profile = &self.experiment.profile.kinds[arrival.kind];
        self.result.kinds[arrival.kind].sent += 1;
        let now = Millis(self.now / 1_000);
        let operation = match &profile.shape {
            RequestShape::Generate { .. } => Operation::Generate {
                model: MODEL.to_owned(),
                prompt: arrival.prompt,
                output: arrival.output,
                blocks: arrival.blocks.clone(),
            },
            RequestShape::Call { idempotent } => Operation::Service {
                name: "calls".to_owned(),
                idempotent: *idempotent,
            },
        };
        let call = Call {
            caller: format!("caller-{}", arrival.caller),
            kind: profile.kind.name.clone(),
            operation,
            key: matches!(profile.shape, RequestShape::Call { idempotent: false })
                .then(|| format!("key-{i}")),
            fingerprint: i as u64 + 1,
            deadline: now.plus(profile.kind.deadline_ms),
            explicit_deadline: true,
        };
        let node = (arrival.node % self.nodes.len() as u64) as usize;
        self.step_node(
            node,
            Event::Arrived {
                id: RequestId(i as u64),
                call,
            },
        );
    }

    pub(crate) fn step_node(&mut self, node: usize, event: Event) {
        let effects = self.nodes[node].step(Millis(self.now / 1_000), event);
        for effect in effects {
            self.perform(node, effect);
        }
    }

    pub(crate) fn perform(&mut self, node: usize, effect: Effect) {
        match effect {
            Effect::Dispatch {
                id,
                attempt,
                target,
                resume,
                ..
            } => {
                self.dispatch(node, id, attempt, &target, resume);
            }
            Effect::Deliver { id } => self.record_result(id, Some(Outcome::Done), true),
            Effect::Replay { id, .. } => self.record_result(id, Some(Outcome::Done), true),
            Effect::Refuse { id, refusal } => self.record_result(id, Some(refusal.outcome), false),
            Effect::WriteClaim { id, .. } | Effect::ReadClaim { id, .. } => {
                let result = if self.table_down {
                    ClaimResult::NotApplied
                } else {
                    ClaimResult::Written(Version(1))
                };
                self.schedule(
                    self.now + CALL_US,
                    SimEvent::NodeEvent {
                        node,
                        event: Box::new(Event::ClaimResult { id, result }),
                    },
                );
            }
            _ => {}
        }
    }

    pub(crate) fn dispatch(
        &mut self,
        node: usize,
        id: RequestId,
        attempt: AttemptId,
        target: &str,
        resume: u64,
    ) {
        let request = id.0 as usize;
        let index = target
            .strip_prefix("engine-")
            .and_then(|n| n.parse::<usize>().ok());
        let Some(engine) = index else {
            self.requests[request].executions += 1;
            let outcome = AttemptOutcome::Complete {
                status: 200,
                content_type: String::new(),
                body: Vec::new(),
            };
            let event = Event::AttemptEnded {
                id,
                attempt,
                outcome,
            };
            return self.schedule(
                self.now + CALL_US,
                SimEvent::NodeEvent {
                    node,
                    event: Box::new(event),
                },
            );
        };
        let attempt_index = self.attempts.len();
        self.attempts.push(Attempt {
            request,
            attempt,
            engine,
            resume,
        });
        // Nodes and engines are assigned to three data centres in rotation.
        let remote = self.nodes.len() > 1 && node % 3 != engine % 3;
        let hop = if remote {
            (self.experiment.profile.hop_ms * 1e3) as u64
        } else {
            LOCAL_HOP_US
        };
        self.schedule(self.now + hop, SimEvent::Submit(attempt_index));
    }

    pub(crate) fn submit(&mut self, attempt_index: usize) {
        let Attempt {
            request,
            attempt,
            engine,
            resume,
        } = self.attempts[attempt_index];
        let id = RequestId(request as u64);
        if !self.engines[engine].alive {
            return self.send_to_owner(
                request,
                Event::AttemptEnded {
                    id,
                    attempt,
                    outcome: AttemptOutcome::NotSent,
                },
            );
        }
        let arrival = &self.arrivals[request];
        let job = Job {
            id: attempt_index as u64,
            prompt: arrival.prompt,
            output: arrival.output,
            resume,
            priority: self.priority(arrival.kind),
            blocks: arrival.blocks.clone(),
            imported: false,
        };
        let engine_state = &mut self.engines[engine];
        if !engine_state.batch.submit(self.now, job) {
            return self.send_to_owner(
                request,
                Event::AttemptEnded {
                    id,
                    attempt,
                    outcome: AttemptOutcome::Rejected,
                },
            );
        }
        if let Err(i) = engine_state.jobs.binary_search(&(attempt_index as u64)) {
            engine_state.jobs.insert(i, attempt_index as u64);
        }
        self.schedule_advance(engine);
    }

    /// Priority that the nodes send to engines; 0 for all kinds if the policy has priorities off.
    pub(crate) fn priority(&self, kind: usize) -> u8 {
        if self.experiment.policy.priorities {
            self.experiment.profile.kinds[kind].kind.priority
        } else {
            0
        }
    }

    pub(crate) fn handle_token(&mut self, engine: usize, token: TokenEvent) {
        let Attempt {
            request, attempt, ..
        } = self.attempts[token.id as usize];
        let kind = self.arrivals[request].kind;
        let result = &mut self.result.kinds[kind];
        let state = &mut self.requests[request];
        if !token.end {
            if state.tokens == 0 {
                result
                    .firsts
                    .record(self.now - self.arrivals[request].at_us);
            } else {
                result.gaps.record(self.now - state.last_token_us);
            }
            state.tokens += 1;
            state.last_token_us = self.now;
            return;
        }
        let jobs = &mut self.engines[engine].jobs;
        if let Ok(i) = jobs.binary_search(&token.id) {
            jobs.remove(i);
        }
        let id = RequestId(request as u64);
        let outcome = AttemptOutcome::Complete {
            status: 200,
            content_type: String::new(),
            body: Vec::new(),
        };
        self.send_to_owner(
            request,
            Event::AttemptEnded {
                id,
                attempt,
                outcome,
            },
        );
    }

    pub(crate) fn send_to_owner(&mut self, request: usize, event: Event) {
        let node = (self.arrivals[request].node % self.nodes.len() as u64) as usize;
        self.schedule(
            self.now + LOCAL_HOP_US,
            SimEvent::NodeEvent {
                node,
                event: Box::new(event),
            },
        );
    }

    pub(crate) fn record_result(
        &mut self,
        id: RequestId,
        outcome: Option<Outcome>,
        complete: bool,
    ) {
        let i = id.0 as usize;
        let arrival = &self.arrivals[i];
        let deadline = self.experiment.profile.kinds[arrival.kind].kind.deadline_ms;
        let result = &mut self.result.kinds[arrival.kind];
        self.requests[i].ended = true;
        match outcome {
            _ if complete && self.now <= arrival.at_us + deadline * 1_000 => result.good += 1,
            _ if complete => result.late += 1,
            Some(Outcome::NotRun) => result.refused += 1,
            _ => result.unknown += 1,
        }
    }
}
