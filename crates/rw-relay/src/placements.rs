//! Requests for placements, and the messages between nodes and schedulers.
//!
//! The messages are JSON-RPC notifications on the UDP sockets for digests. A lost one costs the wait
//! for its answer, after which the node decides by itself.

use crate::{Dialect, Relay, membership::Peers, peers::notification};
use async_channel::{Receiver, Sender};
use rw_gate::{Event, PLACEMENT_TIMEOUT_MS, PlacementReply, SchedulerNode};
use rw_types::RequestId;
use serde::Serialize;
use smol::{Timer, future};
use std::{cell::RefCell, net::SocketAddr, time::Duration};

/// Method of a message to a scheduler.
pub(crate) const SCHEDULE_METHOD: &str = "schedule";
/// Method of a scheduler's answer.
pub(crate) const PLACED_METHOD: &str = "placed";
/// Time to wait for the answer of a scheduler, unless the settings name another.
pub const DEFAULT_PLACEMENT_TIMEOUT: Duration = Duration::from_millis(PLACEMENT_TIMEOUT_MS);

/// How calls are placed in fleets in which a node hears of only some of the others.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum PlacementMode {
    /// By the scheduler of a group of engines.
    #[default]
    Scheduler,
    /// By each node's own estimate.
    Local,
}

/// A datagram to be sent.
pub(crate) type Datagram = (SocketAddr, String);

/// Calls that wait for the answers of schedulers.
#[derive(Debug, Default)]
pub(crate) struct PlacementWaiters {
    list: RefCell<Vec<(RequestId, Sender<PlacementReply>)>>,
}

impl PlacementWaiters {
    fn add(&self, id: RequestId) -> Waiter<'_> {
        let (sender, replies) = async_channel::bounded(1);
        self.list.borrow_mut().push((id, sender));
        Waiter {
            waiters: self,
            id,
            replies,
        }
    }

    /// Hands an answer to the call that waits for it; gives it back if none does.
    fn hand_over(&self, reply: PlacementReply) -> Option<PlacementReply> {
        let list = self.list.borrow();
        match list.iter().find(|(id, _)| id.0 == reply.id) {
            Some((_, sender)) => sender.try_send(reply).err().map(|e| e.into_inner()),
            None => Some(reply),
        }
    }
}

/// Entry of a waiting call, removed when it is dropped.
#[derive(Debug)]
struct Waiter<'a> {
    waiters: &'a PlacementWaiters,
    id: RequestId,
    replies: Receiver<PlacementReply>,
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        let mut list = self.waiters.list.borrow_mut();
        list.retain(|(id, _)| *id != self.id);
    }
}

impl<D: Dialect> Relay<D> {
    /// Waits for the answer to request `number` of a call, and returns the event for the gate.
    pub(crate) async fn await_placement(&self, id: RequestId, number: u32) -> Event {
        let waiter = self.placements.add(id);
        let answered = async {
            loop {
                match waiter.replies.recv().await {
                    Ok(reply) if reply.number == number => break Some(reply),
                    // An answer to an earlier request, whose time is over.
                    Ok(reply) => drop(self.step(Event::PlacementAnswered(reply))),
                    Err(_) => future::pending().await,
                }
            }
        };
        let expired = async {
            Timer::after(self.settings.placement_timeout).await;
            None
        };
        match future::or(answered, expired).await {
            Some(reply) => {
                self.metrics.placed(&reply.outcome);
                Event::PlacementAnswered(reply)
            }
            None => {
                self.metrics.placement_expired();
                Event::PlacementExpired { id, number }
            }
        }
    }

    /// Processes the answer of a scheduler.
    pub(crate) fn placement_received(&self, reply: PlacementReply) {
        if let Some(reply) = self.placements.hand_over(reply) {
            // The call has been placed without it.
            self.step(Event::PlacementAnswered(reply));
        }
    }

    /// Queues a message for the node `vm`.
    pub(crate) fn send_message(&self, vm: &str, method: &'static str, message: &impl Serialize) {
        let to = self.peers.borrow().find(vm).map(|p| p.digests);
        let (Some(to), Ok(text)) = (to, notification(method, message)) else {
            return;
        };
        if self.datagrams.try_send((to, text)).is_err() {
            log::debug!(to:%; "message to a scheduler dropped because the queue is full; the call is placed without it");
        }
    }
}

/// The nodes among `peers` that understand placement requests; none if this node doesn't use them.
pub(crate) fn scheduler_nodes(mode: PlacementMode, peers: &Peers) -> Vec<SchedulerNode> {
    if mode == PlacementMode::Local {
        return Vec::new();
    }
    let nodes = peers.all().iter().filter(|p| p.schedules);
    let nodes = nodes.map(|p| SchedulerNode {
        vm: p.vm.clone(),
        weight: p.digest_bytes_per_s,
    });
    nodes.collect()
}
