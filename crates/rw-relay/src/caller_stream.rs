//! A caller's connection as a response is written to it.

use smol::{Async, io::AsyncWrite};
use std::{
    io,
    net::TcpStream,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

/// A connection that is read elsewhere.
#[derive(Debug, Clone)]
pub(crate) struct CallerStream(pub(crate) Rc<Async<TcpStream>>);

impl AsyncWrite for CallerStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, b: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut &*self.0).poll_write(cx, b)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &*self.0).poll_flush(cx)
    }

    fn poll_close(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &*self.0).poll_close(cx)
    }
}
