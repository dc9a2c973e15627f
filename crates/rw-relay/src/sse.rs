//! Splits a stream into whole events.

/// Collects bytes until an event is whole.
#[derive(Debug, Default)]
pub struct EventSplitter {
    held: Vec<u8>,
    /// Identity of the last whole event.
    last: Option<u64>,
}

impl EventSplitter {
    /// A splitter that drops events up to and with `last`.
    #[must_use]
    pub fn after(last: Option<u64>) -> Self {
        Self {
            held: Vec::new(),
            last,
        }
    }

    /// Identity of the last whole event given out.
    #[must_use]
    pub fn last_id(&self) -> Option<u64> {
        self.last
    }

    /// Takes bytes and returns the events that are whole now.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<u8> {
        self.held.extend_from_slice(bytes);
        let mut out = Vec::new();
        while let Some(end) = event_end(&self.held) {
            let event: Vec<u8> = self.held.drain(..end).collect();
            let id = event_id(&event);
            // A target that repeats an event must not make the caller get it twice.
            if id.is_some() && id <= self.last {
                continue;
            }
            self.last = id.or(self.last);
            out.extend_from_slice(&event);
        }
        out
    }

    /// Bytes of an event that never became whole.
    #[must_use]
    pub fn incomplete(&self) -> &[u8] {
        &self.held
    }
}

/// End of the first event: a line end directly after a line end.
fn event_end(bytes: &[u8]) -> Option<usize> {
    let mut blank = true;
    let mut empty_so_far = true;
    for (i, byte) in bytes.iter().enumerate() {
        match byte {
            b'\n' if blank && !empty_so_far => return Some(i + 1),
            b'\n' => blank = true,
            b'\r' => {}
            _ => {
                blank = false;
                empty_so_far = false;
            }
        }
    }
    None
}

fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|b| *b == b'\n');
    let id = lines.find_map(|l| l.strip_prefix(b"id:"))?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
