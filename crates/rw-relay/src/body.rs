//! Bodies, piece by piece.

use crate::{
    Connection, HeadError, HeaderField,
    io_error::{cut, malformed},
};
use std::io;

/// Longest line of a chunked body, in bytes.
const MAX_LINE: usize = 1_024;

/// How a body ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// After so many bytes.
    Length(u64),
    /// With an empty chunk.
    Chunked,
    /// With its connection.
    Close,
}

impl Framing {
    /// What the fields say; nothing if they say nothing.
    ///
    /// # Errors
    ///
    /// [`HeadError::Framing`] if they contradict each other or can't be read.
    pub fn from_headers(headers: &[HeaderField]) -> Result<Option<Self>, HeadError> {
        let mut lengths = headers.iter().filter(|f| f.name == "content-length");
        let mut codings = headers.iter().filter(|f| f.name == "transfer-encoding");
        let one = (lengths.next(), codings.next());
        if lengths.next().is_some() || codings.next().is_some() {
            return Err(HeadError::Framing);
        }
        match one {
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

/// Reads one body off a link.
#[derive(Debug)]
pub(crate) struct Body {
    framing: Framing,
    /// Bytes left of the length or of the chunk.
    left: u64,
    ended: bool,
}

impl Body {
    pub(crate) fn new(framing: Framing) -> Self {
        let left = match framing {
            Framing::Length(n) => n,
            _ => 0,
        };
        Self {
            framing,
            left,
            ended: framing == Framing::Length(0),
        }
    }

    /// The next bytes; nothing at the end of a whole body.
    ///
    /// # Errors
    ///
    /// The connection ended or broke before the body did, or the chunks are malformed.
    pub(crate) async fn next(&mut self, link: &mut Connection) -> io::Result<Option<Vec<u8>>> {
        if self.ended {
            return Ok(None);
        }
        match self.framing {
            Framing::Length(_) => self.take(link).await.map(Some),
            Framing::Chunked => self.next_chunk(link).await,
            Framing::Close => {
                let bytes = link.some(usize::MAX).await?;
                self.ended = bytes.is_empty();
                Ok((!self.ended).then_some(bytes))
            }
        }
    }

    /// The whole body, of at most `most` bytes.
    pub(crate) async fn whole(
        &mut self,
        link: &mut Connection,
        most: usize,
    ) -> io::Result<Vec<u8>> {
        let mut all = Vec::new();
        while let Some(bytes) = self.next(link).await? {
            all.extend_from_slice(&bytes);
            if all.len() > most {
                return Err(io::ErrorKind::FileTooLarge.into());
            }
        }
        Ok(all)
    }

    async fn take(&mut self, link: &mut Connection) -> io::Result<Vec<u8>> {
        let most = usize::try_from(self.left).unwrap_or(usize::MAX);
        let bytes = link.some(most).await?;
        if bytes.is_empty() {
            return Err(cut());
        }
        self.left -= bytes.len() as u64;
        if self.framing != Framing::Chunked {
            self.ended = self.left == 0;
        }
        Ok(bytes)
    }

    async fn next_chunk(&mut self, link: &mut Connection) -> io::Result<Option<Vec<u8>>> {
        if self.left == 0 {
            let line = link.line(MAX_LINE).await?;
            let size = line.split(|b| *b == b';').next().unwrap_or_default();
            let size = std::str::from_utf8(size).map_err(|_| malformed())?.trim();
            let digits = !size.is_empty() && size.bytes().all(|b| b.is_ascii_hexdigit());
            if !digits {
                return Err(malformed());
            }
            self.left = u64::from_str_radix(size, 16).map_err(|_| malformed())?;
            if self.left == 0 {
                // Trailers concern nobody behind this connection.
                while !link.line(MAX_LINE).await?.is_empty() {}
                self.ended = true;
                return Ok(None);
            }
        }
        let bytes = self.take(link).await?;
        if self.left == 0 && !link.line(MAX_LINE).await?.is_empty() {
            return Err(malformed());
        }
        Ok(Some(bytes))
    }
}
