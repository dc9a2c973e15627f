//! A stream that ends a response whose head or body is too long.

use crate::read_turn::ReadTurn;
use smol::io::{AsyncRead, AsyncWrite};
use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll, ready},
};

/// Maximum size of the head of a response, with what is read along of its body.
const MAX_HEAD_BYTES: u64 = 128 << 10;

/// Bytes that may still be read before the head, and then the body, is complete. Clones share it.
#[derive(Debug, Clone)]
pub(crate) struct HeadBudget(Arc<AtomicU64>);

impl HeadBudget {
    /// The head has been read; limits what follows to `bytes`, with the framing of the body.
    pub(crate) fn begin_body(&self, bytes: u64) {
        self.0.store(bytes, Ordering::Relaxed);
    }

    /// Ends the limit, for a body that may go on.
    pub(crate) fn lift(&self) {
        self.0.store(u64::MAX, Ordering::Relaxed);
    }

    fn spend(&self, bytes: usize) -> io::Result<()> {
        let left = self.0.load(Ordering::Relaxed);
        if left == u64::MAX {
            return Ok(());
        }
        let left = left.checked_sub(bytes as u64);
        let left = left.ok_or(io::ErrorKind::FileTooLarge)?;
        self.0.store(left, Ordering::Relaxed);
        Ok(())
    }
}

/// A stream from which only a limited number of bytes can be read, until its budget is lifted. It gives
/// way to other tasks while data is always ready.
#[derive(Debug, Clone)]
pub(crate) struct HeadLimited<S> {
    inner: S,
    budget: HeadBudget,
    turn: ReadTurn,
}

impl<S> HeadLimited<S> {
    pub(crate) fn new(inner: S) -> Self {
        let budget = HeadBudget(Arc::new(AtomicU64::new(MAX_HEAD_BYTES)));
        Self {
            inner,
            budget,
            turn: ReadTurn::default(),
        }
    }

    pub(crate) fn budget(&self) -> HeadBudget {
        self.budget.clone()
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for HeadLimited<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        ready!(self.turn.poll(cx));
        let read = Pin::new(&mut self.inner).poll_read(cx, buf);
        self.turn.record(&read);
        let n = ready!(read)?;
        self.budget.spend(n)?;
        Poll::Ready(Ok(n))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for HeadLimited<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(cx)
    }
}
