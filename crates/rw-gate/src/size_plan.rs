//! Plan of the number of targets of a service and of their roles, from demand and prices.
//!
//! Everything here is a function of plain values; `sizing` and `roles` collect them and carry out
//! the result.

use crate::Scaling;

/// Fraction of a decode engine's slots and memory that the plan fills. The rest is for the uneven
/// distribution of streams, and keeps steps short.
const DECODE_LOAD: f64 = 0.6;
/// Fraction of a prefill engine's time that the plan fills if there are very many engines.
const PREFILL_LOAD: f64 = 0.8;
/// Fraction of an engine's KV cache that streams may fill.
const KV_FRACTION: f64 = 0.8;
/// Fraction of the planned targets that must remain when all spot targets of a data centre are
/// taken back. With [`PREFILL_LOAD`], the remaining ones can just run the recent peak.
const REMAINING_FRACTION: f64 = 0.75;
/// Minimum fraction of the planned targets that are not spot targets, since several data centres may
/// lose theirs in short succession.
const BASE_FRACTION: f64 = 0.2;
/// Factor on the planned number of spot targets: they cost a fraction of what refused calls do.
const SPOT_MARGIN: f64 = 1.2;
/// Price of a second of a target in a data centre without a stated price.
const DEFAULT_PRICE: f64 = 1.0;
/// Cost of a target that the bounds don't allow, as a multiple of the highest price.
const MISSING_COST: f64 = 1_000.0;

/// Work of a service on all its targets.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Work {
    /// Calls per second.
    pub calls: f64,
    /// Prefill engines that the prompts keep busy.
    pub prefill: f64,
    /// Streams or plain calls that run at the same time.
    pub streams: f64,
    /// Tokens that these hold in KV caches.
    pub tokens: f64,
    /// Calls per second refused for want of room.
    pub refused: f64,
    /// Streams or plain calls that run now.
    pub running: f64,
}

/// What one target of a service holds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TargetCapacity {
    /// Streams or plain calls at the same time.
    pub slots: f64,
    /// Tokens of KV cache; `None` for plain targets.
    pub kv_tokens: Option<f64>,
}

impl Work {
    /// Decode engines or plain targets that are full with the streams.
    #[must_use]
    pub fn decode_engines(&self, capacity: TargetCapacity) -> f64 {
        let by_slots = self.streams / capacity.slots.max(1.0);
        let kv_tokens = capacity.kv_tokens.map(|t| t.max(1.0) * KV_FRACTION);
        let by_memory = kv_tokens.map_or(0.0, |t| self.tokens / t);
        by_slots.max(by_memory)
    }

    /// Targets that run this work within the latency objectives.
    #[must_use]
    pub fn targets(&self, capacity: TargetCapacity) -> f64 {
        // The fewer engines share a queue, the more of them must be idle for a short wait: the
        // margin grows with the square root of their number.
        let prefill = self.prefill / PREFILL_LOAD + self.prefill.sqrt();
        let decode = self.decode_engines(capacity) / DECODE_LOAD;
        match capacity.kv_tokens {
            Some(_) => prefill.ceil() + decode.ceil(),
            None => decode.ceil(),
        }
    }

    /// Targets that hold the calls which run now, and no others.
    #[must_use]
    pub fn occupied(&self, capacity: TargetCapacity) -> f64 {
        (self.running / capacity.slots.max(1.0)).ceil()
    }

    /// Number of `engines` that should decode, so that both roles have the same fraction of their
    /// capacity in use; `None` without work.
    #[must_use]
    pub fn decode_count(&self, capacity: TargetCapacity, engines: usize) -> Option<usize> {
        let decode = self.decode_engines(capacity) / DECODE_LOAD;
        let sum = decode + self.prefill;
        if engines < 2 || sum <= 0.0 {
            return None;
        }
        let count = (engines as f64 * decode / sum).round() as usize;
        Some(count.clamp(1, engines - 1))
    }
}

/// A data centre for which targets can be ordered.
#[derive(Debug, Clone, PartialEq)]
pub struct CentreState {
    /// Name.
    pub centre: String,
    /// Targets that serve and stay, spot targets not included.
    pub normal: u32,
    /// Spot targets that serve and stay.
    pub spot: u32,
    /// Maximum number of normal targets by what was available there lately.
    pub max_normal: u32,
    /// The same of spot targets.
    pub max_spot: u32,
}

/// Planned number of targets in a data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CentreSize {
    /// Name.
    pub centre: String,
    /// Normal targets.
    pub normal: u32,
    /// Spot targets.
    pub spot: u32,
}

/// Bounds of one data centre while a plan is made.
#[derive(Debug, Clone, Copy)]
struct Room {
    price: f64,
    min: u32,
    max: u32,
    normal_max: u32,
    spot_max: u32,
    /// Normal targets that are there.
    normal: u32,
}

