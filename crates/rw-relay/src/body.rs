//! Reads message bodies incrementally.

use crate::{
    Connection, HeadError, HeaderField,
    io_error::{malformed, truncated},
};
use std::io;

/// Maximum length of a chunk-size or trailer line.
const MAX_LINE_BYTES: usize = 1_024;
/// Length of a chunk-size line that doesn't count towards [`MAX_EXTRA_BYTES`]: the digits of the highest
/// size.
const SIZE_DIGITS: usize = 16;
const LINE_END: &[u8] = b"\r\n";
/// Maximum number of bytes of a chunked body that are neither its content nor the digits of chunk sizes:
/// extensions, leading zeros and trailers together.
const MAX_EXTRA_BYTES: usize = 16 << 10;

/// How the end of a message body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// After this many bytes, as `content-length` declares.
    Length(u64),
    /// With an empty chunk, in the chunked transfer coding.
    Chunked,
    /// When the connection closes.
    Close,
}

impl Framing {
    /// Returns the framing that the headers declare; `None` if they declare none.
    ///
    /// # Errors
    ///
    /// [`HeadError::Framing`] if the headers conflict, are repeated or can't be parsed.
    pub fn from_headers(headers: &[HeaderField]) -> Result<Option<Self>, HeadError> {
        let mut lengths = headers.iter().filter(|f| f.name == "content-length");
        let mut codings = headers.iter().filter(|f| f.name == "transfer-encoding");
        let found = (lengths.next(), codings.next());
        if lengths.next().is_some() || codings.next().is_some() {
            return Err(HeadError::Framing);
        }
        match found {
            (None, None) => Ok(None),
            (None, Some(coding)) if coding.value.eq_ignore_ascii_case("chunked") => {
                Ok(Some(Self::Chunked))
            }
            (Some(length), None) if length.value.bytes().all(|b| b.is_ascii_digit()) => {
                let length = length.value.parse().map_err(|_| HeadError::Framing)?;
                Ok(Some(Self::Length(length)))
            }
            _ => Err(HeadError::Framing),
        }
    }
}

/// Reads one body from a connection.
#[derive(Debug)]
pub(crate) struct BodyReader {
    framing: Framing,
    /// Bytes left of the declared length or of the current chunk.
    remaining: u64,
    /// Bytes left for what is neither content nor the digits of chunk sizes.
    extra: usize,
    finished: bool,
}

impl BodyReader {
    pub(crate) fn new(framing: Framing) -> Self {
        let remaining = match framing {
            Framing::Length(n) => n,
            _ => 0,
        };
        Self {
            framing,
            remaining,
            extra: MAX_EXTRA_BYTES,
            finished: framing == Framing::Length(0),
        }
    }

    /// Returns the next bytes, or `None` at the end of a complete body.
    ///
    /// # Errors
    ///
    /// The connection closed or failed before the body was complete, or the chunks are malformed.
    pub(crate) async fn next(&mut self, conn: &mut Connection) -> io::Result<Option<Vec<u8>>> {
        if self.finished {
            return Ok(None);
        }
        match self.framing {
            Framing::Length(_) => self.read_part(conn).await.map(Some),
            Framing::Chunked => self.next_chunk(conn).await,
            Framing::Close => {
                let bytes = conn.read_some(usize::MAX).await?;
                self.finished = bytes.is_empty();
                Ok((!self.finished).then_some(bytes))
            }
        }
    }

    /// Reads the full body; one over `max` bytes fails with `FileTooLarge`.
    pub(crate) async fn read_all(
        &mut self,
        conn: &mut Connection,
        max: usize,
    ) -> io::Result<Vec<u8>> {
        let mut all = Vec::new();
        while let Some(bytes) = self.next(conn).await? {
            all.extend_from_slice(&bytes);
            if all.len() > max {
                return Err(io::ErrorKind::FileTooLarge.into());
            }
        }
        Ok(all)
    }

    async fn read_part(&mut self, conn: &mut Connection) -> io::Result<Vec<u8>> {
        let max = usize::try_from(self.remaining).unwrap_or(usize::MAX);
        let bytes = conn.read_some(max).await?;
        if bytes.is_empty() {
            return Err(truncated());
        }
        self.remaining -= bytes.len() as u64;
        if self.framing != Framing::Chunked {
            self.finished = self.remaining == 0;
        }
        Ok(bytes)
    }

    async fn next_chunk(&mut self, conn: &mut Connection) -> io::Result<Option<Vec<u8>>> {
        if self.remaining == 0 {
            let line = conn.read_line(MAX_LINE_BYTES).await?;
            self.spend_extra(line.len().saturating_sub(SIZE_DIGITS))?;
            let size = line.split(|b| *b == b';').next().unwrap_or_default();
            let size = std::str::from_utf8(size).map_err(|_| malformed())?.trim();
            let is_hex = !size.is_empty() && size.bytes().all(|b| b.is_ascii_hexdigit());
            if !is_hex {
                return Err(malformed());
            }
            self.remaining = u64::from_str_radix(size, 16).map_err(|_| malformed())?;
            if self.remaining == 0 {
                // Trailers are read and not forwarded.
                loop {
                    let line = conn.read_line(MAX_LINE_BYTES).await?;
                    if line.is_empty() {
                        break;
                    }
                    self.spend_extra(line.len() + LINE_END.len())?;
                }
                self.finished = true;
                return Ok(None);
            }
        }
        let bytes = self.read_part(conn).await?;
        if self.remaining == 0 && !conn.read_line(MAX_LINE_BYTES).await?.is_empty() {
            return Err(malformed());
        }
        Ok(Some(bytes))
    }

    fn spend_extra(&mut self, bytes: usize) -> io::Result<()> {
        self.extra = self.extra.checked_sub(bytes).ok_or_else(malformed)?;
        Ok(())
    }
}
