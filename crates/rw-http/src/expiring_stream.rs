//! A stream that refuses to write after a deadline.

use smol::{
    io::{AsyncRead, AsyncWrite},
    net::TcpStream,
};
use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
    time::Instant,
};

/// A TCP stream whose writes fail from `deadline` on; reads are not limited.
#[derive(Debug, Clone)]
pub(crate) struct ExpiringStream {
    stream: TcpStream,
    deadline: Instant,
}

impl ExpiringStream {
    pub(crate) fn new(stream: TcpStream, deadline: Instant) -> Self {
        Self { stream, deadline }
    }
}

impl AsyncRead for ExpiringStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for ExpiringStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        // Nothing may run between this check of the clock and the write.
        if Instant::now() >= self.deadline {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
