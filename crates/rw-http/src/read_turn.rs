//! Turns of the connections that share a thread.

use std::task::{Context, Poll};

/// Number of bytes that a connection may read without waiting before other tasks get a turn.
const TURN_BYTES: usize = 32 << 10;

/// Bytes that a connection has read since it last waited for data, or gave way to others.
#[derive(Debug, Clone, Default)]
pub(crate) struct ReadTurn {
    bytes: usize,
}

impl ReadTurn {
    /// Gives way to other tasks, once, if the turn is over.
    pub(crate) fn poll(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if self.bytes < TURN_BYTES {
            return Poll::Ready(());
        }
        self.bytes = 0;
        cx.waker().wake_by_ref();
        Poll::Pending
    }

    /// Records a read; one that has to wait begins a new turn.
    pub(crate) fn record<E>(&mut self, read: &Poll<Result<usize, E>>) {
        match read {
            Poll::Ready(Ok(n)) => self.bytes += n,
            Poll::Ready(Err(_)) | Poll::Pending => self.bytes = 0,
        }
    }
}
