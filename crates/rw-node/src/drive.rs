//! Drives one request: runs its effects until it has its final response.

use crate::{
    BurnCause, Shell,
    claim_query::ClaimQuery,
    completion::{full_response, refuse, with_outcome},
    payload::Payload,
    request_caller::RequestCaller,
    request_state::{RequestState, RunOutcome},
    tickets::outcome_of,
};
use rw_core::{Call, Effect, Event, Operation};
use rw_http::{Response, StreamPart, raw, spawn};
use rw_types::{AttemptId, Outcome, Refusal, RequestId};
use std::sync::Arc;

impl Shell {
    /// Runs a request and returns its final response, or the head of its stream.
    pub(crate) async fn handle_call(self: Arc<Self>, call: Call, payload: Payload) -> Response {
        let (tx, rx) = async_channel::bounded(1);
        let caller = RequestCaller::new(tx);
        let shell = self.clone();
        // Runs in its own task, because the outcome of a non-idempotent request must be recorded
        // even if its caller disconnects.
        spawn(async move { shell.drive(call, payload, caller).await }).detach();
        match rx.recv().await {
            Ok(response) => response,
            Err(_) => raw(500, Vec::new(), "text/plain"),
        }
    }

    async fn drive(self: Arc<Self>, call: Call, payload: Payload, mut caller: RequestCaller) {
        let id = self.new_request();
        let arrived = self.now();
        let kind = call.kind.clone();
        let mut state = RequestState::new(id, &call, payload);
        let mut effects = self.step(Event::Arrived {
            id,
            call: call.clone(),
        });
        while let Some(event) = self
            .run_effects(id, &call, effects, &mut state, &mut caller)
            .await
        {
            effects = self.step(event);
        }
        if let Some(cause) = state.cause {
            self.count_burn(&call, cause);
        }
        let seconds = self.now().since(arrived) as f64 / 1_000.0;
        self.metrics
            .total_time
            .with_label_values(&[&kind])
            .observe(seconds);
    }

    /// Runs the effects of one step; `None` once the request has its final response.
    async fn run_effects(
        self: &Arc<Self>,
        id: RequestId,
        call: &Call,
        effects: Vec<Effect>,
        state: &mut RequestState,
        caller: &mut RequestCaller,
    ) -> Option<Event> {
        let mut next = None;
        for effect in effects {
            let event = match effect {
                Effect::Dispatch {
                    attempt: n,
                    addr,
                    resume,
                    ..
                } => Some(self.dispatch(id, n, &addr, resume, state, caller).await),
                Effect::Forward { peer, .. } => {
                    let responded = self.forward_ticket(&peer, call, state).await;
                    Some(Event::Forwarded { id, responded })
                }
                Effect::Deliver { .. } | Effect::Replay { .. } | Effect::Refuse { .. } => {
                    self.send_final(id, effect, state, caller).await;
                    None
                }
                Effect::SettleClaim { .. }
                | Effect::ReleaseClaim { .. }
                | Effect::ShareSuspects { wait: false, .. } => {
                    self.run_detached(effect);
                    None
                }
                _ => self.run_lookup(id, effect).await,
            };
            next = event.or(next);
        }
        next
    }

    /// Starts an effect in the background; the request does not wait for it.
    fn run_detached(self: &Arc<Self>, effect: Effect) {
        let shell = self.clone();
        match effect {
            Effect::SettleClaim {
                id,
                key,
                version,
                claim,
            } => spawn(shell.settle_claim(id, key, version, claim)).detach(),
            Effect::ReleaseClaim { id, key, claim } => {
                spawn(shell.release_claim(id, key, claim)).detach();
            }
            Effect::ShareSuspects { .. } => {
                spawn(async move { shell.share_suspects().await }).detach();
            }
            _ => {}
        }
    }

