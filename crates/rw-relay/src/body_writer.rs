//! Writes a response's body as it arrives.

use crate::{Framing, ResponseHead, ResponseWriter, response_state::ResponseState};
use smol::io::AsyncWrite;
use std::io;

/// Writes the body of one run, and before its first bytes the head. No other run can go on with it: if
/// the writer is dropped before its end, the response stays incomplete.
#[derive(Debug)]
pub struct BodyWriter<'a, W> {
    out: &'a mut ResponseWriter<W>,
    head: &'a ResponseHead,
    /// Bytes of the declared length that are due; `None` if none is declared.
    due: Option<u64>,
    begun: bool,
}

impl<'a, W: AsyncWrite + Unpin> BodyWriter<'a, W> {
    pub(crate) fn new(out: &'a mut ResponseWriter<W>, head: &'a ResponseHead) -> Self {
        let due = match head.framing {
            Framing::Length(n) => Some(n),
            Framing::Chunked | Framing::Close => None,
        };
        Self {
            out,
            head,
            due,
            begun: false,
        }
    }

    /// Writes more bytes of the body.
    ///
    /// # Errors
    ///
    /// The connection failed, or the bytes exceed the declared length.
    pub async fn write(&mut self, part: &[u8]) -> io::Result<()> {
        let mut bytes = self.head_if_due()?;
        match &mut self.due {
            None => self.out.push_part(&mut bytes, part),
            Some(due) => {
                let left = due.checked_sub(part.len() as u64);
                *due = left.ok_or_else(|| self.out.conflict())?;
                bytes.extend_from_slice(part);
            }
        }
        self.out.write(&bytes, part.len()).await
    }

    /// Ends a body that is complete.
    ///
    /// # Errors
    ///
    /// The connection failed, or the declared length isn't reached.
    pub async fn finish(mut self) -> io::Result<()> {
        let mut bytes = self.head_if_due()?;
        match self.due {
            None => self.out.push_end(&mut bytes),
            Some(0) => {}
            Some(_) => return Err(self.out.conflict()),
        }
        self.out.write(&bytes, 0).await?;
        self.out.put(ResponseState::Complete);
        Ok(())
    }

    /// Bytes of the head before the first bytes of the body, and none later.
    fn head_if_due(&mut self) -> io::Result<Vec<u8>> {
        if self.begun {
            return Ok(Vec::new());
        }
        self.begun = true;
        self.out.begin(self.due)?;
        let mut lines = self.out.lines(self.head.status, &self.head.headers);
        match self.due {
            Some(length) => lines.push_length(length),
            None => self.out.push_coding(&mut lines),
        }
        Ok(lines.into_bytes())
    }
}
