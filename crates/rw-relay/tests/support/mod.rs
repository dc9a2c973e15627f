//! A caller without a network: a connection that keeps what is written to it, and a reader of responses
//! as strict as a caller must be.

use rw_relay::ResponseHead;
use smol::io::AsyncWrite;
use std::{
    cell::{Cell, RefCell},
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

/// A connection that keeps what is written to it.
#[derive(Debug, Clone, Default)]
pub struct Wire {
    pub bytes: Rc<RefCell<Vec<u8>>>,
    /// Number of bytes after which it takes no more; `None` if it takes any number.
    pub room: Rc<Cell<Option<usize>>>,
}

impl AsyncWrite for Wire {
    fn poll_write(self: Pin<&mut Self>, _: &mut Context<'_>, b: &[u8]) -> Poll<io::Result<usize>> {
        let n = self.room.get().map_or(b.len(), |room| room.min(b.len()));
        if n == 0 {
            return Poll::Pending;
        }
        self.room.set(self.room.get().map(|room| room - n));
        self.bytes.borrow_mut().extend_from_slice(&b[..n]);
        Poll::Ready(Ok(n))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// What a caller reads.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Received {
    Nothing,
    Whole {
        status: u16,
        body: Vec<u8>,
        /// Bytes after it.
        rest: usize,
    },
    /// A part of a response, so that the end of the connection shows that it is incomplete.
    Cut,
    Malformed,
}

pub fn read_response(bytes: &[u8]) -> Received {
    if bytes.is_empty() {
        return Received::Nothing;
    }
    let Some(end) = bytes.windows(4).position(|w| w == b"\r\n\r\n") else {
        return Received::Cut;
    };
    let (head, rest) = bytes.split_at(end + 4);
    let Ok(head) = ResponseHead::parse(head, "GET") else {
        return Received::Malformed;
    };
    let body = match head.header("content-length").map(str::parse) {
        Some(Ok(length)) => take(rest, length),
        Some(Err(_)) => return Received::Malformed,
        None => take_chunks(rest),
    };
    match body {
        Ok(Some((body, used))) => Received::Whole {
            status: head.status,
            body,
            rest: rest.len() - used,
        },
        Ok(None) => Received::Cut,
        Err(()) => Received::Malformed,
    }
}

/// A body and the number of bytes read; `None` if bytes are missing.
type Taken = Result<Option<(Vec<u8>, usize)>, ()>;

fn take(bytes: &[u8], length: usize) -> Taken {
    Ok(bytes.get(..length).map(|body| (body.to_vec(), length)))
}

fn take_chunks(bytes: &[u8]) -> Taken {
    let mut body = Vec::new();
    let mut at = 0;
    loop {
        let Some(end) = bytes[at..].windows(2).position(|w| w == b"\r\n") else {
            let digits = bytes[at..].iter().all(u8::is_ascii_hexdigit);
            return if digits { Ok(None) } else { Err(()) };
        };
        let line = std::str::from_utf8(&bytes[at..at + end]).map_err(|_| ())?;
        let size = usize::from_str_radix(line, 16).map_err(|_| ())?;
        at += end + 2;
        let Some(chunk) = bytes.get(at..at + size + 2) else {
            return Ok(None);
        };
        if !chunk.ends_with(b"\r\n") {
            return Err(());
        }
        body.extend_from_slice(&chunk[..size]);
        at += size + 2;
        if size == 0 {
            return Ok(Some((body, at)));
        }
    }
}
