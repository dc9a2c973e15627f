//! Bytes of heads and chunks of responses to callers.

use crate::{
    HeaderField, ResponseHead,
    delegation::{DELEGATE_HEADER, DelegateNote},
    head::is_hop,
};
use std::fmt::Write as _;

/// The end of a body in chunks.
pub(crate) const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// The lines of a head that don't depend on how its body is written.
#[derive(Debug)]
pub(crate) struct HeadLines(String);

impl HeadLines {
    /// Lines of a response with this status and these headers, without those of a single connection.
    pub(crate) fn new(
        status: u16,
        headers: &[HeaderField],
        note: Option<&DelegateNote>,
        close: bool,
    ) -> Self {
        let mut lines = Self(format!("HTTP/1.1 {status} {}\r\n", reason(status)));
        if let Some(note) = note {
            lines.push(DELEGATE_HEADER, &note.to_value());
        }
        let forwarded = headers.iter().filter(|f| !is_hop(&f.name));
        forwarded.for_each(|f| lines.push(&f.name, &f.value));
        if close {
            lines.push("connection", "close");
        }
        lines
    }

    pub(crate) fn push(&mut self, name: &str, value: &str) {
        // Writing to a `String` can't fail.
        let _infallible = write!(self.0, "{name}: {value}\r\n");
    }

    pub(crate) fn push_length(&mut self, length: u64) {
        self.push("content-length", &length.to_string());
    }

    /// The head up to and including its empty line.
    pub(crate) fn into_bytes(mut self) -> Vec<u8> {
        self.0.push_str("\r\n");
        self.0.into_bytes()
    }
}

/// Whether responses with this status have no body.
pub(crate) fn is_bodyless(head: &ResponseHead) -> bool {
    head.status == 204 || head.status == 304
}

/// Adds a chunk. An empty one would end the body and is left out.
pub(crate) fn push_chunk(bytes: &mut Vec<u8>, chunk: &[u8]) {
    if !chunk.is_empty() {
        bytes.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
        bytes.extend_from_slice(chunk);
        bytes.extend_from_slice(b"\r\n");
    }
}

fn reason(status: u16) -> &'static str {
    let known = rw_http::StatusCode::try_from(status);
    known.map_or("Unknown", |s| s.canonical_reason())
}
