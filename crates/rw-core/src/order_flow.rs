//! An order's way from a wish to its resolution.
//!
//! A row is written before its order is sent, and no second one while the first is unresolved.

use crate::{
    AuthorityEffect, Node, OrderRow, OrderSlot, ProposedOrder, WriteOutcome, order_slot::SlotState,
    wish_step::next_kind,
};
use rw_types::{Millis, Order, OrderKind, OrderReply, OrderState, TargetKind};

/// Questions to a target within the longest life of an order.
const QUESTIONS: u64 = 4;

impl Node {
    /// Moves the orders of every lease that this node holds.
    pub(crate) fn tick_orders(&mut self, now: Millis, out: &mut Vec<AuthorityEffect>) {
        let pace = self.settings.order_ttl_ms / QUESTIONS;
        let plan = now >= self.authority.planned.plus(pace);
        if plan {
            self.authority.planned = now;
        }
        for i in 0..self.authority.leases.len() {
            if !self.leaving && self.authority.leases[i].holds(now) {
                self.match_slots(i);
                self.read_orders(i, out);
                let wishes = if plan {
                    self.wishes_of(now, i)
                } else {
                    Vec::new()
                };
                for j in 0..self.authority.leases[i].slots.len() {
                    self.tick_slot(now, i, j, &wishes, out);
                }
            }
        }
    }

