//! Latest order of one target, as tracked by the lease holder.

use rw_types::{Millis, Order, OrderState, Version};

/// Limits the exponential backoff after failed orders to 64 times its initial value.
const MAX_DOUBLINGS: u32 = 6;

/// Latest order of one target and the call in flight for it.
#[derive(Debug, Clone)]
pub struct OrderSlot {
    pub(crate) target: String,
    /// Row as last known, with its version; `None` if it must be read again.
    pub(crate) row: Option<(Option<Order>, Version)>,
    pub(crate) state: SlotState,
    /// Whether this holder wrote the row as it is known, so that no earlier write can still apply.
    pub(crate) confirmed: bool,
    /// Whether the target has reported the unresolved order.
    pub(crate) accepted: bool,
    /// When an order was last sent.
    pub(crate) sent_at: Option<Millis>,
    /// When the target was last queried or sent an order.
    pub(crate) queried_at: Millis,
    /// When the latest order was resolved, or the row was last read.
    pub(crate) resolved_at: Millis,
    /// Earliest time of the next call for this slot.
    pub(crate) next_at: Millis,
    /// Consecutive failed orders.
    pub(crate) failures: u32,
}

/// The call that a slot has in flight, by its number.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SlotState {
    /// No call.
    Idle,
    /// The row is being read.
    Reading(u64),
    /// This order is being written to the row.
    Writing(u64, Order),
    /// The unresolved order is being sent to the target.
    Sending(u64),
    /// The target is being queried for the state of the unresolved order.
    Querying(u64),
}

impl OrderSlot {
    pub(crate) fn new(target: &str) -> Self {
        Self {
            target: target.to_owned(),
            row: None,
            state: SlotState::Idle,
            confirmed: false,
            accepted: false,
            sent_at: None,
            queried_at: Millis(0),
            resolved_at: Millis(0),
            next_at: Millis(0),
            failures: 0,
        }
    }

    /// Whether an order is being sent to the target.
    pub(crate) fn is_sending(&self) -> bool {
        matches!(self.state, SlotState::Sending(_))
    }

    /// The latest order, resolved or not.
    pub(crate) fn latest(&self) -> Option<&Order> {
        self.row.as_ref()?.0.as_ref()
    }

    /// The latest order, if it is not resolved.
    pub(crate) fn unresolved(&self) -> Option<&Order> {
        self.latest().filter(|o| o.state == OrderState::Open)
    }

    /// Whether a copy of an earlier sent order may still arrive at `now`; `ttl` is the longest time
    /// in flight, in milliseconds.
    pub(crate) fn may_arrive(&self, now: Millis, ttl: u64) -> bool {
        self.sent_at.is_some_and(|sent_at| now < sent_at.plus(ttl))
    }

    /// Updates the slot after `order` was written to its row at `version`.
    pub(crate) fn written(&mut self, now: Millis, order: Order, version: Version, backoff_ms: u64) {
        let previous = self.latest().map_or(0, |o| o.seq);
        if order.seq != previous {
            self.accepted = false;
        }
        match order.state {
            OrderState::Open => self.next_at = now,
            OrderState::Done => {
                self.failures = 0;
                self.resolved_at = now;
            }
            OrderState::Failed => {
                self.next_at = now.plus(backoff_ms << self.failures.min(MAX_DOUBLINGS));
                self.failures += 1;
                self.resolved_at = now;
            }
        }
        self.row = Some((Some(order), version));
        self.confirmed = true;
    }
}
