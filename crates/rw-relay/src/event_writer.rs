//! Writes the events of a stream.

use crate::{ResponseHead, ResponseWriter, response_state::ResponseState};
use smol::io::AsyncWrite;
use std::io;

/// Writes complete events of one run: from the beginning of a stream, or on from the last event of the
/// run before. They are written without a declared length, which doesn't hold once another run goes on
/// with the stream.
#[derive(Debug)]
pub struct EventWriter<'a, W> {
    out: &'a mut ResponseWriter<W>,
    head: &'a ResponseHead,
}

impl<'a, W: AsyncWrite + Unpin> EventWriter<'a, W> {
    pub(crate) fn new(out: &'a mut ResponseWriter<W>, head: &'a ResponseHead) -> Self {
        Self { out, head }
    }

    /// Writes complete events. Another run may go on after `last`, if it is given.
    ///
    /// # Errors
    ///
    /// The connection failed.
    pub async fn write(&mut self, events: &[u8], last: Option<u64>) -> io::Result<()> {
        let mut bytes = self.head_if_due()?;
        self.out.push_part(&mut bytes, events);
        self.out.write(&bytes, events.len()).await?;
        let status = self.head.status;
        self.out.put(ResponseState::Events { status, last });
        Ok(())
    }

    /// Ends a stream that is complete; `rest` are empty lines after its last event.
    ///
    /// # Errors
    ///
    /// The connection failed.
    pub async fn finish(mut self, rest: &[u8]) -> io::Result<()> {
        let mut bytes = self.head_if_due()?;
        self.out.push_part(&mut bytes, rest);
        self.out.push_end(&mut bytes);
        self.out.write(&bytes, rest.len()).await?;
        self.out.put(ResponseState::Complete);
        Ok(())
    }

    /// Bytes of the head if nothing was written. Takes the state until the bytes that follow are written.
    fn head_if_due(&mut self) -> io::Result<Vec<u8>> {
        match self.out.take() {
            ResponseState::Unsent => {}
            ResponseState::Events { .. } => return Ok(Vec::new()),
            _ => return Err(self.out.conflict()),
        }
        let mut lines = self.out.lines(self.head.status, &self.head.headers);
        self.out.push_coding(&mut lines);
        Ok(lines.into_bytes())
    }
}
