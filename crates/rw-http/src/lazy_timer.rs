//! A timer for timeouts that are renewed far more often than they expire.

use crate::SendError;
use smol::{Timer, future::Future};
use std::{
    future::poll_fn,
    pin::{Pin, pin},
    task::{Poll, ready},
    time::{Duration, Instant},
};

/// A timer that is reset lazily. Setting a timer costs system calls, so a later deadline is applied
/// only when the timer fires.
#[derive(Debug)]
pub(crate) struct LazyTimer {
    timer: Timer,
    /// Time that the timer is set to; `None` if it is not set.
    fires_at: Option<Instant>,
}

impl LazyTimer {
    pub(crate) fn new() -> Self {
        Self {
            timer: Timer::never(),
            fires_at: None,
        }
    }

    /// Runs `work` with a timeout.
    pub(crate) async fn within<T>(
        &mut self,
        timeout: Duration,
        work: impl Future<Output = T>,
    ) -> Result<T, SendError> {
        let deadline = Instant::now() + timeout;
        let mut work = pin!(work);
        let run = poll_fn(|cx| {
            if let Poll::Ready(done) = work.as_mut().poll(cx) {
                return Poll::Ready(Ok(done));
            }
            if self.fires_at.is_none_or(|at| at > deadline) {
                self.rearm(deadline);
            }
            loop {
                ready!(Pin::new(&mut self.timer).poll(cx));
                if Instant::now() >= deadline {
                    self.fires_at = None;
                    return Poll::Ready(Err(SendError::TimedOut));
                }
                self.rearm(deadline);
            }
        });
        run.await
    }

    fn rearm(&mut self, deadline: Instant) {
        self.timer.set_at(deadline);
        self.fires_at = Some(deadline);
    }
}
