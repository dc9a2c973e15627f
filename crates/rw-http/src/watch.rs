//! A time limit that is renewed far more often than it runs out.

use crate::SendError;
use smol::{Timer, future::Future};
use std::{
    future::poll_fn,
    pin::{Pin, pin},
    task::{Poll, ready},
    time::{Duration, Instant},
};

/// Setting a timer costs system calls, so this one is left alone until it fires and only then set
/// to what the limit has become meanwhile.
#[derive(Debug)]
pub(crate) struct Watch {
    timer: Timer,
    /// What the timer is set to; nothing if it never fires.
    set: Option<Instant>,
}

impl Watch {
    pub(crate) fn new() -> Self {
        Self {
            timer: Timer::never(),
            set: None,
        }
    }

    /// Runs `work` for at most `limit`.
    pub(crate) async fn within<T>(
        &mut self,
        limit: Duration,
        work: impl Future<Output = T>,
    ) -> Result<T, SendError> {
        let due = Instant::now() + limit;
        let mut work = pin!(work);
        let run = poll_fn(|cx| {
            if let Poll::Ready(done) = work.as_mut().poll(cx) {
                return Poll::Ready(Ok(done));
            }
            if self.set.is_none_or(|set| set > due) {
                self.set_to(due);
            }
            loop {
                ready!(Pin::new(&mut self.timer).poll(cx));
                if Instant::now() >= due {
                    self.set = None;
                    return Poll::Ready(Err(SendError::TimedOut));
                }
                self.set_to(due);
            }
        });
        run.await
    }

    fn set_to(&mut self, due: Instant) {
        self.timer.set_at(due);
        self.set = Some(due);
    }
}
