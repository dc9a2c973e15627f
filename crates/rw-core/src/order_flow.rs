//! Turns proposed orders into orders: writes them to the table, sends them, records their outcome.
//!
//! An order is written to its row before it is sent, and a target gets no further order until the
//! last one is resolved.

use crate::{
    AuthorityEffect, Node, OrderRow, OrderSlot, ProposedOrder, WriteOutcome,
    next_order::next_order_kind, order_slot::SlotState,
};
use rw_types::{Millis, Order, OrderKind, OrderResponse, OrderState, TargetKind};

/// How often a target is queried, and orders are planned, within the longest time that an order can
/// be in flight.
const QUERIES_PER_TTL: u64 = 4;

impl Node {
    /// Advances the orders of every lease that this node holds.
    pub(crate) fn tick_orders(&mut self, now: Millis, out: &mut Vec<AuthorityEffect>) {
        let interval = self.settings.order_ttl_ms / QUERIES_PER_TTL;
        let plan_due = now >= self.authority.planned_at.plus(interval);
        if plan_due {
            self.authority.planned_at = now;
        }
        for i in 0..self.authority.leases.len() {
            if !self.shutting_down && self.authority.leases[i].is_held(now) {
                self.sync_slots(i);
                self.read_orders(i, out);
                let proposals = if plan_due {
                    self.proposals_for(now, i)
                } else {
                    Vec::new()
                };
                for j in 0..self.authority.leases[i].slots.len() {
                    self.tick_slot(now, i, j, &proposals, out);
                }
            }
        }
    }

    /// Keeps exactly one slot for each engine of the group.
    fn sync_slots(&mut self, i: usize) {
        let lease = &mut self.authority.leases[i];
        let group = lease.group.as_str();
        let names = self
            .config
            .targets
            .iter()
            .filter(|t| t.kind == TargetKind::Engine && t.lease_group() == group)
            .map(|t| t.name.as_str());
        if names
            .clone()
            .eq(lease.slots.iter().map(|s| s.target.as_str()))
        {
            return;
        }
        let mut old = std::mem::take(&mut lease.slots);
        lease.slots = names
            .map(
                |name| match old.binary_search_by(|s| s.target.as_str().cmp(name)) {
                    Ok(k) => old.remove(k),
                    Err(_) => OrderSlot::new(name),
                },
            )
            .collect();
    }

    /// Reads all unknown order rows of a group in one call.
    fn read_orders(&mut self, i: usize, out: &mut Vec<AuthorityEffect>) {
        let call = self.authority.next_call();
        let unknown = self.authority.leases[i]
            .slots
            .iter_mut()
            .filter(|s| s.row.is_none() && s.state == SlotState::Idle);
        let targets: Vec<String> = unknown
            .map(|slot| {
                slot.state = SlotState::Reading(call);
                slot.target.clone()
            })
            .collect();
        if !targets.is_empty() {
            out.push(AuthorityEffect::ReadOrders { call, targets });
        }
    }

    fn tick_slot(
        &mut self,
        now: Millis,
        i: usize,
        j: usize,
        proposals: &[ProposedOrder],
        out: &mut Vec<AuthorityEffect>,
    ) {
        let ttl = self.settings.order_ttl_ms;
        let lease = &self.authority.leases[i];
        let slot = &lease.slots[j];
        let Some(target) = self.targets.find(&slot.target) else {
            return;
        };
        if slot.state != SlotState::Idle || slot.row.is_none() || now < slot.next_at {
            return;
        }
        // An engine that does not check fencing tokens runs any order that arrives, so wait until
        // no earlier order can still be in flight.
        let none_in_flight = now >= lease.held_since.plus(ttl) && !slot.may_arrive(now, ttl);
        let checks_fence = target.spec.checks_fence;
        if slot.unresolved().is_some() {
            if checks_fence || now >= lease.held_since.plus(ttl) {
                self.query_target(now, i, j, out);
            }
            return;
        }
        if !checks_fence && !none_in_flight {
            return;
        }
        let next = proposals
            .iter()
            .filter(|p| p.target == slot.target)
            .find_map(|p| Some((next_order_kind(target, slot, &p.kind)?, p.reason.clone())));
        if let Some((kind, reason)) = next {
            self.new_order(i, j, kind, reason, out);
        }
    }

