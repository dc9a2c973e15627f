//! Tickets: minting them and sending their requests to the VM that minted them.

use crate::{
    Shell, attempt::Attempt, completion::refuse, completion::with_outcome, parse::header,
    payload::Payload,
};
use rw_core::{Call, Operation, RecordedResponse, Ticket};
use rw_http::{Method, Response, json, raw};
use rw_types::{Outcome, Refusal, RefusalKind};
use serde::{Deserialize, Serialize};
use smol::future;
use std::{str::FromStr as _, sync::Arc, time::Duration};

/// Time for the way there and back beside the request's own deadline.
const FORWARD_SLACK: Duration = Duration::from_millis(500);

/// A request under a ticket, as one VM sends it to another.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TicketCall {
    /// Account of the caller.
    pub caller: String,
    /// Kind of work.
    pub kind: String,
    /// Service wanted.
    pub service: String,
    /// Key.
    pub key: String,
    /// Fingerprint of the body.
    pub fingerprint: u64,
    /// Time left until the answer is due, in milliseconds.
    pub left_ms: u64,
    /// HTTP method.
    pub method: String,
    /// Path and query below the service.
    pub path: String,
    /// Content type and body; the status is zero.
    pub body: RecordedResponse,
}

/// The final answer of the VM that minted a ticket.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TicketAnswer {
    /// What is known of the run.
    pub outcome: Outcome,
    /// When to come back, in whole seconds; empty when asking again is pointless.
    pub retry: String,
    /// Answer.
    pub answer: RecordedResponse,
}

#[derive(Debug, Serialize)]
struct Minted {
    key: String,
    lasts_ms: u64,
}

impl Shell {
    /// Answers a caller who wants a ticket.
    pub(crate) fn mint_ticket(&self) -> Response {
        let ticket = self.lock().mint_ticket(self.now());
        let mut random = [0; 16];
        let (Some(ticket), Ok(())) = (ticket, getrandom::fill(&mut random)) else {
            return refuse(&Refusal {
                kind: RefusalKind::Leaving,
                outcome: Outcome::NotRun,
                retry_ms: self.core.retry_ms,
            });
        };
        let minted = Minted {
            key: ticket.key(u128::from_le_bytes(random)),
            lasts_ms: self.core.ticket_ttl_ms,
        };
        json(201, &minted)
    }

    /// Sends a request to the VM that minted its ticket; true if that VM gave a final answer.
    ///
    /// The call may be sent twice, because that VM runs a ticket only once.
    pub(crate) async fn forward_ticket(
        &self,
        peer: &str,
        call: &Call,
        attempt: &mut Attempt,
    ) -> bool {
        let Some(sent) = ticket_call(call, &attempt.payload, call.deadline.since(self.now()))
        else {
            return false;
        };
        let limit = Duration::from_millis(sent.left_ms) + FORWARD_SLACK;
        let answered = self.ask_peer::<_, TicketAnswer>(peer, "run_ticket", &sent, limit);
        let watched = future::or(async { answered.await.ok() }, async {
            self.watch_peer(peer).await;
            None
        });
        let Some(TicketAnswer {
            outcome,
            retry,
            answer,
        }) = watched.await
        else {
            return false;
        };
        let mut response = raw(answer.status, answer.body, &answer.kind);
        if !retry.is_empty() {
            response.insert_header("retry-after", retry);
        }
        attempt.plain = Some(with_outcome(response, outcome));
        true
    }

    /// Runs a request under a ticket of this process for a peer.
    pub(crate) async fn run_ticket(self: Arc<Self>, sent: TicketCall) -> Option<TicketAnswer> {
        // Only a ticket of this VM is run here, so that a call is never sent on in a circle.
        Ticket::parse(&sent.key).filter(|t| t.vm == self.settings.vm)?;
        let call = Call {
            caller: sent.caller,
            kind: sent.kind,
            operation: Operation::Service {
                name: sent.service,
                idempotent: false,
            },
            key: Some(sent.key),
            fingerprint: sent.fingerprint,
            deadline: self.now().plus(sent.left_ms),
            explicit_deadline: true,
        };
        let kind = sent.body.kind;
        let payload = Payload::Plain {
            method: Method::from_str(&sent.method).ok()?,
            path: sent.path,
            kind: (!kind.is_empty()).then_some(kind),
            body: sent.body.body,
        };
        let mut response = self.answer_call(call, payload).await;
        let body = response.take_body().into_bytes().await.ok()?;
        let head = |name| response.header(name).map(|v| v.last().as_str().to_owned());
        Some(TicketAnswer {
            outcome: outcome_of(&response),
            retry: head("retry-after").unwrap_or_default(),
            answer: RecordedResponse {
                status: response.status().into(),
                kind: head("content-type").unwrap_or_default(),
                body,
            },
        })
    }
}

/// The outcome that an answer names in its header; `unknown` if none.
pub(crate) fn outcome_of(response: &Response) -> Outcome {
    let named = response.header("x-outcome").map(|v| v.last().as_str());
    match named {
        Some("done") => Outcome::Done,
        Some("not-run") => Outcome::NotRun,
        _ => Outcome::Unknown,
    }
}

/// The outcome of a request that was refused before its key was looked up.
pub(crate) fn unread_outcome(request: &rw_http::Request) -> Outcome {
    // An earlier send of the key may have run.
    match header(request, "idempotency-key") {
        Some(_) => Outcome::Unknown,
        None => Outcome::NotRun,
    }
}

fn ticket_call(call: &Call, payload: &Payload, left_ms: u64) -> Option<TicketCall> {
    let (
        Operation::Service { name, .. },
        Payload::Plain {
            method,
            path,
            kind,
            body,
        },
    ) = (&call.operation, payload)
    else {
        return None;
    };
    Some(TicketCall {
        caller: call.caller.clone(),
        kind: call.kind.clone(),
        service: name.clone(),
        key: call.key.clone()?,
        fingerprint: call.fingerprint,
        left_ms,
        method: method.to_string(),
        path: path.clone(),
        body: RecordedResponse {
            status: 0,
            kind: kind.clone().unwrap_or_default(),
            body: body.clone(),
        },
    })
}
