//! Mints tickets and forwards their requests to the VM that minted them.

use crate::{
    Shell, completion::refuse, completion::with_outcome, parse::header, payload::Payload,
    request_state::RequestState,
};
use rw_core::{Call, Operation, RecordedResponse, Ticket};
use rw_http::{Method, Response, json, raw};
use rw_types::{Outcome, Refusal, RefusalKind};
use serde::{Deserialize, Serialize};
use smol::future;
use std::{str::FromStr as _, sync::Arc, time::Duration};

/// Time added to the request's deadline for the round trip to the other VM.
const FORWARD_MARGIN: Duration = Duration::from_millis(500);

/// A request with a ticket, as one VM forwards it to another.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TicketRequest {
    /// Name of the caller's account.
    pub caller: String,
    /// Name of the kind of work.
    pub kind: String,
    /// Service name.
    pub service: String,
    /// Idempotency key, which is the ticket.
    pub key: String,
    /// Fingerprint of the path and the body.
    pub fingerprint: u64,
    /// Time left until the deadline, in milliseconds.
    pub left_ms: u64,
    /// HTTP method.
    pub method: String,
    /// Path below the service name, with the query.
    pub path: String,
    /// Content type and body of the request; the status is zero.
    pub body: RecordedResponse,
}

/// Final response of the VM that minted a ticket.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TicketResponse {
    /// Whether the request ran.
    pub outcome: Outcome,
    /// Value of the `retry-after` header in whole seconds; empty if a retry is pointless.
    #[serde(rename = "retry")]
    pub retry_after: String,
    /// Status, content type and body.
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
    /// Mints a ticket for a caller; refused while this VM is shutting down or if the operating system
    /// provides no random numbers.
    pub(crate) fn mint_ticket(&self) -> Response {
        let ticket = self.lock().mint_ticket(self.now());
        let mut random = [0; 16];
        let (Some(ticket), Ok(())) = (ticket, getrandom::fill(&mut random)) else {
            return refuse(&Refusal {
                kind: RefusalKind::ShuttingDown,
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

    /// Forwards a request to the VM that minted its ticket; true if that VM gave a final response.
    ///
    /// The call may be sent twice, because that VM runs each ticket only once.
    pub(crate) async fn forward_ticket(
        &self,
        peer: &str,
        call: &Call,
        state: &mut RequestState,
    ) -> bool {
        let Some(request) = ticket_request(call, &state.payload, call.deadline.since(self.now()))
        else {
            return false;
        };
        let timeout = Duration::from_millis(request.left_ms) + FORWARD_MARGIN;
        let sent =
            self.call_peer_with_retry::<_, TicketResponse>(peer, "run_ticket", &request, timeout);
        let watched = future::or(async { sent.await.ok() }, async {
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
        let mut response = raw(response.status, response.body, &response.content_type);
        if !retry_after.is_empty() {
            response.insert_header("retry-after", retry_after);
        }
        state.response = Some(with_outcome(response, outcome));
        true
    }

    /// Runs a request that a peer forwarded because this VM minted its ticket.
    pub(crate) async fn run_ticket(
        self: Arc<Self>,
        request: TicketRequest,
    ) -> Option<TicketResponse> {
        // Only tickets of this VM are accepted, so that a call is never forwarded in a loop.
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
        let content_type = request.body.content_type;
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
                content_type: header_value("content-type").unwrap_or_default(),
                body,
            },
        })
    }
}

/// Parses the outcome in a response's `x-outcome` header; unknown if there is none.
pub(crate) fn outcome_of(response: &Response) -> Outcome {
    let named = response.header("x-outcome").map(|v| v.last().as_str());
    match named {
        Some("done") => Outcome::Done,
        Some("not-run") => Outcome::NotRun,
        _ => Outcome::Unknown,
    }
}

/// Returns the outcome of a request that was refused before its idempotency key was looked up.
pub(crate) fn unparsed_outcome(request: &rw_http::Request) -> Outcome {
    // An earlier request with the same key may have run.
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
            content_type: content_type.clone().unwrap_or_default(),
            body: body.clone(),
        },
    })
}