    fn new_order(
        &mut self,
        i: usize,
        j: usize,
        kind: OrderKind,
        reason: String,
        out: &mut Vec<AuthorityEffect>,
    ) {
        let lease = &self.authority.leases[i];
        let slot = &lease.slots[j];
        let order = Order {
            target: slot.target.clone(),
            fence: lease.fence,
            seq: slot.latest().map_or(0, |o| o.seq) + 1,
            kind,
            state: OrderState::Open,
            reason,
        };
        self.write_order(i, j, order, out);
    }

    fn write_order(&mut self, i: usize, j: usize, order: Order, out: &mut Vec<AuthorityEffect>) {
        let call = self.authority.next_call();
        let lease = &mut self.authority.leases[i];
        let slot = &mut lease.slots[j];
        let Some((_, version)) = slot.row else {
            return;
        };
        slot.state = SlotState::Writing(call, order.clone());
        out.push(AuthorityEffect::WriteOrder {
            call,
            group: lease.group.clone(),
            fence: lease.fence,
            version,
            order,
        });
    }

    fn query_target(&mut self, now: Millis, i: usize, j: usize, out: &mut Vec<AuthorityEffect>) {
        let call = self.authority.next_call();
        let slot = &mut self.authority.leases[i].slots[j];
        let Some(target) = self.targets.find(&slot.target) else {
            return;
        };
        slot.state = SlotState::Querying(call);
        slot.queried_at = now;
        out.push(AuthorityEffect::ReadTarget {
            call,
            addr: target.spec.addr.clone(),
        });
    }

    fn send_order(&mut self, now: Millis, i: usize, j: usize, out: &mut Vec<AuthorityEffect>) {
        let call = self.authority.next_call();
        let lease = &mut self.authority.leases[i];
        let holds = lease.is_held(now) && !self.shutting_down;
        let slot = &mut lease.slots[j];
        let (Some(order), Some(target)) =
            (slot.unresolved().cloned(), self.targets.find(&slot.target))
        else {
            return;
        };
        let margin = if target.spec.checks_fence {
            0
        } else {
            self.settings.drift_ms
        };
        let deadline = Millis(lease.valid_until.0.saturating_sub(margin));
        if !holds || now >= deadline {
            return;
        }
        slot.state = SlotState::Sending(call);
        slot.sent_at = Some(now);
        slot.queried_at = now;
        out.push(AuthorityEffect::SendOrder {
            call,
            addr: target.spec.addr.clone(),
            order,
            deadline,
        });
    }

    pub(crate) fn orders_read(&mut self, now: Millis, call: u64, rows: Option<&[OrderRow]>) {
        let delay = self.settings.order_ttl_ms / QUERIES_PER_TTL;
        let slots = self.authority.leases.iter_mut().flat_map(|l| &mut l.slots);
        for slot in slots.filter(|s| s.state == SlotState::Reading(call)) {
            slot.state = SlotState::Idle;
            slot.next_at = now.plus(delay);
            let row = rows.and_then(|rows| rows.iter().find(|r| r.target == slot.target));
            if let Some(row) = row {
                slot.row = Some((row.order.clone(), row.version));
                slot.confirmed = false;
                slot.resolved_at = now;
                slot.next_at = now;
            }
        }
        self.mark_unavailable();
    }

