//! Budget of bytes for the bodies of requests that a node holds at once.

use crate::{BodyRoom, body_queue::BodyQueue};
use smol::future;
use std::{
    cell::{Ref, RefCell},
    rc::Rc,
};

/// Largest body that counts as small. Small bodies wait apart from large ones.
const SMALL_BODY_BYTES: usize = 64 << 10;
/// Part of the budget that large bodies leave to small ones, as a divisor.
const SMALL_SHARE: usize = 4;

/// Bytes that the bodies of all requests may take up together.
///
/// Bodies of each of two sizes get room first come, first served. Large ones leave a quarter of the
/// budget to small ones, and small ones keep to that quarter while a large one waits, so that neither
/// starves the other.
#[derive(Debug, Clone)]
pub struct BodyBudget(Rc<RefCell<State>>);

#[derive(Debug)]
struct State {
    total: usize,
    small: BodyQueue,
    large: BodyQueue,
}

impl BodyBudget {
    /// Creates a budget of `total` bytes.
    #[must_use]
    pub fn new(total: usize) -> Self {
        let state = State {
            total,
            small: BodyQueue::default(),
            large: BodyQueue::default(),
        };
        Self(Rc::new(RefCell::new(state)))
    }

    /// Changes the budget. Bodies that are held stay.
    pub fn set_total(&self, total: usize) {
        self.0.borrow_mut().total = total;
        self.admit();
    }

    /// Whether a body of `bytes` fits into the budget at all.
    #[must_use]
    pub fn can_hold(&self, bytes: u64) -> bool {
        bytes <= self.state().total as u64
    }

    /// Bytes that are reserved.
    #[must_use]
    pub fn held(&self) -> usize {
        self.state().held()
    }

    /// Number of requests that wait for room.
    #[must_use]
    pub fn waiting(&self) -> usize {
        let state = self.state();
        state.small.waiting() + state.large.waiting()
    }

    /// Reserves `bytes` if there is room and no body of this size waits.
    #[must_use]
    pub fn try_reserve(&self, bytes: usize) -> Option<BodyRoom> {
        let mut state = self.0.borrow_mut();
        let is_free = bytes == 0 || (state.queue(bytes).waiting() == 0 && state.fits(bytes));
        if !is_free {
            return None;
        }
        state.queue(bytes).held += bytes;
        Some(BodyRoom::new(self.clone(), bytes))
    }

    /// Room of no bytes, which can grow.
    #[must_use]
    pub fn empty_room(&self) -> BodyRoom {
        BodyRoom::new(self.clone(), 0)
    }

    /// Reserves `bytes`, and waits for room if there is none. Dropping the future leaves the queue.
    pub async fn reserve(&self, bytes: usize) -> BodyRoom {
        if let Some(room) = self.try_reserve(bytes) {
            return room;
        }
        // Dropped after the receiver, which marks the place in the queue as left.
        let _leaving = OnLeave(self);
        let granted = self.0.borrow_mut().queue(bytes).push(bytes);
        match granted.recv().await {
            Ok(room) => room,
            // The queue keeps the sender until it has sent the room.
            Err(_) => future::pending().await,
        }
    }

    /// Changes a reservation from `old` to `new` bytes, ahead of those that wait, as the body is being
    /// read already; false if there is no room.
    pub(crate) fn resize(&self, old: usize, new: usize) -> bool {
        let mut state = self.0.borrow_mut();
        state.queue(old).held -= old;
        let fits = new <= old || state.fits(new);
        let kept = if fits { new } else { old };
        state.queue(kept).held += kept;
        drop(state);
        self.admit();
        fits
    }

    /// Frees `bytes` of a reservation.
    pub(crate) fn release(&self, bytes: usize) {
        self.0.borrow_mut().queue(bytes).held -= bytes;
        self.admit();
    }

    /// Grants room to those that wait, in their order.
    fn admit(&self) {
        while let Some((bytes, sender)) = self.next_fitting() {
            // If the receiver has left, the room that comes back is released.
            drop(sender.try_send(BodyRoom::new(self.clone(), bytes)));
        }
    }

    fn next_fitting(&self) -> Option<(usize, async_channel::Sender<BodyRoom>)> {
        let mut state = self.0.borrow_mut();
        let firsts = [state.small.first(), state.large.first()];
        let bytes = firsts.into_iter().flatten().find(|b| state.fits(*b))?;
        let queue = state.queue(bytes);
        let sender = queue.pop()?;
        queue.held += bytes;
        Some((bytes, sender))
    }

    fn state(&self) -> Ref<'_, State> {
        self.0.borrow()
    }
}

impl State {
    fn held(&self) -> usize {
        self.small.held + self.large.held
    }

    fn small_share(&self) -> usize {
        self.total / SMALL_SHARE
    }

    /// Queue of the bodies of this size.
    fn queue(&mut self, bytes: usize) -> &mut BodyQueue {
        match bytes <= SMALL_BODY_BYTES {
            true => &mut self.small,
            false => &mut self.large,
        }
    }

    fn fits(&self, bytes: usize) -> bool {
        if self.held() + bytes > self.total {
            return false;
        }
        if bytes <= SMALL_BODY_BYTES {
            return self.large.waiting() == 0 || self.small.held + bytes <= self.small_share();
        }
        // A body that is larger than the part for large ones is held alone.
        self.large.held == 0 || self.large.held + bytes <= self.total - self.small_share()
    }
}

/// Lets those behind move up when a request leaves the queue.
#[derive(Debug)]
struct OnLeave<'a>(&'a BodyBudget);

impl Drop for OnLeave<'_> {
    fn drop(&mut self) {
        self.0.admit();
    }
}
