//! The events of one run, as they are passed on.

use crate::{
    BodyRoom, EventSplitter, EventWriter, Framing, ResponseHead, ResponseWriter, StreamError,
    response_body::FREE_BYTES,
};
use smol::io::AsyncWrite;
use std::mem;

/// Maximum size of an event, of which only complete ones are forwarded.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Passes on the events of one run, so that a caller never receives a part of one. A stream that has
/// begun goes on only with events after the last one that the caller has got.
#[derive(Debug)]
pub struct EventRun<'a, W> {
    writer: EventWriter<'a, W>,
    splitter: EventSplitter,
    framing: Framing,
    is_resumable: bool,
    /// Event after which the run was to begin.
    after: Option<u64>,
    /// Whether a run before it has begun the response.
    goes_on: bool,
    /// Comments before the first event of a stream that may be resumed. Once written, they would keep
    /// another run from beginning the response.
    held: Vec<u8>,
    /// Room for what is held beyond [`FREE_BYTES`], if it is limited.
    room: Option<BodyRoom>,
}

impl<'a, W: AsyncWrite + Unpin> EventRun<'a, W> {
    /// A run whose response has this head and begins after the event `after`; `None` if its events
    /// can't follow what was written of the response.
    pub fn new(
        out: &'a mut ResponseWriter<W>,
        head: &'a ResponseHead,
        is_resumable: bool,
        after: Option<u64>,
    ) -> Option<Self> {
        let goes_on = out.is_started();
        let splitter = match is_resumable {
            true => EventSplitter::after(after),
            false => EventSplitter::unfiltered(),
        };
        // A body that ends with its connection includes what the target sends behind it.
        let splitter = match head.framing {
            Framing::Close => splitter.checked(),
            Framing::Length(_) | Framing::Chunked => splitter,
        };
        Some(Self {
            writer: out.events(head)?,
            splitter,
            framing: head.framing,
            is_resumable,
            after,
            goes_on,
            held: Vec::new(),
            room: None,
        })
    }

    /// Limits what is held of long events to `room` as far as that can grow.
    #[must_use]
    pub fn within(self, room: BodyRoom) -> Self {
        Self {
            room: Some(room),
            ..self
        }
    }

    /// Takes bytes of the body, and returns the events to be written next.
    ///
    /// # Errors
    ///
    /// [`StreamError::Malformed`] if an event is too long, or there is no room for it;
    /// [`StreamError::Unrelated`].
    pub fn take(&mut self, bytes: &[u8]) -> Result<Vec<u8>, StreamError> {
        let events = self.splitter.push(bytes);
        if self.splitter.incomplete().len() > MAX_EVENT_BYTES || !self.has_room() {
            return Err(StreamError::Malformed);
        }
        if self.splitter.has_foreign() && events.is_empty() {
            return Err(StreamError::Malformed);
        }
        if self.goes_on && self.splitter.is_unplaced() {
            return Err(StreamError::Unrelated);
        }
        self.hold_comments(events)
    }

    fn has_room(&mut self) -> bool {
        let memory = self.splitter.memory() + self.held.capacity();
        let room = self.room.as_mut().filter(|_| memory > FREE_BYTES);
        room.is_none_or(|room| room.grow_to(memory))
    }

    /// Adds to what is held, and returns all of it unless it must be held on.
    fn hold_comments(&mut self, events: Vec<u8>) -> Result<Vec<u8>, StreamError> {
        let is_first = self.is_resumable && !self.goes_on;
        if self.held.is_empty() && !(is_first && self.splitter.has_only_comments()) {
            return Ok(events);
        }
        self.held.extend(events);
        if self.held.len() > MAX_EVENT_BYTES {
            return Err(StreamError::Malformed);
        }
        match self.splitter.has_only_comments() {
            true => Ok(Vec::new()),
            false => Ok(mem::take(&mut self.held)),
        }
    }

    /// Writes the events that [`Self::take`] returned.
    ///
    /// # Errors
    ///
    /// [`StreamError::Caller`].
    pub async fn write(&mut self, events: &[u8]) -> Result<(), StreamError> {
        let position = self.splitter.position().filter(|_| self.is_resumable);
        let written = self.writer.write(events, position).await;
        written.map_err(|_| StreamError::Caller)
    }

    /// Ends the stream after the end of the body.
    ///
    /// # Errors
    ///
    /// [`StreamError::Truncated`], [`StreamError::Unrelated`] if no new event came, or
    /// [`StreamError::Caller`].
    pub async fn finish(self) -> Result<(), StreamError> {
        if self.was_cut() {
            return Err(StreamError::Truncated);
        }
        if self.goes_on && self.splitter.last_id() == self.after {
            return Err(StreamError::Unrelated);
        }
        let rest = [&self.held, self.splitter.incomplete()].concat();
        let ended = self.writer.finish(&rest).await;
        ended.map_err(|_| StreamError::Caller)
    }

    /// Whether the target broke off a body that has ended.
    fn was_cut(&self) -> bool {
        // A crash also ends the connection, so without other framing a stream needs at least one event.
        let is_empty = self.framing == Framing::Close && !self.splitter.has_events();
        is_empty || self.splitter.is_inside_event() || self.splitter.has_foreign()
    }
}
