//! Size orders: how many targets of each kind a service should have in each data centre.
//!
//! Only the leader orders, and only with the lease. The size follows the high part of the demand of
//! the last seconds. It grows at once, and shrinks only when a smaller size has been enough for
//! several seconds.

use crate::{
    CentreSize, CentreState, DutyOutcome, Effect, Gate, Scaling, Service, TargetCapacity, Work,
    fleet_demand::ServiceDemand,
};
use rw_types::Millis;
use std::collections::VecDeque;

/// Interval between checks of the size, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 500;
/// Maximum number of orders that one check sends, so that all nodes together stay far below the
/// rate limit of the platform.
const MAX_ORDERS: usize = 2;
/// Seconds with calls that must have been seen before the fleet is made smaller. Until
/// then, callers are still arriving and the rates are below their mean.
const MIN_SEEN_S: u32 = 5;
/// Number of checks for which a smaller size must have been enough before it is ordered: 4 s.
const SHRINK_CHECKS: usize = 8;
/// Fraction of the ordered size above which a smaller size isn't worth an order.
const SHRINK_FRACTION: f64 = 0.9;
/// Allowance for the part of a wave of demand that has not been seen yet, as a fraction of the high
/// part seen so far.
const UNSEEN_SWING: f64 = 0.6;
/// Fraction of refused calls from which the model of the capacity counts as too optimistic.
const REFUSED_FRACTION: f64 = 0.02;
/// Factor on the size for each second with more refused calls, and its maximum.
const BOOST: (f64, f64) = (1.1, 2.0);
/// Factor by which that is taken back for each second without.
const BOOST_DECAY: f64 = 0.99;
/// Divisor of the additional targets that are ordered when all of them were not available.
const PART: u32 = 3;
/// Time for which no more targets are ordered where none were available, in milliseconds.
const UNAVAILABLE_MS: u64 = 8_000;
/// Time after an order for fewer spot targets in which spot targets leave because of it, in
/// milliseconds.
const DRAIN_MS: u64 = 15_000;
/// Time beyond the start of new targets after which an order that had no effect is repeated, in
/// milliseconds.
const EFFECT_SLACK_MS: u64 = 4_000;
/// Time after which an order without outcome is given up, in milliseconds.
const ORDER_TIMEOUT_MS: u64 = 6_000;
/// Pause after an order whose outcome is unknown, in milliseconds.
const UNKNOWN_PAUSE_MS: u64 = 3_000;
/// Pause after an order that was not sent or not accepted, in milliseconds.
const RETRY_PAUSE_MS: u64 = 1_000;
/// Time without being the leader after which earlier orders are forgotten, in milliseconds.
const FORGET_MS: u64 = 5_000;

/// Orders for one kind of targets in one data centre.
#[derive(Debug, Clone, Copy, Default)]
struct KindOrders {
    /// Number in the latest accepted order, and its time.
    ordered: Option<(u32, Millis)>,
    /// Time of the latest order for fewer targets.
    reduced_at: Option<Millis>,
    /// Highest number that may be available there, and the time until which that holds.
    limit: Option<(u32, Millis)>,
    /// Whether none were available since the latest accepted order.
    is_exhausted: bool,
    wanted: u32,
    /// Targets that serve and stay, at the latest check.
    present: u32,
}

impl KindOrders {
    /// Not as many targets as ordered were available: a part of them may be, if that has not been
    /// tried since the latest accepted order.
    fn limit(&mut self, now: Millis, count: u32) {
        let more = count.saturating_sub(self.present);
        let part = if self.is_exhausted { 0 } else { more / PART };
        self.is_exhausted = true;
        self.limit = Some((self.present + part, now.plus(UNAVAILABLE_MS)));
    }

    fn limit_at(&self, now: Millis) -> Option<u32> {
        let limit = self.limit.filter(|(_, until)| now < *until);
        limit.map(|(most, _)| most)
    }
}

/// Orders for a service in a data centre, one at a time.
#[derive(Debug, Clone, Default)]
struct Subject {
    centre: String,
    normal: KindOrders,
    spot: KindOrders,
    /// The order under way: whether for spot targets, their number, and its time.
    in_flight: Option<(bool, u32, Millis)>,
    /// Time before which nothing is ordered.
    next: Millis,
}

