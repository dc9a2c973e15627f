//! Split of the engines into prefill and decode roles.
//!
//! The expected workload consists of prompts that are long relative to their output. An engine in
//! the decode role prefills at a fraction of its speed and slows down the streams that it runs. The
//! split is adjusted while the engines are idle. While calls are running, a change makes an engine
//! unavailable for seconds, so that only a large imbalance is corrected.

use crate::{Effect, Gate, Service, Target};
use rw_types::{Millis, Role};

/// Interval between checks of the roles, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 500;
/// Desired fraction of decode engines, multiplied by the slots of an engine: the fewer slots an
/// engine has, the more engines are needed to decode.
const DECODE_SLOTS: f64 = 19.2;
/// Bounds of the fraction of decode engines: minimum and maximum.
const DECODE_FRACTION: (f64, f64) = (0.28, 0.45);
/// Fraction of the engines of a service that may change roles at the same time while calls are
/// running.
const MAX_CHANGING_FRACTION: f64 = 0.1;
/// Fraction of the engines of a service that must have the wrong role before a change is worth its
/// downtime while calls are running.
const MIN_IMBALANCE_FRACTION: f64 = 0.34;
/// The same where the split follows demand, which the constants only guess.
const MIN_DEMAND_IMBALANCE: f64 = 0.12;
/// Fraction of a decode engine's slots and memory that the high part of the demand may fill.
const MAX_DECODE_LOAD: f64 = 0.9;
/// Seconds with calls that must have been seen before the split follows demand. Until
/// then, callers are still arriving and the rates are below their mean.
const MIN_SEEN_S: u32 = 6;
/// Fraction of occupied slots on the decode engines from which missing decode engines are added
/// while calls are running, however few are missing. They are missing after other engines left or
/// crashed.
const CROWDED_FRACTION: f64 = 0.8;
/// Milliseconds beyond the switch itself that a role change may take, including its drain.
const DRAIN_LIMIT_MS: u64 = 4_000;
/// Age from which the digest of another node is ignored, in milliseconds.
pub(crate) const PEER_TIMEOUT_MS: u64 = 2_500;

/// State of the role checks.
#[derive(Debug, Clone, Default)]
pub(crate) struct Roles {
    /// Time of the next check.
    pub(crate) next_check: Millis,
    /// Nodes from which digests have arrived.
    pub(crate) peers: Vec<PeerConnection>,
    /// Time since which this node has reached the store without interruption; `None` if it does not
    /// reach it.
    pub(crate) connected_since: Option<Millis>,
}

/// Store connection of another node, from its latest digest.
#[derive(Debug, Clone)]
pub(crate) struct PeerConnection {
    pub(crate) vm: String,
    pub(crate) received_at: Millis,
    /// When this node sent the latest query that the other one has answered.
    pub(crate) answered: Option<Millis>,
    /// Milliseconds for which it had reached the store then; zero if it did not reach it.
    pub(crate) connected_ms: u64,
    /// Whether it didn't know which keys of client accounts are valid.
    pub(crate) lacks_keys: bool,
    /// Whether it leaves the duties of the fleet to others.
    pub(crate) leaves_duties: bool,
}

/// How an order ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The target carries out the order, or has the role already.
    Accepted,
    /// The target refused the order for a reason other than its fencing token.
    Refused,
    /// The target has seen a newer fencing token: this node no longer holds the lease.
    Fenced,
    /// No response; the order may still be carried out.
    Unknown,
}

