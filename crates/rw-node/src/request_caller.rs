//! Destination of the response to a request.

use crate::completion::{refusal_body, with_outcome};
use rw_http::{Response, StreamPart, event_stream};
use rw_types::{Outcome, Refusal};

/// Number of stream events buffered for a slow caller.
const STREAM_BUFFER: usize = 64;

/// Destination of the response to a request.
#[derive(Debug)]
pub(crate) struct RequestCaller {
    /// Channel for the response; taken when the response or the head of its stream is sent.
    responder: Option<async_channel::Sender<Response>>,
    /// Channel for the body of a streamed response, once its head is sent.
    pub(crate) stream: Option<async_channel::Sender<StreamPart>>,
}

impl RequestCaller {
    /// Creates the destination that `responder` leads to.
    pub(crate) fn new(responder: async_channel::Sender<Response>) -> Self {
        Self {
            responder: Some(responder),
            stream: None,
        }
    }

    /// Sends the head of a streamed response, unless it was sent before.
    pub(crate) fn start_stream(&mut self) {
        if let Some(responder) = self.responder.take() {
            let (tx, rx) = async_channel::bounded(STREAM_BUFFER);
            self.stream = Some(tx);
            let _ = responder.try_send(with_outcome(event_stream(rx), Outcome::Done));
        }
    }

    /// Sends the response, unless one was sent or a stream was started before.
    pub(crate) async fn respond(&mut self, response: Response) {
        if let Some(responder) = self.responder.take() {
            let _ = responder.try_send(response);
        }
    }

    /// Ends a started stream with an error event and aborts the connection, so that the caller can
    /// tell that the response is incomplete.
    pub(crate) async fn abort_stream(&mut self, refusal: &Refusal) {
        if let Some(stream) = self.stream.take() {
            let event = format!("event: error\ndata: {}\n\n", refusal_body(refusal));
            let _ = stream.send(StreamPart::Data(event.into_bytes())).await;
        }
    }
}
