//! Queries to other nodes for the origins of streams.

use crate::{
    Dialect, Relay,
    origin_query::{OriginQuery, QueryScope},
};
use rw_gate::{CallRequest, StreamId};
use smol::Timer;
use std::time::{Duration, Instant};

/// Time for which a call waits for an answer.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(120);
/// Interval at which the answer is looked for.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Time after which the other nodes are queried as well, since a datagram may be lost, or the queried
/// nodes may have been restarted and lost what they knew. It is also how long the registry and nodes
/// that have to read the targets anew are given.
const WIDEN_AFTER: Duration = Duration::from_millis(30);

impl<D: Dialect> Relay<D> {
    /// Finds out at which version a call that resumes a stream may go on, unless this node knows it:
    /// queries other nodes for the stream's origin. Where only one version is known, the registry is
    /// asked first whether there are others by now.
    pub(crate) async fn find_origin(&self, request: &CallRequest) {
        let Some(stream) = self.missing_origin(request) else {
            return;
        };
        let asked_at = Instant::now();
        let mut round = 0;
        let mut next_at = asked_at;
        if self.needs_versions(request) {
            self.refresh_targets();
            next_at += WIDEN_AFTER;
        }
        while asked_at.elapsed() < LOOKUP_TIMEOUT {
            if Instant::now() >= next_at {
                next_at += WIDEN_AFTER;
                for scope in query_scopes(round, self.needs_versions(request)) {
                    self.ask_origin(stream, *scope);
                }
                round += 1;
            }
            Timer::after(POLL_INTERVAL).await;
            if self.missing_origin(request).is_none() {
                return self.lookup_ended(request, "found");
            }
        }
        self.lookup_ended(request, "not-found");
    }

    /// Requests that the registry reads the changes of targets now, unless that has just been done.
    pub(crate) fn refresh_targets(&self) {
        let now = self.clock.now();
        if self.gate.borrow().is_outdated(now) {
            // A full channel means that it is requested already.
            let _already_requested = self.refresh_targets.try_send(());
        }
    }

    fn needs_versions(&self, request: &CallRequest) -> bool {
        let now = self.clock.now();
        self.gate.borrow().needs_versions(now, request)
    }

    fn lookup_ended(&self, request: &CallRequest, result: &str) {
        self.log.origin_lookup(request, result);
        self.metrics.origin_lookup(result);
    }

    fn missing_origin(&self, request: &CallRequest) -> Option<StreamId> {
        let now = self.clock.now();
        self.gate.borrow().missing_origin(now, request)
    }

    fn ask_origin(&self, stream: StreamId, scope: QueryScope) {
        // A full queue means that many callers return at once; they are refused, and come back.
        let query = OriginQuery { stream, scope };
        if self.origin_asks.try_send(query).is_err() {
            log::debug!("question to other nodes dropped because the queue is full");
        }
    }
}

/// Nodes that are queried in a round. Those that were outdated in the one before know the versions now,
/// if that is what is missing.
fn query_scopes(round: u32, needs_versions: bool) -> &'static [QueryScope] {
    match (round, needs_versions) {
        (0, _) => &[QueryScope::Sources],
        (1, false) => &[QueryScope::Others],
        (1 | 2, true) => &[QueryScope::Others, QueryScope::Sources],
        _ => &[],
    }
}