impl Gate {
    /// Checks the split of roles, at most once per [`CHECK_INTERVAL_MS`].
    pub(crate) fn check_roles(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        self.targets.remove_expired(now);
        self.targets.iter_mut().for_each(|t| t.expire_reports(now));
        if now < self.roles.next_check || self.is_drained(now) {
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
        if let Some((token, until)) = self.lease(now, effects) {
            self.order_role(now, &name, role, token, until, effects);
        }
    }

    pub(crate) fn order_ended(&mut self, now: Millis, name: &str, outcome: OrderOutcome) {
        match outcome {
            OrderOutcome::Accepted | OrderOutcome::Unknown => {}
            OrderOutcome::Refused => {
                if let Some(target) = self.targets.find_mut(name) {
                    // The order is sent again after a pause, based on the role that the target
                    // reports then.
                    let role = target.spec.role;
                    target.role_change = Some((now.plus(CHECK_INTERVAL_MS * 2), role));
                }
            }
            OrderOutcome::Fenced => self.lease.refuse(),
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
        self.publication.set_urgent();
        effects.push(Effect::PublishDigest);
    }

    /// Whether this node is the first by name among the live nodes that reach the store. Nodes that
    /// leave the duties to others come last.
    pub(crate) fn is_leader(&self, now: Millis) -> bool {
        let peers = self.roles.peers.iter();
        let mut eligible =
            peers.filter(|p| p.connected_ms > 0 && now.since(p.received_at) < PEER_TIMEOUT_MS);
        let own = (self.duty_reach.is_absent(now), self.settings.vm.as_str());
        self.roles.connected_since.is_some()
            && eligible.all(|p| (p.leaves_duties, p.vm.as_str()) > own)
    }

    /// Number of decode engines among `engines` by the demand of the last seconds; `None` while it
    /// isn't known, or if the size of the service is fixed: there, the split follows the constants.
    fn decode_count(&self, now: Millis, service: &Service, engines: usize) -> Option<usize> {
        service.scaling.as_ref()?;
        let demand = self.fleet_demand.demand(now, &service.name)?;
        if demand.busy_s() < MIN_SEEN_S {
            return None;
        }
        let capacity = self.target_capacity(service);
        let balanced = demand.mean().decode_count(capacity, engines)?;
        let high = demand.high(|w| w.decode_engines(capacity));
        Some(balanced.max((high / MAX_DECODE_LOAD).ceil() as usize))
    }

    /// The next engine that should change its role, and its new role.
    fn next_role_change(&self, now: Millis) -> Option<(String, Role)> {
        let mut services = self.routing.services.iter();
        services.find_map(|service| self.role_change_for(now, service))
    }

    fn role_change_for(&self, now: Millis, service: &Service) -> Option<(String, Role)> {
        let engine = service.engine.as_ref()?;
        let engines = || {
            let all = self.targets.all().iter();
            // A pause is shorter than a change of roles.
            all.filter(|t| t.spec.service == service.name && t.is_staying(now))
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
        let by_demand = self.decode_count(now, service, all);
        let fraction = DECODE_SLOTS / f64::from(engine.slots.max(1));
        let fraction = fraction.clamp(DECODE_FRACTION.0, DECODE_FRACTION.1);
        let by_slots = (all as f64 * fraction).ceil() as usize;
        let wanted = by_demand.unwrap_or(by_slots).clamp(1, all - 1);
        let imbalance = decode.abs_diff(wanted);
        let slots = decode as f64 * f64::from(engine.slots);
        let running = engines().filter(|t| t.spec.role != Role::Prefill);
        let running = running.map(Target::running_calls);
        let running = running.fold(0, u32::saturating_add);
        let crowded = decode < wanted && f64::from(running) >= slots * CROWDED_FRACTION;
        let min_imbalance = if idle || crowded {
            1.0
        } else {
            let fraction = match by_demand {
                Some(_) => MIN_DEMAND_IMBALANCE,
                None => MIN_IMBALANCE_FRACTION,
            };
            (all as f64 * fraction).ceil()
        };
        if (imbalance as f64) < min_imbalance {
            return None;
        }
        let (from, to) = match decode > wanted {
            true => (Role::Decode, Role::Prefill),
            false => (Role::Prefill, Role::Decode),
        };
        // An engine in need is left alone: a change takes requests, and makes it unavailable.
        let is_limited = |t: &Target| t.send_window.is_some();
        let candidates = engines().filter(|t| t.is_available(now) && !is_limited(t));
        let candidates = candidates.filter(|t| t.spec.role == from && !t.is_changing_role(now));
        let target = candidates.min_by_key(|t| (t.running_calls(), t.spec.name.clone()))?;
        Some((target.spec.name.clone(), to))
    }
}
