//! Decodes the chunked transfer coding.

use std::mem;

/// Maximum length of a chunk-size or trailer line.
const MAX_LINE_BYTES: usize = 1_024;
/// Length of a chunk-size line that doesn't count towards [`MAX_EXTRA_BYTES`]: the digits of the highest
/// size.
const SIZE_DIGITS: usize = 16;
const LINE_END: &[u8] = b"\r\n";
/// Maximum number of bytes of a chunked body that are neither its content nor the digits of chunk sizes:
/// extensions, leading zeros and trailers together.
const MAX_EXTRA_BYTES: usize = 16 << 10;

/// What the next bytes of a chunked body are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Part {
    /// The line with the size of a chunk.
    Size,
    /// The content of a chunk, of which this many bytes are due.
    Content(u64),
    /// The end of the line behind the content of a chunk.
    ContentEnd,
    /// A line behind the last chunk; the empty one ends the body.
    Trailer,
    /// What follows the body.
    End,
    /// Bytes that are no chunk.
    Malformed,
}

/// Decodes one body. It looks at each byte once, however the body is split into chunks and reads.
#[derive(Debug)]
pub struct ChunkDecoder {
    part: Part,
    /// The part of a line that was read.
    line: Vec<u8>,
    /// Bytes left for what is neither content nor the digits of chunk sizes.
    extra: usize,
    content: Vec<u8>,
    /// Bytes of the content that can be taken. The last bytes of a chunk can't before its end is read.
    ready: usize,
}

impl Default for ChunkDecoder {
    fn default() -> Self {
        Self {
            part: Part::Size,
            line: Vec::new(),
            extra: MAX_EXTRA_BYTES,
            content: Vec::new(),
            ready: 0,
        }
    }
}

impl ChunkDecoder {
    /// Whether the whole body was decoded.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        self.part == Part::End
    }

    /// Whether the body goes on with bytes that are no chunk.
    #[must_use]
    pub fn is_malformed(&self) -> bool {
        self.part == Part::Malformed
    }

    /// Decodes bytes, and returns how many of them were part of the body.
    pub fn decode(&mut self, bytes: &[u8]) -> usize {
        let mut rest = bytes;
        while !rest.is_empty() && !self.has_ended() && !self.is_malformed() {
            rest = match self.part {
                Part::Content(due) => self.take_content(rest, due),
                _ => self.take_line(rest),
            };
        }
        bytes.len() - rest.len()
    }

    /// Takes the content that was decoded, if there is any.
    pub fn take(&mut self) -> Option<Vec<u8>> {
        if self.ready == 0 {
            return None;
        }
        let held = self.content.split_off(self.ready);
        self.ready = 0;
        Some(mem::replace(&mut self.content, held))
    }

    fn take_content<'a>(&mut self, bytes: &'a [u8], due: u64) -> &'a [u8] {
        let n = usize::try_from(due).map_or(bytes.len(), |due| due.min(bytes.len()));
        let (content, rest) = bytes.split_at(n);
        self.content.extend_from_slice(content);
        self.part = match due - n as u64 {
            0 => Part::ContentEnd,
            left => {
                self.ready = self.content.len();
                Part::Content(left)
            }
        };
        rest
    }

    fn take_line<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        let end = bytes.iter().position(|b| *b == b'\n');
        let (line, rest) = bytes.split_at(end.map_or(bytes.len(), |i| i + 1));
        self.line.extend_from_slice(line);
        if self.line.len() > MAX_LINE_BYTES + LINE_END.len() {
            self.part = Part::Malformed;
        } else if end.is_some() {
            let mut line = mem::take(&mut self.line);
            let next = line.strip_suffix(LINE_END).and_then(|l| self.end_line(l));
            self.part = next.unwrap_or(Part::Malformed);
            line.clear();
            self.line = line;
        }
        rest
    }

    /// What follows a line; `None` if it is malformed.
    fn end_line(&mut self, line: &[u8]) -> Option<Part> {
        match self.part {
            Part::Size => {
                self.spend_extra(line.len().saturating_sub(SIZE_DIGITS))?;
                Some(match chunk_size(line)? {
                    0 => Part::Trailer,
                    size => Part::Content(size),
                })
            }
            Part::ContentEnd if line.is_empty() => {
                self.ready = self.content.len();
                Some(Part::Size)
            }
            Part::Trailer if line.is_empty() => Some(Part::End),
            // Trailers are read and not forwarded.
            Part::Trailer => {
                self.spend_extra(line.len() + LINE_END.len())?;
                Some(Part::Trailer)
            }
            _ => None,
        }
    }

    fn spend_extra(&mut self, bytes: usize) -> Option<()> {
        self.extra = self.extra.checked_sub(bytes)?;
        Some(())
    }
}

/// The size that the line before a chunk declares, without its extensions.
fn chunk_size(line: &[u8]) -> Option<u64> {
    let size = line.split(|b| *b == b';').next().unwrap_or_default();
    let size = std::str::from_utf8(size).ok()?.trim();
    let is_hex = !size.is_empty() && size.bytes().all(|b| b.is_ascii_hexdigit());
    u64::from_str_radix(size, 16).ok().filter(|_| is_hex)
}
