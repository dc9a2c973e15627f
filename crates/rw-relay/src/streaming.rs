//! Forwards a response body as it arrives.

use crate::{
    Connection, Dialect, EventSplitter, Framing, Relay, ResponseHead,
    attempt::MAX_BUFFERED_BYTES,
    body::BodyReader,
    call::Call,
    exchange_error::{ExchangeError, caller_result},
    io_error::{malformed, truncated},
    response_progress::ResponseProgress,
};
use rw_gate::{Event, is_refusal_status};

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
    /// Event after which the stream was to go on.
    pub(crate) resume_after: Option<u64>,
    /// Target or node that sends it.
    pub(crate) from: &'a str,
    /// Event for the gate when the first event of the stream is about to be delivered.
    pub(crate) begun: Event,
}

/// How a response that didn't break off was forwarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StreamEnd {
    Delivered,
    /// It doesn't go on with the response that has begun, which stays incomplete.
    Unrelated,
}

impl<D: Dialect> Relay<D> {
    /// Forwards a response as it arrives.
    pub(crate) async fn stream_response(
        &self,
        call: &Call,
        streamed: StreamedResponse<'_>,
        progress: &mut ResponseProgress,
    ) -> Result<StreamEnd, ExchangeError> {
        match streamed.is_stream && is_event_stream(&streamed.head) {
            true => self.forward_events(call, streamed, progress).await,
            false => self.forward_body(call, streamed, progress).await,
        }
    }

    async fn forward_body(
        &self,
        call: &Call,
        streamed: StreamedResponse<'_>,
        progress: &mut ResponseProgress,
    ) -> Result<StreamEnd, ExchangeError> {
        let StreamedResponse {
            conn,
            head,
            mut body,
            from,
            ..
        } = streamed;
        let Some(mut writer) = progress.out.body(&head) else {
            return Ok(StreamEnd::Unrelated);
        };
        let mut is_first = true;
        while let Some(bytes) = body.next(conn).await? {
            if is_first {
                self.first_bytes(call, from);
                is_first = false;
            }
            caller_result(writer.write(&bytes).await)?;
        }
        caller_result(writer.finish().await)?;
        Ok(StreamEnd::Delivered)
    }

    /// Forwards an event stream by complete events, so that a caller never receives a part of one. A
    /// stream that has begun goes on only with events after the last one that the caller has got.
    async fn forward_events(
        &self,
        call: &Call,
        streamed: StreamedResponse<'_>,
        progress: &mut ResponseProgress,
    ) -> Result<StreamEnd, ExchangeError> {
        let StreamedResponse {
            conn,
            head,
            mut body,
            is_resumable,
            resume_after,
            from,
            begun,
            ..
        } = streamed;
        let mut splitter = match is_resumable {
            true => EventSplitter::after(resume_after),
            false => EventSplitter::unfiltered(),
        };
        let goes_on = progress.out.is_started();
        let Some(mut writer) = progress.out.events(&head) else {
            return Ok(StreamEnd::Unrelated);
        };
        let mut begun = Some(begun);
        let mut is_first = true;
        while let Some(bytes) = body.next(conn).await? {
            if is_first {
                self.first_bytes(call, from);
                is_first = false;
            }
            let events = splitter.push(&bytes);
            if splitter.incomplete().len() > MAX_EVENT_BYTES {
                return Err(malformed().into());
            }
            if events.is_empty() {
                continue;
            }
            if goes_on && splitter.is_unplaced() {
                return Ok(StreamEnd::Unrelated);
            }
            if let Some(event) = begun.take() {
                self.step(event);
            }
            caller_result(writer.write(&events, splitter.position()).await)?;
        }
        if was_cut(head.framing, &splitter) {
            return Err(truncated().into());
        }
        if goes_on && splitter.last_id() == resume_after {
            return Ok(StreamEnd::Unrelated);
        }
        caller_result(writer.finish(splitter.incomplete()).await)?;
        Ok(StreamEnd::Delivered)
    }

    fn first_bytes(&self, call: &Call, from: &str) {
        self.step(Event::FirstEvent { id: call.id });
        self.metrics.first_event(call.arrived, self.clock.now());
        log::debug!(call = call.call_id.as_str(), at = from; "first event");
    }
}

/// Whether a response is forwarded as it arrives rather than held until it is complete.
pub(crate) fn is_streamed(head: &ResponseHead, expects_events: bool) -> bool {
    let is_success = (200..300).contains(&head.status);
    match head.framing {
        Framing::Length(0) => false,
        // The gate decides whether the caller gets a status that promises that the call has not run.
        Framing::Length(n) if n > MAX_BUFFERED_BYTES => !is_refusal_status(head.status),
        _ => expects_events && is_success,
    }
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
