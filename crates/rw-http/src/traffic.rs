//! How many requests a listener is busy with.

use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicUsize, Ordering},
};

/// Requests from their header to the last byte of their answer; clones share the count.
#[derive(Debug, Clone, Default)]
pub struct Traffic {
    in_flight: Arc<AtomicUsize>,
    draining: Arc<AtomicBool>,
}

/// One request, counted until it is dropped.
#[derive(Debug)]
pub(crate) struct Entered(Traffic);

impl Traffic {
    /// Requests whose answer is not written to its end.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Acquire)
    }

    /// Closes each connection after its next answer.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Release);
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    pub(crate) fn enter(&self) -> Entered {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        Entered(self.clone())
    }
}

impl Drop for Entered {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}
