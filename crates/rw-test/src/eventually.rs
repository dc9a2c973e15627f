//! Polling for a state, instead of asserting it after a fixed time.

use std::{
    future::Future,
    time::{Duration, Instant},
};

/// Maximum time to wait.
const TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between polls.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Polls until `poll` returns a value.
///
/// # Panics
///
/// Panics after 30 s with `what`, the description of the expected state.
pub async fn eventually<T, F: Future<Output = Option<T>>>(what: &str, poll: impl Fn() -> F) -> T {
    let deadline = Instant::now() + TIMEOUT;
    while Instant::now() < deadline {
        if let Some(found) = poll().await {
            return found;
        }
        smol::Timer::after(POLL_INTERVAL).await;
    }
    panic!("timed out waiting for: {what}");
}