impl Subject {
    fn kind(&self, spot: bool) -> &KindOrders {
        if spot { &self.spot } else { &self.normal }
    }

    fn kind_mut(&mut self, spot: bool) -> &mut KindOrders {
        if spot {
            &mut self.spot
        } else {
            &mut self.normal
        }
    }
}

/// Sizing of one service.
#[derive(Debug, Clone, Default)]
struct ServiceSizing {
    service: String,
    /// Number of targets that the orders are derived from; `None` until the demand is known.
    planned: Option<u32>,
    /// Targets needed at the latest checks.
    needed: VecDeque<u32>,
    /// Factor for calls that are refused although the model sees enough targets.
    boost: f64,
    /// Sorted by data centre.
    subjects: Vec<Subject>,
    inputs: SizeInputs,
}

/// What the latest decision about the size of a service was derived from.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct SizeInputs {
    /// Demand in the latest second.
    pub latest: Work,
    /// Seconds in a row with calls.
    pub busy_s: u32,
    /// Targets needed for the high part of the recent demand.
    pub needed: u32,
    /// Targets that the orders are derived from; zero before the first plan.
    pub planned: u32,
    /// Targets that serve and stay.
    pub present: u32,
    /// Nodes that reported their demand.
    pub heard: usize,
    /// Nodes that should have.
    pub nodes: usize,
}

/// Wanted, ordered and present targets of one kind in a data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SizeStatus {
    /// Service.
    pub service: String,
    /// Data centre.
    pub centre: String,
    /// Whether this is about spot targets.
    pub spot: bool,
    /// Number that the plan wants.
    pub wanted: u32,
    /// Number in the latest accepted order; `None` if this node has ordered none.
    pub ordered: Option<u32>,
    /// Targets that serve and stay.
    pub present: u32,
}

/// State of all size orders.
#[derive(Debug, Clone, Default)]
pub(crate) struct Sizing {
    /// Sorted by service.
    services: Vec<ServiceSizing>,
    next_check: Millis,
    /// Time of the latest check as the leader.
    led_at: Option<Millis>,
}

impl Sizing {
    fn service_mut(&mut self, name: &str) -> &mut ServiceSizing {
        let found = self
            .services
            .binary_search_by(|s| s.service.as_str().cmp(name));
        let i = found.unwrap_or_else(|i| {
            let new = ServiceSizing {
                service: name.to_owned(),
                boost: 1.0,
                ..ServiceSizing::default()
            };
            self.services.insert(i, new);
            i
        });
        &mut self.services[i]
    }

    /// Takes out the state of a service, which is put back through [`Sizing::service_mut`].
    fn take(&mut self, name: &str) -> ServiceSizing {
        let service = self.service_mut(name);
        let empty = ServiceSizing {
            service: name.to_owned(),
            ..ServiceSizing::default()
        };
        std::mem::replace(service, empty)
    }
}

/// An order that the plan calls for.
#[derive(Debug, Clone, PartialEq, Eq)]
struct DueOrder {
    centre: String,
    spot: bool,
    count: u32,
}

impl Gate {
    /// Plans the size of each service that can be sized, and sends the orders that are due, at most
    /// once per [`CHECK_INTERVAL_MS`].
    pub(crate) fn check_sizing(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        if now < self.sizing.next_check || !self.has_scaling() {
            return;
        }
        self.sizing.next_check = now.plus(CHECK_INTERVAL_MS);
        let own = self.demand_reports(now);
        let vm = self.settings.vm.clone();
        self.fleet_demand.receive(now, &vm, &own);
        if !self.is_leader(now) || self.is_drained(now) {
            return;
        }
        let led_at = self.sizing.led_at.replace(now);
        if led_at.is_none_or(|at| now.since(at) > FORGET_MS) {
            self.sizing.services.clear();
        }
        let is_new_sample = self.fleet_demand.sample(now, self.nodes);
        if !self.settings.duties.sizes_fleet {
            return;
        }
        let routing = self.routing.clone();
        let mut orders: Vec<(String, DueOrder)> = Vec::new();
        for service in &routing.services {
            let Some(scaling) = &service.scaling else {
                continue;
            };
            let due = self.plan_service(now, service, scaling, is_new_sample);
            orders.extend(due.into_iter().map(|d| (service.name.clone(), d)));
        }
        orders.truncate(MAX_ORDERS);
        if !orders.is_empty() {
            self.send_size_orders(now, orders, effects);
        }
    }

