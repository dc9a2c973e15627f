//! A TCP stream that counts bytes and times for the limits of its connection.

use crate::conn::Conn;
use smol::{
    io::{AsyncRead, AsyncWrite},
    net::TcpStream,
};
use std::{
    future::poll_fn,
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};

/// Bytes of a request read before its header is looked at.
const EARLY: usize = 2_048;

/// A stream under the limits of its connection; clones share both.
#[derive(Debug, Clone)]
pub(crate) struct LimitedStream {
    tcp: TcpStream,
    conn: Arc<Conn>,
}

impl LimitedStream {
    pub(crate) fn new(conn: Arc<Conn>) -> Self {
        let tcp = conn.tcp.clone();
        Self { tcp, conn }
    }

    /// Waits for a request's first bytes; false if the connection ends instead.
    ///
    /// Until then a connection holds no buffer, so that idle ones are cheap.
    pub(crate) async fn wait_first(&mut self) -> bool {
        let read = poll_fn(|cx| {
            let mut buf = [0; EARLY];
            let n = ready!(Pin::new(&mut self.tcp).poll_read(cx, &mut buf))?;
            self.conn.keep_early(&buf[..n]);
            Poll::Ready(io::Result::Ok(n))
        });
        matches!(read.await, Ok(n) if n > 0)
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let mut n = self.conn.take_early(buf);
        if n == 0 {
            n = match Pin::new(&mut self.tcp).poll_read(cx, buf) {
                Poll::Ready(read) => read?,
                Poll::Pending => {
                    self.conn.read_waits();
                    return Poll::Pending;
                }
            };
        }
        self.conn.read_got(&buf[..n])?;
        Poll::Ready(Ok(n))
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let wrote = Pin::new(&mut self.tcp).poll_write(cx, buf);
        match wrote {
            Poll::Pending => self.conn.write_waits(),
            Poll::Ready(_) => self.conn.write_got(),
        }
        wrote
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_close(cx)
    }
}
