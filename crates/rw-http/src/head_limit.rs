//! A stream that ends a response whose head is too long.

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

/// Bytes that may still be read before the head is complete. Clones share it.
#[derive(Debug, Clone)]
pub(crate) struct HeadBudget(Arc<AtomicU64>);

impl HeadBudget {
    /// Ends the limit, because the head has been read.
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

/// A stream from which only a limited number of bytes can be read, until its budget is lifted.
#[derive(Debug, Clone)]
pub(crate) struct HeadLimited<S> {
    inner: S,
    budget: HeadBudget,
}

impl<S> HeadLimited<S> {
    pub(crate) fn new(inner: S) -> Self {
        let budget = HeadBudget(Arc::new(AtomicU64::new(MAX_HEAD_BYTES)));
        Self { inner, budget }
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
        let n = ready!(Pin::new(&mut self.inner).poll_read(cx, buf))?;
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
