//! Orders for the number of engines, their prices, and spot engines that are taken back.

use super::{
    deployment::{Deployment, EngineModel},
    engine::Engine,
    fleet::{SimEvent, Simulation},
    options::{RelayOptions, SizeMode},
    routes::{SERVICE, US_PER_MS, WARMUP_US},
};
use rw_gate::{DutyOutcome, Effect, Event, Role, Scaling};
use serde::{Deserialize, Serialize};

/// Time that an order for a number of engines takes, in microseconds.
const ORDER_US: u64 = 30 * US_PER_MS;
/// Interval at which an engine that an order has made surplus is checked for calls, in microseconds.
const SURPLUS_CHECK_US: u64 = 250 * US_PER_MS;
/// Time after which a surplus engine ends even if calls still run, in microseconds.
const SURPLUS_END_US: u64 = 15_000 * US_PER_MS;
/// Time for which a data centre has no spot engines after it has taken them back, in microseconds.
const RECLAIMED_US: u64 = 10_000 * US_PER_MS;

/// A data centre, and what a second of an engine costs there.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CentrePrice {
    /// Name.
    pub centre: String,
    /// Price of a second of an engine.
    pub price: f64,
}

/// How many engines can be ordered, and their prices.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScalingModel {
    /// Minimum number of engines in each data centre.
    pub min: u32,
    /// Maximum number of engines in each data centre.
    pub max: u32,
    /// Time from an order until new engines serve, in seconds.
    pub boot_s: f64,
    /// Price of a spot engine as a fraction of that of another engine.
    pub spot_price: f64,
    /// Spot engines that each data centre has to give.
    pub spot_available: u32,
    /// Data centres; the engines at the start are assigned to them in rotation.
    pub centres: Vec<CentrePrice>,
}

impl Default for ScalingModel {
    fn default() -> Self {
        let centre = |centre: &str, price| CentrePrice {
            centre: centre.to_owned(),
            price,
        };
        Self {
            min: 1,
            max: 60,
            boot_s: 4.0,
            spot_price: 0.18,
            spot_available: 40,
            centres: vec![centre("x", 1.0), centre("y", 1.1), centre("z", 1.2)],
        }
    }
}

/// A data centre takes back its spot engines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Reclaim {
    /// Index of the data centre.
    pub centre: usize,
    /// Start in seconds from the first call.
    pub at_s: f64,
    /// Seconds until the engines end.
    pub notice_s: f64,
}

/// Price and number of the engines of a run, from the first possible arrival on.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct SizeResult {
    /// Sum over the seconds of all engines.
    pub price: f64,
    /// Mean number of engines.
    pub engines: f64,
    /// Number of orders for a number of engines.
    pub orders: u64,
    /// Number of role changes after the first possible arrival.
    pub role_changes: u64,
}

/// What sizing knows of an engine.
#[derive(Debug, Clone, Copy)]
pub(super) struct Lease {
    pub(super) centre: usize,
    pub(super) spot: bool,
    /// Whether it has started.
    pub(super) is_up: bool,
    /// Set while it leaves: time at which it ends, in microseconds.
    pub(super) ends_us: Option<u64>,
    from_us: u64,
    to_us: Option<u64>,
}

impl Lease {
    pub(super) fn is_gone(&self) -> bool {
        self.to_us.is_some()
    }

    fn is_staying(&self) -> bool {
        self.to_us.is_none() && self.ends_us.is_none()
    }
}

/// Leases of the engines at the start.
pub(super) fn initial_leases(deployment: &Deployment, count: usize) -> Vec<Lease> {
    let centres = deployment.scaling.centres.len().max(1);
    let lease = |i| Lease {
        centre: i % centres,
        spot: false,
        is_up: true,
        ends_us: None,
        from_us: WARMUP_US,
        to_us: None,
    };
    (0..count).map(lease).collect()
}

/// The configuration for the nodes; `None` if they see a fleet of fixed size.
pub(super) fn node_scaling(deployment: &Deployment, options: &RelayOptions) -> Option<Scaling> {
    let s = &deployment.scaling;
    let prices = s.centres.iter().map(|c| (c.centre.clone(), c.price));
    (options.size != SizeMode::Fixed).then(|| Scaling {
        min_instances: s.min,
        max_instances: s.max,
        boot_ms: (s.boot_s * 1e3) as u64,
        spot_price: Some(s.spot_price),
        prices: prices.collect(),
    })
}

