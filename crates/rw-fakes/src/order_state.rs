//! The order part of the engine stand-in: what it was told and what it carried out.

use rw_types::{FencingToken, LoadedModel, Order, OrderKind, OrderReply, OrderState, Role};
use serde::{Deserialize, Serialize};

/// An order that the engine took, as `GET /held` tells it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedOrder {
    /// Order as it came.
    #[serde(flatten)]
    pub order: Order,
    /// Whether another order was still being carried out when it came.
    pub overlapped: bool,
    /// Highest fencing token that the engine had seen before.
    #[serde(rename = "seen")]
    pub highest_fence: FencingToken,
    /// Streams that ran when it came.
    pub streams: u32,
}

/// What an engine knows of its orders; lost with its process.
#[derive(Debug, Clone)]
pub struct OrderTracker {
    checks_fence: bool,
    latest: OrderReply,
    held: Vec<AcceptedOrder>,
    loads: Vec<LoadedModel>,
    draining: bool,
    changing: bool,
}

impl OrderTracker {
    /// The book of an engine that has just started.
    #[must_use]
    pub fn new(checks_fence: bool) -> Self {
        Self {
            checks_fence,
            latest: OrderReply {
                fence: FencingToken(0),
                seq: 0,
                state: None,
                accepted: false,
            },
            held: Vec::new(),
            loads: Vec::new(),
            draining: false,
            changing: false,
        }
    }

    /// Orders taken, in the order of their coming.
    #[must_use]
    pub fn accepted(&self) -> &[AcceptedOrder] {
        &self.held
    }

    /// The engine's word on its latest order.
    #[must_use]
    pub fn latest(&self) -> &OrderReply {
        &self.latest
    }

    /// Versions and adapters of the models loaded by orders.
    #[must_use]
    pub fn loaded(&self) -> &[LoadedModel] {
        &self.loads
    }

    /// Whether new streams are declined.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.draining || self.changing
    }

    /// Takes an order that came with `streams` running; the flag says whether to carry it out.
    ///
    /// An engine that ignores fencing tokens knows only a copy of its latest order; it would take
    /// any other, also one that is old or comes while it carries out another.
    pub fn accept(&mut self, order: &Order, streams: u32) -> (OrderReply, bool) {
        let same = order.seq == self.latest.seq;
        let old = order.fence < self.latest.fence || order.seq < self.latest.seq;
        if self.checks_fence && !old {
            self.latest.fence = order.fence;
        }
        if same || (self.checks_fence && old) {
            let accepted = same && !(self.checks_fence && old);
            let reply = OrderReply {
                accepted,
                ..self.latest.clone()
            };
            return (reply, false);
        }
        self.held.push(AcceptedOrder {
            order: order.clone(),
            overlapped: self.latest.state == Some(OrderState::Open),
            highest_fence: self.latest.fence,
            streams,
        });
        self.latest = OrderReply {
            fence: order.fence,
            seq: order.seq,
            state: Some(OrderState::Open),
            accepted: true,
        };
        self.draining |= order.kind == OrderKind::Drain;
        self.changing |= matches!(order.kind, OrderKind::Role { .. });
        (self.latest.clone(), true)
    }

    /// Ends an order that was carried out; the engine's models and role change with it.
    pub fn finish(&mut self, order: Order, models: &mut Vec<String>, role: &mut Role) {
        match order.kind {
            OrderKind::Load {
                model,
                version,
                adapters,
            } => {
                if let Err(i) = models.binary_search(&model) {
                    models.insert(i, model.clone());
                }
                self.loads.retain(|l| l.model != model);
                self.loads.push(LoadedModel {
                    model,
                    version,
                    adapters,
                });
                self.loads.sort_by(|a, b| a.model.cmp(&b.model));
            }
            OrderKind::Unload { model } => {
                models.retain(|m| *m != model);
                self.loads.retain(|l| l.model != model);
            }
            OrderKind::Role { role: wanted } => {
                *role = wanted;
                self.draining = false;
                self.changing = false;
            }
            OrderKind::Drain => {}
        }
        if self.latest.seq == order.seq {
            self.latest.state = Some(OrderState::Done);
        }
    }
}
