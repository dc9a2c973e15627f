//! Waiting for a state without a timed assertion.

use std::{
    future::Future,
    time::{Duration, Instant},
};

/// Longest wait.
const LIMIT: Duration = Duration::from_secs(30);
/// Pause between looks.
const PAUSE: Duration = Duration::from_millis(10);

/// Looks until `look` finds something.
///
/// # Panics
///
/// After half a minute, naming `what` was waited for.
pub async fn eventually<T, F: Future<Output = Option<T>>>(what: &str, look: impl Fn() -> F) -> T {
    let end = Instant::now() + LIMIT;
    while Instant::now() < end {
        if let Some(found) = look().await {
            return found;
        }
        smol::Timer::after(PAUSE).await;
    }
    panic!("waited in vain: {what}");
}
