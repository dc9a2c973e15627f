//! Dispatches a call to a plain service.

use crate::{Shell, attempt::ATTEMPT_HEADER, payload::Payload, request_state::RequestState};
use rw_core::{AttemptOutcome, Operation, RecordedResponse};
use rw_http::{Method, Pooling, Request, SendError, Url, raw};
use rw_types::AttemptId;

impl Shell {
    pub(crate) async fn call_plain(
        &self,
        n: AttemptId,
        addr: &str,
        state: &mut RequestState,
    ) -> AttemptOutcome {
        match self.try_plain(n, addr, state).await {
            Ok(None) => AttemptOutcome::Rejected,
            Ok(Some(recorded)) => {
                let RecordedResponse {
                    status,
                    content_type,
                    body,
                } = recorded.clone();
                state.response = Some(raw(status, body, &content_type));
                let RecordedResponse {
                    status,
                    content_type,
                    body,
                } = recorded;
                AttemptOutcome::Complete {
                    status,
                    content_type,
                    body,
                }
            }
            Err(error) => self.failure_outcome(error, 0, addr).await,
        }
    }

    /// Sends the call and returns the response; `None` if the target reports that it did not run
    /// the call.
    async fn try_plain(
        &self,
        n: AttemptId,
        addr: &str,
        state: &RequestState,
    ) -> Result<Option<RecordedResponse>, SendError> {
        let request = plain_request(n, addr, state)?;
        let idempotent = matches!(
            state.operation,
            Operation::Service {
                idempotent: true,
                ..
            }
        );
        // A non-idempotent call can't be retried, so even a late response is worth waiting for.
        let timeout = if idempotent {
            self.settings.first_byte_timeout
        } else {
            self.settings.read_timeout
        };
        // If the target had closed a pooled connection meanwhile, the outcome would be unknown.
        let sent = self.client.send(addr, request, Pooling::Fresh, timeout);
        let response = sent.await?;
        self.notice(addr, &response);
        // A response to another attempt must not reach this caller and says nothing about this one.
        let echoed = response.header(ATTEMPT_HEADER);
        if echoed.is_some_and(|echo| echo != n.to_string()) {
            return Err(SendError::Broken);
        }
        if response.header("x-outcome") == Some("not-run") {
            return Ok(None);
        }
        let status = response.status();
        let content_type = response
            .header("content-type")
            .unwrap_or("application/octet-stream")
            .to_owned();
        // A response to HEAD declares the length of a body that isn't sent; the connection isn't
        // reused.
        let body = match state.payload {
            Payload::Plain {
                method: Method::Head,
                ..
            } => Vec::new(),
            _ => response.bytes(timeout).await?,
        };
        Ok(Some(RecordedResponse {
            status,
            content_type,
            body,
        }))
    }
}

fn plain_request(n: AttemptId, addr: &str, state: &RequestState) -> Result<Request, SendError> {
    let Payload::Plain {
        method,
        path,
        content_type,
        body,
    } = &state.payload
    else {
        return Err(SendError::InvalidAddr);
    };
    let url = Url::parse(&format!("http://{addr}{path}")).map_err(|_| SendError::InvalidAddr)?;
    let mut request = Request::new(*method, url);
    request.set_body(body.clone());
    if let Some(content_type) = content_type {
        request.insert_header("content-type", content_type.as_str());
    }
    if let Some(key) = &state.key {
        request.insert_header("idempotency-key", key.as_str());
    }
    request.insert_header(ATTEMPT_HEADER, n.to_string());
    Ok(request)
}
