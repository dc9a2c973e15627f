//! Requests that wait for room for their bodies, in order.

use crate::BodyRoom;
use async_channel::{Receiver, Sender};
use std::collections::VecDeque;

/// Bodies of one size: the bytes held, and the requests that wait.
#[derive(Debug, Default)]
pub(crate) struct BodyQueue {
    /// Bytes that are reserved.
    pub(crate) held: usize,
    places: VecDeque<(usize, Sender<BodyRoom>)>,
}

impl BodyQueue {
    /// Adds a request for `bytes`, which gets its room from the receiver and leaves the queue by
    /// dropping it.
    pub(crate) fn push(&mut self, bytes: usize) -> Receiver<BodyRoom> {
        let (sender, receiver) = async_channel::bounded(1);
        self.places.push_back((bytes, sender));
        receiver
    }

    /// Number of requests that wait.
    pub(crate) fn waiting(&self) -> usize {
        self.places.iter().filter(|(_, s)| !s.is_closed()).count()
    }

    /// Bytes that the first request waits for.
    pub(crate) fn first(&mut self) -> Option<usize> {
        self.places.retain(|(_, s)| !s.is_closed());
        self.places.front().map(|(bytes, _)| *bytes)
    }

    /// Removes the first request.
    pub(crate) fn pop(&mut self) -> Option<Sender<BodyRoom>> {
        self.places.pop_front().map(|(_, sender)| sender)
    }
}
