//! Targets whose entries the registry has dropped.

use rw_types::Millis;

/// Time for which they are remembered, in milliseconds; the registry's copies are younger.
const MAX_AGE_MS: u64 = 30_000;

/// Name, incarnation and time of each target that has departed, the oldest first.
#[derive(Debug, Clone, Default)]
pub(crate) struct DepartedTargets {
    list: Vec<(String, u64, Millis)>,
}

impl DepartedTargets {
    /// Records that an incarnation has departed.
    pub(crate) fn record(&mut self, now: Millis, name: &str, incarnation: u64) {
        self.list
            .retain(|(known, _, at)| known != name && now.since(*at) < MAX_AGE_MS);
        self.list.push((name.to_owned(), incarnation, now));
    }

    /// Whether this incarnation, or a later one, has departed.
    pub(crate) fn contains(&self, name: &str, incarnation: u64) -> bool {
        let mut departed = self.list.iter();
        departed.any(|(known, last, _)| known == name && incarnation <= *last)
    }
}
