//! Forwards a response body as it arrives.

use crate::{
    Connection, Dialect, EventSplitter, Framing, Relay, ResponseHead,
    body::BodyReader,
    call::Call,
    exchange_error::{ExchangeError, caller_result},
    io_error::{malformed, truncated},
    response_progress::ResponseProgress,
};
use rw_gate::Event;

/// Media type of server-sent events.
const EVENT_STREAM: &str = "text/event-stream";
/// Maximum size of an event, of which only complete ones are forwarded.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// A response whose body is forwarded as it arrives.
#[derive(Debug)]
pub(crate) struct StreamedResponse<'a> {
    pub(crate) conn: &'a mut Connection,
    pub(crate) head: ResponseHead,
    pub(crate) body: BodyReader,
    /// Whether events are expected.
    pub(crate) is_stream: bool,
    /// Whether the stream may be resumed.
    pub(crate) is_resumable: bool,
    /// Target or node that sends it.
    pub(crate) from: &'a str,
    /// Event for the gate when the first event of the stream is about to be delivered.
    pub(crate) begun: Event,
}

impl<D: Dialect> Relay<D> {
    /// Forwards a response. An event stream is forwarded by complete events, so that a caller never
    /// receives a part of one.
    pub(crate) async fn stream_response(
        &self,
        call: &Call,
        streamed: StreamedResponse<'_>,
        progress: &mut ResponseProgress,
    ) -> Result<(), ExchangeError> {
        let StreamedResponse {
            conn,
            mut head,
            mut body,
            is_stream,
            is_resumable,
            from,
            begun,
        } = streamed;
        let mut splitter = match is_resumable {
            true => EventSplitter::after(progress.last_event),
            false => EventSplitter::unfiltered(),
        };
        let mut begun = Some(begun);
        let has_events = is_stream && is_event_stream(&head);
        let framing = head.framing;
        if has_events && framing != Framing::Length(0) {
            // The length that a target declares doesn't hold once another continues its stream.
            head.framing = Framing::Chunked;
        }
        let mut is_first = true;
        while let Some(bytes) = body.next(conn).await? {
            if is_first {
                self.first_bytes(call, from);
                is_first = false;
            }
            let bytes = match has_events {
                true => splitter.push(&bytes),
                false => bytes,
            };
            if splitter.incomplete().len() > MAX_EVENT_BYTES {
                return Err(malformed().into());
            }
            if !bytes.is_empty() {
                if let Some(event) = begun.take_if(|_| has_events) {
                    self.step(event);
                }
                write_body(progress, &head, &bytes).await?;
                progress.last_event = splitter.last_id();
            }
        }
        if has_events && was_cut(framing, &splitter) {
            return Err(truncated().into());
        }
        write_body(progress, &head, splitter.incomplete()).await?;
        caller_result(progress.out.finish().await)
    }

    fn first_bytes(&self, call: &Call, from: &str) {
        self.step(Event::FirstEvent { id: call.id });
        self.metrics.first_event(call.arrived, self.clock.now());
        log::debug!(call = call.call_id.as_str(), at = from; "first event");
    }
}

/// Writes a part of the body, and before the first one the head.
async fn write_body(
    progress: &mut ResponseProgress,
    head: &ResponseHead,
    bytes: &[u8],
) -> Result<(), ExchangeError> {
    let out = &mut progress.out;
    let written = match out.is_started() {
        true => out.write_chunk(bytes).await,
        false => out.write_head(head, bytes).await,
    };
    caller_result(written)
}

/// Whether the body is a stream of server-sent events; one without a content type is taken for one.
fn is_event_stream(head: &ResponseHead) -> bool {
    let content_type = head.header("content-type").unwrap_or(EVENT_STREAM);
    let media_type = content_type.split(';').next().unwrap_or_default();
    media_type.trim().eq_ignore_ascii_case(EVENT_STREAM)
}

/// Whether an event stream whose body has ended was broken off by the target.
fn was_cut(framing: Framing, splitter: &EventSplitter) -> bool {
    // A crash also ends the connection, so without other framing a stream needs at least one event.
    let is_empty = framing == Framing::Close && !splitter.has_events();
    is_empty || splitter.is_inside_event()
}
