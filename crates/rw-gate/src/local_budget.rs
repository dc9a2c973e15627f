//! This node's part of the retries that all nodes may send to a service together.

use rw_types::Millis;
use std::collections::VecDeque;

/// Part of the allowance that is used, since the nodes' windows don't begin together.
const USABLE_FRACTION: f64 = 0.8;

/// Calls and repeats of one service within the window.
#[derive(Debug, Clone, Default)]
struct RetryWindow {
    service: String,
    calls: VecDeque<Millis>,
    retries: VecDeque<Millis>,
}

/// Repeats by service. What the nodes use adds up to no more than the fleet's allowance, without
/// a word between them: the ratio holds for each node's own calls, and the slack is divided.
#[derive(Debug, Clone, Default)]
pub struct LocalRetryBudget {
    windows: Vec<RetryWindow>,
}

impl LocalRetryBudget {
    /// Counts a call of a caller.
    pub fn record_call(&mut self, now: Millis, service: &str) {
        self.window(service).calls.push_back(now);
    }

    /// Counts a repeat that happened.
    pub fn record_retry(&mut self, now: Millis, service: &str) {
        self.window(service).retries.push_back(now);
    }

    /// Whether one more repeat fits. `slack` is the fleet's allowance beyond `ratio` of its calls
    /// in any `window_ms`, and `nodes` share it.
    pub fn allows(
        &mut self,
        now: Millis,
        service: &str,
        (ratio, slack): (f64, f64),
        nodes: usize,
        window_ms: u64,
    ) -> bool {
        let window = self.window(service);
        for times in [&mut window.calls, &mut window.retries] {
            while times.front().is_some_and(|t| now.since(*t) > window_ms) {
                times.pop_front();
            }
        }
        let allowed = ratio * window.calls.len() as f64 + slack / nodes.max(1) as f64;
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
