//! Division of the engines of a service into groups.

use crate::{Routing, Target};
use rw_types::{Millis, Role};

/// Minimum number of engines in a group: enough to choose among, and few enough that the work of
/// placing calls is spread over several schedulers.
const GROUP_ENGINES: usize = 16;
/// Interval at which the groups are computed again, in milliseconds.
const REFRESH_MS: u64 = 250;

/// Groups of engines. They are a function of the names and roles of the engines alone, so that all
/// nodes arrive at the same ones.
#[derive(Debug, Clone, Default)]
pub(crate) struct EngineGroups {
    computed_at: Option<Millis>,
    /// Group of each engine, sorted by name.
    members: Vec<(String, u32)>,
    /// Number of groups of each service.
    counts: Vec<(String, u32)>,
}

impl EngineGroups {
    /// Computes the groups again if they are older than [`REFRESH_MS`].
    pub(crate) fn refresh(&mut self, now: Millis, routing: &Routing, targets: &[Target]) {
        if self
            .computed_at
            .is_some_and(|at| now.since(at) < REFRESH_MS)
        {
            return;
        }
        self.computed_at = Some(now);
        self.members.clear();
        self.counts.clear();
        for service in routing.services.iter().filter(|s| s.engine.is_some()) {
            let engines = targets.iter().filter(|t| t.spec.service == service.name);
            let engines = engines.filter(|t| t.is_staying(now));
            let (prefill, other): (Vec<&Target>, Vec<&Target>) =
                engines.partition(|t| t.next_role(now) == Role::Prefill);
            let count = group_count(prefill.len(), other.len());
            deal(&prefill, count, &mut self.members);
            deal(&other, count, &mut self.members);
            self.counts.push((service.name.clone(), count));
        }
        self.members.sort_unstable();
    }

    /// Number of groups of a service; zero if it has no engines.
    pub(crate) fn count(&self, service: &str) -> u32 {
        let found = self.counts.iter().find(|(name, _)| name == service);
        found.map_or(0, |(_, count)| *count)
    }

    /// Whether the engine `name` belongs to `group`.
    pub(crate) fn contains(&self, name: &str, group: u32) -> bool {
        let found = self.members.binary_search_by(|(n, _)| n.as_str().cmp(name));
        found.is_ok_and(|i| self.members[i].1 == group)
    }
}

/// Number of groups for this many engines that prefill and others; each group has some of both, if
/// there are any.
fn group_count(prefill: usize, other: usize) -> u32 {
    if prefill + other == 0 {
        return 0;
    }
    let smaller = match prefill.min(other) {
        0 => prefill.max(other),
        n => n,
    };
    let count = ((prefill + other) / GROUP_ENGINES).min(smaller / 2);
    u32::try_from(count.max(1)).unwrap_or(u32::MAX)
}

/// Adds `engines`, sorted by name, to groups of equal size, each to the first by rendezvous hashing
/// that has room.
fn deal(engines: &[&Target], count: u32, members: &mut Vec<(String, u32)>) {
    let max_size = engines.len().div_ceil(count.max(1) as usize);
    let mut sizes = vec![0; count as usize];
    for engine in engines {
        let hash = rw_core::hash(&engine.spec.name);
        let open = (0..count).filter(|g| sizes[*g as usize] < max_size);
        let group = open.max_by_key(|g| rw_core::mix(hash, u64::from(*g)));
        if let Some(group) = group {
            sizes[group as usize] += 1;
            members.push((engine.spec.name.clone(), group));
        }
    }
}
