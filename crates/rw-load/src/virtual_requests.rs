//! Requests on virtual time: what callers send and what the nodes do with it.

use crate::{
    RequestShape,
    fleet_config::MODEL,
    virtual_fleet::{CALL, HOP, Run, SimEvent, World},
};
use rw_core::{AttemptOutcome, Call, ClaimResult, Effect, Event, Operation};
use rw_fakes::{Job, TokenEvent};
use rw_types::{AttemptId, Millis, Outcome, RequestId, Version};

impl World<'_> {
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
        self.tell(
            node,
            Event::Arrived {
                id: RequestId(i as u64),
                call,
            },
        );
    }

    pub(crate) fn tell(&mut self, node: usize, event: Event) {
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
            Effect::Deliver { id } => self.end(id, Some(Outcome::Done), true),
            Effect::Replay { id, .. } => self.end(id, Some(Outcome::Done), true),
            Effect::Refuse { id, refusal } => self.end(id, Some(refusal.outcome), false),
            Effect::WriteClaim { id, .. } | Effect::ReadClaim { id, .. } => {
                let read = if self.outage {
                    ClaimResult::NotApplied
                } else {
                    ClaimResult::Written(Version(1))
                };
                self.at(
                    self.now + CALL,
                    SimEvent::Tell {
                        node,
                        event: Box::new(Event::ClaimRead { id, read }),
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
        let track = id.0 as usize;
        let position = target
            .strip_prefix("engine-")
            .and_then(|n| n.parse::<usize>().ok());
        let Some(engine) = position else {
            self.tracks[track].runs += 1;
            let outcome = AttemptOutcome::Complete {
                status: 200,
                kind: String::new(),
                body: Vec::new(),
            };
            let event = Event::AttemptEnded {
                id,
                attempt,
                outcome,
            };
            return self.at(
                self.now + CALL,
                SimEvent::Tell {
                    node,
                    event: Box::new(event),
                },
            );
        };
        let run = self.runs.len();
        self.runs.push(Run {
            track,
            attempt,
            engine,
            resume,
        });
        let away = self.nodes.len() > 1 && node % 3 != engine % 3;
        let hop = if away {
            (self.experiment.profile.hop_ms * 1e3) as u64
        } else {
            HOP
        };
        self.at(self.now + hop, SimEvent::Submit(run));
    }

    pub(crate) fn submit(&mut self, run: usize) {
        let Run {
            track,
            attempt,
            engine,
            resume,
        } = self.runs[run];
        let id = RequestId(track as u64);
        if !self.engines[engine].alive {
            return self.tell_owner(
                track,
                Event::AttemptEnded {
                    id,
                    attempt,
                    outcome: AttemptOutcome::NotSent,
                },
            );
        }
        let arrival = &self.arrivals[track];
        let job = Job {
            id: run as u64,
            prompt: arrival.prompt,
            output: arrival.output,
            resume,
            priority: self.priority(arrival.kind),
            blocks: arrival.blocks.clone(),
            imported: false,
        };
        let one = &mut self.engines[engine];
        if !one.batch.submit(self.now, job) {
            return self.tell_owner(
                track,
                Event::AttemptEnded {
                    id,
                    attempt,
                    outcome: AttemptOutcome::Rejected,
                },
            );
        }
        if let Err(i) = one.jobs.binary_search(&(run as u64)) {
            one.jobs.insert(i, run as u64);
        }
        self.wake(engine);
    }

    /// Priority as the nodes send it; without priorities all are equal.
    pub(crate) fn priority(&self, kind: usize) -> u8 {
        if self.experiment.policy.priorities {
            self.experiment.profile.kinds[kind].kind.priority
        } else {
            0
        }
    }

    pub(crate) fn emit(&mut self, engine: usize, token: TokenEvent) {
        let Run { track, attempt, .. } = self.runs[token.id as usize];
        let kind = self.arrivals[track].kind;
        let result = &mut self.result.kinds[kind];
        let seen = &mut self.tracks[track];
        if !token.end {
            if seen.tokens == 0 {
                result.firsts.record(self.now - self.arrivals[track].at_us);
            } else {
                result.gaps.record(self.now - seen.last);
            }
            seen.tokens += 1;
            seen.last = self.now;
            return;
        }
        let jobs = &mut self.engines[engine].jobs;
        if let Ok(i) = jobs.binary_search(&token.id) {
            jobs.remove(i);
        }
        let id = RequestId(track as u64);
        let outcome = AttemptOutcome::Complete {
            status: 200,
            kind: String::new(),
            body: Vec::new(),
        };
        self.tell_owner(
            track,
            Event::AttemptEnded {
                id,
                attempt,
                outcome,
            },
        );
    }

    pub(crate) fn tell_owner(&mut self, track: usize, event: Event) {
        let node = (self.arrivals[track].node % self.nodes.len() as u64) as usize;
        self.at(
            self.now + HOP,
            SimEvent::Tell {
                node,
                event: Box::new(event),
            },
        );
    }

    pub(crate) fn end(&mut self, id: RequestId, outcome: Option<Outcome>, whole: bool) {
        let i = id.0 as usize;
        let arrival = &self.arrivals[i];
        let deadline = self.experiment.profile.kinds[arrival.kind].kind.deadline_ms;
        let result = &mut self.result.kinds[arrival.kind];
        self.tracks[i].ended = true;
        match outcome {
            _ if whole && self.now <= arrival.at_us + deadline * 1_000 => result.good += 1,
            _ if whole => result.late += 1,
            Some(Outcome::NotRun) => result.refused += 1,
            _ => result.unknown += 1,
        }
    }
}
