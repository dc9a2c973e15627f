//! A caller's connection as a response is written to it.

use smol::{Async, Timer, io::AsyncWrite};
use std::{
    future::Future,
    io,
    net::TcpStream,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

/// A connection that is read elsewhere. A write fails once the caller has taken nothing for a while.
#[derive(Debug)]
pub(crate) struct CallerStream {
    stream: Rc<Async<TcpStream>>,
    /// Time for which the caller may take nothing.
    patience: Duration,
    /// Set while a write waits for the caller.
    stalled: Option<Timer>,
}

impl CallerStream {
    pub(crate) fn new(stream: Rc<Async<TcpStream>>, patience: Duration) -> Self {
        Self {
            stream,
            patience,
            stalled: None,
        }
    }

    /// Whether the caller has taken nothing for all of its time.
    fn is_given_up(&mut self, cx: &mut Context<'_>) -> bool {
        let stalled = self.stalled.as_mut();
        stalled.is_some_and(|timer| Pin::new(timer).poll(cx).is_ready())
    }

    /// Begins the caller's time, unless it has begun already.
    fn begin_stall(&mut self, cx: &mut Context<'_>) {
        if self.stalled.is_none() {
            let mut timer = Timer::after(self.patience);
            let _begun_just_now = Pin::new(&mut timer).poll(cx);
            self.stalled = Some(timer);
        }
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        // Before the write, as the system has room for some more bytes that nobody takes.
        if self.is_given_up(cx) {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        let written = Pin::new(&mut &*self.stream).poll_write(cx, bytes);
        match written {
            Poll::Pending => self.begin_stall(cx),
            Poll::Ready(_) => self.stalled = None,
        }
        written
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &*self.stream).poll_flush(cx)
    }

    fn poll_close(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &*self.stream).poll_close(cx)
    }
}
