//! Ranks of prefill engines, which say how long the prompts are that each is meant for.

/// Ranks of the prefill engines of a service, from slow to fast engines.
#[derive(Debug)]
pub(crate) struct PrefillRanks<'a> {
    /// Names, sorted, and ranks.
    ranks: Vec<(&'a str, f64)>,
}

impl<'a> PrefillRanks<'a> {
    /// Ranks engines, each given by its name and by the time that prefills take there relative to the
    /// mean of the service.
    ///
    /// The rank of an engine is the fraction of all prefill capacity that it and the slower engines
    /// have. Engines of the same speed are ordered by name.
    pub(crate) fn new(engines: impl Iterator<Item = (&'a str, f64)>) -> Self {
        let mut ranks: Vec<(&str, f64)> = engines.collect();
        ranks.sort_unstable_by(|a, b| b.1.total_cmp(&a.1).then_with(|| a.0.cmp(b.0)));
        let total: f64 = ranks.iter().map(|(_, factor)| factor.recip()).sum();
        let mut sum = 0.0;
        for (_, value) in &mut ranks {
            sum += value.recip();
            *value = sum / total;
        }
        ranks.sort_unstable_by_key(|(name, _)| *name);
        Self { ranks }
    }

    /// Rank of an engine, greater than 0 and up to 1; 1 for one that is not among the engines.
    pub(crate) fn rank(&self, name: &str) -> f64 {
        let found = self.ranks.binary_search_by_key(&name, |(name, _)| *name);
        found.map_or(1.0, |i| self.ranks[i].1)
    }
}
