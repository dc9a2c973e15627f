//! Requests to engines that name a rate limit, against what it allows.

use rw_gate::RequestRate;

/// Length of the window in which requests are counted, in milliseconds.
const WINDOW_MS: u64 = 4_000;
/// Requests in a window that a limit allows: factor on its rate, and requests beyond.
const ALLOWED: (f64, f64) = (1.5, 5.0);

/// A request to an engine that names a limit.
#[derive(Debug, Clone, Copy)]
struct LimitedRequest {
    engine: usize,
    rate: RequestRate,
    at_ms: u64,
}

/// Requests to all engines while they name a limit.
#[derive(Debug, Clone, Default)]
pub(super) struct LimitUsage {
    requests: Vec<LimitedRequest>,
}

impl LimitUsage {
    /// Records a request.
    pub(super) fn record(&mut self, engine: usize, rate: RequestRate, at_ms: u64) {
        self.requests.push(LimitedRequest {
            engine,
            rate,
            at_ms,
        });
    }

    /// Most requests to an engine in any window, as a fraction of what its limit allows; `None` if no
    /// engine named one.
    pub(super) fn worst_ratio(&self) -> Option<f64> {
        let ratios = self.requests.iter().map(|first| {
            let window = first.at_ms..first.at_ms + WINDOW_MS;
            let same = self.requests.iter().filter(|r| r.engine == first.engine);
            let count = same.filter(|r| window.contains(&r.at_ms)).count();
            let (factor, spare) = ALLOWED;
            let allowed = first.rate.per_s() * factor * WINDOW_MS as f64 / 1e3 + spare;
            count as f64 / allowed
        });
        ratios.reduce(f64::max)
    }
}
