//! Forwards a response body as it arrives.

use crate::{
    Dialect, EventSplitter, Framing, Relay, ResponseHead,
    body::BodyReader,
    call::Call,
    exchange_error::{ExchangeError, caller_result},
    io_error::{malformed, truncated},
    pool::TargetConnection,
    response_progress::ResponseProgress,
};
use rw_gate::{Dispatch, DispatchOutcome, Event};

/// Media type of server-sent events.
const EVENT_STREAM: &str = "text/event-stream";
/// Maximum size of an event, of which only complete ones are forwarded.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// A response whose body is forwarded as it arrives.
#[derive(Debug)]
pub(crate) struct StreamedResponse {
    pub(crate) conn: TargetConnection,
    pub(crate) head: ResponseHead,
    pub(crate) body: BodyReader,
}

impl<D: Dialect> Relay<D> {
    /// Forwards a response. An event stream is forwarded by complete events, so that a caller never
    /// receives a part of one.
    pub(crate) async fn stream_response(
        &self,
        call: &Call,
        dispatch: &Dispatch,
        streamed: StreamedResponse,
        progress: &mut ResponseProgress,
    ) -> Result<DispatchOutcome, ExchangeError> {
        let StreamedResponse {
            mut conn,
            mut head,
            mut body,
        } = streamed;
        let mut splitter = match dispatch.resumable {
            true => EventSplitter::after(progress.last_event),
            false => EventSplitter::unfiltered(),
        };
        let has_events = dispatch.stream && is_event_stream(&head);
        let framing = head.framing;
        if has_events && framing != Framing::Length(0) {
            // The length that a target declares doesn't hold once another continues its stream.
            head.framing = Framing::Chunked;
        }
        let mut is_first = true;
        let mut is_begun = false;
        while let Some(bytes) = body.next(&mut conn.connection).await? {
            if is_first {
                self.first_bytes(call, dispatch);
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
                if has_events && !is_begun {
                    self.step(Event::StreamBegun { id: call.id });
                    is_begun = true;
                }
                write_body(progress, &head, &bytes).await?;
                progress.last_event = splitter.last_id();
            }
        }
        if has_events && was_cut(framing, &splitter) {
            return Err(truncated().into());
        }
        write_body(progress, &head, splitter.incomplete()).await?;
        caller_result(progress.out.finish().await)?;
        self.release(conn, &head, true);
        Ok(DispatchOutcome::Delivered)
    }

    fn first_bytes(&self, call: &Call, dispatch: &Dispatch) {
        self.step(Event::FirstEvent { id: call.id });
        self.metrics.first_event(call.arrived, self.clock.now());
        log::debug!(call = call.call_id.as_str(), at = dispatch.target.as_str(); "first event");
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
