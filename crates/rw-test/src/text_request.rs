//! HTTP requests and responses as text.

use rw_http::{Client, Method, Pooling, Request, SendError, Url};
use std::time::Duration;

/// Timeout for the header of a response, and again for its body.
const TIMEOUT: Duration = Duration::from_secs(30);

/// A request with a text body.
#[derive(Debug, Clone, Copy)]
pub struct TextRequest<'a> {
    /// HTTP method.
    pub method: Method,
    /// Path with query.
    pub path: &'a str,
    /// Body; may be empty.
    pub body: &'a str,
    /// Names and values of additional headers.
    pub headers: &'a [(&'a str, &'a str)],
}

/// A response with its body as text.
#[derive(Debug, Clone)]
pub struct TextResponse {
    /// HTTP status code.
    pub status: u16,
    /// The `x-outcome` header, empty if absent.
    pub outcome: String,
    /// The `retry-after` header, empty if absent.
    pub retry_after: String,
    /// The `content-type` header, empty if absent.
    pub content_type: String,
    /// Body; invalid UTF-8 is replaced.
    pub body: String,
}

/// Sends a request to `addr` on a new connection.
///
/// # Errors
///
/// Any [`SendError`].
pub async fn send_request(addr: &str, text: TextRequest<'_>) -> Result<TextResponse, SendError> {
    let url =
        Url::parse(&format!("http://{addr}{}", text.path)).map_err(|_| SendError::InvalidAddr)?;
    let mut request = Request::new(text.method, url);
    request.set_body(text.body);
    for (name, value) in text.headers {
        request.insert_header(*name, *value);
    }
    let response = Client::default()
        .send(addr, request, Pooling::Fresh, TIMEOUT)
        .await?;
    let header = |name| response.header(name).unwrap_or_default().to_owned();
    let (status, outcome, retry_after) = (
        response.status(),
        header("x-outcome"),
        header("retry-after"),
    );
    let content_type = header("content-type");
    let body = response.bytes(TIMEOUT).await?;
    let body = String::from_utf8_lossy(&body).into_owned();
    Ok(TextResponse {
        status,
        outcome,
        retry_after,
        content_type,
        body,
    })
}

/// Sends a GET request for `path` to `addr`.
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
