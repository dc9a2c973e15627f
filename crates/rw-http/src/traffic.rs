//! The number of requests in flight at a listener, and its drain flag.

use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicUsize, Ordering},
};

/// Counts requests from their header to the last byte of their response; clones share the count.
#[derive(Debug, Clone, Default)]
pub struct Traffic {
    in_flight: Arc<AtomicUsize>,
    draining: Arc<AtomicBool>,
}

/// Counts one request as in flight until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard(Traffic);

impl Traffic {
    /// Number of requests whose response is not completely written.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Acquire)
    }

    /// From now on, closes each connection after its next response.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Release);
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    pub(crate) fn track(&self) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        InFlightGuard(self.clone())
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}