impl Simulation<'_> {
    /// Carries out a size order of a node.
    pub(super) fn order_size(&mut self, node: usize, effect: &Effect) {
        let Effect::OrderSize {
            centre,
            count,
            spot,
            ..
        } = effect
        else {
            return;
        };
        self.result.size.orders += 1;
        let centres = &self.deployment.scaling.centres;
        let outcome = match centres.iter().position(|c| c.centre == *centre) {
            Some(index) => self.set_size(index, *spot, *count as usize),
            None => DutyOutcome::Unavailable,
        };
        let event = Box::new(Event::SizeOrdered {
            service: SERVICE.to_owned(),
            centre: centre.clone(),
            spot: *spot,
            outcome,
        });
        self.schedule(self.now + ORDER_US, SimEvent::NodeEvent { node, event });
    }

    fn set_size(&mut self, centre: usize, spot: bool, count: usize) -> DutyOutcome {
        let is_kind = |l: &Lease| l.centre == centre && l.spot == spot && l.is_staying();
        let present: Vec<usize> = (0..self.leases.len())
            .filter(|i| is_kind(&self.leases[*i]))
            .collect();
        let is_reclaimed = self.reclaimed_until(centre) > self.now;
        let available = self.deployment.scaling.spot_available as usize;
        if spot && count > present.len() && (is_reclaimed || count > available) {
            return DutyOutcome::Unavailable;
        }
        for _ in present.len()..count {
            self.start_engine(centre, spot);
        }
        for engine in present.iter().skip(count) {
            self.leave(*engine, SURPLUS_END_US);
            self.schedule(self.now + SURPLUS_CHECK_US, SimEvent::CheckSurplus(*engine));
        }
        DutyOutcome::Accepted
    }

    /// Time until which a data centre has no spot engines.
    fn reclaimed_until(&self, centre: usize) -> u64 {
        let reclaims = self.options.reclaims.iter();
        let begun = reclaims.filter(|r| r.centre == centre && start_us(r) <= self.now);
        begun.map(|r| start_us(r) + RECLAIMED_US).max().unwrap_or(0)
    }

    fn start_engine(&mut self, centre: usize, spot: bool) {
        let engine = self.engines.len();
        let model: &EngineModel = &self.deployment.engine;
        let mut new = Engine::new(model, engine);
        if engine.is_multiple_of(2) {
            new.role = Role::Prefill;
        }
        self.engines.push(new);
        self.leases.push(Lease {
            centre,
            spot,
            is_up: false,
            ends_us: None,
            from_us: self.now,
            to_us: None,
        });
        let boot_us = (self.deployment.scaling.boot_s * 1e6) as u64;
        self.schedule(self.now + boot_us, SimEvent::EngineUp(engine));
    }

    pub(super) fn engine_up(&mut self, engine: usize) {
        if !self.leases[engine].is_gone() {
            self.leases[engine].is_up = true;
            self.announce(engine);
        }
    }

    /// All nodes read the entry of an engine.
    fn announce(&mut self, engine: usize) {
        let spec = self.spec(engine);
        for node in 0..self.nodes.len() {
            self.send_event(node, Event::TargetUpdated(spec.clone()));
        }
    }

    fn leave(&mut self, engine: usize, after_us: u64) {
        self.leases[engine].ends_us = Some(self.now + after_us);
        if self.leases[engine].is_up {
            self.announce(engine);
        }
    }

    /// Ends a surplus engine once it is idle.
    pub(super) fn check_surplus(&mut self, engine: usize) {
        let lease = self.leases[engine];
        if lease.is_gone() {
            return;
        }
        let is_over = lease.ends_us.is_some_and(|at| at <= self.now);
        if is_over || self.engines[engine].is_idle() {
            return self.end_engine(engine);
        }
        self.schedule(self.now + SURPLUS_CHECK_US, SimEvent::CheckSurplus(engine));
    }

    pub(super) fn reclaim(&mut self, index: usize) {
        let reclaim = self.options.reclaims[index];
        let notice_us = (reclaim.notice_s * 1e6) as u64;
        for engine in 0..self.leases.len() {
            let lease = self.leases[engine];
            if lease.centre == reclaim.centre && lease.spot && lease.is_staying() {
                self.leave(engine, notice_us);
                self.schedule(self.now + notice_us, SimEvent::EngineEnds(engine));
            }
        }
    }

    pub(super) fn end_engine(&mut self, engine: usize) {
        if self.leases[engine].is_gone() {
            return;
        }
        self.leases[engine].to_us = Some(self.now);
        self.stop_engine(engine);
        let name = self.spec(engine).name;
        for node in 0..self.nodes.len() {
            self.send_event(node, Event::TargetRemoved { name: name.clone() });
        }
    }

    /// Adds up the price of the engines in the first `seconds` from the first possible arrival.
    pub(super) fn add_prices(&mut self, seconds: f64) {
        let end = WARMUP_US + (seconds * 1e6) as u64;
        let scaling = &self.deployment.scaling;
        let mut engine_s = 0.0;
        for lease in &self.leases {
            let to = lease.to_us.unwrap_or(end).min(end);
            let s = to.saturating_sub(lease.from_us) as f64 / 1e6;
            let price = scaling.centres.get(lease.centre).map_or(1.0, |c| c.price);
            let factor = if lease.spot { scaling.spot_price } else { 1.0 };
            engine_s += s;
            self.result.size.price += s * price * factor;
        }
        self.result.size.engines = engine_s / seconds.max(1.0);
    }
}

pub(super) fn start_us(reclaim: &Reclaim) -> u64 {
    WARMUP_US + (reclaim.at_s * 1e6) as u64
}
