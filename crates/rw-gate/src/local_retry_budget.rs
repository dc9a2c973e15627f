//! This node's share of the retry budget, which all nodes have in common for each service.

use crate::call_window::CallWindow;
use rw_types::Millis;
use std::collections::VecDeque;

/// Fraction of the allowance that is used. The rest is a margin, because the windows of the nodes
/// are not aligned.
const USABLE_FRACTION: f64 = 0.8;

/// Calls and retries of one service within the window.
#[derive(Debug, Clone, Default)]
struct RetryWindow {
    service: String,
    calls: CallWindow,
    retries: VecDeque<Millis>,
}

/// Retry budget by service. The nodes stay within the fleet's allowance without coordination: the
/// ratio applies to each node's own calls, and the slack is divided by the number of nodes.
#[derive(Debug, Clone, Default)]
pub struct LocalRetryBudget {
    windows: Vec<RetryWindow>,
}

impl LocalRetryBudget {
    /// Records a call from a caller. Calls are counted for `window_ms`.
    pub fn record_call(&mut self, now: Millis, service: &str, window_ms: u64) {
        self.window(service).calls.record(now, window_ms);
    }

    /// Takes back the latest call, which another node counts.
    pub fn withdraw_call(&mut self, service: &str) {
        self.window(service).calls.withdraw();
    }

    /// Records a retry.
    pub fn record_retry(&mut self, now: Millis, service: &str) {
        self.window(service).retries.push_back(now);
    }

    /// Whether one more retry is allowed. `slack` is the number of retries that the fleet is
    /// allowed beyond `ratio` of its calls in any `window_ms`; it is divided among `nodes`.
    pub fn allows(
        &mut self,
        now: Millis,
        service: &str,
        (ratio, slack): (f64, f64),
        nodes: usize,
        window_ms: u64,
    ) -> bool {
        let window = self.window(service);
        let retries = &mut window.retries;
        while retries.front().is_some_and(|t| now.since(*t) > window_ms) {
            retries.pop_front();
        }
        let calls = window.calls.count(now, window_ms);
        let allowed = ratio * calls as f64 + slack / nodes.max(1) as f64;
        (window.retries.len() as f64) < (allowed * USABLE_FRACTION).floor()
    }

    fn window(&mut self, service: &str) -> &mut RetryWindow {
        let found = self
            .windows
            .binary_search_by(|w| w.service.as_str().cmp(service));
        let i = match found {
            Ok(i) => i,
            Err(i) => {
                let window = RetryWindow {
                    service: service.to_owned(),
                    ..RetryWindow::default()
                };
                self.windows.insert(i, window);
                i
            }
        };
        &mut self.windows[i]
    }
}
