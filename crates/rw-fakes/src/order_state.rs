//! Orders of the fake engine: those it has accepted and their progress.

use rw_types::{FencingToken, LoadedModel, Order, OrderKind, OrderResponse, OrderState, Role};
use serde::{Deserialize, Serialize};

/// An order that the engine accepted, as `GET /held` returns it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedOrder {
    /// Order as received.
    #[serde(flatten)]
    pub order: Order,
    /// Whether another order was in progress when it arrived.
    pub overlapped: bool,
    /// Highest fencing token that the engine had seen, including that of this order. An engine that
    /// ignores fencing tokens gives that of the previous order instead.
    #[serde(rename = "seen")]
    pub highest_fence: FencingToken,
    /// Number of open streams when it arrived.
    pub streams: u32,
}

/// Order state of an engine; not persistent.
#[derive(Debug, Clone)]
pub struct OrderTracker {
    checks_fence: bool,
    latest: OrderResponse,
    accepted: Vec<AcceptedOrder>,
    loaded: Vec<LoadedModel>,
    draining: bool,
    changing_role: bool,
}

impl OrderTracker {
    /// Creates the state of an engine that has just started.
    #[must_use]
    pub fn new(checks_fence: bool) -> Self {
        Self {
            checks_fence,
            latest: OrderResponse {
                fence: FencingToken(0),
                seq: 0,
                state: None,
                accepted: false,
            },
            accepted: Vec::new(),
            loaded: Vec::new(),
            draining: false,
            changing_role: false,
        }
    }

    /// Accepted orders, in order of arrival.
    #[must_use]
    pub fn accepted(&self) -> &[AcceptedOrder] {
        &self.accepted
    }

    /// State of the latest accepted order.
    #[must_use]
    pub fn latest(&self) -> &OrderResponse {
        &self.latest
    }

    /// Versions and adapters of the models that were loaded by orders.
    #[must_use]
    pub fn loaded(&self) -> &[LoadedModel] {
        &self.loaded
    }

    /// Whether new streams are rejected because of a drain or role change.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.draining || self.changing_role
    }

    /// Handles an order that arrived while `streams` were open; the flag is true if the order is
    /// new and must be carried out.
    ///
    /// An engine that ignores fencing tokens recognises only a copy of its latest order. It accepts
    /// every other one, even if it is outdated or arrives while another is in progress.
    pub fn accept(&mut self, order: &Order, streams: u32) -> (OrderResponse, bool) {
        let same = order.seq == self.latest.seq;
        let outdated = order.fence < self.latest.fence || order.seq < self.latest.seq;
        if self.checks_fence && !outdated {
            self.latest.fence = order.fence;
        }
        if same || (self.checks_fence && outdated) {
            let accepted = same && !(self.checks_fence && outdated);
            let response = OrderResponse {
                accepted,
                ..self.latest.clone()
            };
            return (response, false);
        }
        self.accepted.push(AcceptedOrder {
            order: order.clone(),
            overlapped: self.latest.state == Some(OrderState::Open),
            highest_fence: self.latest.fence,
            streams,
        });
        self.latest = OrderResponse {
            fence: order.fence,
            seq: order.seq,
            state: Some(OrderState::Open),
            accepted: true,
        };
        self.draining |= order.kind == OrderKind::Drain;
        self.changing_role |= matches!(order.kind, OrderKind::Role { .. });
        (self.latest.clone(), true)
    }

    /// Completes an order, and applies it to `models` and `role`.
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
                self.loaded.retain(|l| l.model != model);
                self.loaded.push(LoadedModel {
                    model,
                    version,
                    adapters,
                });
                self.loaded.sort_by(|a, b| a.model.cmp(&b.model));
            }
            OrderKind::Unload { model } => {
                models.retain(|m| *m != model);
                self.loaded.retain(|l| l.model != model);
            }
            OrderKind::Role { role: wanted } => {
                *role = wanted;
                self.draining = false;
                self.changing_role = false;
            }
            OrderKind::Drain => {}
        }
        if self.latest.seq == order.seq {
            self.latest.state = Some(OrderState::Done);
        }
    }
}
