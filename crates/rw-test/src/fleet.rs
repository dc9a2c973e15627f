//! A small fleet of separate processes for tests.

use crate::{Output, Process, TextRequest, get, run, send_request};
use rw_http::{Client, Method};
use rw_platform::{HttpPlatform, Row, Table as _, accept_config, read_head};
use rw_types::{
    Account, Config, Model, Role, Service, ServiceKind, Target, TargetKind, Version, Vm, WorkKind,
    hash_key,
};
use std::{io, time::Duration};

/// Bearer token of peers and operators.
pub const TOKEN: &str = "test-token-for-loopback";
/// Secret with which account keys are hashed, in hexadecimal.
pub const SECRET_HEX: &str = "0707070707070707070707070707070707070707070707070707070707070707";
/// Bearer key of the client account.
pub const ACCOUNT_KEY: &str = "test-key-for-loopback";
/// Timeout for a node to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between polls.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Size of a fleet and flags of its processes.
#[derive(Debug, Clone)]
pub struct FleetSettings {
    /// Number of entry nodes.
    pub nodes: usize,
    /// Additional flags of each engine; one engine per entry.
    pub engines: Vec<Vec<String>>,
    /// Number of plain services.
    pub services: usize,
    /// Additional flags of all nodes.
    pub node_flags: Vec<String>,
    /// Additional flags of the fake platform.
    pub platform_flags: Vec<String>,
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self {
            nodes: 3,
            engines: vec![Vec::new(), Vec::new()],
            services: 1,
            node_flags: Vec::new(),
            platform_flags: Vec::new(),
        }
    }
}

/// A running fleet.
#[derive(Debug)]
pub struct Fleet {
    /// Path of the binary.
    pub binary: String,
    /// Fake platform.
    pub platform: Process,
    /// Fake engines, named `engine-1` and so on.
    pub engines: Vec<Process>,
    /// Fake plain services, named `service-1` and so on.
    pub services: Vec<Process>,
    /// Entry nodes, named `vm-1` and so on.
    pub nodes: Vec<Process>,
    /// Latest accepted configuration.
    pub config: Config,
    settings: FleetSettings,
}

impl Fleet {
    /// Starts all processes and waits until every node is ready and has read the VM list.
    ///
    /// # Errors
    ///
    /// Any error of the operating system, a failed call, or a timeout.
    pub async fn start(binary: &str, settings: FleetSettings) -> io::Result<Self> {
        let platform = start_fake(binary, "platform", &settings.platform_flags)?;
        let engines: io::Result<Vec<_>> = settings
            .engines
            .iter()
            .map(|f| start_engine(binary, f))
            .collect();
        let services: io::Result<Vec<_>> = (0..settings.services)
            .map(|_| start_fake(binary, "service", &[]))
            .collect();
        let mut fleet = Self {
            binary: binary.to_owned(),
            platform,
            engines: engines?,
            services: services?,
            nodes: Vec::new(),
            config: Config::default(),
            settings,
        };
        fleet.config = fleet.initial_config();
        fleet.accept(fleet.config.clone()).await?;
        for n in 1..=fleet.settings.nodes {
            let node = fleet.start_node(n)?;
            fleet.nodes.push(node);
        }
        fleet.publish_vms().await?;
        for n in 0..fleet.nodes.len() {
            fleet.wait_ready(n).await?;
        }
        fleet.wait_vm_list().await?;
        Ok(fleet)
    }

    /// Starts the node `vm-n` without adding it to the fleet.
    ///
    /// # Errors
    ///
    /// Any error of the operating system.
    pub fn start_node(&self, n: usize) -> io::Result<Process> {
        let args = self.node_args(n);
        let env = [
            ("REDWINGWEIR_TOKEN", TOKEN),
            ("REDWINGWEIR_SECRET", SECRET_HEX),
        ];
        Process::start(&self.binary, &args, &env)
    }

    /// Command-line arguments of the node `vm-n`.
    #[must_use]
    pub fn node_args(&self, n: usize) -> Vec<String> {
        let centre = if n.is_multiple_of(3) {
            "centre-b"
        } else {
            "centre-a"
        };
        let mut args: Vec<String> = ["serve", "--centre", centre, "--listen", "127.0.0.1:0"]
            .into_iter()
            .chain([
                "--peer-listen",
                "127.0.0.1:0",
                "--operator-listen",
                "127.0.0.1:0",
            ])
            .chain([
                "--poll-ms",
                "100",
                "--report-poll-ms",
                "100",
                "--log",
                "warn",
            ])
            .map(str::to_owned)
            .collect();
        args.extend(["--vm".to_owned(), format!("vm-{n}")]);
        args.extend(["--platform".to_owned(), self.platform.addr("")]);
        args.extend(self.settings.node_flags.iter().cloned());
        args
    }

    /// Runs an operator's command of the binary against node `i`.
    ///
    /// # Errors
    ///
    /// Any error of the operating system.
    pub fn command(&self, i: usize, args: &[&str]) -> io::Result<Output> {
        let operator = self.nodes[i].addr("operators");
        let env = [
            ("REDWINGWEIR_OPERATOR", operator.as_str()),
            ("REDWINGWEIR_TOKEN", TOKEN),
            ("REDWINGWEIR_SECRET", SECRET_HEX),
        ];
        run(&self.binary, args, &env)
    }

