//! Server-sent events, one `data:` line at a time.

use crate::{Client, SendError, client::Conn, spawn};
use http_types::Body;
use smol::io::AsyncBufReadExt as _;
use std::time::Duration;

/// Longest line taken, in bytes.
const MAX_LINE: usize = 1 << 20;

/// Longest wait for the last chunk behind the last event.
const END_LIMIT: Duration = Duration::from_millis(100);

/// The `data:` lines of an answer. Dropping it before the end closes the connection, so that a
/// late answer to an abandoned attempt can reach nobody.
#[derive(Debug)]
pub struct SseLines {
    body: Body,
    line: String,
    /// Taken when the stream has ended.
    conn: Option<Conn>,
    client: Client,
    /// Whether the other side closes the connection after the answer.
    close: bool,
}

impl SseLines {
    pub(crate) fn new(body: Body, conn: Conn, client: Client, close: bool) -> Self {
        Self {
            body,
            line: String::new(),
            conn: Some(conn),
            client,
            close,
        }
    }

    /// Gives the connection back once nothing but the last chunk follows. Does not wait: the last
    /// event has come and its reader goes on.
    pub fn finish(mut self) {
        spawn(async move {
            // Anything else than the end leaves the connection to be closed.
            let _ = self.next(END_LIMIT).await;
        })
        .detach();
    }

    fn give_back(&mut self) {
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
    /// [`SendError::TimedOut`] if no event came within `silence`; [`SendError::Broken`] if the
    /// stream was cut.
    pub async fn next(&mut self, silence: Duration) -> Result<Option<&str>, SendError> {
        loop {
            self.line.clear();
            let Some(conn) = &mut self.conn else {
                return Ok(None);
            };
            let read = self.body.read_line(&mut self.line);
            let read = conn.watch.within(silence, read).await?;
            let n = read.map_err(|_| SendError::Broken)?;
            if n == 0 {
                // The last chunk was seen, so the next answer can't be crossed with this one.
                self.give_back();
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
