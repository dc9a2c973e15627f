//! Responses in the common JSON format of language model APIs.

use rw_http::{Response, json, raw};
use rw_types::{Outcome, Refusal, RequestId};
use serde::Serialize;
use serde_json::json as value;

/// Builds one server-sent event of a streamed response.
#[must_use]
pub fn chunk(id: RequestId, model: &str, chat: bool, text: &str) -> Vec<u8> {
    let (object, choice) = if chat {
        (
            "chat.completion.chunk",
            value!({ "index": 0, "delta": { "content": text } }),
        )
    } else {
        ("text_completion", value!({ "index": 0, "text": text }))
    };
    let body =
        value!({ "id": format!("rw-{id}"), "object": object, "model": model, "choices": [choice] });
    format!("data: {body}\n\n").into_bytes()
}

/// Builds a complete response with `tokens` generated tokens.
#[must_use]
pub fn full_response(id: RequestId, model: &str, chat: bool, text: &str, tokens: u64) -> Response {
    let (object, choice) = if chat {
        let message = value!({ "role": "assistant", "content": text });
        (
            "chat.completion",
            value!({ "index": 0, "message": message, "finish_reason": "stop" }),
        )
    } else {
        (
            "text_completion",
            value!({ "index": 0, "text": text, "finish_reason": "stop" }),
        )
    };
    let usage = value!({ "completion_tokens": tokens });
    let body = value!({ "id": format!("rw-{id}"), "object": object, "model": model, "choices": [choice], "usage": usage });
    with_outcome(json(200, &body), Outcome::Done)
}

#[derive(Debug, Serialize)]
struct ErrorBody<'a> {
    error: ErrorText<'a>,
}

#[derive(Debug, Serialize)]
struct ErrorText<'a> {
    kind: &'a str,
    message: &'a str,
    outcome: Outcome,
    retry_after_ms: u64,
}

/// Returns the body of a refusal as JSON.
#[must_use]
pub fn refusal_body(refusal: &Refusal) -> String {
    let kind = value!(refusal.kind);
    let message = refusal.kind.to_string();
    let error = ErrorText {
        kind: kind.as_str().unwrap_or_default(),
        message: &message,
        outcome: refusal.outcome,
        retry_after_ms: refusal.retry_ms,
    };
    serde_json::to_string(&ErrorBody { error }).unwrap_or_default()
}

/// Builds the response to a refused request, with `retry-after` in whole seconds, rounded up.
#[must_use]
pub fn refuse(refusal: &Refusal) -> Response {
    let body = refusal_body(refusal).into_bytes();
    let mut response = raw(refusal.kind.status(), body, "application/json");
    if refusal.retry_ms > 0 {
        let seconds = refusal.retry_ms.div_ceil(1_000);
        response.insert_header("retry-after", seconds.to_string());
    }
    with_outcome(response, refusal.outcome)
}

/// Builds the response to a request that could not be parsed.
#[must_use]
pub fn bad_request(status: u16, message: &str, outcome: Outcome) -> Response {
    with_outcome(error(status, "bad-request", message, outcome), outcome)
}

/// Builds an error response to a request that did not run and must not be retried unchanged.
pub(crate) fn error(status: u16, kind: &str, message: &str, outcome: Outcome) -> Response {
    let error = ErrorText {
        kind,
        message,
        outcome,
        retry_after_ms: 0,
    };
    json(status, &ErrorBody { error })
}

/// Sets the `x-outcome` header.
#[must_use]
pub fn with_outcome(mut response: Response, outcome: Outcome) -> Response {
    response.insert_header("x-outcome", outcome.as_str());
    response
}
