//! How much of a target's time this node's requests take, by priority.

use rw_types::Millis;

/// Time over which the flow is averaged, in milliseconds.
const WINDOW: f64 = 5_000.0;

#[derive(Debug, Clone)]
struct Part {
    priority: u8,
    /// Engine milliseconds, decayed to `at`.
    cost: f64,
    at: Millis,
}

/// Engine time sent lately, sorted by priority.
#[derive(Debug, Clone, Default)]
pub struct EngineUsage {
    parts: Vec<Part>,
}

impl EngineUsage {
    /// Counts a request that takes `cost` engine milliseconds.
    pub fn record(&mut self, now: Millis, priority: u8, cost: f64) {
        match self.parts.binary_search_by_key(&priority, |p| p.priority) {
            Ok(i) => {
                let part = &mut self.parts[i];
                part.cost = part.cost * decay(now, part.at) + cost;
                part.at = now;
            }
            Err(i) => {
                let at = now;
                self.parts.insert(i, Part { priority, cost, at });
            }
        }
    }

    /// Part of the engine's time that this node's requests above `priority` take.
    #[must_use]
    pub fn fraction_above(&self, now: Millis, priority: u8) -> f64 {
        let above = self.parts.iter().filter(|p| p.priority > priority);
        above.map(|p| p.cost * decay(now, p.at)).sum::<f64>() / WINDOW
    }
}

fn decay(now: Millis, at: Millis) -> f64 {
    (-(now.since(at) as f64) / WINDOW).exp()
}
