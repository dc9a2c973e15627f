//! Answers of the listeners.

use http_types::{Body, Response, StatusCode};
use serde::Serialize;

/// An answer with a JSON body.
#[must_use]
pub fn json<T: Serialize>(status: u16, body: &T) -> Response {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    raw(status, bytes, "application/json")
}

/// An answer with a body of the given type.
#[must_use]
pub fn raw(status: u16, body: Vec<u8>, content_type: &str) -> Response {
    let mut response = Response::new(code(status));
    response.set_body(Body::from_bytes(body));
    response.insert_header("content-type", content_type);
    response
}

/// A status code, 500 for one that HTTP doesn't know.
#[must_use]
pub fn code(status: u16) -> StatusCode {
    StatusCode::try_from(status).unwrap_or(StatusCode::InternalServerError)
}

/// A chunked stream of server-sent events fed through a channel; an `Err` cuts the stream, so
/// that its reader can tell it from the end.
#[must_use]
pub fn events(rx: async_channel::Receiver<std::io::Result<Vec<u8>>>) -> Response {
    use futures_util::TryStreamExt as _;
    let mut response = Response::new(StatusCode::Ok);
    let reader = Box::pin(rx).into_async_read();
    response.set_body(Body::from_reader(reader, None));
    response.insert_header("content-type", "text/event-stream");
    response.insert_header("cache-control", "no-store");
    response
}
