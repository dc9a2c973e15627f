//! Constructors of responses.

use futures_util::{
    TryStreamExt as _,
    stream::{self, Stream},
};
use http_types::{Body, Response, StatusCode};
use serde::Serialize;
use std::io;

/// A response with a JSON body.
#[must_use]
pub fn json<T: Serialize>(status: u16, body: &T) -> Response {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    raw(status, bytes, "application/json")
}

/// A response with a body of the given content type.
#[must_use]
pub fn raw(status: u16, body: Vec<u8>, content_type: &str) -> Response {
    let mut response = Response::new(status_code(status));
    response.set_body(Body::from_bytes(body));
    response.insert_header("content-type", content_type);
    response
}

/// A status code; 500 if `status` is not a known one.
#[must_use]
pub fn status_code(status: u16) -> StatusCode {
    StatusCode::try_from(status).unwrap_or(StatusCode::InternalServerError)
}

/// Size from which a batch takes no further messages.
const BATCH_BYTES: usize = 8 << 10;

/// The messages of a channel; those that are already waiting are joined into one batch, so that
/// they are sent in one write.
fn batches(
    rx: async_channel::Receiver<io::Result<Vec<u8>>>,
) -> impl Stream<Item = io::Result<Vec<u8>>> {
    stream::unfold((rx, None), |(rx, failed)| async move {
        if let Some(error) = failed {
            return Some((Err(error), (rx, None)));
        }
        let mut batch = match rx.recv().await.ok()? {
            Ok(first) => first,
            Err(error) => return Some((Err(error), (rx, None))),
        };
        while batch.len() < BATCH_BYTES {
            match rx.try_recv() {
                Ok(Ok(more)) => batch.extend(more),
                // The data received before the error is sent first.
                Ok(Err(error)) => return Some((Ok(batch), (rx, Some(error)))),
                Err(_) => break,
            }
        }
        Some((Ok(batch), (rx, None)))
    })
}

/// A chunked response with server-sent events from a channel. An `Err` cuts the stream off before
/// its last chunk, so that the reader can distinguish it from a regular end.
#[must_use]
pub fn event_stream(rx: async_channel::Receiver<io::Result<Vec<u8>>>) -> Response {
    let mut response = Response::new(StatusCode::Ok);
    let reader = Box::pin(batches(rx)).into_async_read();
    response.set_body(Body::from_reader(reader, None));
    response.insert_header("content-type", "text/event-stream");
    response.insert_header("cache-control", "no-store");
    response
}