    pub(crate) fn order_written(
        &mut self,
        now: Millis,
        call: u64,
        outcome: WriteOutcome,
        out: &mut Vec<AuthorityEffect>,
    ) {
        let found = self
            .authority
            .find_slot(|s| matches!(s.state, SlotState::Writing(c, _) if c == call));
        let Some((i, j)) = found else {
            return;
        };
        let backoff_ms = self.settings.retry_ms;
        let slot = &mut self.authority.leases[i].slots[j];
        let SlotState::Writing(_, order) = std::mem::replace(&mut slot.state, SlotState::Idle)
        else {
            return;
        };
        match outcome {
            WriteOutcome::Written(version) => {
                let is_open = order.state == OrderState::Open;
                let proposed = (order.target.clone(), order.kind.clone());
                slot.written(now, order, version, backoff_ms);
                if is_open {
                    self.proposals
                        .retain(|p| (&p.target, &p.kind) != (&proposed.0, &proposed.1));
                    self.send_order(now, i, j, out);
                }
            }
            WriteOutcome::NotApplied => {
                slot.next_at = now.plus(self.settings.order_ttl_ms / QUERIES_PER_TTL)
            }
            // The content of the row is unknown until it is read again.
            WriteOutcome::Conflict | WriteOutcome::Unknown => slot.row = None,
        }
        self.mark_unavailable();
    }

    pub(crate) fn target_responded(
        &mut self,
        now: Millis,
        call: u64,
        response: Option<&OrderResponse>,
        out: &mut Vec<AuthorityEffect>,
    ) {
        let found = self.authority.find_slot(|s| {
            s.state == SlotState::Sending(call) || s.state == SlotState::Querying(call)
        });
        let Some((i, j)) = found else {
            return;
        };
        let later = now.plus(self.settings.order_ttl_ms / QUERIES_PER_TTL);
        let slot = &mut self.authority.leases[i].slots[j];
        let was_sending = slot.is_sending();
        slot.state = SlotState::Idle;
        slot.next_at = later;
        let (Some(response), Some(order)) = (response, slot.unresolved().cloned()) else {
            return;
        };
        if response.fence > self.authority.leases[i].fence && !response.accepted {
            // The target has seen the fencing token of a later holder, so this lease is lost.
            self.authority.leases[i].reset(now);
            return self.mark_unavailable();
        }
        let slot = &mut self.authority.leases[i].slots[j];
        match (response.seq.cmp(&order.seq), response.state) {
            (std::cmp::Ordering::Equal, Some(OrderState::Open) | None) => slot.accepted = true,
            (std::cmp::Ordering::Equal, Some(state)) => {
                self.write_order(i, j, Order { state, ..order }, out);
            }
            (std::cmp::Ordering::Less, _) => self.order_missing(now, i, j, was_sending, order, out),
            (std::cmp::Ordering::Greater, _) => {
                let state = OrderState::Failed;
                self.write_order(i, j, Order { state, ..order }, out);
            }
        }
    }

    /// Handles a target that does not know the open order: the order never arrived, or the target
    /// lost it.
    fn order_missing(
        &mut self,
        now: Millis,
        i: usize,
        j: usize,
        was_sending: bool,
        order: Order,
        out: &mut Vec<AuthorityEffect>,
    ) {
        let lease = &self.authority.leases[i];
        let slot = &lease.slots[j];
        let ttl = self.settings.order_ttl_ms;
        if slot.accepted {
            // A copy still in flight could start the order again after it was recorded as failed.
            if !slot.may_arrive(slot.queried_at, ttl) {
                let state = OrderState::Failed;
                self.write_order(i, j, Order { state, ..order }, out);
            }
        } else if !slot.confirmed {
            // An earlier write whose response was lost may still be applied and end the order.
            // Writing the row again rules that out and sets this holder's fencing token.
            let fence = lease.fence;
            self.write_order(i, j, Order { fence, ..order }, out);
        } else if !was_sending {
            self.send_order(now, i, j, out);
        }
    }

    /// Stops new work for targets with an unresolved order to change role or to drain.
    pub(crate) fn mark_unavailable(&mut self) {
        let slots = self.authority.leases.iter().flat_map(|l| &l.slots);
        let mut unavailable: Vec<&str> = slots
            .filter(|s| {
                s.unresolved()
                    .is_some_and(|o| matches!(o.kind, OrderKind::Role { .. } | OrderKind::Drain))
            })
            .map(|s| s.target.as_str())
            .collect();
        unavailable.sort_unstable();
        self.targets.mark_unavailable(&unavailable);
    }
}
