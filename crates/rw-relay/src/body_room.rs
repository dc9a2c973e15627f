//! Reservation of room for a body.

use crate::BodyBudget;

/// Bytes reserved for one body, which are freed on drop.
#[derive(Debug)]
pub struct BodyRoom {
    budget: BodyBudget,
    bytes: usize,
}

impl BodyRoom {
    pub(crate) fn new(budget: BodyBudget, bytes: usize) -> Self {
        Self { budget, bytes }
    }

    /// Number of bytes reserved.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Extends the reservation to `bytes`; false if there is no room, and it stays as it is.
    #[must_use]
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        let fits = bytes <= self.bytes || self.budget.resize(self.bytes, bytes);
        if fits {
            self.bytes = self.bytes.max(bytes);
        }
        fits
    }
}

impl Drop for BodyRoom {
    fn drop(&mut self) {
        self.budget.release(self.bytes);
    }
}