    /// Sends orders if this node holds the lease, or else requests it.
    fn send_size_orders(
        &mut self,
        now: Millis,
        orders: Vec<(String, DueOrder)>,
        effects: &mut Vec<Effect>,
    ) {
        let Some((token, until)) = self.lease(now, effects) else {
            return;
        };
        for (service, due) in orders {
            let subjects = &mut self.sizing.service_mut(&service).subjects;
            let found = subjects.binary_search_by(|s| s.centre.cmp(&due.centre));
            let Ok(i) = found else {
                continue;
            };
            subjects[i].in_flight = Some((due.spot, due.count, now));
            effects.push(Effect::OrderSize {
                service,
                centre: due.centre,
                count: due.count,
                spot: due.spot,
                token,
                until,
            });
        }
    }

    /// A size order ended.
    pub(crate) fn size_ordered(
        &mut self,
        now: Millis,
        (service, centre): (&str, &str),
        spot: bool,
        outcome: DutyOutcome,
    ) {
        let subjects = &mut self.sizing.service_mut(service).subjects;
        let Ok(i) = subjects.binary_search_by(|s| s.centre.as_str().cmp(centre)) else {
            return;
        };
        let subject = &mut subjects[i];
        let Some((_, count, _)) = subject.in_flight.filter(|f| f.0 == spot) else {
            return;
        };
        subject.in_flight = None;
        match outcome {
            DutyOutcome::Accepted => {
                let kind = subject.kind_mut(spot);
                kind.ordered = Some((count, now));
                kind.is_exhausted = false;
            }
            DutyOutcome::Unavailable => subject.kind_mut(spot).limit(now, count),
            DutyOutcome::Unknown => subject.next = now.plus(UNKNOWN_PAUSE_MS),
            DutyOutcome::Fenced | DutyOutcome::RateLimited | DutyOutcome::NotSent => {
                subject.next = now.plus(RETRY_PAUSE_MS);
            }
        }
    }

    /// What the sizes of the services were last derived from, by name of the service.
    #[must_use]
    pub fn size_inputs(&self) -> Vec<(&str, SizeInputs)> {
        let services = self.sizing.services.iter();
        services.map(|s| (s.service.as_str(), s.inputs)).collect()
    }

    /// Wanted, ordered and present targets by service, data centre and kind, as this node knows them
    /// if it is the leader; empty otherwise.
    #[must_use]
    pub fn size_status(&self, now: Millis) -> Vec<SizeStatus> {
        let led_at = self.sizing.led_at;
        if led_at.is_none_or(|at| now.since(at) > FORGET_MS) {
            return Vec::new();
        }
        let mut all = Vec::new();
        for service in &self.sizing.services {
            let states = self.centre_states(now, service);
            for (subject, state) in service.subjects.iter().zip(states) {
                for (spot, present) in [(false, state.normal), (true, state.spot)] {
                    let kind = subject.kind(spot);
                    all.push(SizeStatus {
                        service: service.service.clone(),
                        centre: subject.centre.clone(),
                        spot,
                        wanted: kind.wanted,
                        ordered: kind.ordered.map(|(count, _)| count),
                        present,
                    });
                }
            }
        }
        all
    }

    /// Whether the number of targets of any service can be ordered.
    pub(crate) fn has_scaling(&self) -> bool {
        self.routing.services.iter().any(|s| s.scaling.is_some())
    }

    /// What one target of a service holds.
    pub(crate) fn target_capacity(&self, service: &Service) -> TargetCapacity {
        let engine = service.engine.as_ref();
        let targets = self.targets.all().iter();
        let slots = || {
            let targets = targets.filter(|t| t.spec.service == service.name);
            targets.map(|t| t.spec.slots).max().unwrap_or(1)
        };
        TargetCapacity {
            slots: f64::from(engine.map_or_else(slots, |e| e.slots).max(1)),
            kv_tokens: engine.map(|e| e.kv_tokens as f64),
        }
    }

