//! Reader of server-sent events, one `data:` line at a time.

use crate::{Client, SendError, client::ClientConn, spawn};
use http_types::Body;
use smol::io::{AsyncBufReadExt as _, AsyncReadExt as _};
use std::time::Duration;

/// Maximum length of a line.
const MAX_LINE_BYTES: usize = 1 << 20;

/// Timeout for the last chunk, which follows the last event.
const END_TIMEOUT: Duration = Duration::from_millis(100);

/// The `data:` lines of a response. Dropping it before the end closes the connection, so that late
/// events of an abandoned attempt are never delivered.
#[derive(Debug)]
pub struct SseLines {
    body: Body,
    line: Vec<u8>,
    /// `None` once the stream has ended.
    conn: Option<ClientConn>,
    client: Client,
    /// Whether the server closes the connection after the response.
    close: bool,
}

impl SseLines {
    pub(crate) fn new(body: Body, conn: ClientConn, client: Client, close: bool) -> Self {
        Self {
            body,
            line: Vec::new(),
            conn: Some(conn),
            client,
            close,
        }
    }

    /// Returns the connection to the pool after the last event, when only the last chunk follows.
    /// Reads that chunk in the background, so that the caller can proceed.
    pub fn finish(mut self) {
        spawn(async move {
            // On anything but the end of the stream, the connection is dropped and thereby closed.
            let _ = self.next(END_TIMEOUT).await;
        })
        .detach();
    }

    fn return_conn(&mut self) {
        if let Some(conn) = self.conn.take()
            && !self.close
        {
            self.client.put_back(conn);
        }
    }

    /// The next event's data, or `None` at the end of the stream.
    ///
    /// # Errors
    ///
    /// [`SendError::TimedOut`] if no line arrives within `timeout`; [`SendError::Broken`] if the
    /// stream is cut off or a line is too long.
    pub async fn next(&mut self, timeout: Duration) -> Result<Option<&str>, SendError> {
        loop {
            self.line.clear();
            let Some(conn) = &mut self.conn else {
                return Ok(None);
            };
            // One byte more than allowed, so that a longer line is recognized.
            let mut limited = (&mut self.body).take(MAX_LINE_BYTES as u64 + 1);
            let read = limited.read_until(b'\n', &mut self.line);
            let read = conn.timer.within(timeout, read).await?;
            let n = read.map_err(|_| SendError::Broken)?;
            if n == 0 {
                // The last chunk has been read, so the next response on this connection cannot be
                // mixed up with this one.
                self.return_conn();
                return Ok(None);
            }
            if n > MAX_LINE_BYTES || self.line.last() != Some(&b'\n') {
                return Err(SendError::Broken);
            }
            if self.line.starts_with(b"data:") {
                let data = std::str::from_utf8(&self.line["data:".len()..]);
                return Ok(Some(data.map_err(|_| SendError::Broken)?.trim()));
            }
        }
    }
}
