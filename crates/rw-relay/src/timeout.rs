//! Timeouts for futures.

use smol::{Timer, future};
use std::{
    future::Future,
    time::{Duration, Instant},
};

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
