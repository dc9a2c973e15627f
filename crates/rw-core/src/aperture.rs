//! Which engines a node watches, so that polls and routing cost stay flat as the fleet grows.
//!
//! Every target is watched by a few VMs of its own data centre and one of another, chosen by
//! rendezvous hashing: a VM that comes or goes moves only its own part. A node also watches a few
//! targets of each class, so that it can serve every model.

use crate::{
    Node,
    rendezvous::{hash, mix},
};
use rw_types::{Target, TargetKind, Vm};

/// How widely targets are watched.
#[derive(Debug, Clone, Copy)]
pub struct Aperture {
    /// VMs of its own data centre that watch a target.
    pub local: usize,
    /// VMs of other data centres that watch a target.
    pub remote: usize,
    /// Fewest targets of each class that a node watches, where the class has as many.
    pub class_min: usize,
    /// Most targets for which every node watches all.
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

/// VMs of one data centre.
struct Centre<'a> {
    name: &'a str,
    hash: u64,
    vms: Vec<u64>,
}

/// The targets of one class with the best scores for this node.
struct Class {
    id: u64,
    /// Whether in another data centre, score and position; sorted.
    best: Vec<(bool, u64, usize)>,
}

/// What the choice for one node is made from.
struct View<'a> {
    aperture: Aperture,
    centre: &'a str,
    me: u64,
    /// Sorted by name.
    centres: Vec<Centre<'a>>,
}

impl Aperture {
    /// Whether the VM `vm` in the data centre `centre` watches each of `targets`.
    ///
    /// `vms` is the list as this node knows it; the node counts itself in and leaving VMs out.
    #[must_use]
    pub fn choose(&self, vm: &str, centre: &str, vms: &[Vm], targets: &[Target]) -> Vec<bool> {
        if vms.is_empty() || targets.len() <= self.watch_all {
            return vec![true; targets.len()];
        }
        let view = View {
            aperture: *self,
            centre,
            me: hash(vm),
            centres: centres(vm, centre, vms),
        };
        let mut watched: Vec<_> = targets.iter().map(|t| view.covers(t)).collect();
        for i in view.nearest(targets) {
            watched[i] = true;
        }
        watched
    }
}

impl View<'_> {
    /// Whether the target counts on this VM. Plain services report no load and are open to all.
    fn covers(&self, target: &Target) -> bool {
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
        self.rank(key) < self.part(target, key, wanted)
    }

    /// How many of `wanted` watchers from other data centres fall to this VM's.
    fn part(&self, target: &Target, key: u64, wanted: usize) -> usize {
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

    /// VMs of this data centre that come before this one for a target.
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

    /// Positions of the few targets of each class that this VM takes by itself.
    fn nearest(&self, targets: &[Target]) -> Vec<usize> {
        let mut classes: Vec<Class> = Vec::new();
        let engines = targets.iter().enumerate();
        for (i, target) in engines.filter(|(_, t)| t.kind == TargetKind::Engine && !t.leaving) {
            let id = class(target);
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
            let place = best.partition_point(|e| *e < entry);
            if place < self.aperture.class_min {
                best.insert(place, entry);
                best.truncate(self.aperture.class_min);
            }
        }
        let chosen = classes.iter().flat_map(|c| &c.best);
        chosen.map(|(_, _, i)| *i).collect()
    }
}

impl Node {
    /// Takes over a newly read list of VMs.
    pub(crate) fn replace_vms(&mut self, vms: Vec<Vm>) {
        if self.members.replace(vms) {
            self.authority.outdated = true;
            self.choose_targets();
        }
    }

    /// Decides anew which targets to watch.
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

fn centres<'a>(me: &'a str, mine: &'a str, vms: &'a [Vm]) -> Vec<Centre<'a>> {
    let staying = vms.iter().filter(|v| !v.leaving && v.name != me);
    let pairs = staying.map(|v| (v.centre.as_str(), v.name.as_str()));
    let mut pairs: Vec<_> = pairs.chain([(mine, me)]).collect();
    pairs.sort_unstable();
    let runs = pairs.chunk_by(|a, b| a.0 == b.0);
    runs.map(|run| Centre {
        name: run[0].0,
        hash: hash(run[0].0),
        vms: run.iter().map(|(_, vm)| hash(vm)).collect(),
    })
    .collect()
}

/// Targets that can stand in for one another.
fn class(target: &Target) -> u64 {
    let models = target.models.iter().map(|m| hash(m));
    models.fold(hash(&target.service), mix)
}