    /// Publishes the running nodes in the platform's VM list.
    ///
    /// # Errors
    ///
    /// A failed call.
    pub async fn publish_vms(&self) -> io::Result<()> {
        let numbered = self.nodes.iter().enumerate();
        let vms: Vec<Vm> = numbered
            .map(|(i, p)| Vm {
                name: format!("vm-{}", i + 1),
                centre: if (i + 1).is_multiple_of(3) {
                    "centre-b"
                } else {
                    "centre-a"
                }
                .to_owned(),
                peer: p.addr("peers"),
                leaving: false,
            })
            .collect();
        let body = serde_json::to_string(&vms).map_err(io::Error::other)?;
        let request = TextRequest {
            method: Method::Put,
            path: "/vms",
            body: &body,
            headers: &[],
        };
        send_request(&self.platform.addr(""), request)
            .await
            .map_err(io::Error::other)?;
        Ok(())
    }

    /// Waits until node `i` is ready.
    ///
    /// # Errors
    ///
    /// A timeout.
    pub async fn wait_ready(&self, i: usize) -> io::Result<()> {
        let max_polls = READY_TIMEOUT.as_millis() / POLL_INTERVAL.as_millis();
        for _ in 0..max_polls {
            let response = get(&self.nodes[i].addr("callers"), "/readyz").await;
            if response.is_ok_and(|r| r.status == 200) {
                return Ok(());
            }
            smol::Timer::after(POLL_INTERVAL).await;
        }
        Err(io::ErrorKind::TimedOut.into())
    }

    /// Writes `config` to the table under the next version.
    ///
    /// # Errors
    ///
    /// A failed call.
    pub async fn accept(&mut self, mut config: Config) -> io::Result<()> {
        let timeout = Duration::from_secs(5);
        let table = HttpPlatform::new(Client::default(), self.platform.addr(""), timeout);
        let (version, head) = read_head(&table).await.map_err(io::Error::other)?;
        config.version = Version(version.0 + 1);
        accept_config(&table, &config, &head)
            .await
            .map_err(io::Error::other)?;
        self.config = config;
        Ok(())
    }

    /// Kills engine `i` and starts a new one with the same flags and address and none of its state.
    ///
    /// # Errors
    ///
    /// Any error of the operating system.
    pub fn restart_engine(&mut self, i: usize) -> io::Result<()> {
        let addr = self.engines[i].addr("");
        self.engines[i].kill();
        let mut flags = self.settings.engines[i].clone();
        flags.extend(["--listen".to_owned(), addr]);
        self.engines[i] = start_engine(&self.binary, &flags)?;
        Ok(())
    }

    /// Reads the rows of `keys` from the table.
    ///
    /// # Errors
    ///
    /// A failed call.
    pub async fn rows(&self, keys: &[&str]) -> io::Result<Vec<Row>> {
        let timeout = Duration::from_secs(5);
        let table = HttpPlatform::new(Client::default(), self.platform.addr(""), timeout);
        let keys = keys.iter().map(|k| (*k).to_owned()).collect();
        Ok(table.get(keys).await.map_err(io::Error::other)?.rows)
    }

    /// Replaces the faults of a fake with a JSON list in the format of `POST /fault`.
    ///
    /// # Panics
    ///
    /// If the fake rejects the list.
    ///
    /// # Errors
    ///
    /// A failed call.
    pub async fn set_faults(&self, process: &Process, faults: &str) -> io::Result<()> {
        let request = TextRequest {
            method: Method::Post,
            path: "/fault",
            body: faults,
            headers: &[],
        };
        let response = send_request(&process.addr(""), request)
            .await
            .map_err(io::Error::other)?;
        assert_eq!(
            response.status, 200,
            "the fake rejected the faults: {}",
            response.body
        );
        Ok(())
    }

    fn initial_config(&self) -> Config {
        let engines = self.engines.iter().enumerate().map(|(i, p)| {
            let checks = !self.settings.engines[i]
                .iter()
                .any(|f| f == "--ignores-fence");
            target(format!("engine-{}", i + 1), p, TargetKind::Engine, checks)
        });
        let services = self.services.iter().enumerate();
        let services = services
            .map(|(i, p)| target(format!("service-{}", i + 1), p, TargetKind::Plain, false));
        let service = |name: &str, kind| Service {
            name: name.to_owned(),
            kind,
            idempotent: vec!["/lookup".to_owned()],
        };
        let mut config = Config {
            models: vec![Model {
                name: "small".to_owned(),
                version: "1".to_owned(),
                adapters: Vec::new(),
                bytes: 1 << 20,
                replicas: 1,
            }],
            services: vec![
                service("chat", ServiceKind::Engine),
                service("reservations", ServiceKind::Plain),
            ],
            targets: engines.chain(services).collect(),
            accounts: vec![Account {
                name: "tester".to_owned(),
                keys: vec![hash_key(&[7; 32], ACCOUNT_KEY)],
                share: 1,
            }],
            kinds: vec![WorkKind {
                name: "quick".to_owned(),
                priority: 5,
                deadline_ms: 5_000,
                objective: 0.99,
            }],
            ..Config::default()
        };
        config.sort();
        config
    }
}

fn target(name: String, process: &Process, kind: TargetKind, checks_fence: bool) -> Target {
    let engine = kind == TargetKind::Engine;
    Target {
        name,
        addr: process.addr(""),
        centre: "centre-a".to_owned(),
        kind,
        service: if engine { "chat" } else { "reservations" }.to_owned(),
        group: String::new(),
        models: if engine {
            vec!["small".to_owned()]
        } else {
            Vec::new()
        },
        role: Role::Mixed,
        checks_fence,
        leaving: false,
    }
}

fn start_engine(binary: &str, flags: &[String]) -> io::Result<Process> {
    let mut all = vec!["--model".to_owned(), "small".to_owned()];
    all.extend_from_slice(flags);
    start_fake(binary, "engine", &all)
}

fn start_fake(binary: &str, kind: &str, flags: &[String]) -> io::Result<Process> {
    let mut args = vec!["fake".to_owned(), kind.to_owned()];
    args.extend_from_slice(flags);
    Process::start(binary, &args, &[])
}
