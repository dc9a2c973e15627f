//! Forwards a response body as it arrives.

use crate::{
    Connection, Dialect, EventRun, Framing, Relay, ResponseHead, StreamError,
    attempt::MAX_BUFFERED_BYTES,
    body::BodyReader,
    call::Call,
    exchange_error::{ExchangeError, caller_result},
    response_progress::ResponseProgress,
    unframed_body::UnframedBody,
};
use rw_gate::{Event, is_refusal_status};

/// Media type of server-sent events.
const EVENT_STREAM: &str = "text/event-stream";

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
    /// The target, if only the end of its connection marks that of the body.
    pub(crate) unframed: Option<UnframedBody<'a>>,
    /// Event for the gate when the first event of the stream is about to be delivered.
    pub(crate) begun: Event,
}

impl<D: Dialect> Relay<D> {
    /// Forwards a response as it arrives.
    pub(crate) async fn stream_response(
        &self,
        call: &Call,
        streamed: StreamedResponse<'_>,
        progress: &mut ResponseProgress,
    ) -> Result<(), ExchangeError> {
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
    ) -> Result<(), ExchangeError> {
        let StreamedResponse { conn, mut body, .. } = streamed;
        let status = streamed.head.status;
        let writer = progress.out.body(&streamed.head);
        let mut writer = writer.ok_or(ExchangeError::Unrelated { status })?;
        let mut is_first = true;
        while let Some(bytes) = body.next(conn).await? {
            if is_first {
                self.first_bytes(call, streamed.from);
                is_first = false;
            }
            caller_result(writer.write(&bytes).await)?;
        }
        self.check_end(streamed.unframed).await?;
        caller_result(writer.finish().await)
    }

    async fn forward_events(
        &self,
        call: &Call,
        streamed: StreamedResponse<'_>,
        progress: &mut ResponseProgress,
    ) -> Result<(), ExchangeError> {
        let StreamedResponse { conn, mut body, .. } = streamed;
        let (head, after) = (&streamed.head, streamed.resume_after);
        let failed = |error| ExchangeError::of_stream(error, head.status);
        let run = EventRun::new(&mut progress.out, head, streamed.is_resumable, after);
        let run = run.ok_or(failed(StreamError::Unrelated))?;
        let mut run = run.within(self.answers.empty_room());
        let mut begun = Some(streamed.begun);
        let mut is_first = true;
        while let Some(bytes) = body.next(conn).await? {
            if is_first {
                self.first_bytes(call, streamed.from);
                is_first = false;
            }
            let events = run.take(&bytes).map_err(failed)?;
            if events.is_empty() {
                continue;
            }
            if let Some(event) = begun.take() {
                self.step(event);
            }
            run.write(&events).await.map_err(failed)?;
        }
        self.check_end(streamed.unframed).await?;
        run.finish().await.map_err(failed)
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
