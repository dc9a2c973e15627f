//! Which engines fill prompts and which decode, and the right to order a change.
//!
//! The load it answers: prompts that are long against their answers. An engine in the decode role
//! fills prompts at a fraction of its speed and slows the streams beside them. The split is brought
//! about while the engines are idle; under calls a change takes an engine away for seconds, so that
//! only a split far off is mended.

use crate::{Effect, Gate, Service, Target};
use rw_types::{Millis, Role};

/// How long after it asked for the lease a holder may order, in milliseconds.
const LEASE_VALID_MS: u64 = 2_500;
/// Pause between looks at the roles, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 500;
/// Pause after a lease that was not had, in milliseconds.
const LEASE_RETRY_MS: u64 = 2_000;
/// Part of a service's engines that decode, times the calls that one runs at once: the fewer fit
/// into an engine, the more engines the streams need.
const DECODE_SLOTS: f64 = 19.2;
/// Bounds of the part of a service's engines that decode.
const DECODE_FRACTION: (f64, f64) = (0.28, 0.45);
/// Part of a service's engines that may change at once while calls run.
const MAX_CHANGING_FRACTION: f64 = 0.1;
/// Part of a service's engines that must be in the wrong role before a change pays for its
/// absence while calls run.
const MIN_IMBALANCE: f64 = 0.34;
/// Part of the decoding engines' slots that calls fill, from which too few of them are mended while
/// calls run, however few are missing: others left or died.
const CROWDED_FRACTION: f64 = 0.8;
/// Milliseconds beyond the switch itself that a change may take, its drain included.
const DRAIN_LIMIT_MS: u64 = 4_000;
/// Age from which another node's word no longer counts, in milliseconds.
pub(crate) const PEER_TIMEOUT_MS: u64 = 2_500;

/// The right to order, and what was ordered.
#[derive(Debug, Clone, Default)]
pub(crate) struct Roles {
    /// Fencing token and the time until which it may be used.
    lease: Option<(u64, Millis)>,
    /// Set while the store is asked.
    requested_at: Option<Millis>,
    /// No look before this time.
    next_check: Millis,
    /// Nodes heard of.
    pub(crate) peers: Vec<PeerReach>,
    /// Since when this node reaches the store.
    pub(crate) connected_since: Option<Millis>,
}

/// What another node told of its reach.
#[derive(Debug, Clone)]
pub(crate) struct PeerReach {
    pub(crate) vm: String,
    pub(crate) received_at: Millis,
    /// Milliseconds for which it had reached the store then; zero if it didn't.
    pub(crate) connected_ms: u64,
}

/// How an order ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It is being carried out, or held already.
    Accepted,
    /// It is refused for another reason than its token.
    Refused,
    /// A newer token was used: this node is no longer the holder.
    Fenced,
    /// No answer; it may be carried out yet.
    Unknown,
}

impl Gate {
    /// Looks at the roles, at most once in [`LOOK_MS`].
    pub(crate) fn check_roles(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        self.targets.remove_expired(now);
        self.targets
            .iter_mut()
            .for_each(|t| t.queue.expire_remote(now));
        if now < self.roles.next_check || self.shutdown_at.is_some() {
            return;
        }
        self.roles.next_check = now.plus(CHECK_INTERVAL_MS);
        if !self.is_leader(now) {
            return;
        }
        let wanted = self.next_role_change(now);
        let Some((name, role)) = wanted else {
            return;
        };
        match self.roles.lease.filter(|(_, until)| now < *until) {
            Some((token, until)) => self.order_role(now, &name, role, token, until, effects),
            None if self.roles.requested_at.is_none() => {
                self.roles.requested_at = Some(now);
                effects.push(Effect::AcquireLease);
            }
            None => {}
        }
    }

    /// The store gave the lease, or refused it.
    pub(crate) fn lease_result(&mut self, now: Millis, token: Option<u64>) {
        let Some(requested_at) = self.roles.requested_at.take() else {
            return;
        };
        // Counted from before the question, so that the store's own count ends later.
        self.roles.lease = token.map(|token| (token, requested_at.plus(LEASE_VALID_MS)));
        self.roles.next_check = match token {
            Some(_) => now,
            None => now.plus(LEASE_RETRY_MS),
        };
    }