/// The cheapest numbers by data centre with `targets` in all, of which enough remain if any one data
/// centre loses its spot targets. The bounds of `scaling` hold for each data centre; if they or the
/// availability leave too little room, the plan has as many targets as fit.
#[must_use]
pub fn plan_size(targets: u32, scaling: &Scaling, centres: &[CentreState]) -> Vec<CentreSize> {
    let rooms: Vec<Room> = centres.iter().map(|c| room(scaling, c)).collect();
    let mut by_price: Vec<usize> = (0..rooms.len()).collect();
    by_price.sort_by(|a, b| rooms[*a].price.total_cmp(&rooms[*b].price));
    let spot_price = scaling.spot_price.unwrap_or(1.0);
    let most_spot = rooms.iter().map(|r| r.spot_max).max().unwrap_or(0);
    let most_spot = match scaling.spot_price {
        Some(_) => most_spot.min(targets),
        None => 0,
    };
    let mut best: Option<(f64, Vec<(u32, u32)>)> = None;
    for spot in 0..=most_spot {
        let used = if spot == 0 { 0 } else { by_price.len() };
        for used in used.min(1)..=used {
            let plan = fill(targets, spot, &by_price[..used], &by_price, &rooms);
            let cost = cost(targets, spot_price, &plan, &rooms);
            if best.as_ref().is_none_or(|(lowest, _)| cost < *lowest) {
                best = Some((cost, plan));
            }
        }
    }
    let mut plan = best.map(|(_, plan)| plan).unwrap_or_default();
    for (size, room) in plan.iter_mut().zip(&rooms) {
        let spot = (f64::from(size.1) * SPOT_MARGIN).ceil() as u32;
        let most = room.spot_max.min(room.max.saturating_sub(size.0));
        size.1 = spot.min(most).max(size.1);
    }
    let sizes = centres.iter().zip(plan);
    let sizes = sizes.map(|(c, (normal, spot))| CentreSize {
        centre: c.centre.clone(),
        normal,
        spot,
    });
    sizes.collect()
}

fn room(scaling: &Scaling, centre: &CentreState) -> Room {
    let prices = &scaling.prices;
    let price = prices.binary_search_by(|(name, _)| name.as_str().cmp(&centre.centre));
    let max = scaling.max_instances;
    Room {
        price: price.map_or(DEFAULT_PRICE, |i| prices[i].1),
        min: scaling.min_instances,
        max,
        normal: centre.normal,
        normal_max: centre.max_normal.max(centre.normal).min(max),
        spot_max: centre.max_spot.max(centre.spot).min(max),
    }
}

/// The plan with up to `spot` spot targets in each of the data centres `spot_centres`, and as many
/// normal ones as are needed besides, in the order of `by_price`. Pairs of normal and spot targets by
/// data centre.
fn fill(
    targets: u32,
    spot: u32,
    spot_centres: &[usize],
    by_price: &[usize],
    rooms: &[Room],
) -> Vec<(u32, u32)> {
    let mut plan = vec![(0, 0); rooms.len()];
    for i in spot_centres {
        plan[*i].1 = spot.min(rooms[*i].spot_max).min(rooms[*i].max);
    }
    // Each data centre has its minimum, whatever is needed.
    for (size, room) in plan.iter_mut().zip(rooms) {
        size.0 = room.min.saturating_sub(size.1).min(room.normal_max);
    }
    let needed = f64::from(targets);
    let all_spot: u32 = plan.iter().map(|p| p.1).sum();
    let most_spot = plan.iter().map(|p| p.1).max().unwrap_or(0);
    let remaining = f64::from(all_spot - most_spot);
    let wanted = (needed - f64::from(all_spot))
        .max(needed * REMAINING_FRACTION - remaining)
        .max(needed * BASE_FRACTION)
        .ceil() as u32;
    let mut missing = wanted.saturating_sub(plan.iter().map(|p| p.0).sum());
    // Those that are there come first: a move to a cheaper data centre costs the start of new ones.
    for keeps in [true, false] {
        for i in by_price {
            let room = &rooms[*i];
            let most = match keeps {
                true => room.normal.min(room.normal_max),
                false => room.normal_max,
            };
            let free = room.max.saturating_sub(plan[*i].0 + plan[*i].1);
            let more = missing.min(free).min(most.saturating_sub(plan[*i].0));
            plan[*i].0 += more;
            missing -= more;
        }
    }
    plan
}

/// Price of a plan per second, and a high cost for each target that it lacks.
fn cost(targets: u32, spot_price: f64, plan: &[(u32, u32)], rooms: &[Room]) -> f64 {
    let prices = plan.iter().zip(rooms);
    let price: f64 = prices
        .map(|((normal, spot), r)| {
            r.price * (f64::from(*normal) + f64::from(*spot) * spot_price.min(1.0))
        })
        .sum();
    let all: u32 = plan.iter().map(|p| p.0 + p.1).sum();
    let most_spot = plan.iter().map(|p| p.1).max().unwrap_or(0);
    let needed = f64::from(targets);
    let remaining = needed * REMAINING_FRACTION - f64::from(all - most_spot);
    let missing = (needed - f64::from(all)).max(0.0) + remaining.max(0.0);
    let highest = rooms
        .iter()
        .map(|r| r.price)
        .fold(f64::MIN_POSITIVE, f64::max);
    price + missing * highest * MISSING_COST
}
