//! One request and its answer as text.

use rw_http::{Client, Method, Pooling, Request, SendError, Url};
use std::time::Duration;

/// Longest wait for an answer.
const LIMIT: Duration = Duration::from_secs(30);

/// A request.
#[derive(Debug, Clone, Copy)]
pub struct TextRequest<'a> {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: &'a str,
    /// Body.
    pub body: &'a str,
    /// Headers.
    pub headers: &'a [(&'a str, &'a str)],
}

/// An answer.
#[derive(Debug, Clone)]
pub struct TextResponse {
    /// HTTP status.
    pub status: u16,
    /// The `x-outcome` header, empty if absent.
    pub outcome: String,
    /// The `retry-after` header, empty if absent.
    pub retry_after: String,
    /// The `content-type` header, empty if absent.
    pub content_type: String,
    /// Body as text.
    pub body: String,
}

/// Sends a request on a new connection.
///
/// # Errors
///
/// Any [`SendError`].
pub async fn send_request(addr: &str, ask: TextRequest<'_>) -> Result<TextResponse, SendError> {
    let url = Url::parse(&format!("http://{addr}{}", ask.path)).map_err(|_| SendError::BadAddr)?;
    let mut request = Request::new(ask.method, url);
    request.set_body(ask.body);
    for (name, value) in ask.headers {
        request.insert_header(*name, *value);
    }
    let reply = Client::default()
        .send(addr, request, Pooling::Fresh, LIMIT)
        .await?;
    let header = |name| reply.header(name).unwrap_or_default().to_owned();
    let (status, outcome, retry_after) =
        (reply.status(), header("x-outcome"), header("retry-after"));
    let content_type = header("content-type");
    let body = reply.bytes(LIMIT).await?;
    let body = String::from_utf8_lossy(&body).into_owned();
    Ok(TextResponse {
        status,
        outcome,
        retry_after,
        content_type,
        body,
    })
}

/// Sends a GET.
///
/// # Errors
///
/// Any [`SendError`].
pub async fn get(addr: &str, path: &str) -> Result<TextResponse, SendError> {
    send_request(
        addr,
        TextRequest {
            method: Method::Get,
            path,
            body: "",
            headers: &[],
        },
    )
    .await
}