    /// Runs an effect whose result the request waits for: a call to the table, a peer or the object
    /// store.
    async fn run_lookup(self: &Arc<Self>, id: RequestId, effect: Effect) -> Option<Event> {
        match effect {
            Effect::WriteClaim {
                key,
                version,
                claim,
                ..
            } => {
                let result = self.write_claim(&key, version, &claim).await;
                Some(Event::ClaimResult { id, result })
            }
            Effect::ReadClaim { key, .. } => {
                let result = self.read_claim(&key).await;
                Some(Event::ClaimResult { id, result })
            }
            Effect::QueryClaimant {
                peer,
                boot,
                claimed: request,
                ..
            } => {
                let status = self
                    .query_claimant(&peer, ClaimQuery { boot, request })
                    .await;
                Some(Event::ClaimStatus { id, status })
            }
            Effect::ReadHandover { key, .. } => {
                let handover = self.read_handover(&key).await;
                Some(Event::HandoverRead { id, handover })
            }
            Effect::ShareSuspects { .. } => {
                self.share_suspects().await;
                Some(Event::SuspectsShared { id })
            }
            _ => None,
        }
    }

    /// Sends the caller its final response.
    async fn send_final(
        &self,
        id: RequestId,
        effect: Effect,
        state: &mut RequestState,
        caller: &mut RequestCaller,
    ) {
        match effect {
            Effect::Deliver { .. } => self.deliver(id, state, caller).await,
            Effect::Replay { response, .. } => {
                state.cause = Some(BurnCause::Good);
                self.count(&state.kind, Outcome::Done);
                let response = raw(response.status, response.body, &response.content_type);
                caller.respond(with_outcome(response, Outcome::Done)).await;
            }
            Effect::Refuse { refusal, .. } => {
                state.cause = burn_cause(&refusal, caller.stream.is_some());
                self.count(&state.kind, refusal.outcome);
                caller.abort_stream(&refusal).await;
                caller.respond(refuse(&refusal)).await;
            }
            _ => {}
        }
    }

    async fn dispatch(
        &self,
        id: RequestId,
        n: AttemptId,
        addr: &str,
        resume: u64,
        state: &mut RequestState,
        caller: &mut RequestCaller,
    ) -> Event {
        match self.run_attempt(n, addr, resume, state, caller).await {
            RunOutcome::AttemptEnded(outcome) => Event::AttemptEnded {
                id,
                attempt: n,
                outcome,
            },
            RunOutcome::CallerDisconnected => Event::CallerDisconnected { id },
        }
    }

    async fn deliver(&self, id: RequestId, state: &mut RequestState, caller: &mut RequestCaller) {
        // A response forwarded from another VM names its own outcome, and that VM counts it in its
        // burn report.
        let forwarded = state
            .response
            .as_ref()
            .filter(|r| r.header("x-outcome").is_some());
        let outcome = forwarded.map_or(Outcome::Done, outcome_of);
        state.cause = forwarded.is_none().then_some(BurnCause::Good);
        self.count(&state.kind, outcome);
        if let Some(stream) = caller.stream.take() {
            let done = StreamPart::Data(b"data: [DONE]\n\n".to_vec());
            let _ = stream.send(done).await;
            let _ = stream.send(StreamPart::End).await;
            return;
        }
        let response = match (&state.payload, &state.operation) {
            (Payload::Generate { chat, .. }, Operation::Generate { model, .. }) => {
                full_response(id, model, *chat, &state.text, state.tokens)
            }
            _ => match state.response.take() {
                Some(response) => with_outcome(response, outcome),
                None => raw(500, Vec::new(), "text/plain"),
            },
        };
        caller.respond(response).await;
    }

    fn count(&self, kind: &str, outcome: Outcome) {
        self.metrics
            .responses
            .with_label_values(&[kind, outcome.as_str()])
            .inc();
    }
}

/// Returns how a refusal counts against the objective; `None` for an error of the caller.
fn burn_cause(refusal: &Refusal, streaming: bool) -> Option<BurnCause> {
    if streaming {
        return Some(BurnCause::Truncated);
    }
    if BurnCause::is_client_error(refusal.kind) {
        return None;
    }
    Some(match refusal.outcome {
        Outcome::Unknown => BurnCause::Unknown,
        _ => BurnCause::Refused,
    })
}
