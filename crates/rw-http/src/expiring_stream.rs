//! A stream that refuses to write after a given instant.

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

/// A connection whose right to write ends.
#[derive(Debug, Clone)]
pub(crate) struct ExpiringStream {
    stream: TcpStream,
    latest: Instant,
}

impl ExpiringStream {
    pub(crate) fn new(stream: TcpStream, latest: Instant) -> Self {
        Self { stream, latest }
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
        // Nothing may come between this look at the clock and the write.
        if Instant::now() >= self.latest {
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
