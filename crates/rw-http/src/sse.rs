//! Server-sent events, one `data:` line at a time.

use crate::{
    SendError,
    client::{Conn, within},
};
use http_types::Body;
use smol::io::AsyncBufReadExt as _;
use std::time::Duration;

/// Longest line taken, in bytes.
const MAX_LINE: usize = 1 << 20;

/// The `data:` lines of an answer. Dropping it closes the connection, so that a late answer to an
/// abandoned attempt can reach nobody.
#[derive(Debug)]
pub struct SseLines {
    body: Body,
    line: String,
    _conn: Conn,
}

impl SseLines {
    pub(crate) fn new(body: Body, conn: Conn) -> Self {
        Self {
            body,
            line: String::new(),
            _conn: conn,
        }
    }

    /// The next event's data, or `None` at the end of the stream.
    ///
    /// # Errors
    ///
    /// [`SendError::TimedOut`] if no event came within `silence`; [`SendError::Broken`] if the
    /// stream was cut.
    pub async fn next(&mut self, silence: Duration) -> Result<Option<&str>, SendError> {
        loop {
            self.line.clear();
            let read = within(silence, self.body.read_line(&mut self.line)).await?;
            let n = read.map_err(|_| SendError::Broken)?;
            if n == 0 {
                return Ok(None);
            }
            if n > MAX_LINE || !self.line.ends_with('\n') {
                return Err(SendError::Broken);
            }
            if self.line.starts_with("data:") {
                return Ok(Some(self.line["data:".len()..].trim()));
            }
        }
    }
}
