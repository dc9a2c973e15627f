//! One target's latest order, as the holder of its lease knows it.

use rw_types::{Millis, Order, OrderState, Version};

/// Doublings of the pause after failed orders, at most.
const MAX_DOUBLINGS: u32 = 6;

/// The order of one target.
#[derive(Debug, Clone)]
pub struct OrderSlot {
    pub(crate) target: String,
    /// The row as last known; `None` if it must be read.
    pub(crate) row: Option<(Option<Order>, Version)>,
    pub(crate) step: SlotState,
    /// Whether the row is as this holder wrote it, so that no earlier write can still change it.
    pub(crate) sure: bool,
    /// Whether the target was seen to have the open order.
    pub(crate) taken: bool,
    /// When an order was last sent.
    pub(crate) sent: Option<Millis>,
    /// When the target was last asked.
    pub(crate) asked: Millis,
    /// When the latest order was resolved, or the row first read.
    pub(crate) resolved: Millis,
    /// Nothing is done before this time.
    pub(crate) next: Millis,
    /// Orders that failed one after the other.
    pub(crate) fails: u32,
}

/// What a slot waits for, by the number of the call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SlotState {
    /// Nothing.
    Idle,
    /// The table, for the row.
    Reading(u64),
    /// The table, to take this order.
    Writing(u64, Order),
    /// The target, to take the open order.
    Sending(u64),
    /// The target, for its word on the open order.
    Querying(u64),
}

impl OrderSlot {
    pub(crate) fn new(target: &str) -> Self {
        Self {
            target: target.to_owned(),
            row: None,
            step: SlotState::Idle,
            sure: false,
            taken: false,
            sent: None,
            asked: Millis(0),
            resolved: Millis(0),
            next: Millis(0),
            fails: 0,
        }
    }

    /// Whether an order may be on its way to the target.
    pub(crate) fn is_sending(&self) -> bool {
        matches!(self.step, SlotState::Sending(_))
    }

    /// The latest order, resolved or not.
    pub(crate) fn latest(&self) -> Option<&Order> {
        self.row.as_ref()?.0.as_ref()
    }

    /// The unresolved order.
    pub(crate) fn open(&self) -> Option<&Order> {
        self.latest().filter(|o| o.state == OrderState::Open)
    }

    /// Whether a copy of an order sent earlier may still arrive at `now`.
    pub(crate) fn in_flight(&self, now: Millis, life: u64) -> bool {
        self.sent.is_some_and(|sent| now < sent.plus(life))
    }

    /// Takes the row over after it was written.
    pub(crate) fn wrote(&mut self, now: Millis, order: Order, version: Version, pause: u64) {
        let earlier = self.latest().map_or(0, |o| o.seq);
        if order.seq != earlier {
            self.taken = false;
        }
        match order.state {
            OrderState::Open => self.next = now,
            OrderState::Done => {
                self.fails = 0;
                self.resolved = now;
            }
            OrderState::Failed => {
                self.next = now.plus(pause << self.fails.min(MAX_DOUBLINGS));
                self.fails += 1;
                self.resolved = now;
            }
        }
        self.row = Some((Some(order), version));
        self.sure = true;
    }
}