    /// Plans one service, and returns the orders that are due: those for more targets first.
    fn plan_service(
        &mut self,
        now: Millis,
        service: &Service,
        scaling: &Scaling,
        is_new_sample: bool,
    ) -> Vec<DueOrder> {
        let mut sizing = self.sizing.take(&service.name);
        self.add_subjects(service, scaling, &mut sizing.subjects);
        self.note_reclaims(now, service, &mut sizing.subjects);
        let states = self.centre_states(now, &sizing);
        let present = states.iter().map(|s| s.normal + s.spot).sum();
        if let Some(demand) = self.fleet_demand.demand(now, &service.name) {
            let capacity = self.target_capacity(service);
            sizing.plan(demand, capacity, present, is_new_sample);
            (sizing.inputs.heard, sizing.inputs.nodes) = self.fleet_demand.coverage();
        }
        let due = sizing.due_orders(now, scaling, &states);
        *self.sizing.service_mut(&service.name) = sizing;
        due
    }

    /// Adds the data centres of the targets and of the prices.
    fn add_subjects(&self, service: &Service, scaling: &Scaling, subjects: &mut Vec<Subject>) {
        let targets = self.targets.all().iter();
        let targets = targets.filter(|t| t.spec.service == service.name);
        let present = targets.map(|t| t.spec.centre.as_str());
        let priced = scaling.prices.iter().map(|(centre, _)| centre.as_str());
        for centre in present.chain(priced) {
            let found = subjects.binary_search_by(|s| s.centre.as_str().cmp(centre));
            if let Err(i) = found {
                let new = Subject {
                    centre: centre.to_owned(),
                    ..Subject::default()
                };
                subjects.insert(i, new);
            }
        }
    }

    /// Where spot targets leave that no order has reduced, they are being taken back, so that none
    /// are available for a while.
    fn note_reclaims(&self, now: Millis, service: &Service, subjects: &mut [Subject]) {
        let targets = self.targets.all().iter();
        let leaving = targets.filter(|t| {
            t.spec.service == service.name && t.spec.spot && !t.is_staying(now) && t.spec.leaving
        });
        for target in leaving {
            let centre = target.spec.centre.as_str();
            let found = subjects.binary_search_by(|s| s.centre.as_str().cmp(centre));
            let Ok(i) = found else {
                continue;
            };
            let spot = &mut subjects[i].spot;
            if spot.reduced_at.is_none_or(|at| now.since(at) > DRAIN_MS) {
                spot.limit = Some((0, now.plus(UNAVAILABLE_MS)));
            }
        }
    }

    fn centre_states(&self, now: Millis, sizing: &ServiceSizing) -> Vec<CentreState> {
        let most = |kind: &KindOrders| kind.limit_at(now).unwrap_or(u32::MAX);
        let states = sizing.subjects.iter().map(|subject| {
            let staying = |spot: bool| {
                let targets = self.targets.all().iter();
                let staying = targets.filter(|t| {
                    t.spec.service == sizing.service
                        && t.spec.centre == subject.centre
                        && t.spec.spot == spot
                        && t.is_staying(now)
                });
                staying.count() as u32
            };
            CentreState {
                centre: subject.centre.clone(),
                normal: staying(false),
                spot: staying(true),
                max_normal: most(&subject.normal),
                max_spot: most(&subject.spot),
            }
        });
        states.collect()
    }
}

impl ServiceSizing {
    /// Updates the planned number of targets from the demand.
    fn plan(
        &mut self,
        demand: ServiceDemand<'_>,
        capacity: TargetCapacity,
        present: u32,
        is_new_sample: bool,
    ) {
        if is_new_sample {
            self.update_boost(demand.latest(), present);
        }
        let swing = 1.0 + UNSEEN_SWING * (1.0 - demand.seen_fraction());
        let high = demand.high(|w| w.targets(capacity)) * swing * self.boost;
        let occupied = demand.latest().occupied(capacity);
        let needed = high.max(occupied).ceil() as u32;
        if self.needed.len() == SHRINK_CHECKS {
            self.needed.pop_front();
        }
        self.needed.push_back(needed);
        let most = self.needed.iter().copied().max().unwrap_or(needed);
        let is_known = demand.busy_s() >= MIN_SEEN_S && self.needed.len() == SHRINK_CHECKS;
        self.planned = match self.planned {
            None if is_known => Some(most),
            None if needed > present => Some(needed),
            Some(planned) if needed > planned => Some(needed),
            Some(planned) if is_known && f64::from(most) < f64::from(planned) * SHRINK_FRACTION => {
                Some(most)
            }
            planned => planned,
        };
        self.inputs = SizeInputs {
            latest: demand.latest(),
            busy_s: demand.busy_s(),
            needed,
            planned: self.planned.unwrap_or_default(),
            present,
            ..self.inputs
        };
    }

