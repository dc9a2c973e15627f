//! Reads message bodies incrementally.

use crate::{
    ChunkDecoder, Connection, HeadError, HeaderField,
    io_error::{malformed, truncated},
};
use std::io;

/// Maximum number of bytes of a chunked body that are decoded at once.
const DECODED_BYTES: usize = 4 << 10;

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
pub(crate) struct BodyReader(BodyState);

#[derive(Debug)]
enum BodyState {
    /// Bytes left of the declared length.
    Length(u64),
    Chunked(ChunkDecoder),
    Close,
    Ended,
}

impl BodyReader {
    pub(crate) fn new(framing: Framing) -> Self {
        Self(match framing {
            Framing::Length(0) => BodyState::Ended,
            Framing::Length(n) => BodyState::Length(n),
            Framing::Chunked => BodyState::Chunked(ChunkDecoder::default()),
            Framing::Close => BodyState::Close,
        })
    }

    /// Returns the next bytes, or `None` at the end of a complete body. Small chunks that have
    /// arrived together are returned together.
    ///
    /// # Errors
    ///
    /// The connection closed or failed before the body was complete, or the chunks are malformed.
    pub(crate) async fn next(&mut self, conn: &mut Connection) -> io::Result<Option<Vec<u8>>> {
        let (bytes, has_ended) = match &mut self.0 {
            BodyState::Ended => (Vec::new(), true),
            BodyState::Length(left) => {
                let max = usize::try_from(*left).unwrap_or(usize::MAX);
                let bytes = conn.read_some(max).await?;
                if bytes.is_empty() {
                    return Err(truncated());
                }
                *left -= bytes.len() as u64;
                (bytes, *left == 0)
            }
            BodyState::Chunked(decoder) => {
                let bytes = next_chunks(decoder, conn).await?;
                (bytes.unwrap_or_default(), decoder.has_ended())
            }
            BodyState::Close => {
                let bytes = conn.read_some(usize::MAX).await?;
                let has_ended = bytes.is_empty();
                (bytes, has_ended)
            }
        };
        if has_ended {
            self.0 = BodyState::Ended;
        }
        Ok((!bytes.is_empty()).then_some(bytes))
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
}

/// Returns the content of the next chunks, or `None` at the end of the body.
async fn next_chunks(
    decoder: &mut ChunkDecoder,
    conn: &mut Connection,
) -> io::Result<Option<Vec<u8>>> {
    loop {
        if let Some(bytes) = decoder.take() {
            return Ok(Some(bytes));
        }
        if decoder.has_ended() {
            return Ok(None);
        }
        if decoder.is_malformed() {
            return Err(malformed());
        }
        if !conn.wait_readable().await? {
            return Err(truncated());
        }
        conn.give_way().await;
        let unread = conn.unread();
        let n = decoder.decode(&unread[..unread.len().min(DECODED_BYTES)]);
        conn.consume(n);
    }
}
