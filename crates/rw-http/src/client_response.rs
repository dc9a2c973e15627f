//! A response whose end is defined.

use crate::{Client, SendError, SseLines, client::ClientConn, head_limit::HeadBudget};
use http_types::Response;
use smol::io::AsyncReadExt as _;
use std::time::Duration;

/// Maximum size of a body read into memory.
const MAX_BODY_BYTES: u64 = 64 << 20;
/// Maximum size of the framing of such a body: sizes of chunks and trailers.
const MAX_FRAMING_BYTES: u64 = 1 << 20;

/// The header of a response, whose body has yet to be read from the connection.
#[derive(Debug)]
pub struct ClientResponse {
    response: Response,
    conn: ClientConn,
    client: Client,
    budget: HeadBudget,
}

impl ClientResponse {
    pub(crate) fn check(
        response: Response,
        conn: ClientConn,
        client: Client,
        budget: HeadBudget,
    ) -> Result<Self, SendError> {
        let chunked = response.header("transfer-encoding").is_some();
        let empty = response.status() == http_types::StatusCode::NoContent;
        if !chunked && !empty && response.header("content-length").is_none() {
            return Err(SendError::NoLength);
        }
        Ok(Self {
            response,
            conn,
            client,
            budget,
        })
    }

    /// HTTP status code.
    #[must_use]
    pub fn status(&self) -> u16 {
        self.response.status().into()
    }

    /// Value of a header; the last one if the header has several.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.response.header(name).map(|v| v.last().as_str())
    }

    /// Whether the response belongs to the request that bears `id` in the header `name`: the response
    /// bears the same, or has no such header and is the first on its connection. Any other may be an
    /// earlier one that the server has written once more.
    #[must_use]
    pub fn answers(&self, name: &str, id: &str) -> bool {
        match self.response.header(name) {
            Some(values) => values.iter().all(|v| v.as_str() == id),
            None => !self.conn.is_used,
        }
    }

    /// Reads the full body and returns the connection to the pool.
    ///
    /// # Errors
    ///
    /// [`SendError::Truncated`] if the body is shorter than its content length;
    /// [`SendError::Broken`] if the connection broke or the body reaches 64 MiB;
    /// [`SendError::TimedOut`] after `timeout`.
    pub async fn bytes(self, timeout: Duration) -> Result<Vec<u8>, SendError> {
        self.bytes_below(MAX_BODY_BYTES, timeout).await
    }

    /// Like [`ClientResponse::bytes`], with another limit than 64 MiB.
    ///
    /// # Errors
    ///
    /// As [`ClientResponse::bytes`].
    pub async fn bytes_below(mut self, max: u64, timeout: Duration) -> Result<Vec<u8>, SendError> {
        let content_length = self.content_length();
        if content_length.is_some_and(|n| n >= max) {
            return Err(SendError::Broken);
        }
        self.budget
            .begin_body(max.saturating_add(MAX_FRAMING_BYTES));
        let mut body = Vec::with_capacity(content_length.unwrap_or(0) as usize);
        let reader = self.response.take_body();
        let mut bounded = reader.take(max);
        let read = bounded.read_to_end(&mut body);
        let read = self.conn.timer.within(timeout, read).await?;
        read.map_err(|_| SendError::Broken)?;
        // The rest of a body that reaches the limit was not read.
        if body.len() as u64 >= max {
            return Err(SendError::Broken);
        }
        if content_length.is_some_and(|n| n != body.len() as u64) {
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
        self.budget.lift();
        SseLines::new(self.response.take_body(), self.conn, self.client, close)
    }

    fn closes(&self) -> bool {
        let connection = self.header("connection");
        connection.is_some_and(|v| v.eq_ignore_ascii_case("close"))
    }

    fn content_length(&self) -> Option<u64> {
        self.header("content-length")?.parse().ok()
    }
}