    /// Adapts the factor for calls that are refused although as many targets serve as planned.
    fn update_boost(&mut self, latest: Work, present: u32) {
        let is_refusing = latest.refused > latest.calls * REFUSED_FRACTION;
        let has_planned = self.planned.is_some_and(|planned| present >= planned);
        self.boost = match (is_refusing, has_planned) {
            (true, true) => (self.boost * BOOST.0).min(BOOST.1),
            (true, false) => self.boost,
            (false, _) => (self.boost * BOOST_DECAY).max(1.0),
        };
    }

    /// The orders that lead from the present targets to the plan. Those for fewer targets are cut so
    /// that the planned number stays while new targets start.
    fn due_orders(
        &mut self,
        now: Millis,
        scaling: &Scaling,
        states: &[CentreState],
    ) -> Vec<DueOrder> {
        let Some(planned) = self.planned else {
            return Vec::new();
        };
        let plan = crate::plan_size(planned, scaling, states);
        let (mut more, mut fewer) = (Vec::new(), Vec::new());
        let present: u32 = states.iter().map(|s| s.normal + s.spot).sum();
        let mut spare = present.saturating_sub(planned);
        for ((subject, state), size) in self.subjects.iter_mut().zip(states).zip(&plan) {
            subject.expire(now);
            for (spot, wanted) in wanted_kinds(size) {
                subject.kind_mut(spot).wanted = wanted;
                let present = if spot { state.spot } else { state.normal };
                subject.kind_mut(spot).present = present;
                let Some(count) = subject.due_count(now, scaling, spot, present) else {
                    continue;
                };
                let lost = present.saturating_sub(count);
                let kept = lost.saturating_sub(spare);
                spare -= lost - kept;
                let count = count + kept;
                let order = DueOrder {
                    centre: subject.centre.clone(),
                    spot,
                    count,
                };
                let current = subject.kind(spot).ordered.map_or(present, |o| o.0);
                match (count > current.min(present), count == current.max(present)) {
                    (_, true) if kept > 0 => {}
                    (true, _) => more.push(order),
                    (false, _) => fewer.push(order),
                }
            }
        }
        more.extend(fewer);
        // One order a subject at a time.
        let mut seen: Vec<String> = Vec::new();
        more.retain(|o| {
            let is_first = !seen.contains(&o.centre);
            seen.push(o.centre.clone());
            is_first
        });
        more.iter()
            .for_each(|o| self.note_reduction(now, o, states));
        more
    }

    /// Records when spot targets begin to leave because of an order.
    fn note_reduction(&mut self, now: Millis, order: &DueOrder, states: &[CentreState]) {
        let i = states.iter().position(|s| s.centre == order.centre);
        let Some(i) = i else {
            return;
        };
        let present = if order.spot {
            states[i].spot
        } else {
            states[i].normal
        };
        if order.count < present {
            self.subjects[i].kind_mut(order.spot).reduced_at = Some(now);
        }
    }
}

fn wanted_kinds(size: &CentreSize) -> [(bool, u32); 2] {
    [(true, size.spot), (false, size.normal)]
}

impl Subject {
    /// Gives up an order whose outcome never arrived.
    fn expire(&mut self, now: Millis) {
        if self
            .in_flight
            .is_some_and(|(_, _, at)| now.since(at) > ORDER_TIMEOUT_MS)
        {
            self.in_flight = None;
        }
    }

    /// The wanted number of a kind, if it is to be ordered now.
    fn due_count(&self, now: Millis, scaling: &Scaling, spot: bool, present: u32) -> Option<u32> {
        let kind = self.kind(spot);
        if self.in_flight.is_some() || now < self.next {
            return None;
        }
        let is_unavailable = kind.limit_at(now).is_some_and(|most| most <= present);
        let Some((ordered, at)) = kind.ordered else {
            return (kind.wanted != present).then_some(kind.wanted);
        };
        let is_overdue = now.since(at) > scaling.boot_ms + EFFECT_SLACK_MS;
        let is_without_effect = is_overdue && present != kind.wanted && !is_unavailable;
        (kind.wanted != ordered || is_without_effect).then_some(kind.wanted)
    }
}
