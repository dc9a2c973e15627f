//! Builds the configuration of a profile's fleet.

use crate::{Profile, arrival::CALLER_COUNT};
use rw_types::{
    Account, Config, Model, Role, Service, ServiceKind, Target, TargetKind, Version, Vm,
};

/// Name of the model that all engines serve.
pub(crate) const MODEL: &str = "small";

pub(crate) fn vm(n: usize) -> Vm {
    Vm {
        name: format!("vm-{n}"),
        centre: format!("centre-{}", n % 3),
        peer: String::new(),
        leaving: false,
    }
}

/// Configuration of a profile's fleet. Targets are assigned to three data centres in rotation, and
/// every fourth one ignores fencing tokens. Target addresses are placeholders that a socket run
/// replaces.
pub(crate) fn config(profile: &Profile, roles: &[Role]) -> Config {
    let engine = |(i, role): (usize, &Role)| target(format!("engine-{i}"), i, Some(*role));
    let service = |i| target(format!("service-{i}"), i, None);
    let named = |name: &str, kind| Service {
        name: name.to_owned(),
        kind,
        idempotent: vec!["/lookup".to_owned()],
    };
    let account = |n| Account {
        name: format!("caller-{n}"),
        keys: Vec::new(),
        share: 1,
    };
    let mut config = Config {
        version: Version(1),
        models: vec![Model {
            name: MODEL.to_owned(),
            version: "1".to_owned(),
            adapters: Vec::new(),
            bytes: 1,
            replicas: 1,
        }],
        services: vec![
            named("runners", ServiceKind::Engine),
            named("calls", ServiceKind::Plain),
        ],
        targets: roles
            .iter()
            .enumerate()
            .map(engine)
            .chain((0..profile.services).map(service))
            .collect(),
        accounts: (0..CALLER_COUNT).map(account).collect(),
        kinds: profile.kinds.iter().map(|k| k.kind.clone()).collect(),
        change_weight: profile.change_weight,
    };
    config.sort();
    config
}

fn target(name: String, i: usize, role: Option<Role>) -> Target {
    let engine = role.is_some();
    Target {
        name,
        addr: "127.0.0.1:1".to_owned(),
        centre: format!("centre-{}", i % 3),
        kind: if engine {
            TargetKind::Engine
        } else {
            TargetKind::Plain
        },
        service: if engine { "runners" } else { "calls" }.to_owned(),
        group: String::new(),
        models: if engine {
            vec![MODEL.to_owned()]
        } else {
            Vec::new()
        },
        role: role.unwrap_or_default(),
        checks_fence: i % 4 != 3,
        leaving: false,
    }
}
