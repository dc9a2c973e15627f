//! Turns of the connections that share a thread.

use std::{
    task::{Context, Poll},
    time::{Duration, Instant},
};

/// Number of bytes that a connection may read without waiting before other tasks get a turn.
const TURN_BYTES: usize = 32 << 10;
/// Time that a connection may spend on them, however few they are.
const TURN_TIME: Duration = Duration::from_millis(1);

/// What a connection has read since it last waited for data, or gave way to others.
#[derive(Debug, Clone, Default)]
pub struct ReadTurn {
    bytes: usize,
    /// Time of the first read.
    began: Option<Instant>,
}

impl ReadTurn {
    /// Gives way to other tasks, once, if the turn is over.
    pub fn poll(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let is_long = self.began.is_some_and(|at| at.elapsed() >= TURN_TIME);
        if self.bytes < TURN_BYTES && !is_long {
            return Poll::Ready(());
        }
        *self = Self::default();
        cx.waker().wake_by_ref();
        Poll::Pending
    }

    /// Records a read; one that has to wait begins a new turn.
    pub fn record<E>(&mut self, read: &Poll<Result<usize, E>>) {
        match read {
            Poll::Ready(Ok(n)) => {
                self.bytes += n;
                self.began.get_or_insert_with(Instant::now);
            }
            Poll::Ready(Err(_)) | Poll::Pending => *self = Self::default(),
        }
    }
}
