//! A TCP stream that enforces the size and time limits of its connection.

use crate::{conn::Conn, read_turn::ReadTurn};
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

/// Size of the first read of a request, before its header is parsed.
const FIRST_READ_BYTES: usize = 2_048;

/// A TCP stream with the limits of its connection; clones share both.
#[derive(Debug, Clone)]
pub(crate) struct LimitedStream {
    tcp: TcpStream,
    conn: Arc<Conn>,
    turn: ReadTurn,
}

impl LimitedStream {
    pub(crate) fn new(conn: Arc<Conn>) -> Self {
        let tcp = conn.tcp.clone();
        Self {
            tcp,
            conn,
            turn: ReadTurn::default(),
        }
    }

    /// Waits for the first bytes of a request; false if the connection closes instead.
    ///
    /// Until then the connection holds no buffer, which saves memory for idle connections.
    pub(crate) async fn wait_request(&mut self) -> bool {
        let read = poll_fn(|cx| {
            let mut buf = [0; FIRST_READ_BYTES];
            let n = ready!(Pin::new(&mut self.tcp).poll_read(cx, &mut buf))?;
            self.conn.buffer(&buf[..n]);
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
        let mut n = self.conn.take_buffered(buf);
        if n == 0 {
            ready!(self.turn.poll(cx));
            let read = Pin::new(&mut self.tcp).poll_read(cx, buf);
            self.turn.record(&read);
            n = match read {
                Poll::Ready(read) => read?,
                Poll::Pending => {
                    self.conn.on_read_pending();
                    return Poll::Pending;
                }
            };
        }
        self.conn.on_read(&buf[..n])?;
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
            Poll::Pending => self.conn.on_write_pending(),
            Poll::Ready(_) => self.conn.on_write(),
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
