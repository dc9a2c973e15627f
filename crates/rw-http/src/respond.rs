//! Answers of the listeners.

use futures_util::{
    TryStreamExt as _,
    stream::{self, Stream},
};
use http_types::{Body, Response, StatusCode};
use serde::Serialize;
use std::io;

/// An answer with a JSON body.
#[must_use]
pub fn json<T: Serialize>(status: u16, body: &T) -> Response {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    raw(status, bytes, "application/json")
}

/// An answer with a body of the given type.
#[must_use]
pub fn raw(status: u16, body: Vec<u8>, content_type: &str) -> Response {
    let mut response = Response::new(status_code(status));
    response.set_body(Body::from_bytes(body));
    response.insert_header("content-type", content_type);
    response
}

/// A status code, 500 for one that HTTP doesn't know.
#[must_use]
pub fn status_code(status: u16) -> StatusCode {
    StatusCode::try_from(status).unwrap_or(StatusCode::InternalServerError)
}

/// Size at which what waits of a stream leaves, in bytes.
const BATCH: usize = 8 << 10;

/// The pieces of a stream, with all that wait joined into one, so that they leave in one write.
fn batches(
    rx: async_channel::Receiver<io::Result<Vec<u8>>>,
) -> impl Stream<Item = io::Result<Vec<u8>>> {
    stream::unfold((rx, None), |(rx, held)| async move {
        if let Some(error) = held {
            return Some((Err(error), (rx, None)));
        }
        let mut all = match rx.recv().await.ok()? {
            Ok(first) => first,
            Err(error) => return Some((Err(error), (rx, None))),
        };
        while all.len() < BATCH {
            match rx.try_recv() {
                Ok(Ok(more)) => all.extend(more),
                // What came before it still has to leave.
                Ok(Err(error)) => return Some((Ok(all), (rx, Some(error)))),
                Err(_) => break,
            }
        }
        Some((Ok(all), (rx, None)))
    })
}

/// A chunked stream of server-sent events fed through a channel; an `Err` cuts the stream, so
/// that its reader can tell it from the end.
#[must_use]
pub fn event_stream(rx: async_channel::Receiver<io::Result<Vec<u8>>>) -> Response {
    let mut response = Response::new(StatusCode::Ok);
    let reader = Box::pin(batches(rx)).into_async_read();
    response.set_body(Body::from_reader(reader, None));
    response.insert_header("content-type", "text/event-stream");
    response.insert_header("cache-control", "no-store");
    response
}
