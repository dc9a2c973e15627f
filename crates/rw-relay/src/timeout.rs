//! Timeouts for futures.

use smol::{Timer, future};
use std::{
    future::Future,
    time::{Duration, Instant},
};

/// Number of parts of a timeout for the other side. After a stall, an event of a socket takes up to two
/// polls of the reactor; one that a poll under way has found is dropped.
const RUNNING_PARTS: u32 = 4;

/// Runs `work` until `deadline`; `None` if it takes longer.
pub(crate) async fn timeout_at<T>(deadline: Instant, work: impl Future<Output = T>) -> Option<T> {
    let timer = async {
        Timer::at(deadline).await;
        None
    };
    future::or(async { Some(work.await) }, timer).await
}

/// Runs `work` for at most `limit`; `None` if it takes longer.
pub(crate) async fn timeout<T>(limit: Duration, work: impl Future<Output = T>) -> Option<T> {
    timeout_at(Instant::now() + limit, work).await
}

/// Runs `work` for at most `limit` of the time in which this process runs; `None` if it takes longer. A
/// stall of this process counts for one part of the limit at most, so that it doesn't pass for one of
/// the other side, whose answer may have arrived meanwhile.
pub async fn running_timeout<T>(limit: Duration, work: impl Future<Output = T>) -> Option<T> {
    let timer = async {
        for _ in 0..RUNNING_PARTS {
            Timer::after(limit / RUNNING_PARTS).await;
        }
        None
    };
    future::or(async { Some(work.await) }, timer).await
}
