//! An answer on its way to its caller.

use crate::{Framing, HeaderField, ResponseHead, head::is_hop};
use rw_gate::Refusal;
use smol::{Async, io::AsyncWriteExt as _};
use std::{fmt::Write as _, io, net::TcpStream, rc::Rc};

/// Writes one answer. If it is dropped before its end, the connection must be closed.
#[derive(Debug)]
pub(crate) struct ResponseWriter {
    stream: Rc<Async<TcpStream>>,
    /// Whether the connection is to be closed after it.
    pub(crate) close: bool,
    /// Whether its request allows no body.
    head_only: bool,
    /// Whether any of it was written.
    started: bool,
    /// Whether its last byte was written.
    finished: bool,
    chunked: bool,
}

impl ResponseWriter {
    pub(crate) fn new(stream: Rc<Async<TcpStream>>, method: &str, close: bool) -> Self {
        Self {
            stream,
            close,
            head_only: method == "HEAD",
            started: false,
            finished: false,
            chunked: false,
        }
    }

    pub(crate) fn is_started(&self) -> bool {
        self.started
    }

    pub(crate) fn is_finished(&self) -> bool {
        self.finished
    }

    /// A target's whole answer.
    pub(crate) async fn write_full(&mut self, head: &ResponseHead, body: &[u8]) -> io::Result<()> {
        let mut bytes = self.head_lines(head.status, &head.headers);
        let bodyless = head.status == 204 || head.status == 304;
        if !bodyless && !self.head_only {
            push_length(&mut bytes, body.len());
        } else if let Some(length) = head.header("content-length") {
            // What a HEAD is answered tells the length of the body that doesn't come.
            push_header(&mut bytes, "content-length", length);
        }
        bytes.push_str("\r\n");
        let mut bytes = bytes.into_bytes();
        bytes.extend_from_slice(body);
        self.write(&bytes).await?;
        self.finished = true;
        Ok(())
    }

    /// The head of an answer whose body follows in pieces.
    pub(crate) async fn write_head(&mut self, head: &ResponseHead, first: &[u8]) -> io::Result<()> {
        let mut bytes = self.head_lines(head.status, &head.headers);
        match head.framing {
            Framing::Length(n) => push_header(&mut bytes, "content-length", &n.to_string()),
            Framing::Chunked | Framing::Close => {
                self.chunked = true;
                push_header(&mut bytes, "transfer-encoding", "chunked");
            }
        }
        bytes.push_str("\r\n");
        let mut bytes = bytes.into_bytes();
        self.push_chunk(&mut bytes, first);
        self.write(&bytes).await
    }

    /// A piece of the body.
    pub(crate) async fn write_chunk(&mut self, chunk: &[u8]) -> io::Result<()> {
        let mut bytes = Vec::with_capacity(chunk.len() + 16);
        self.push_chunk(&mut bytes, chunk);
        self.write(&bytes).await
    }

    /// The end of a body that came in pieces and is whole.
    pub(crate) async fn finish(&mut self) -> io::Result<()> {
        if self.chunked {
            self.write(b"0\r\n\r\n").await?;
        }
        self.finished = true;
        Ok(())
    }

    /// A final answer that is not a target's.
    pub(crate) async fn write_refusal(&mut self, status: u16, refusal: &Refusal) -> io::Result<()> {
        let kind = refusal.kind.as_str();
        self.write_error(status, kind, refusal.retry_ms).await
    }

    /// An answer of this node's own, with the time to come back if it makes sense.
    pub(crate) async fn write_error(
        &mut self,
        status: u16,
        kind: &str,
        retry_ms: u64,
    ) -> io::Result<()> {
        let headers = [HeaderField {
            name: "content-type".to_owned(),
            value: "application/json".to_owned(),
        }];
        let mut bytes = self.head_lines(status, &headers);
        if retry_ms > 0 {
            let seconds = format!("{:.3}", retry_ms as f64 / 1e3);
            push_header(&mut bytes, "retry-after", &seconds);
        }
        let body = format!("{{\"error\":{{\"kind\":\"{kind}\",\"retry_after_ms\":{retry_ms}}}}}");
        push_length(&mut bytes, body.len());
        bytes.push_str("\r\n");
        if !self.head_only {
            bytes.push_str(&body);
        }
        self.write(bytes.as_bytes()).await?;
        self.finished = true;
        Ok(())
    }

    /// An answer of a listener of the node's own.
    pub(crate) async fn write_small(&mut self, status: u16, body: &[u8]) -> io::Result<()> {
        let mut lines = self.head_lines(status, &[]);
        push_length(&mut lines, body.len());
        lines.push_str("\r\n");
        let mut bytes = lines.into_bytes();
        bytes.extend_from_slice(body);
        self.write(&bytes).await?;
        self.finished = true;
        Ok(())
    }

    fn head_lines(&self, status: u16, headers: &[HeaderField]) -> String {
        let mut lines = format!("HTTP/1.1 {status} {}\r\n", reason(status));
        let forwarded = headers.iter().filter(|f| !is_hop(&f.name));
        forwarded.for_each(|f| push_header(&mut lines, &f.name, &f.value));
        if self.close {
            push_header(&mut lines, "connection", "close");
        }
        lines
    }

    fn push_chunk(&self, bytes: &mut Vec<u8>, chunk: &[u8]) {
        // An empty chunk would end the body.
        if chunk.is_empty() {
            return;
        }
        if self.chunked {
            bytes.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
        }
        bytes.extend_from_slice(chunk);
        if self.chunked {
            bytes.extend_from_slice(b"\r\n");
        }
    }

    async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.started = true;
        (&*self.stream).write_all(bytes).await
    }
}

fn push_header(lines: &mut String, name: &str, value: &str) {
    // Writing into a string can't fail.
    let _infallible = write!(lines, "{name}: {value}\r\n");
}

fn push_length(lines: &mut String, length: usize) {
    push_header(lines, "content-length", &length.to_string());
}

fn reason(status: u16) -> &'static str {
    let known = rw_http::StatusCode::try_from(status);
    known.map_or("Unknown", |s| s.canonical_reason())
}
