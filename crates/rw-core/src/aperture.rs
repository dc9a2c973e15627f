//! The subset of engines that a node watches, so that polling and routing cost stay flat as the
//! fleet grows.
//!
//! Every target is watched by a few VMs of its own data centre and one of another, chosen by
//! rendezvous hashing: adding or removing a VM reassigns only that VM's targets. Each node also
//! watches a few targets of every class (service and set of models), so that it can serve every
//! model.

use crate::{
    Node,
    rendezvous::{hash, mix},
};
use rw_types::{Target, TargetKind, Vm};

/// How many VMs watch a target and how many targets a VM watches.
#[derive(Debug, Clone, Copy)]
pub struct Aperture {
    /// VMs in a target's own data centre that watch it.
    pub local: usize,
    /// VMs in other data centres that watch a target.
    pub remote: usize,
    /// Minimum number of targets of each class that a node watches, if the class has as many.
    pub class_min: usize,
    /// Fleet size, in targets, up to which every node watches all of them.
    pub watch_all: usize,
}

impl Default for Aperture {
    fn default() -> Self {
        Self {
            local: 3,
            remote: 1,
            class_min: 3,
            watch_all: 64,
        }
    }
}

/// One data centre with the hashes of its VMs' names.
struct Centre<'a> {
    name: &'a str,
    hash: u64,
    vms: Vec<u64>,
}

/// The targets of one class that rank best for this node.
struct Class {
    id: u64,
    /// Whether the target is in another data centre, its score and its position; sorted.
    best: Vec<(bool, u64, usize)>,
}

/// Inputs for the choice of one node's targets.
struct Selector<'a> {
    aperture: Aperture,
    centre: &'a str,
    me: u64,
    /// Sorted by name.
    centres: Vec<Centre<'a>>,
}

impl Aperture {
    /// Whether the VM `vm` in the data centre `centre` watches each of `targets`.
    ///
    /// `vms` is the list as this node knows it. The node counts itself even if it is not listed;
    /// leaving VMs are not counted.
    #[must_use]
    pub fn choose(&self, vm: &str, centre: &str, vms: &[Vm], targets: &[Target]) -> Vec<bool> {
        if vms.is_empty() || targets.len() <= self.watch_all {
            return vec![true; targets.len()];
        }
        let selector = Selector {
            aperture: *self,
            centre,
            me: hash(vm),
            centres: centres(vm, centre, vms),
        };
        let mut watched: Vec<_> = targets.iter().map(|t| selector.is_watcher(t)).collect();
        for i in selector.best_of_classes(targets) {
            watched[i] = true;
        }
        watched
    }
}

impl Selector<'_> {
    /// Whether this VM is one of the target's watchers. Plain services report no load, so every VM
    /// may route to them.
    fn is_watcher(&self, target: &Target) -> bool {
        if target.kind == TargetKind::Plain {
            return true;
        }
        let key = hash(&target.name);
        if target.centre == self.centre {
            return self.rank(key) < self.aperture.local;
        }
        let found = self.find(&target.centre);
        let local = found.map_or(0, |c| c.vms.len());
        let wanted = self.aperture.remote + self.aperture.local.saturating_sub(local);
        self.rank(key) < self.remote_watchers(target, key, wanted)
    }

    /// How many of the `wanted` remote watchers this VM's data centre provides.
    fn remote_watchers(&self, target: &Target, key: u64, wanted: usize) -> usize {
        let others = self.centres.iter().filter(|c| c.name != target.centre);
        let Some(own) = self.find(self.centre) else {
            return 0;
        };
        let score = mix(own.hash, key);
        let (mut count, mut before) = (0, 0);
        for other in others {
            count += 1;
            before += usize::from(mix(other.hash, key) > score);
        }
        wanted / count + usize::from(before < wanted % count)
    }

    /// Number of VMs in this data centre that rank before this one for the target with hash `key`.
    fn rank(&self, key: u64) -> usize {
        let score = mix(self.me, key);
        let own = self.find(self.centre);
        let vms = own.map_or(&[][..], |c| &c.vms);
        vms.iter().filter(|vm| mix(**vm, key) > score).count()
    }

    fn find(&self, name: &str) -> Option<&Centre<'_>> {
        let i = self.centres.binary_search_by(|c| c.name.cmp(name)).ok()?;
        Some(&self.centres[i])
    }

    /// Positions of the best-ranked targets of each class, which this VM watches in any case.
    fn best_of_classes(&self, targets: &[Target]) -> Vec<usize> {
        let mut classes: Vec<Class> = Vec::new();
        let engines = targets.iter().enumerate();
        for (i, target) in engines.filter(|(_, t)| t.kind == TargetKind::Engine && !t.leaving) {
            let id = class_hash(target);
            let score = mix(self.me, hash(&target.name));
            let at = match classes.binary_search_by_key(&id, |c| c.id) {
                Ok(at) => at,
                Err(at) => {
                    let best = Vec::new();
                    classes.insert(at, Class { id, best });
                    at
                }
            };
            let best = &mut classes[at].best;
            let entry = (target.centre != self.centre, score, i);
            let position = best.partition_point(|e| *e < entry);
            if position < self.aperture.class_min {
                best.insert(position, entry);
                best.truncate(self.aperture.class_min);
            }
        }
        let chosen = classes.iter().flat_map(|c| &c.best);
        chosen.map(|(_, _, i)| *i).collect()
    }
}

impl Node {
    /// Replaces the list of VMs, and chooses watched targets again if it changed.
    pub(crate) fn replace_vms(&mut self, vms: Vec<Vm>) {
        if self.members.replace(vms) {
            self.authority.outdated = true;
            self.choose_targets();
        }
    }

    /// Recomputes which targets this node watches.
    pub(crate) fn choose_targets(&mut self) {
        let watched = Aperture::default().choose(
            &self.settings.vm,
            &self.settings.centre,
            self.members.all(),
            &self.config.targets,
        );
        self.targets.watch(&watched);
    }
}

fn centres<'a>(me: &'a str, own_centre: &'a str, vms: &'a [Vm]) -> Vec<Centre<'a>> {
    let active = vms.iter().filter(|v| !v.leaving && v.name != me);
    let pairs = active.map(|v| (v.centre.as_str(), v.name.as_str()));
    let mut pairs: Vec<_> = pairs.chain([(own_centre, me)]).collect();
    pairs.sort_unstable();
    let runs = pairs.chunk_by(|a, b| a.0 == b.0);
    runs.map(|run| Centre {
        name: run[0].0,
        hash: hash(run[0].0),
        vms: run.iter().map(|(_, vm)| hash(vm)).collect(),
    })
    .collect()
}

/// Hash of a target's service and models; targets with the same hash are interchangeable.
fn class_hash(target: &Target) -> u64 {
    let models = target.models.iter().map(|m| hash(m));
    models.fold(hash(&target.service), mix)
}