    /// Keeps one slot for each engine of the group.
    fn match_slots(&mut self, i: usize) {
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

    /// Reads all unknown rows of a group in one call.
    fn read_orders(&mut self, i: usize, out: &mut Vec<AuthorityEffect>) {
        let call = self.authority.number();
        let unknown = self.authority.leases[i]
            .slots
            .iter_mut()
            .filter(|s| s.row.is_none() && s.step == SlotState::Idle);
        let targets: Vec<String> = unknown
            .map(|slot| {
                slot.step = SlotState::Reading(call);
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
        wishes: &[ProposedOrder],
        out: &mut Vec<AuthorityEffect>,
    ) {
        let life = self.settings.order_ttl_ms;
        let lease = &self.authority.leases[i];
        let slot = &lease.slots[j];
        let Some(target) = self.targets.find(&slot.target) else {
            return;
        };
        if slot.step != SlotState::Idle || slot.row.is_none() || now < slot.next {
            return;
        }
        // An engine that ignores fences takes whatever arrives: wait until nothing can.
        let quiet = now >= lease.since.plus(life) && !slot.in_flight(now, life);
        let checks = target.spec.checks_fence;
        if slot.open().is_some() {
            if checks || now >= lease.since.plus(life) {
                self.ask_target(now, i, j, out);
            }
            return;
        }
        if !checks && !quiet {
            return;
        }
        let wanted = wishes
            .iter()
            .filter(|w| w.target == slot.target)
            .find_map(|w| Some((next_kind(target, slot, &w.kind)?, w.reason.clone())));
        if let Some((kind, reason)) = wanted {
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
        let call = self.authority.number();
        let lease = &mut self.authority.leases[i];
        let slot = &mut lease.slots[j];
        let Some((_, version)) = slot.row else {
            return;
        };
        slot.step = SlotState::Writing(call, order.clone());
        out.push(AuthorityEffect::WriteOrder {
            call,
            group: lease.group.clone(),
            fence: lease.fence,
            version,
            order,
        });
    }

    fn ask_target(&mut self, now: Millis, i: usize, j: usize, out: &mut Vec<AuthorityEffect>) {
        let call = self.authority.number();
        let slot = &mut self.authority.leases[i].slots[j];
        let Some(target) = self.targets.find(&slot.target) else {
            return;
        };
        slot.step = SlotState::Querying(call);
        slot.asked = now;
        out.push(AuthorityEffect::ReadTarget {
            call,
            addr: target.spec.addr.clone(),
        });
    }

    fn send_order(&mut self, now: Millis, i: usize, j: usize, out: &mut Vec<AuthorityEffect>) {
        let call = self.authority.number();
        let lease = &mut self.authority.leases[i];
        let holds = lease.holds(now) && !self.leaving;
        let slot = &mut lease.slots[j];
        let (Some(order), Some(target)) = (slot.open().cloned(), self.targets.find(&slot.target))
        else {
            return;
        };
        let guard = if target.spec.checks_fence {
            0
        } else {
            self.settings.drift_ms
        };
        let deadline = Millis(lease.until.0.saturating_sub(guard));
        if !holds || now >= deadline {
            return;
        }
        slot.step = SlotState::Sending(call);
        slot.sent = Some(now);
        slot.asked = now;
        out.push(AuthorityEffect::SendOrder {
            call,
            addr: target.spec.addr.clone(),
            order,
            deadline,
        });
    }

    pub(crate) fn orders_read(&mut self, now: Millis, call: u64, rows: Option<&[OrderRow]>) {
        let pause = self.settings.order_ttl_ms / QUESTIONS;
        let slots = self.authority.leases.iter_mut().flat_map(|l| &mut l.slots);
        for slot in slots.filter(|s| s.step == SlotState::Reading(call)) {
            slot.step = SlotState::Idle;
            slot.next = now.plus(pause);
            let row = rows.and_then(|rows| rows.iter().find(|r| r.target == slot.target));
            if let Some(row) = row {
                slot.row = Some((row.order.clone(), row.version));
                slot.sure = false;
                slot.resolved = now;
                slot.next = now;
            }
        }
        self.mark_removals();
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
            .find_slot(|s| matches!(s.step, SlotState::Writing(c, _) if c == call));
        let Some((i, j)) = found else {
            return;
        };
        let pause = self.settings.retry_ms;
        let slot = &mut self.authority.leases[i].slots[j];
        let SlotState::Writing(_, order) = std::mem::replace(&mut slot.step, SlotState::Idle)
        else {
            return;
        };
        match outcome {
            WriteOutcome::Written(version) => {
                let open = order.state == OrderState::Open;
                let wish = (order.target.clone(), order.kind.clone());
                slot.wrote(now, order, version, pause);
                if open {
                    self.wishes
                        .retain(|w| (&w.target, &w.kind) != (&wish.0, &wish.1));
                    self.send_order(now, i, j, out);
                }
            }
            WriteOutcome::NotApplied => {
                slot.next = now.plus(self.settings.order_ttl_ms / QUESTIONS)
            }
            // What stands in the row now is not known until it is read.
            WriteOutcome::Conflict | WriteOutcome::Unknown => slot.row = None,
        }
        self.mark_removals();
    }

    pub(crate) fn target_told(
        &mut self,
        now: Millis,
        call: u64,
        reply: Option<&OrderReply>,
        out: &mut Vec<AuthorityEffect>,
    ) {
        let found = self.authority.find_slot(|s| {
            s.step == SlotState::Sending(call) || s.step == SlotState::Querying(call)
        });
        let Some((i, j)) = found else {
            return;
        };
        let later = now.plus(self.settings.order_ttl_ms / QUESTIONS);
        let slot = &mut self.authority.leases[i].slots[j];
        let sent = slot.is_sending();
        slot.step = SlotState::Idle;
        slot.next = later;
        let (Some(reply), Some(order)) = (reply, slot.open().cloned()) else {
            return;
        };
        if reply.fence > self.authority.leases[i].fence && !reply.accepted {
            // The target obeys a later holder.
            self.authority.leases[i].forget(now);
            return self.mark_removals();
        }
        let slot = &mut self.authority.leases[i].slots[j];
        match (reply.seq.cmp(&order.seq), reply.state) {
            (std::cmp::Ordering::Equal, Some(OrderState::Open) | None) => slot.taken = true,
            (std::cmp::Ordering::Equal, Some(state)) => {
                self.write_order(i, j, Order { state, ..order }, out);
            }
            (std::cmp::Ordering::Less, _) => self.not_there(now, i, j, sent, order, out),
            (std::cmp::Ordering::Greater, _) => {
                let state = OrderState::Failed;
                self.write_order(i, j, Order { state, ..order }, out);
            }
        }
    }

    /// The target does not know the open order: it never came, or the target lost it.
    fn not_there(
        &mut self,
        now: Millis,
        i: usize,
        j: usize,
        sent: bool,
        order: Order,
        out: &mut Vec<AuthorityEffect>,
    ) {
        let lease = &self.authority.leases[i];
        let slot = &lease.slots[j];
        let life = self.settings.order_ttl_ms;
        if slot.taken {
            // A copy still on its way would begin the order anew after its end was recorded.
            if !slot.in_flight(slot.asked, life) {
                let state = OrderState::Failed;
                self.write_order(i, j, Order { state, ..order }, out);
            }
        } else if !slot.sure {
            // A write whose answer was lost may still follow and end the order: writing it anew
            // shuts that out, and puts it under this holder's fencing token.
            let fence = lease.fence;
            self.write_order(i, j, Order { fence, ..order }, out);
        } else if !sent {
            self.send_order(now, i, j, out);
        }
    }

    /// Keeps new work off targets that an unresolved order takes away.
    pub(crate) fn mark_removals(&mut self) {
        let slots = self.authority.leases.iter().flat_map(|l| &l.slots);
        let mut away: Vec<&str> = slots
            .filter(|s| {
                s.open()
                    .is_some_and(|o| matches!(o.kind, OrderKind::Role { .. } | OrderKind::Drain))
            })
            .map(|s| s.target.as_str())
            .collect();
        away.sort_unstable();
        self.targets.mark_removals(&away);
    }
}