    pub(crate) fn order_ended(&mut self, now: Millis, name: &str, outcome: OrderOutcome) {
        match outcome {
            OrderOutcome::Accepted | OrderOutcome::Unknown => {}
            OrderOutcome::Refused => {
                if let Some(target) = self.targets.find_mut(name) {
                    // Asked again after a pause, with what it reports then.
                    let role = target.spec.role;
                    target.role_change = Some((now.plus(CHECK_INTERVAL_MS * 2), role));
                }
            }
            OrderOutcome::Fenced => self.roles.lease = None,
        }
        if outcome == OrderOutcome::Accepted {
            self.roles.next_check = now;
        }
    }

    fn order_role(
        &mut self,
        now: Millis,
        name: &str,
        role: Role,
        token: u64,
        until: Millis,
        effects: &mut Vec<Effect>,
    ) {
        let routing = self.routing.clone();
        let Some(target) = self.targets.find_mut(name) else {
            return;
        };
        let engine = routing.service(&target.spec.service);
        let engine = engine.and_then(|s| s.engine.as_ref());
        let switch_ms = engine.map_or(0, |e| e.role_switch_ms);
        target.role_change = Some((now.plus(switch_ms + DRAIN_LIMIT_MS), role));
        effects.push(Effect::Order {
            target: name.to_owned(),
            incarnation: target.spec.incarnation,
            addr: target.spec.addr.clone(),
            role,
            token,
            until,
        });
        effects.push(Effect::PublishDigest);
    }

    /// Whether this node is the first of those that are heard and reach the store.
    fn is_leader(&self, now: Millis) -> bool {
        let peers = self.roles.peers.iter();
        let mut eligible =
            peers.filter(|h| h.connected_ms > 0 && now.since(h.received_at) < PEER_TIMEOUT_MS);
        self.roles.connected_since.is_some() && eligible.all(|h| h.vm > self.settings.vm)
    }

    /// The engine that should change its role now, and to which.
    fn next_role_change(&self, now: Millis) -> Option<(String, Role)> {
        let mut services = self.routing.services.iter();
        services.find_map(|service| self.role_change_for(now, service))
    }

    fn role_change_for(&self, now: Millis, service: &Service) -> Option<(String, Role)> {
        let engine = service.engine.as_ref()?;
        let engines = || {
            let all = self.targets.all().iter();
            all.filter(|t| t.spec.service == service.name && t.is_available(now))
        };
        let all = engines().count();
        let idle = engines().all(|t| t.running_calls() == 0);
        let changing = engines().filter(|t| t.is_changing_role(now)).count();
        let max_changing = if idle {
            all
        } else {
            (all as f64 * MAX_CHANGING_FRACTION).ceil() as usize
        };
        if all < 3 || changing >= max_changing {
            return None;
        }
        let decode = engines()
            .filter(|t| t.next_role(now) != Role::Prefill)
            .count();
        let fraction = DECODE_SLOTS / f64::from(engine.slots.max(1));
        let fraction = fraction.clamp(DECODE_FRACTION.0, DECODE_FRACTION.1);
        let wanted = (all as f64 * fraction).ceil() as usize;
        let wanted = wanted.clamp(1, all - 1);
        let imbalance = decode.abs_diff(wanted);
        let slots = decode as f64 * f64::from(engine.slots);
        let running = engines().filter(|t| t.spec.role != Role::Prefill);
        let running: u32 = running.map(Target::running_calls).sum();
        let crowded = decode < wanted && f64::from(running) >= slots * CROWDED_FRACTION;
        let min_imbalance = if idle || crowded {
            1.0
        } else {
            (all as f64 * MIN_IMBALANCE).ceil()
        };
        if (imbalance as f64) < min_imbalance {
            return None;
        }
        let (from, to) = match decode > wanted {
            true => (Role::Decode, Role::Prefill),
            false => (Role::Prefill, Role::Decode),
        };
        let candidates = engines().filter(|t| t.spec.role == from && !t.is_changing_role(now));
        let target = candidates.min_by_key(|t| (t.running_calls(), t.spec.name.clone()))?;
        Some((target.spec.name.clone(), to))
    }
}
