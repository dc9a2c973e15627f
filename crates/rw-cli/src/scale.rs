//! Synthetic fleets of a given size, for measuring how costs grow with the size.

use rw_core::{Call, CoreSettings, Event, Node, Operation};
use rw_node::Accounts;
use rw_types::{
    Account, Config, LoadReport, Millis, Model, Role, Service, ServiceKind, Target, TargetKind,
    Version, Vm, fingerprint, hash_key,
};
use std::sync::Arc;

/// Number of data centres.
const CENTRES: usize = 11;
/// Number of models.
const MODELS: usize = 13;
/// Secret with which the synthetic account keys are hashed.
const SECRET: [u8; 32] = [7; 32];

/// A synthetic fleet.
#[derive(Debug)]
pub struct SyntheticFleet {
    /// Entry VMs.
    pub vms: Vec<Vm>,
    /// Targets and accounts.
    pub config: Arc<Config>,
}

impl SyntheticFleet {
    /// Creates a fleet with the given numbers of VMs, engines and accounts.
    #[must_use]
    pub fn new(vms: usize, targets: usize, accounts: usize) -> Self {
        let mut config = Config {
            version: Version(1),
            models: (0..MODELS).map(model).collect(),
            services: vec![Service {
                name: "chat".to_owned(),
                kind: ServiceKind::Engine,
                idempotent: Vec::new(),
            }],
            targets: (0..targets).map(target).collect(),
            accounts: (0..accounts).map(account).collect(),
            ..Config::default()
        };
        config.sort();
        Self {
            vms: (0..vms).map(vm).collect(),
            config: Arc::new(config),
        }
    }

    /// Returns the reducer of the first VM, with the VM list and the configuration applied.
    #[must_use]
    pub fn node(&self) -> Node {
        let settings = CoreSettings {
            vm: self.vms[0].name.clone(),
            centre: self.vms[0].centre.clone(),
            ..CoreSettings::default()
        };
        let mut node = Node::new(settings);
        node.step(Millis(0), Event::VmsRead(self.vms.clone()));
        node.step(Millis(0), Event::ConfigRead(self.config.clone()));
        node
    }

    /// Returns the index of all account keys.
    #[must_use]
    pub fn index_keys(&self) -> Accounts {
        Accounts::index(&self.config)
    }

    /// Returns request number `n`.
    #[must_use]
    pub fn call(&self, n: u64) -> Call {
        Call {
            caller: format!(
                "account-{:05}",
                n % self.config.accounts.len().max(1) as u64
            ),
            kind: String::new(),
            operation: Operation::Generate {
                model: format!("model-{:02}", n % MODELS as u64),
                prompt: 500,
                output: 250,
                blocks: Vec::new(),
            },
            key: None,
            fingerprint: fingerprint(&n.to_le_bytes()),
            deadline: Millis(n + 60_000),
            explicit_deadline: true,
        }
    }

    /// Returns a load report of a target.
    #[must_use]
    pub fn report(&self, target: &Target) -> LoadReport {
        LoadReport {
            queued: 1_234,
            running: 17,
            slots: 64,
            blocks: 4_321,
            models: target.models.clone(),
            prefill_rate: 12_000,
            decode_rate: 24,
            age_ms: 150,
            ..LoadReport::default()
        }
    }
}

fn vm(n: usize) -> Vm {
    Vm {
        name: format!("vm-{n:05}"),
        centre: format!("centre-{:02}", n % CENTRES),
        peer: format!("10.0.{}.{}:8081", n / 250, n % 250),
        leaving: false,
    }
}

fn model(n: usize) -> Model {
    Model {
        name: format!("model-{n:02}"),
        version: "1".to_owned(),
        adapters: Vec::new(),
        bytes: 1 << 30,
        replicas: 1,
    }
}

fn target(n: usize) -> Target {
    Target {
        name: format!("engine-{n:05}"),
        addr: format!("10.1.{}.{}:9000", n / 250, n % 250),
        centre: format!("centre-{:02}", n % CENTRES),
        kind: TargetKind::Engine,
        service: "chat".to_owned(),
        group: format!("group-{:03}", n / 100),
        models: vec![format!("model-{:02}", n / CENTRES % MODELS)],
        role: Role::Mixed,
        checks_fence: true,
        leaving: false,
    }
}

fn account(n: usize) -> Account {
    Account {
        name: format!("account-{n:05}"),
        keys: vec![hash_key(&SECRET, &n.to_string())],
        share: 1,
    }
}
