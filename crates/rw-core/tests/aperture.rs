//! How watched targets are distributed over the VMs.

use rw_core::{Aperture, Call, CoreSettings, Effect, Event, Node, Operation};
use rw_types::{Config, Millis, Model, RequestId, Role, Target, TargetKind, Version, Vm};
use std::sync::Arc;

struct Case {
    name: &'static str,
    vms: usize,
    targets: usize,
    centres: usize,
    models: usize,
    /// Minimum number of VMs that must watch each target.
    min_watchers: usize,
    /// Maximum number of targets that a VM may watch.
    max_watched: usize,
}

const CASES: &[Case] = &[
    Case {
        name: "small fleet: all watch all",
        vms: 8,
        targets: 23,
        centres: 3,
        models: 2,
        min_watchers: 8,
        max_watched: 23,
    },
    Case {
        name: "one VM",
        vms: 1,
        targets: 500,
        centres: 1,
        models: 2,
        min_watchers: 1,
        max_watched: 500,
    },
    Case {
        name: "a tenth of the design size",
        vms: 130,
        targets: 1_000,
        centres: 11,
        models: 13,
        min_watchers: 4,
        max_watched: 128,
    },
    Case {
        name: "a third of the design size; `redwingweir slopes` runs the full size",
        vms: 430,
        targets: 3_300,
        centres: 11,
        models: 13,
        min_watchers: 4,
        max_watched: 128,
    },
    Case {
        name: "more VMs than targets",
        vms: 1_300,
        targets: 200,
        centres: 11,
        models: 13,
        min_watchers: 4,
        max_watched: 128,
    },
];

impl Case {
    fn vms(&self) -> Vec<Vm> {
        let vm = |n| Vm {
            name: format!("vm-{n:05}"),
            centre: format!("centre-{:02}", n % self.centres),
            peer: String::new(),
            leaving: false,
        };
        (0..self.vms).map(vm).collect()
    }

    fn targets(&self) -> Vec<Target> {
        let target = |n| Target {
            name: format!("engine-{n:05}"),
            addr: String::new(),
            centre: format!("centre-{:02}", n % self.centres),
            kind: TargetKind::Engine,
            service: "chat".to_owned(),
            group: String::new(),
            models: vec![format!("model-{}", n / self.centres % self.models)],
            role: Role::Mixed,
            checks_fence: true,
            leaving: false,
        };
        (0..self.targets).map(target).collect()
    }
}

/// What each VM of `vms` watches.
fn watched_by_vm(vms: &[Vm], targets: &[Target]) -> Vec<Vec<bool>> {
    let choose = |v: &Vm| Aperture::default().choose(&v.name, &v.centre, vms, targets);
    vms.iter().map(choose).collect()
}

fn count(watched: &[bool]) -> usize {
    watched.iter().filter(|w| **w).count()
}

#[test]
fn every_target_and_model_is_watched_and_no_vm_watches_too_many() {
    for case in CASES {
        let (vms, targets) = (case.vms(), case.targets());
        let all = watched_by_vm(&vms, &targets);
        for (i, target) in targets.iter().enumerate() {
            let watchers = all.iter().filter(|w| w[i]).count();
            assert!(
                watchers >= case.min_watchers,
                "{}: {} has {watchers}",
                case.name,
                target.name
            );
        }
        for (vm, watched) in vms.iter().zip(&all) {
            let n = count(watched);
            assert!(
                n <= case.max_watched,
                "{}: {} watches {n}",
                case.name,
                vm.name
            );
            let mut models = vec![0; case.models];
            let serving = watched.iter().enumerate().filter(|(_, w)| **w);
            serving.for_each(|(i, _)| models[i / case.centres % case.models] += 1);
            assert!(
                models.iter().all(|n| *n >= 3),
                "{}: {} has {models:?}",
                case.name,
                vm.name
            );
        }
    }
}

#[test]
fn a_leaving_vm_reassigns_only_its_own_targets() {
    let case = &CASES[2];
    let targets = case.targets();
    let before = case.vms();
    let mut after = before.clone();
    after[5].leaving = true;
    let old = watched_by_vm(&before, &targets);
    let new = watched_by_vm(&after, &targets);
    let others = || (0..before.len()).filter(|i| *i != 5);
    let dropped: usize = others()
        .map(|i| {
            old[i]
                .iter()
                .zip(&new[i])
                .filter(|(o, n)| **o && !**n)
                .count()
        })
        .sum();
    assert_eq!(
        dropped, 0,
        "no VM stops watching a target because another VM leaves"
    );
    let reassigned: usize = others()
        .map(|i| {
            old[i]
                .iter()
                .zip(&new[i])
                .filter(|(o, n)| !**o && **n)
                .count()
        })
        .sum();
    assert!(
        reassigned <= count(&old[5]),
        "{reassigned} targets reassigned"
    );
    for (i, target) in targets.iter().enumerate() {
        let watchers = others().filter(|v| new[*v][i]).count();
        assert!(watchers >= 4, "{} has {watchers}", target.name);
    }
}

#[test]
fn requests_go_to_watched_targets() {
    let case = &CASES[2];
    let (vms, targets) = (case.vms(), case.targets());
    let settings = CoreSettings {
        vm: vms[0].name.clone(),
        centre: vms[0].centre.clone(),
        ..CoreSettings::default()
    };
    let mut node = Node::new(settings);
    let model = |n| Model {
        name: format!("model-{n}"),
        version: "1".to_owned(),
        adapters: Vec::new(),
        bytes: 1,
        replicas: 1,
    };
    let mut config = Config {
        version: Version(1),
        models: (0..case.models).map(model).collect(),
        targets,
        ..Config::default()
    };
    config.sort();
    node.step(Millis(0), Event::ConfigRead(Arc::new(config)));
    // The VM list is read after the configuration, so that the watched targets change in between.
    node.step(Millis(0), Event::VmsRead(vms));
    for n in 0..200 {
        let call = Call {
            caller: "caller".to_owned(),
            kind: String::new(),
            operation: Operation::Generate {
                model: format!("model-{}", n % case.models as u64),
                prompt: 10,
                output: 10,
                blocks: Vec::new(),
            },
            key: None,
            fingerprint: n,
            deadline: Millis(60_000),
            explicit_deadline: true,
        };
        let id = RequestId(n + 1);
        let effects = node.step(Millis(0), Event::Arrived { id, call });
        let target = effects.iter().find_map(|e| match e {
            Effect::Dispatch { target, .. } => Some(target),
            _ => None,
        });
        let target = target.unwrap_or_else(|| panic!("{n}: not dispatched: {effects:?}"));
        let watched = node.targets().find(target).is_some_and(|t| t.watched);
        assert!(watched, "{n}: sent to {target}");
    }
}
