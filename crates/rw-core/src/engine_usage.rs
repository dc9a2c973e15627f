//! How much of a target's time this node's requests use, by priority.

use rw_types::Millis;

/// Time constant of the exponential decay.
const DECAY_MS: f64 = 5_000.0;

#[derive(Debug, Clone)]
struct PriorityUsage {
    priority: u8,
    /// Engine milliseconds, decayed to `at`.
    engine_ms: f64,
    at: Millis,
}

/// Engine time of recently sent requests, sorted by priority.
#[derive(Debug, Clone, Default)]
pub struct EngineUsage {
    by_priority: Vec<PriorityUsage>,
}

impl EngineUsage {
    /// Counts a request that takes `engine_ms` milliseconds of engine time.
    pub fn record(&mut self, now: Millis, priority: u8, engine_ms: f64) {
        match self
            .by_priority
            .binary_search_by_key(&priority, |p| p.priority)
        {
            Ok(i) => {
                let entry = &mut self.by_priority[i];
                entry.engine_ms = entry.engine_ms * decay(now, entry.at) + engine_ms;
                entry.at = now;
            }
            Err(i) => {
                let at = now;
                self.by_priority.insert(
                    i,
                    PriorityUsage {
                        priority,
                        engine_ms,
                        at,
                    },
                );
            }
        }
    }

    /// Fraction of the engine's time that this node's requests above `priority` use.
    #[must_use]
    pub fn fraction_above(&self, now: Millis, priority: u8) -> f64 {
        let above = self.by_priority.iter().filter(|p| p.priority > priority);
        above.map(|p| p.engine_ms * decay(now, p.at)).sum::<f64>() / DECAY_MS
    }
}

fn decay(now: Millis, at: Millis) -> f64 {
    (-(now.since(at) as f64) / DECAY_MS).exp()
}
