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

/// A part of a streamed response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamPart {
    /// Bytes of the body.
    Data(Vec<u8>),
    /// The body is complete.
    End,
}

/// The parts of a channel; those that are already waiting are joined into one batch, so that
/// they are sent in one write.
fn batches(rx: async_channel::Receiver<StreamPart>) -> impl Stream<Item = io::Result<Vec<u8>>> {
    stream::unfold((rx, false), |(rx, is_ended)| async move {
        if is_ended {
            return None;
        }
        let mut batch = match rx.recv().await {
            Ok(StreamPart::Data(first)) => first,
            Ok(StreamPart::End) => return None,
            Err(_) => return Some((Err(io::ErrorKind::ConnectionAborted.into()), (rx, true))),
        };
        while batch.len() < BATCH_BYTES {
            match rx.try_recv() {
                Ok(StreamPart::Data(more)) => batch.extend(more),
                Ok(StreamPart::End) => return Some((Ok(batch), (rx, true))),
                // The data received before the channel closed is sent first.
                Err(_) => break,
            }
        }
        Some((Ok(batch), (rx, false)))
    })
}

/// A chunked response with server-sent events from a channel. If the channel closes before
/// [`StreamPart::End`], the stream is cut off before its last chunk, so that the reader can distinguish
/// it from a regular end.
#[must_use]
pub fn event_stream(rx: async_channel::Receiver<StreamPart>) -> Response {
    let mut response = Response::new(StatusCode::Ok);
    let reader = Box::pin(batches(rx)).into_async_read();
    response.set_body(Body::from_reader(reader, None));
    response.insert_header("content-type", "text/event-stream");
    response.insert_header("cache-control", "no-store");
    response
}
