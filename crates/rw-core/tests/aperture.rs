//! How the watching of targets is spread over the VMs.

use rw_core::{Aperture, Call, CoreSettings, Effect, Event, Node, Operation};
use rw_types::{Config, Millis, Model, RequestId, Role, Target, TargetKind, Version, Vm};
use std::sync::Arc;

struct Case {
    name: &'static str,
    vms: usize,
    targets: usize,
    centres: usize,
    models: usize,
    /// Fewest VMs that watch a target.
    least: usize,
    /// Most targets that a VM watches.
    most: usize,
}

const CASES: &[Case] = &[
    Case {
        name: "a founding team: all watch all",
        vms: 8,
        targets: 23,
        centres: 3,
        models: 2,
        least: 8,
        most: 23,
    },
    Case {
        name: "one VM",
        vms: 1,
        targets: 500,
        centres: 1,
        models: 2,
        least: 1,
        most: 500,
    },
    Case {
        name: "a tenth of the letter's size",
        vms: 130,
        targets: 1_000,
        centres: 11,
        models: 13,
        least: 4,
        most: 128,
    },
    Case {
        name: "a third of the letter's size; `redwingweir slopes` takes it whole",
        vms: 430,
        targets: 3_300,
        centres: 11,
        models: 13,
        least: 4,
        most: 128,
    },
    Case {
        name: "more VMs than targets",
        vms: 1_300,
        targets: 200,
        centres: 11,
        models: 13,
        least: 4,
        most: 128,
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
fn choose_all(vms: &[Vm], targets: &[Target]) -> Vec<Vec<bool>> {
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
        let all = choose_all(&vms, &targets);
        for (i, target) in targets.iter().enumerate() {
            let watchers = all.iter().filter(|w| w[i]).count();
            assert!(
                watchers >= case.least,
                "{}: {} has {watchers}",
                case.name,
                target.name
            );
        }
        for (vm, watched) in vms.iter().zip(&all) {
            let n = count(watched);
            assert!(n <= case.most, "{}: {} watches {n}", case.name, vm.name);
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
fn a_vm_that_leaves_moves_only_its_own_part() {
    let case = &CASES[2];
    let targets = case.targets();
    let before = case.vms();
    let mut after = before.clone();
    after[5].leaving = true;
    let old = choose_all(&before, &targets);
    let new = choose_all(&after, &targets);
    let others = || (0..before.len()).filter(|i| *i != 5);
    let lost: usize = others()
        .map(|i| {
            old[i]
                .iter()
                .zip(&new[i])
                .filter(|(o, n)| **o && !**n)
                .count()
        })
        .sum();
    assert_eq!(lost, 0, "nobody drops a target because another VM leaves");
    let gained: usize = others()
        .map(|i| {
            old[i]
                .iter()
                .zip(&new[i])
                .filter(|(o, n)| !**o && **n)
                .count()
        })
        .sum();
    assert!(gained <= count(&old[5]), "{gained} taken over");
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
    // The list comes after the configuration, so that what is watched changes in between.
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
