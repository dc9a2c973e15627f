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
const FORWARD_MARGIN: Duration = Duration::from_millis(500);

/// A request under a ticket, as one VM sends it to another.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TicketRequest {
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
pub struct TicketResponse {
    /// What is known of the run.
    pub outcome: Outcome,
    /// When to come back, in whole seconds; empty when asking again is pointless.
    #[serde(rename = "retry")]
    pub retry_after: String,
    /// Answer.
    #[serde(rename = "answer")]
    pub response: RecordedResponse,
}

#[derive(Debug, Serialize)]
struct MintedTicket {
    key: String,
    #[serde(rename = "lasts_ms")]
    ttl_ms: u64,
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
        let minted = MintedTicket {
            key: ticket.key(u128::from_le_bytes(random)),
            ttl_ms: self.core.ticket_ttl_ms,
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
        let Some(request) = ticket_request(call, &attempt.payload, call.deadline.since(self.now()))
        else {
            return false;
        };
        let limit = Duration::from_millis(request.left_ms) + FORWARD_MARGIN;
        let reply =
            self.call_peer_with_retry::<_, TicketResponse>(peer, "run_ticket", &request, limit);
        let watched = future::or(async { reply.await.ok() }, async {
            self.watch_peer(peer).await;
            None
        });
        let Some(TicketResponse {
            outcome,
            retry_after,
            response,
        }) = watched.await
        else {
            return false;
        };
        let mut response = raw(response.status, response.body, &response.kind);
        if !retry_after.is_empty() {
            response.insert_header("retry-after", retry_after);
        }
        attempt.response = Some(with_outcome(response, outcome));
        true
    }

    /// Runs a request under a ticket of this process for a peer.
    pub(crate) async fn run_ticket(
        self: Arc<Self>,
        request: TicketRequest,
    ) -> Option<TicketResponse> {
        // Only a ticket of this VM is run here, so that a call is never sent on in a circle.
        Ticket::parse(&request.key).filter(|t| t.vm == self.settings.vm)?;
        let call = Call {
            caller: request.caller,
            kind: request.kind,
            operation: Operation::Service {
                name: request.service,
                idempotent: false,
            },
            key: Some(request.key),
            fingerprint: request.fingerprint,
            deadline: self.now().plus(request.left_ms),
            explicit_deadline: true,
        };
        let content_type = request.body.kind;
        let payload = Payload::Plain {
            method: Method::from_str(&request.method).ok()?,
            path: request.path,
            content_type: (!content_type.is_empty()).then_some(content_type),
            body: request.body.body,
        };
        let mut response = self.handle_call(call, payload).await;
        let body = response.take_body().into_bytes().await.ok()?;
        let header_value = |name| response.header(name).map(|v| v.last().as_str().to_owned());
        Some(TicketResponse {
            outcome: outcome_of(&response),
            retry_after: header_value("retry-after").unwrap_or_default(),
            response: RecordedResponse {
                status: response.status().into(),
                kind: header_value("content-type").unwrap_or_default(),
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
pub(crate) fn unparsed_outcome(request: &rw_http::Request) -> Outcome {
    // An earlier send of the key may have run.
    match header(request, "idempotency-key") {
        Some(_) => Outcome::Unknown,
        None => Outcome::NotRun,
    }
}

fn ticket_request(call: &Call, payload: &Payload, left_ms: u64) -> Option<TicketRequest> {
    let (
        Operation::Service { name, .. },
        Payload::Plain {
            method,
            path,
            content_type,
            body,
        },
    ) = (&call.operation, payload)
    else {
        return None;
    };
    Some(TicketRequest {
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
            kind: content_type.clone().unwrap_or_default(),
            body: body.clone(),
        },
    })
}
