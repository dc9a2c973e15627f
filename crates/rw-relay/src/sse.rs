//! Splits a server-sent event stream into complete events.

use std::mem;

/// A stream may begin with it.
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

/// Finds the end of an event, wherever its bytes are split into reads.
#[derive(Debug, Default)]
struct EndFinder {
    /// Bytes of the event that were looked at.
    searched: usize,
    /// Whether a line with content was found.
    has_content: bool,
    /// Whether the current line has content.
    in_line: bool,
}

impl EndFinder {
    /// Length of the event that `bytes` begin with: up to the first empty line that follows a line with
    /// content. Looks at each byte once, over all calls for one event.
    fn find(&mut self, bytes: &[u8]) -> Option<usize> {
        while let Some(byte) = bytes.get(self.searched) {
            self.searched += 1;
            match byte {
                b'\n' if self.has_content && !self.in_line => {
                    let end = self.searched;
                    *self = Self::default();
                    return Some(end);
                }
                b'\n' => self.in_line = false,
                b'\r' => {}
                _ => {
                    self.in_line = true;
                    self.has_content = true;
                }
            }
        }
        None
    }
}

/// Buffers bytes until an event is complete.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: Vec<u8>,
    end: EndFinder,
    /// Identifier of the last complete event.
    last_id: Option<u64>,
    /// Whether events are returned although an earlier one had the same or a higher identifier.
    keeps_repeats: bool,
    /// Whether an event was returned.
    has_events: bool,
    /// Whether an event with an identifier was returned.
    has_ids: bool,
    /// Whether an event without an identifier was returned before any with one.
    unplaced: bool,
    /// Whether the latest event that was returned had no identifier.
    ends_without_id: bool,
    /// Whether lines are checked that can be none of an event.
    checks_lines: bool,
    /// Whether such a line was found. It and what follows are not returned.
    has_foreign: bool,
}

impl EventSplitter {
    /// Creates a splitter that drops events up to and including `last_id`.
    #[must_use]
    pub fn after(last_id: Option<u64>) -> Self {
        Self {
            last_id,
            ..Self::default()
        }
    }

    /// Creates a splitter that returns all events, for a stream that is never resumed.
    #[must_use]
    pub fn unfiltered() -> Self {
        Self {
            keeps_repeats: true,
            ..Self::default()
        }
    }

    /// Returns nothing from the first event on with a line that can be none of an event, such as one of
    /// the head of another response.
    #[must_use]
    pub fn checked(self) -> Self {
        Self {
            checks_lines: true,
            ..self
        }
    }

    /// Whether bytes were found that are no event.
    #[must_use]
    pub fn has_foreign(&self) -> bool {
        self.has_foreign
    }

    /// Identifier of the last event returned, initially the one given to [`Self::after`].
    #[must_use]
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Adds bytes and returns the events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<u8> {
        self.buffer.extend_from_slice(bytes);
        let mut out = Vec::new();
        if self.has_foreign {
            return out;
        }
        let buffer = mem::take(&mut self.buffer);
        let mut rest = buffer.as_slice();
        while let Some(end) = self.end.find(rest) {
            let event;
            (event, rest) = rest.split_at(end);
            if self.checks_lines && !is_event(event) {
                self.has_foreign = true;
                break;
            }
            self.pass(event, &mut out);
        }
        let taken = buffer.len() - rest.len();
        // Between two events, a stream holds no memory.
        if taken < buffer.len() {
            self.buffer = buffer;
            self.buffer.drain(..taken);
        }
        out
    }

    /// Adds an event to `out`, unless the target repeats it.
    fn pass(&mut self, event: &[u8], out: &mut Vec<u8>) {
        let id = event_id(event);
        let is_repeat = id.is_some() && id <= self.last_id && !self.keeps_repeats;
        if !is_repeat {
            self.record(id, event);
            out.extend_from_slice(event);
        }
    }

    fn record(&mut self, id: Option<u64>, event: &[u8]) {
        self.has_events = true;
        self.last_id = id.or(self.last_id);
        if id.is_some() {
            self.has_ids = true;
            self.ends_without_id = false;
        } else if !is_comment(event) {
            self.unplaced |= !self.has_ids;
            self.ends_without_id = true;
        }
    }

    /// Event after which another run may go on; `None` if later ones without an identifier were
    /// returned, which it might repeat.
    #[must_use]
    pub fn position(&self) -> Option<u64> {
        self.last_id.filter(|_| !self.ends_without_id)
    }

    /// Whether an event without an identifier was returned before any with one, so that it isn't known
    /// whether it follows the event given to [`Self::after`].
    #[must_use]
    pub fn is_unplaced(&self) -> bool {
        self.unplaced
    }

    /// Whether nothing but comments was returned, which any run may follow.
    #[must_use]
    pub fn has_only_comments(&self) -> bool {
        self.has_events && !self.has_ids && !self.unplaced
    }

    /// Whether an event was returned.
    #[must_use]
    pub fn has_events(&self) -> bool {
        self.has_events
    }

    /// Whether an event has begun that is not complete.
    #[must_use]
    pub fn is_inside_event(&self) -> bool {
        self.buffer.iter().any(|b| !matches!(b, b'\r' | b'\n'))
    }

    /// Bytes of memory for what is buffered.
    #[must_use]
    pub fn memory(&self) -> usize {
        self.buffer.capacity()
    }

    /// Buffered bytes of an event that is not complete, or empty lines after the last event.
    #[must_use]
    pub fn incomplete(&self) -> &[u8] {
        &self.buffer
    }
}

/// Identifier of an event; the last one counts if there are several, as for the caller.
fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.rsplit(|b| *b == b'\n');
    let id = lines.find_map(|l| l.strip_prefix(b"id:"))?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}

/// Whether all lines are fields or comments: a field has a name of letters, digits, `-` and `_`.
fn is_event(event: &[u8]) -> bool {
    let is_name_byte = |b: &u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'\r');
    let event = event.strip_prefix(BYTE_ORDER_MARK).unwrap_or(event);
    let mut lines = event.split(|b| *b == b'\n');
    lines.all(|line| line.iter().take_while(|b| **b != b':').all(is_name_byte))
}

/// Whether all lines of an event are comments.
fn is_comment(event: &[u8]) -> bool {
    let mut lines = event.split(|b| *b == b'\n');
    lines.all(|l| matches!(l, [] | [b'\r'] | [b':', ..]))
}
