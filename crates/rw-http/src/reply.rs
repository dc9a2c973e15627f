//! An answer whose end can be told.

use crate::{Client, SendError, SseLines, client::Conn};
use http_types::Response;
use smol::io::AsyncReadExt as _;
use std::time::Duration;

/// Largest whole body read into memory, in bytes.
const MAX_BODY: u64 = 64 << 20;

/// The head of an answer, with its body still on the connection.
#[derive(Debug)]
pub struct ClientResponse {
    response: Response,
    conn: Conn,
    client: Client,
}

impl ClientResponse {
    pub(crate) fn check(response: Response, conn: Conn, client: Client) -> Result<Self, SendError> {
        let chunked = response.header("transfer-encoding").is_some();
        let empty = response.status() == http_types::StatusCode::NoContent;
        if !chunked && !empty && response.header("content-length").is_none() {
            return Err(SendError::NoLength);
        }
        Ok(Self {
            response,
            conn,
            client,
        })
    }

    /// HTTP status code.
    #[must_use]
    pub fn status(&self) -> u16 {
        self.response.status().into()
    }

    /// First value of a header.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.response.header(name).map(|v| v.last().as_str())
    }

    /// Reads the whole body and gives the connection back to the pool.
    ///
    /// # Errors
    ///
    /// [`SendError::Truncated`] if the body ended before its length; [`SendError::Broken`] or
    /// [`SendError::TimedOut`] if it stopped in between.
    pub async fn bytes(mut self, limit: Duration) -> Result<Vec<u8>, SendError> {
        let declared = self.declared();
        let mut body = Vec::with_capacity(declared.unwrap_or(0).min(MAX_BODY) as usize);
        let reader = self.response.take_body();
        let mut bounded = reader.take(MAX_BODY);
        let read = bounded.read_to_end(&mut body);
        let read = self.conn.watch.within(limit, read).await?;
        read.map_err(|_| SendError::Broken)?;
        if declared.is_some_and(|n| n != body.len() as u64) {
            return Err(SendError::Truncated);
        }
        if !self.closes() {
            self.client.put_back(self.conn);
        }
        Ok(body)
    }

    /// Reads the body as server-sent events.
    #[must_use]
    pub fn lines(mut self) -> SseLines {
        let close = self.closes();
        SseLines::new(self.response.take_body(), self.conn, self.client, close)
    }

    fn closes(&self) -> bool {
        let connection = self.header("connection");
        connection.is_some_and(|v| v.eq_ignore_ascii_case("close"))
    }

    fn declared(&self) -> Option<u64> {
        self.header("content-length")?.parse().ok()
    }
}
